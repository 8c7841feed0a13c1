// Package explain answers why a packet would get the service it gets.
package explain

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/query/inforce"
	"github.com/balsampier/balsampier/query/zonetable"
)

const (
	// Matched lines apply to the packet.
	Matched Outcome = iota
	// OtherPort lines have the packet's service address with another port.
	OtherPort
	// OtherCaller lines name no prefix that holds the caller.
	OtherCaller
	// OtherDay lines have no hours on the local day.
	OtherDay
	// OtherHours lines have hours on the local day, but not now.
	OtherHours
)

type (
	// Outcome tells whether a line applies to a packet, or why not.
	Outcome uint8

	// Line is the outcome of one line.
	Line struct {
		// Rule stands in the line.
		Rule balsampier.Rule
		// Outcome is that of the line alone; of several Matched lines the
		// first is in force.
		Outcome Outcome
	}

	// Clock is what the wall clock of a zone shows.
	Clock struct {
		// Zone is the IANA name.
		Zone string
		// Local is the instant asked for, at the zone's offset by the table.
		Local time.Time
		// NextTransition is the zone's next change of offset; zero without one in the
		// table.
		NextTransition balsampier.Transition
		// NextChange is Explanation.NextChange at the offset that holds then; zero
		// like it.
		NextChange time.Time
	}

	// Explanation tells which rule is in force for a packet, and why.
	Explanation struct {
		// Packet is what was asked for.
		Packet balsampier.Packet
		// Revision is the rule revision that answered.
		Revision balsampier.Revision
		// Clocks are the zones of Lines, in the order of their names.
		Clocks []Clock
		// Lines have the packet's service IP, in file order.
		Lines []Line
		// OtherAddressRules counts the rules of other service IPs.
		OtherAddressRules int
		// Rule is in force when Found is true.
		Rule balsampier.Rule
		// Found is false where the packet is refused.
		Found bool
		// NextChange is when another rule, or none, comes into force; zero when
		// none does.
		NextChange time.Time
	}
)

// String returns the outcome in words.
func (o Outcome) String() string {
	return [...]string{"matches", "other port", "other caller", "other day", "other hours"}[o]
}

// Explain explains which rule is in force for p at p.At. The tables are those
// of the accepted file.
func Explain(r balsampier.Revision, rs []balsampier.Rule, zs []balsampier.ZoneTable, p balsampier.Packet) (Explanation, error) {
	t, err := inforce.Compile(r, rs, zs)
	if err != nil {
		return Explanation{}, trace.Wrap(err, "explain")
	}
	e := Explanation{Packet: p, Revision: r}
	ip := p.ServiceAddr.Addr().Unmap()
	used := make(map[string]bool)
	for _, x := range rs {
		if x.To.Addr() != ip {
			e.OtherAddressRules++
			continue
		}
		e.Lines = append(e.Lines, Line{Rule: x, Outcome: matchRule(x, zs, p)})
		used[x.Zone] = true
	}
	e.Rule, e.Found = t.InForce(p.ServiceAddr, p.Caller.Addr(), p.At)
	e.NextChange, _ = t.NextRuleChange(p.ServiceAddr, p.Caller.Addr(), p.At)
	for _, z := range zs {
		if used[z.Zone] {
			e.Clocks = append(e.Clocks, newClock(z, p.At, e.NextChange))
		}
	}
	return e, nil
}

func newClock(z balsampier.ZoneTable, at, changes time.Time) Clock {
	c := Clock{Zone: z.Zone, Local: localTime(z, at)}
	if !changes.IsZero() {
		c.NextChange = localTime(z, changes)
	}
	if n, ok := zonetable.Next(z, at); ok {
		c.NextTransition = n
	}
	return c
}

// localTime returns t at the zone's offset.
func localTime(z balsampier.ZoneTable, t time.Time) time.Time {
	return t.In(time.FixedZone("", int(zonetable.Offset(z, t)/time.Second)))
}

func matchRule(r balsampier.Rule, zs []balsampier.ZoneTable, p balsampier.Packet) Outcome {
	switch {
	case r.To.Port() != p.ServiceAddr.Port():
		return OtherPort
	case !inforce.MatchesCaller(&r, callerOf(p)):
		return OtherCaller
	case len(r.Windows) == 0:
		return Matched
	}
	for _, z := range zs {
		if z.Zone == r.Zone {
			return matchWindows(r.Windows, zonetable.Local(z, p.At))
		}
	}
	return OtherHours
}

func callerOf(p balsampier.Packet) netip.Addr { return p.Caller.Addr().Unmap().WithZone("") }

func matchWindows(ws []balsampier.Window, l time.Time) Outcome {
	if inforce.InWindows(ws, l) {
		return Matched
	}
	yesterday := l.AddDate(0, 0, -1).Weekday()
	for _, w := range ws {
		if w.Days.Has(l.Weekday()) || (w.End <= w.Start && w.Days.Has(yesterday)) {
			return OtherHours
		}
	}
	return OtherDay
}
