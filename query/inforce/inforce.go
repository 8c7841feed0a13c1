// Package inforce answers which rule is in force for a packet.
package inforce

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/query/zonetable"
)

const day = 24 * time.Hour

type (
	// Table is a compiled rule file. The first matching line wins.
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
	rs := t.rules[s]
	for i := range rs {
		if rs[i].matches(c, at) {
			return rs[i].Rule, true
		}
	}
	return balsampier.Rule{}, false
}

func (c *compiled) matches(a netip.Addr, at time.Time) bool {
	return contains(c.From, a.Unmap()) && (len(c.Windows) == 0 || open(c.Windows, c.zone, at))
}

func contains(ps []netip.Prefix, a netip.Addr) bool {
	for _, p := range ps {
		if p.Contains(a) {
			return true
		}
	}
	return false
}

// open evaluates the windows as predicates on the wall clock at the instant.
func open(ws []balsampier.Window, z balsampier.ZoneTable, at time.Time) bool {
	l := at.UTC().Add(zonetable.Offset(z, at))
	d := l.Weekday()
	before := (d + 6) % 7
	s := time.Duration(l.Hour())*time.Hour + time.Duration(l.Minute())*time.Minute +
		time.Duration(l.Second())*time.Second + time.Duration(l.Nanosecond())
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
