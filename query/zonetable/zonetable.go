// Package zonetable compiles the UTC offsets of time zones into tables. Only
// the instance that accepts a rule file compiles tables; all other processes
// use these tables, so that they agree regardless of their own zone data.
package zonetable

import (
	"slices"
	"sort"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

const (
	// Horizon is how long after its compilation a table follows the zone data.
	// From then on the last offset applies.
	Horizon = 10 * 366 * 24 * time.Hour
	// Lookback is how long before its compilation a table begins. Before then
	// the first offset applies.
	Lookback = 366 * 24 * time.Hour

	// maxOffsetDifference is more than the difference between any two offsets.
	maxOffsetDifference = 48 * time.Hour
	// scanInterval is less than the time between any two changes of a zone.
	scanInterval = 3 * time.Hour
)

// Change is a clock change and the instant at which it takes effect.
type Change struct {
	balsampier.ClockChange
	// At is the first instant at which the wall clock has reached Local.
	At time.Time
	// Before is the offset before At.
	Before time.Duration
}

// Compile returns the table of each zone named in the rules or the clock
// changes, compiled at time t from the built-in zone data. A clock change
// overrides all zone data for its zone from the instant at which it takes
// effect.
func Compile(rs []balsampier.Rule, ks []balsampier.ClockChange, t time.Time) ([]balsampier.ZoneTable, error) {
	return CompileFrom(BuiltIn{}, rs, ks, t)
}

// CompileFrom is like Compile but uses the zone data d.
func CompileFrom(d balsampier.ZoneData, rs []balsampier.Rule, ks []balsampier.ClockChange, t time.Time) ([]balsampier.ZoneTable, error) {
	var zs []balsampier.ZoneTable
	for _, n := range Names(rs, ks) {
		l, err := d.Location(n)
		if err != nil {
			return nil, trace.Wrap(balsampier.NewError(balsampier.KindInvalid, "compile zone "+n,
				"use an IANA name that this instance knows, such as America/Lima", err))
		}
		z, _ := compileZone(l, n, ks, t)
		zs = append(zs, z)
	}
	return zs, nil
}

// Changes returns the clock changes of one zone and their instants, ordered by
// local time.
func Changes(d balsampier.ZoneData, name string, ks []balsampier.ClockChange, t time.Time) ([]Change, error) {
	l, err := d.Location(name)
	if err != nil {
		return nil, trace.Wrap(err, "load zone %s", name)
	}
	_, cs := compileZone(l, name, ks, t)
	return cs, nil
}

// Offset returns the offset east of UTC at time t.
func Offset(z balsampier.ZoneTable, t time.Time) time.Duration {
	i := sort.Search(len(z.Transitions), func(i int) bool { return z.Transitions[i].At.After(t) })
	return z.Transitions[max(i-1, 0)].Offset
}

// Local returns the wall-clock time of the zone at t, with UTC as its
// time.Location.
func Local(z balsampier.ZoneTable, t time.Time) time.Time {
	return t.UTC().Add(Offset(z, t))
}

// NextTransition returns the first transition after t, and whether there is one.
func NextTransition(z balsampier.ZoneTable, t time.Time) (balsampier.Transition, bool) {
	for _, n := range z.Transitions[1:] {
		if n.At.After(t) {
			return n, true
		}
	}
	return balsampier.Transition{}, false
}

// Names returns the sorted names of the zones in the rules and clock changes.
func Names(rs []balsampier.Rule, ks []balsampier.ClockChange) []string {
	var ns []string
	for _, r := range rs {
		if r.Zone != "" {
			ns = append(ns, r.Zone)
		}
	}
	for _, k := range ks {
		ns = append(ns, k.Zone)
	}
	slices.Sort(ns)
	return slices.Compact(ns)
}

func compileZone(l *time.Location, name string, ks []balsampier.ClockChange, t time.Time) (balsampier.ZoneTable, []Change) {
	var cs []Change
	for _, k := range ks {
		if k.Zone == name {
			cs = append(cs, Change{ClockChange: k})
		}
	}
	slices.SortStableFunc(cs, func(a, b Change) int { return a.Local.Compare(b.Local) })
	first := t.Add(-Lookback)
	if len(cs) > 0 && cs[0].Local.Add(-maxOffsetDifference).Before(first) {
		first = cs[0].Local.Add(-maxOffsetDifference)
	}
	if oldest := t.Add(-Horizon - maxOffsetDifference); first.Before(oldest) {
		first = oldest
	}
	ts := scanTransitions(l, first, t.Add(Horizon))
	for i := range cs {
		ts = applyClockChange(ts, &cs[i])
	}
	return balsampier.ZoneTable{Zone: name, Transitions: trim(ts, t.Add(-Lookback))}, cs
}

// scanTransitions finds the offset changes by sampling at every scanInterval.
// It does not use time.Time.ZoneBounds, whose bounds are wrong for zones that
// are defined by a rule alone: at the end of leap years they lie before the
// queried time.
func scanTransitions(l *time.Location, first, until time.Time) []balsampier.Transition {
	at := first.UTC().Truncate(time.Second)
	ts := []balsampier.Transition{transitionAt(at, l)}
	o := ts[0].Offset
	for ; at.Before(until); at = at.Add(scanInterval) {
		next := transitionAt(at.Add(scanInterval), l).Offset
		if next == o {
			continue
		}
		n := sort.Search(int(scanInterval/time.Second), func(i int) bool {
			return transitionAt(at.Add(time.Duration(i)*time.Second), l).Offset != o
		})
		ts = append(ts, transitionAt(at.Add(time.Duration(n)*time.Second), l))
		o = next
	}
	return ts
}

func transitionAt(t time.Time, l *time.Location) balsampier.Transition {
	_, s := t.In(l).Zone()
	return balsampier.Transition{At: t, Offset: time.Duration(s) * time.Second}
}

// applyClockChange truncates ts at the first instant at which the wall clock
// has reached c.Local, and appends the decreed offset. If the local time is
// skipped, the change takes effect at the skip; if it is repeated, at its first
// occurrence; and if the clock would be set back at that time, it is not.
func applyClockChange(ts []balsampier.Transition, c *Change) []balsampier.Transition {
	for i, t := range ts {
		c.At = c.Local.Add(-t.Offset)
		if c.At.Before(t.At) {
			c.At = t.At
		}
		if i < len(ts)-1 && c.At.After(ts[i+1].At) {
			continue
		}
		for i > 0 && !ts[i].At.Before(c.At) {
			i--
		}
		c.Before = ts[i].Offset
		return append(ts[:i+1], balsampier.Transition{At: c.At, Offset: c.Offset})
	}
	return ts
}

// trim keeps only the last of several transitions at the same instant. It drops
// transitions that do not change the offset, and all before first except the
// one that applies at first.
func trim(ts []balsampier.Transition, first time.Time) []balsampier.Transition {
	var out []balsampier.Transition
	for i, t := range ts {
		if i < len(ts)-1 && !ts[i+1].At.After(t.At) {
			continue
		}
		if n := len(out); n > 0 && !t.At.After(first) {
			out = out[:n-1]
		}
		if n := len(out); n > 0 && out[n-1].Offset == t.Offset {
			continue
		}
		out = append(out, t)
	}
	return out
}
