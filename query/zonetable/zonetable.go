// Package zonetable compiles the offsets of time zones into tables, so that
// all processes agree on them whatever zone data they were built with. Only
// the accepting instance compiles; everything else reads the tables.
package zonetable

import (
	"slices"
	"sort"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

const (
	// Horizon is how far ahead of its compilation a table follows the zone
	// data. Behind it, the last offset holds.
	Horizon = 10 * 366 * 24 * time.Hour
	// History is how far back of its compilation a table reaches. Before it,
	// the first offset holds.
	History = 366 * 24 * time.Hour

	// maxOffsetDifference is more than any two offsets differ by.
	maxOffsetDifference = 48 * time.Hour
	// scanInterval is less than the time between any two changes of a zone.
	scanInterval = 3 * time.Hour
)

// Change is a clock change with the instant at which it takes place.
type Change struct {
	balsampier.ClockChange
	// At is the first instant by which the clock has reached Local.
	At time.Time
	// Before is the offset until At.
	Before time.Duration
}

// Compile returns the table of every zone that the rules or the clock changes
// name, compiled at t from the built-in zone data. A clock change replaces
// whatever the data says of its zone from its instant on.
func Compile(rs []balsampier.Rule, ks []balsampier.ClockChange, t time.Time) ([]balsampier.ZoneTable, error) {
	return CompileFrom(BuiltIn{}, rs, ks, t)
}

// CompileFrom is Compile with the zone data d.
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

// Changes returns the clock changes of one zone with their instants, in the
// order in which they take place.
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

// Local returns t as the wall clock of the zone shows it, carried in UTC.
func Local(z balsampier.ZoneTable, t time.Time) time.Time {
	return t.UTC().Add(Offset(z, t))
}

// Next returns the first transition after t.
func Next(z balsampier.ZoneTable, t time.Time) (balsampier.Transition, bool) {
	for _, n := range z.Transitions[1:] {
		if n.At.After(t) {
			return n, true
		}
	}
	return balsampier.Transition{}, false
}

// Names returns the zones that the rules or the clock changes name, sorted.
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
	first := t.Add(-History)
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
	return balsampier.ZoneTable{Zone: name, Transitions: trim(ts, t.Add(-History))}, cs
}

// scanTransitions looks for changes of the offset stride by stride. The bounds that
// time.Location tells are not used: at the end of leap years that follow from
// a zone's rule alone, they lie before the time asked for.
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

// applyClockChange cuts ts at the first instant by which the clock has reached c.Local
// and appends the decreed offset. So a time that is skipped means the instant
// of the skip, a time that is repeated means its first pass, and a time at
// which the clock would be set back means that it is not.
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

// trim keeps the last transition of each instant, drops those that change
// nothing, and those before first but for the one that holds then.
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
