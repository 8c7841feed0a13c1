package inforce

import (
	"net/netip"
	"time"

	"github.com/balsampier/balsampier/query/zonetable"
)

const (
	week = 7 * day
	// edgeDays are the local days whose edges can lie within a week of an
	// instant: the day before, for windows past midnight, up to a week on.
	edgeDays = 9
)

// NextChange returns the next instant after t at which the hours of some rule
// begin or end. Without one, no verdict changes any more.
func (t *Table) NextChange(at time.Time) (time.Time, bool) {
	var (
		next  time.Time
		found bool
	)
	for _, rs := range t.rules {
		for i := range rs {
			next, found = earlier(next, found, &rs[i], at)
		}
	}
	return next, found
}

// NextVerdict returns the next instant after at from which another rule, or
// none, is in force for packets from c to s.
func (t *Table) NextVerdict(s netip.AddrPort, c netip.Addr, at time.Time) (time.Time, bool) {
	c = c.Unmap().WithZone("")
	var rs []compiled
	for _, r := range t.of(s) {
		if FromCaller(&r.Rule, c) {
			rs = append(rs, r)
		}
	}
	now, last := first(rs, c, at), settled(rs, at)
	for !at.After(last) {
		var (
			next  time.Time
			found bool
		)
		for i := range rs {
			next, found = earlier(next, found, &rs[i], at)
		}
		if !found {
			return time.Time{}, false
		}
		if first(rs, c, next) != now {
			return next, true
		}
		at = next
	}
	return time.Time{}, false
}

// settled returns an instant by which every verdict repeats weekly and a
// whole week has been seen.
func settled(rs []compiled, at time.Time) time.Time {
	for _, r := range rs {
		if n := len(r.zone.Transitions); n > 0 && r.zone.Transitions[n-1].At.After(at) {
			at = r.zone.Transitions[n-1].At
		}
	}
	return at.Add(week)
}

func earlier(next time.Time, found bool, r *compiled, at time.Time) (time.Time, bool) {
	n, ok := r.nextFlip(at)
	if ok && (!found || n.Before(next)) {
		return n, true
	}
	return next, found
}

// nextFlip returns the next instant after at at which the hours of the rule
// begin or end. Between two transitions they repeat weekly, so that only the
// first week behind each transition needs a look.
func (c *compiled) nextFlip(at time.Time) (time.Time, bool) {
	if len(c.Windows) == 0 {
		return time.Time{}, false
	}
	was := c.open(at)
	for {
		n, more := zonetable.Next(c.zone, at)
		if e, ok := c.nextEdge(at, was); ok && (!more || e.Before(n.At)) {
			return e, true
		}
		if !more {
			return time.Time{}, false
		}
		at = n.At
		if c.open(at) != was {
			return at, true
		}
	}
}

// nextEdge returns the first instant within a week after at at which, under
// the offset of at, the hours are no longer as they were.
func (c *compiled) nextEdge(at time.Time, was bool) (time.Time, bool) {
	l := zonetable.Local(c.zone, at)
	o := zonetable.Offset(c.zone, at)
	midnight := l.Add(-sinceMidnight(l)).Add(-day)
	var (
		next  time.Time
		found bool
	)
	for range edgeDays {
		for _, w := range c.Windows {
			for _, e := range [...]time.Duration{w.Start, w.End} {
				x := midnight.Add(e)
				if !x.After(l) || (found && !x.Before(next)) || Open(c.Windows, x) == was {
					continue
				}
				next, found = x, true
			}
		}
		midnight = midnight.Add(day)
	}
	return next.Add(-o), found
}
