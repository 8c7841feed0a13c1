// Package members answers what watchers need to know of rules and membership:
// deltas between views, what to send next within a byte budget, and how far a
// revision is rolled out.
package members

import (
	"slices"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

type (
	// change is what happened to one member between two views.
	change struct {
		// before has a zero ID for a member that joined.
		before balsampier.Member
		// after has a zero ID for a member that left.
		after balsampier.Member
	}
)

// Apply returns the view after the delta. The error is of KindConflict when
// the delta does not start at v; a snapshot is needed then.
func Apply(v balsampier.View, d Delta) (balsampier.View, error) {
	if d.From == 0 {
		v = balsampier.View{}
	}
	if d.From != v.Epoch || d.To < d.From {
		return v, trace.Wrap(balsampier.NewError(balsampier.KindConflict, "apply view delta",
			"ask for a snapshot", nil), "delta from epoch %d to %d on epoch %d", d.From, d.To, v.Epoch)
	}
	out := make([]balsampier.Member, 0, len(v.Members)+len(d.Changed))
	changed := d.Changed
	for _, m := range v.Members {
		for len(changed) > 0 && changed[0].ID < m.ID {
			out, changed = append(out, changed[0]), changed[1:]
		}
		if len(changed) > 0 && changed[0].ID == m.ID {
			continue
		}
		if _, ok := slices.BinarySearch(d.Removed, m.ID); !ok {
			out = append(out, m)
		}
	}
	return balsampier.View{Epoch: d.To, Members: append(out, changed...)}, nil
}

// diff returns the changes from a to b, sorted by ID.
func diff(a, b []balsampier.Member) []change {
	var out []change
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].ID < b[0].ID:
			out, a = append(out, change{before: a[0]}), a[1:]
		case len(a) == 0 || b[0].ID < a[0].ID:
			out, b = append(out, change{after: b[0]}), b[1:]
		default:
			if a[0] != b[0] {
				out = append(out, change{before: a[0], after: b[0]})
			}
			a, b = a[1:], b[1:]
		}
	}
	return out
}

// compose returns the changes of x followed by those of y.
func compose(x, y []change) []change {
	out := make([]change, 0, len(x)+len(y))
	for len(x) > 0 || len(y) > 0 {
		switch {
		case len(y) == 0 || len(x) > 0 && x[0].id() < y[0].id():
			out, x = append(out, x[0]), x[1:]
		case len(x) == 0 || y[0].id() < x[0].id():
			out, y = append(out, y[0]), y[1:]
		default:
			if c := (change{before: x[0].before, after: y[0].after}); c.before != c.after {
				out = append(out, c)
			}
			x, y = x[1:], y[1:]
		}
	}
	return out
}

func (c change) id() balsampier.InstanceID { return max(c.before.ID, c.after.ID) }
