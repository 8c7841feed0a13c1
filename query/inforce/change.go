package inforce

import (
	"net/netip"
	"time"

	"github.com/balsampier/balsampier/query/zonetable"
)

const (
	week = 7 * day
	// boundaryDays is how many local days can have a window boundary within a
	// week of an instant: from the day before, for windows past midnight, to a
	// week later.
	boundaryDays = 9
)

// NextWindowBoundary returns the next instant after at at which any rule starts
// or stops to apply. If there is none, the rules in force never change again.
func (t *Table) NextWindowBoundary(at time.Time) (time.Time, bool) {
	var (
		next  time.Time
		found bool
	)
	for _, rs := range t.rules {
		for i := range rs {
			next, found = earliestBoundary(next, found, &rs[i], at)
		}
	}
	return next, found
}

// NextRuleChange returns the next instant after at from which a different rule,
// or none, is in force for packets from c to s.
func (t *Table) NextRuleChange(s netip.AddrPort, c netip.Addr, at time.Time) (time.Time, bool) {
	c = c.Unmap().WithZone("")
	var rs []compiledRule
	for _, r := range t.rulesOfAddress(s) {
		if MatchesCaller(&r.Rule, c) {
			rs = append(rs, r)
		}
	}
	now, last := firstMatch(rs, c, at), searchLimit(rs, at)
	for !at.After(last) {
		var (
			next  time.Time
			found bool
		)
		for i := range rs {
			next, found = earliestBoundary(next, found, &rs[i], at)
		}
		if !found {
			return time.Time{}, false
		}
		if firstMatch(rs, c, next) != now {
			return next, true
		}
		at = next
	}
	return time.Time{}, false
}

// searchLimit returns an instant by which the rules in force repeat weekly and
// a whole week of them has been searched.
func searchLimit(rs []compiledRule, at time.Time) time.Time {
	for _, r := range rs {
		if n := len(r.zone.Transitions); n > 0 && r.zone.Transitions[n-1].At.After(at) {
			at = r.zone.Transitions[n-1].At
		}
	}
	return at.Add(week)
}

func earliestBoundary(next time.Time, found bool, r *compiledRule, at time.Time) (time.Time, bool) {
	n, ok := r.nextBoundary(at)
	if ok && (!found || n.Before(next)) {
		return n, true
	}
	return next, found
}

// nextBoundary returns the next instant after at at which the rule starts or
// stops to apply. Windows repeat weekly between two transitions, so only the
// first week after each transition is searched.
func (c *compiledRule) nextBoundary(at time.Time) (time.Time, bool) {
	if len(c.Windows) == 0 {
		return time.Time{}, false
	}
	wasOpen := c.isOpen(at)
	for {
		n, more := zonetable.NextTransition(c.zone, at)
		if e, ok := c.nextBoundaryInWeek(at, wasOpen); ok && (!more || e.Before(n.At)) {
			return e, true
		}
		if !more {
			return time.Time{}, false
		}
		at = n.At
		if c.isOpen(at) != wasOpen {
			return at, true
		}
	}
}

// nextBoundaryInWeek returns the first instant within a week after at at which
// the windows, under the offset at that time, change from wasOpen.
func (c *compiledRule) nextBoundaryInWeek(at time.Time, wasOpen bool) (time.Time, bool) {
	l := zonetable.Local(c.zone, at)
	o := zonetable.Offset(c.zone, at)
	midnight := l.Add(-sinceMidnight(l)).Add(-day)
	var (
		next  time.Time
		found bool
	)
	for range boundaryDays {
		for _, w := range c.Windows {
			for _, e := range [...]time.Duration{w.Start, w.End} {
				x := midnight.Add(e)
				if !x.After(l) || (found && !x.Before(next)) || InWindows(c.Windows, x) == wasOpen {
					continue
				}
				next, found = x, true
			}
		}
		midnight = midnight.Add(day)
	}
	return next.Add(-o), found
}
