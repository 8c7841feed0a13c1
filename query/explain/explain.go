// Package explain reports which rule applies to a packet, and why the other
// lines of the rule file do not.
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
	// OtherPort lines have the packet's service IP address but another port.
	OtherPort
	// OtherCaller lines have no prefix that contains the caller.
	OtherCaller
	// OtherDay lines have no window on the local day.
	OtherDay
	// OtherHours lines have a window on the local day, but not at this time.
	OtherHours
)

type (
	// Outcome is whether a line applies to a packet, or why it does not.
	Outcome uint8

	// Line is a line of the rule file and its outcome.
	Line struct {
		// Rule is the rule on the line.
		Rule balsampier.Rule
		// Outcome is that of the line alone. If several lines are Matched, the
		// first one is in force.
		Outcome Outcome
	}

	// Clock is the wall-clock time of a zone.
	Clock struct {
		// Zone is the IANA name.
		Zone string
		// Local is the packet's time at the zone's offset, as given by the zone
		// table.
		Local time.Time
		// NextTransition is the zone's next change of offset; zero if the table
		// has none.
		NextTransition balsampier.Transition
		// NextRuleChange is Explanation.NextRuleChange in local time, at the
		// offset that applies then; zero if that field is zero.
		NextRuleChange time.Time
	}

	// Explanation reports which rule is in force for a packet, and why.
	Explanation struct {
		// Packet is the packet in question.
		Packet balsampier.Packet
		// Revision is the revision of the rules that were used.
		Revision balsampier.Revision
		// Clocks holds the time zones used in Lines, sorted by name.
		Clocks []Clock
		// Lines are the rules for the packet's service IP address, in file
		// order.
		Lines []Line
		// OtherAddressRules counts the rules for other service IP addresses.
		OtherAddressRules int
		// Rule is the rule in force if Found is true.
		Rule balsampier.Rule
		// Found is false if no rule matches, so that the packet is refused.
		Found bool
		// NextRuleChange is when another rule, or none, comes into force; zero
		// if that never happens.
		NextRuleChange time.Time
	}
)

// String returns the outcome in words.
func (o Outcome) String() string {
	return [...]string{"matches", "other port", "other caller", "other day", "other hours"}[o]
}

// Explain reports which rule of rs is in force for p at time p.At. The tables
// zs must be those of the accepted file.
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
	e.NextRuleChange, _ = t.NextRuleChange(p.ServiceAddr, p.Caller.Addr(), p.At)
	for _, z := range zs {
		if used[z.Zone] {
			e.Clocks = append(e.Clocks, newClock(z, p.At, e.NextRuleChange))
		}
	}
	return e, nil
}

func newClock(z balsampier.ZoneTable, at, ruleChange time.Time) Clock {
	c := Clock{Zone: z.Zone, Local: localTime(z, at)}
	if !ruleChange.IsZero() {
		c.NextRuleChange = localTime(z, ruleChange)
	}
	if n, ok := zonetable.NextTransition(z, at); ok {
		c.NextTransition = n
	}
	return c
}

// localTime returns t with the zone's offset at t.
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
