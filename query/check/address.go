package check

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/query/inforce"
	"github.com/balsampier/balsampier/query/zonetable"
)

type (
	// addressCheck compares the rules of one service address with each other.
	addressCheck struct {
		rules []balsampier.Rule
		// zones holds the zone table of each rule; empty for rules without
		// windows.
		zones []balsampier.ZoneTable
		// hours holds, for each period, the UTC minutes of the week at which
		// each rule applies. A period is a time span in which no offset
		// changes.
		hours [][]week
		// offsets holds the offset of each rule in the first period.
		offsets []time.Duration
	}

	// reachability tells whether packets reach a rule despite the rules above
	// it.
	reachability struct {
		// reachable is true if the rule is in force for some caller at some
		// time.
		reachable bool
		// firstOverlap is the first earlier rule for another service that
		// matches part of the same traffic; -1 if there is none.
		firstOverlap int
		// firstEarlier is the first earlier rule that matches part of the same
		// traffic; -1 if there is none.
		firstEarlier int
	}
)

// checkAddresses warns of unreachable and overlapping rules and of hours
// without any rule, for each service address.
func checkAddresses(rs []balsampier.Rule, zs []balsampier.ZoneTable, t time.Time) []balsampier.Problem {
	if len(rs) == 0 {
		return []balsampier.Problem{{
			Line: 1, Column: 1, Warning: true, Message: "the file has no rule, so that every new connection is refused",
			Remedy: "add a rule for each service address",
		}}
	}
	var (
		ps    []balsampier.Problem
		order []netip.AddrPort
		rules = make(map[netip.AddrPort][]balsampier.Rule)
	)
	for _, r := range rs {
		if _, ok := rules[r.To]; !ok {
			order = append(order, r.To)
		}
		rules[r.To] = append(rules[r.To], r)
	}
	for _, to := range order {
		a := newAddressCheck(rules[to], zs, t)
		ps = append(ps, a.problems()...)
	}
	return ps
}

func newAddressCheck(rs []balsampier.Rule, zs []balsampier.ZoneTable, t time.Time) *addressCheck {
	a := &addressCheck{rules: rs, zones: make([]balsampier.ZoneTable, len(rs))}
	for i, r := range rs {
		if len(r.Windows) == 0 {
			continue
		}
		j := slices.IndexFunc(zs, func(z balsampier.ZoneTable) bool { return z.Zone == r.Zone })
		a.zones[i] = zs[j]
	}
	a.offsets = a.offsetsAt(t)
	seen := make(map[string]bool)
	for _, at := range a.periods(t) {
		os := a.offsetsAt(at)
		k := fmt.Sprint(os)
		if seen[k] {
			continue
		}
		seen[k] = true
		ws := make([]week, len(rs))
		for i := range rs {
			ws[i] = utcMinutes(rs[i], os[i])
		}
		a.hours = append(a.hours, ws)
	}
	return a
}

// periods returns t and all later instants at which an offset changes.
func (a *addressCheck) periods(t time.Time) []time.Time {
	out := []time.Time{t}
	for _, z := range a.zones {
		for _, n := range z.Transitions {
			if n.At.After(t) {
				out = append(out, n.At)
			}
		}
	}
	return out
}

func (a *addressCheck) offsetsAt(t time.Time) []time.Duration {
	os := make([]time.Duration, len(a.zones))
	for i, z := range a.zones {
		if len(z.Transitions) > 0 {
			os[i] = zonetable.Offset(z, t)
		}
	}
	return os
}

func (a *addressCheck) problems() []balsampier.Problem {
	var ps []balsampier.Problem
	callers := representativeCallers(a.rules)
	for i := 1; i < len(a.rules); i++ {
		f := a.reachabilityOf(i, callers)
		switch {
		case !f.reachable:
			ps = append(ps, a.warn(i, fmt.Sprintf("no packet reaches the rule, as line %d and others above it take all of its traffic", a.rules[f.firstEarlier].Line),
				"delete the rule, or move it above them"))
		case f.firstOverlap >= 0:
			o := a.rules[f.firstOverlap]
			ps = append(ps, a.warn(i, fmt.Sprintf("line %d above takes part of the traffic for %s", o.Line, o.Service),
				"narrow the callers or the hours of one of them, or leave it if the first line is meant to win"))
		}
	}
	return append(ps, a.uncoveredHours(callers)...)
}

