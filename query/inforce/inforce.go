// Package inforce looks up the rule that is in force for a packet. The first
// matching line wins, so that operators can read a file from top to bottom and
// a line never changes the meaning of those above it.
package inforce

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

const (
	// MaxRules bounds the rules of one service address, and thereby the cost of
	// a lookup.
	MaxRules = 256
	// MaxPrefixes bounds the caller prefixes in all rules of one service
	// address.
	MaxPrefixes = 1024

	day           = 24 * time.Hour
	secondsPerDay = int64(day / time.Second)
)

type (
	// Table is a compiled rule file.
	Table struct {
		revision balsampier.Revision
		// rules holds the rules of each service address in file order.
		rules map[netip.AddrPort][]compiledRule
	}

	compiledRule struct {
		balsampier.Rule
		// zone is the table of Rule.Zone; empty if the rule has no windows.
		zone balsampier.ZoneTable
		// zoneOffsets is zone in the form that lookups use; nil if zone is empty.
		zoneOffsets *offsetTable
	}

	// offsetTable holds a zone's transitions as Unix seconds, and the offset in
	// seconds from each of them on. Rules in the same zone share one table.
	offsetTable struct {
		from, offset []int64
	}

	// weekTime is a wall-clock time within a week.
	weekTime struct {
		day time.Weekday
		// sinceMidnight is the wall-clock time since midnight, in [0, 24h).
		sinceMidnight time.Duration
	}
)

var _ balsampier.RuleTable = (*Table)(nil)

// Compile returns the table for the rules of revision r. It fails with
// KindInvalid if zs lacks the zone of a rule that has windows.
func Compile(r balsampier.Revision, rs []balsampier.Rule, zs []balsampier.ZoneTable) (*Table, error) {
	zones := make(map[string]balsampier.ZoneTable, len(zs))
	for _, z := range zs {
		zones[z.Zone] = z
	}
	seconds := make(map[string]*offsetTable, len(zs))
	for _, z := range zs {
		seconds[z.Zone] = newOffsetTable(z)
	}
	t := &Table{revision: r, rules: make(map[netip.AddrPort][]compiledRule)}
	for _, rule := range rs {
		z, ok := zones[rule.Zone]
		if len(rule.Windows) > 0 && (!ok || len(z.Transitions) == 0) {
			return nil, trace.Wrap(balsampier.NewError(balsampier.KindInvalid, "compile rules",
				"submit the file again, so that its zones are compiled", nil), "line %d: no table for zone %q", rule.Line, rule.Zone)
		}
		t.rules[rule.To] = append(t.rules[rule.To], compiledRule{Rule: rule, zone: z, zoneOffsets: seconds[rule.Zone]})
	}
	return t, nil
}

// Revision returns the revision of the rules.
func (t *Table) Revision() balsampier.Revision { return t.revision }

// InForce returns the first rule that matches, and whether there is one.
func (t *Table) InForce(s netip.AddrPort, c netip.Addr, at time.Time) (balsampier.Rule, bool) {
	rs := t.rulesOfAddress(s)
	c = c.Unmap().WithZone("")
	if i := firstMatch(rs, c, at); i >= 0 {
		return rs[i].Rule, true
	}
	return balsampier.Rule{}, false
}

// rulesOfAddress returns the rules for a service address, which may be
// IPv4-mapped.
func (t *Table) rulesOfAddress(s netip.AddrPort) []compiledRule {
	return t.rules[netip.AddrPortFrom(s.Addr().Unmap().WithZone(""), s.Port())]
}

// firstMatch returns the index of the first matching rule, or -1.
func firstMatch(rs []compiledRule, c netip.Addr, at time.Time) int {
	for i := range rs {
		if MatchesCaller(&rs[i].Rule, c) && rs[i].isOpen(at) {
			return i
		}
	}
	return -1
}

func (c *compiledRule) isOpen(at time.Time) bool {
	return len(c.Windows) == 0 || isWithin(c.Windows, c.zoneOffsets.weekTimeAt(at))
}

func newOffsetTable(z balsampier.ZoneTable) *offsetTable {
	s := &offsetTable{}
	for _, t := range z.Transitions {
		s.from = append(s.from, t.At.Unix())
		s.offset = append(s.offset, int64(t.Offset/time.Second))
	}
	return s
}

// weekTimeAt returns the wall-clock time at t. Windows are whole minutes, so
// fractions of a second are dropped.
func (s *offsetTable) weekTimeAt(t time.Time) weekTime {
	u := t.Unix()
	i, ok := slices.BinarySearch(s.from, u)
	if !ok {
		i = max(i-1, 0)
	}
	l := u + s.offset[i]
	d := l / secondsPerDay
	if l%secondsPerDay < 0 {
		d--
	}
	return weekTime{
		day:           time.Weekday(((d+int64(time.Thursday))%7 + 7) % 7),
		sinceMidnight: time.Duration(l-d*secondsPerDay) * time.Second,
	}
}

// MatchesCaller reports whether the rule has a prefix that contains c.
func MatchesCaller(r *balsampier.Rule, c netip.Addr) bool {
	for _, p := range r.From {
		if p.Contains(c) {
			return true
		}
	}
	return false
}

// InWindows reports whether the wall-clock time l, whose time.Location is UTC,
// is in one of the windows. Clock changes need no special treatment: skipped
// local times match nothing, and repeated ones match each time.
func InWindows(ws []balsampier.Window, l time.Time) bool {
	return isWithin(ws, weekTime{day: l.Weekday(), sinceMidnight: sinceMidnight(l)})
}

func isWithin(ws []balsampier.Window, m weekTime) bool {
	yesterday := (m.day + 6) % 7
	for i := range ws {
		w := &ws[i]
		overnight := w.End <= w.Start
		if w.Days.Has(m.day) && m.sinceMidnight >= w.Start && (overnight || m.sinceMidnight < w.End) {
			return true
		}
		if overnight && w.Days.Has(yesterday) && m.sinceMidnight < w.End {
			return true
		}
	}
	return false
}

func sinceMidnight(l time.Time) time.Duration {
	h, m, s := l.Clock()
	return time.Duration(h)*time.Hour + time.Duration(m)*time.Minute +
		time.Duration(s)*time.Second + time.Duration(l.Nanosecond())
}
