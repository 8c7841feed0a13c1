package check

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/query/zonetable"
)

const (
	day = 24 * time.Hour
	// expiryWarningWindow is how long before the tables end operators are
	// warned.
	expiryWarningWindow = 366 * day
)

// Expiring warns of zones whose tables, compiled at c, end soon after t, unless
// their last transition is long before the end, as in zones without further
// clock changes.
func Expiring(rs []balsampier.Rule, zs []balsampier.ZoneTable, c, t time.Time) []balsampier.Problem {
	end := c.Add(zonetable.Horizon)
	if t.Before(end.Add(-expiryWarningWindow)) {
		return nil
	}
	var ps []balsampier.Problem
	for _, z := range zs {
		last := z.Transitions[len(z.Transitions)-1].At
		if last.Before(end.Add(-2 * expiryWarningWindow)) {
			continue
		}
		for _, r := range rs {
			if r.Zone != z.Zone {
				continue
			}
			ps = append(ps, balsampier.Problem{
				Line: r.Line, Column: int(r.Columns.Zone), Found: z.Zone, Warning: true,
				Message: fmt.Sprintf("the zone's table ends on %s and its last offset holds from then on", end.UTC().Format(dateLayout)),
				Remedy:  "submit the file again, so that its zones are compiled anew",
			})
			break
		}
	}
	return sortProblems(ps)
}

func checkClockChanges(d balsampier.ZoneData, rs []balsampier.Rule, ks []balsampier.ClockChange, t time.Time) ([]balsampier.Problem, error) {
	var ps []balsampier.Problem
	for _, n := range zonetable.Names(rs, ks) {
		cs, err := zonetable.Changes(d, n, ks, t)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for i, c := range cs {
			ps = append(ps, checkClockChange(c, t)...)
			if i > 0 && !c.At.After(cs[i-1].At) {
				ps = append(ps, clockProblem(c, false,
					fmt.Sprintf("the change takes place no later than that of line %d, which comes before it on the clock", cs[i-1].Line),
					"keep one of the two lines"))
			}
		}
	}
	return ps, nil
}

// checkClockChange returns the problems of a single clock change.
func checkClockChange(c zonetable.Change, t time.Time) []balsampier.Problem {
	if !c.At.Before(t.Add(zonetable.Horizon)) {
		return []balsampier.Problem{clockProblem(c, false, "the change lies beyond the zone tables",
			"write a time before "+t.Add(zonetable.Horizon).UTC().Format(dateLayout)+", and submit later changes when they are near")}
	}
	if c.Local.Before(t.Add(-zonetable.Horizon)) {
		return []balsampier.Problem{clockProblem(c, false, "the change lies too far back",
			"delete the line, or write a time after "+t.Add(-zonetable.Horizon).UTC().Format(dateLayout))}
	}
	var ps []balsampier.Problem
	if l := c.At.UTC().Add(c.Before); !l.Equal(c.Local) {
		ps = append(ps, clockProblem(c, true, "the clock never shows this time; the change takes place at the skip, "+c.At.UTC().Format(time.RFC3339),
			"write the time that the clock shows right before the change"))
	}
	if c.Offset == c.Before {
		ps = append(ps, clockProblem(c, true, "the offset is the one that holds already; only built-in changes of the zone are cancelled from here on",
			"check the offset against the decree"))
	}
	if (c.Offset - c.Before).Abs() > 3*time.Hour {
		ps = append(ps, clockProblem(c, true, fmt.Sprintf("the clock moves by %s", c.Offset-c.Before), "check the offset against the decree"))
	}
	return ps
}

func clockProblem(c zonetable.Change, warning bool, message, remedy string) balsampier.Problem {
	return balsampier.Problem{
		Line: c.Line, Column: int(c.Columns.Local), Found: c.Local.Format(localLayout),
		Message: message, Remedy: remedy, Warning: warning,
	}
}

// skippedWindows warns of windows that match nothing on some day because a
// clock change skips all of their hours.
func skippedWindows(rs []balsampier.Rule, zs []balsampier.ZoneTable, t time.Time) []balsampier.Problem {
	var ps []balsampier.Problem
	for _, r := range rs {
		for _, z := range zs {
			if z.Zone != r.Zone {
				continue
			}
			for _, w := range r.Windows {
				if p, ok := skippedWindow(r, w, z, t); ok {
					ps = append(ps, p)
				}
			}
		}
	}
	return ps
}

func skippedWindow(r balsampier.Rule, w balsampier.Window, z balsampier.ZoneTable, t time.Time) (balsampier.Problem, bool) {
	for i := 1; i < len(z.Transitions); i++ {
		n := z.Transitions[i]
		before, after := n.At.Add(z.Transitions[i-1].Offset), n.At.Add(n.Offset)
		if n.At.Before(t) || !after.After(before) || !liesWithin(w, before, after) {
			continue
		}
		return balsampier.Problem{
			Line: r.Line, Column: int(w.Column), Found: formatWindow(w), Warning: true,
			Message: fmt.Sprintf("the hours match nothing when the clocks skip from %s to %s",
				before.UTC().Format(localLayout), after.UTC().Format(localLayout)),
			Remedy: "add hours outside of the skip if the service is needed on that day",
		}, true
	}
	return balsampier.Problem{}, false
}

// liesWithin reports whether the window, on some day, lies entirely between
// the local times b and a.
func liesWithin(w balsampier.Window, b, a time.Time) bool {
	end := w.End
	if end <= w.Start {
		end += day
	}
	b, a = b.UTC(), a.UTC()
	for m := b.Truncate(day).Add(-day); m.Before(a); m = m.Add(day) {
		if w.Days.Has(m.Weekday()) && !m.Add(w.Start).Before(b) && !m.Add(end).After(a) {
			return true
		}
	}
	return false
}

func formatWindow(w balsampier.Window) string {
	at := func(d time.Duration) string { return fmt.Sprintf("%02d:%02d", d/time.Hour, d%time.Hour/time.Minute) }
	return at(w.Start) + "-" + at(w.End)
}
