// Package zonetable compiles the offsets of time zones into tables, so that
// all processes agree on them whatever zone data they were built with.
package zonetable

import (
	"slices"
	"sort"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

// Horizon is how far before and after its compilation a table reaches.
const Horizon = 10 * 366 * 24 * time.Hour

// Compile returns the table of every zone that the rules or the clock changes
// name, valid for Horizon around t. A clock change replaces whatever the
// built-in data says of its zone after it.
func Compile(rs []balsampier.Rule, ks []balsampier.ClockChange, t time.Time) ([]balsampier.ZoneTable, error) {
	var zs []balsampier.ZoneTable
	for _, n := range names(rs, ks) {
		l, err := time.LoadLocation(n)
		if err != nil {
			return nil, trace.Wrap(err, "load zone %s", n)
		}
		ts := builtIn(l, t)
		for _, k := range changesOf(ks, n) {
			ts = override(ts, k)
		}
		zs = append(zs, balsampier.ZoneTable{Zone: n, Transitions: ts})
	}
	return zs, nil
}

// Offset returns the offset east of UTC at time t.
func Offset(z balsampier.ZoneTable, t time.Time) time.Duration {
	i := sort.Search(len(z.Transitions), func(i int) bool { return z.Transitions[i].At.After(t) })
	return z.Transitions[max(i-1, 0)].Offset
}

func names(rs []balsampier.Rule, ks []balsampier.ClockChange) []string {
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

func changesOf(ks []balsampier.ClockChange, zone string) []balsampier.ClockChange {
	var out []balsampier.ClockChange
	for _, k := range ks {
		if k.Zone == zone {
			out = append(out, k)
		}
	}
	slices.SortStableFunc(out, func(a, b balsampier.ClockChange) int { return a.Local.Compare(b.Local) })
	return out
}

func builtIn(l *time.Location, t time.Time) []balsampier.Transition {
	at, until := t.Add(-Horizon).UTC().Truncate(time.Second), t.Add(Horizon)
	ts := []balsampier.Transition{transition(at, l)}
	for {
		_, end := at.In(l).ZoneBounds()
		if end.IsZero() || end.After(until) {
			return ts
		}
		at = end.UTC()
		ts = append(ts, transition(at, l))
	}
}

func transition(t time.Time, l *time.Location) balsampier.Transition {
	_, s := t.In(l).Zone()
	return balsampier.Transition{At: t, Offset: time.Duration(s) * time.Second}
}

// override cuts ts at the instant of k and appends the decreed offset.
func override(ts []balsampier.Transition, k balsampier.ClockChange) []balsampier.Transition {
	for i, t := range ts {
		at := k.Local.Add(-t.Offset)
		last := i == len(ts)-1
		if at.Before(t.At) && i > 0 {
			at = t.At
		}
		if last || at.Before(ts[i+1].At) {
			return append(slices.Clone(ts[:i+1]), balsampier.Transition{At: at, Offset: k.Offset})
		}
	}
	return ts
}
