// Package members answers watchers' queries about the rules and the membership:
// the changes between two versions, the next message to send within a byte
// budget, and how far a revision has been rolled out.
package members

import (
	"slices"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

type (
	// change is the change of one member between two views.
	change struct {
		// before is the earlier version; its ID is zero if the member joined.
		before balsampier.Member
		// after is the later version; its ID is zero if the member left.
		after balsampier.Member
	}
)

// Apply returns v with the changes of d applied. It fails with KindConflict if
// d does not start from the epoch of v; the watcher then needs a snapshot.
func Apply(v balsampier.View, d Delta) (balsampier.View, error) {
	if d.From == 0 {
		v = balsampier.View{}
	}
	if d.From != v.Epoch || d.To < d.From {
		return v, trace.Wrap(balsampier.NewError(balsampier.KindConflict, "apply view delta",
			"request a snapshot", nil), "delta from epoch %d to %d does not apply to epoch %d", d.From, d.To, v.Epoch)
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

// diff returns the changes from a to b, sorted by ID. Both must be sorted by
// ID.
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

// compose merges the changes x and the later changes y into one list.
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
