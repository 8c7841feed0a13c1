// Package inforce answers which rule is in force for a packet. The first line
// that matches wins, so that operators read a file from top to bottom and a
// line never changes the meaning of those above it.
package inforce

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/query/zonetable"
)

const (
	// MaxRules bounds the rules of one service address, and with them the
	// cost of a lookup.
	MaxRules = 256
	// MaxPrefixes bounds the caller prefixes of all rules of one service
	// address.
	MaxPrefixes = 1024

	day = 24 * time.Hour
)

type (
	// Table is a compiled rule file.
	Table struct {
		revision balsampier.Revision
		// rules holds the rules of each service address in file order.
		rules map[netip.AddrPort][]compiled
	}

	compiled struct {
		balsampier.Rule
		// zone is the table of Rule.Zone; empty when the rule has no windows.
		zone balsampier.ZoneTable
	}
)

var _ balsampier.RuleTable = (*Table)(nil)

// Compile returns the table of the rules of revision r.
func Compile(r balsampier.Revision, rs []balsampier.Rule, zs []balsampier.ZoneTable) (*Table, error) {
	zones := make(map[string]balsampier.ZoneTable, len(zs))
	for _, z := range zs {
		zones[z.Zone] = z
	}
	t := &Table{revision: r, rules: make(map[netip.AddrPort][]compiled)}
	for _, rule := range rs {
		z, ok := zones[rule.Zone]
		if len(rule.Windows) > 0 && (!ok || len(z.Transitions) == 0) {
			return nil, trace.Wrap(balsampier.NewError(balsampier.KindInvalid, "compile rules",
				"submit the file again, so that its zones are compiled", nil), "line %d, zone %q", rule.Line, rule.Zone)
		}
		t.rules[rule.To] = append(t.rules[rule.To], compiled{Rule: rule, zone: z})
	}
	return t, nil
}

// Revision returns the revision of the table.
func (t *Table) Revision() balsampier.Revision { return t.revision }

// InForce returns the first rule that matches.
func (t *Table) InForce(s netip.AddrPort, c netip.Addr, at time.Time) (balsampier.Rule, bool) {
	rs := t.of(s)
	c = c.Unmap().WithZone("")
	if i := first(rs, c, at); i >= 0 {
		return rs[i].Rule, true
	}
	return balsampier.Rule{}, false
}

// of returns the rules of a service address, also in IPv4-mapped form.
func (t *Table) of(s netip.AddrPort) []compiled {
	return t.rules[netip.AddrPortFrom(s.Addr().Unmap().WithZone(""), s.Port())]
}

// first returns the index of the first rule that matches, or -1.
func first(rs []compiled, c netip.Addr, at time.Time) int {
	for i := range rs {
		if FromCaller(&rs[i].Rule, c) && rs[i].open(at) {
			return i
		}
	}
	return -1
}

func (c *compiled) open(at time.Time) bool {
	return len(c.Windows) == 0 || Open(c.Windows, zonetable.Local(c.zone, at))
}

// FromCaller reports whether the rule applies to the caller.
func FromCaller(r *balsampier.Rule, c netip.Addr) bool {
	for _, p := range r.From {
		if p.Contains(c) {
			return true
		}
	}
	return false
}

// Open evaluates the windows as predicates on the wall clock l, carried in
// UTC. How the clock came to show l does not matter: hours that are skipped
// match nothing, and hours that are repeated match each time.
func Open(ws []balsampier.Window, l time.Time) bool {
	s := sinceMidnight(l)
	d := l.Weekday()
	before := (d + 6) % 7
	for _, w := range ws {
		end := w.End
		if end <= w.Start {
			end += day
		}
		if w.Days.Has(d) && s >= w.Start && s < end {
			return true
		}
		if w.Days.Has(before) && s+day >= w.Start && s+day < end {
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