func (a *addressCheck) warn(i int, message, remedy string) balsampier.Problem {
	r := a.rules[i]
	return balsampier.Problem{
		Line: r.Line, Column: int(r.Columns.To), Found: r.To.String(), Message: message, Remedy: remedy, Warning: true,
	}
}

// reachabilityOf compares rule i with the rules above it, for each caller and
// period.
func (a *addressCheck) reachabilityOf(i int, callers []netip.Addr) reachability {
	f := reachability{firstOverlap: -1, firstEarlier: -1}
	for _, c := range callers {
		if !inforce.MatchesCaller(&a.rules[i], c) {
			continue
		}
		for _, ws := range a.hours {
			var above week
			for j := range i {
				if !inforce.MatchesCaller(&a.rules[j], c) || !ws[j].intersects(&ws[i]) {
					continue
				}
				above.union(&ws[j])
				f.addEarlier(j, a.rules[j].Service != a.rules[i].Service)
			}
			f.reachable = f.reachable || !above.covers(&ws[i])
		}
	}
	return f
}

func (f *reachability) addEarlier(j int, otherService bool) {
	if f.firstEarlier < 0 || j < f.firstEarlier {
		f.firstEarlier = j
	}
	if otherService && (f.firstOverlap < 0 || j < f.firstOverlap) {
		f.firstOverlap = j
	}
}

// uncoveredHours warns if callers of the address are refused in some hours
// because no rule applies. It uses the offsets of the first period only.
func (a *addressCheck) uncoveredHours(callers []netip.Addr) []balsampier.Problem {
	for _, c := range callers {
		var all week
		last := 0
		for i := range a.rules {
			if !inforce.MatchesCaller(&a.rules[i], c) {
				continue
			}
			all.union(&a.hours[0][i])
			if len(a.rules[i].Windows) > 0 {
				last = i
			}
		}
		if s, ok := all.firstGap(a.offsets[last]); ok {
			return []balsampier.Problem{a.warn(last, fmt.Sprintf("callers such as %s are refused in some hours, first from %s %s", c, s, a.rules[last].Zone),
				"add a rule for these hours if they are to be served")}
		}
	}
	return nil
}

// representativeCallers returns one caller for each set of rules that can match
// a caller: for each prefix, an address in it that is outside all longer
// prefixes within it, if there is one.
func representativeCallers(rs []balsampier.Rule) []netip.Addr {
	var ps []netip.Prefix
	for _, r := range rs {
		ps = append(ps, r.From...)
	}
	slices.SortFunc(ps, func(a, b netip.Prefix) int {
		if c := a.Addr().Compare(b.Addr()); c != 0 {
			return c
		}
		return a.Bits() - b.Bits()
	})
	ps = slices.Compact(ps)
	var out []netip.Addr
	seen := make(map[string]bool)
	for i, p := range ps {
		a, ok := firstOutside(p, ps[i+1:])
		if k := matchKey(rs, a); ok && !seen[k] {
			seen[k] = true
			out = append(out, a)
		}
	}
	return out
}

// matchKey returns the set of rules that match the caller, as a map key.
func matchKey(rs []balsampier.Rule, c netip.Addr) string {
	b := make([]byte, len(rs))
	for i := range rs {
		if inforce.MatchesCaller(&rs[i], c) {
			b[i] = 1
		}
	}
	return string(b)
}

// firstOutside returns the first address of p that is in none of the inner
// prefixes, which must be those that follow p in sorted order.
func firstOutside(p netip.Prefix, inner []netip.Prefix) (netip.Addr, bool) {
	a := p.Addr()
	for _, q := range inner {
		if !p.Overlaps(q) || a.Less(q.Addr()) {
			break
		}
		if !q.Contains(a) {
			continue
		}
		a = lastAddr(q).Next()
		if !a.IsValid() || !p.Contains(a) {
			return netip.Addr{}, false
		}
	}
	return a, true
}

// lastAddr returns the last address of p.
func lastAddr(p netip.Prefix) netip.Addr {
	b := p.Addr().AsSlice()
	for i := p.Bits(); i < len(b)*8; i++ {
		b[i/8] |= 1 << (7 - i%8)
	}
	a, _ := netip.AddrFromSlice(b)
	return a
}
