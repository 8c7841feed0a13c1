package members

import (
	"sort"

	"github.com/balsampier/balsampier"
)

// maxChanges bounds the changes that a History keeps.
const maxChanges = 30_000

type (
	// History keeps the newest view and the changes that led to it.
	History struct {
		// view is the newest view.
		view balsampier.View
		// steps lead to view, oldest first; they hold at most maxChanges
		// changes.
		steps []step
		// changeCount counts the changes in steps.
		changeCount int
	}

	step struct {
		from, to balsampier.Epoch
		changes  []change
	}
)

// NewHistory returns the history that begins with view v.
func NewHistory(v balsampier.View) *History { return &History{view: v} }

// View returns the newest view.
func (h *History) View() balsampier.View { return h.view }

// Add takes a newer view; older ones are ignored.
func (h *History) Add(v balsampier.View) {
	if v.Epoch <= h.view.Epoch {
		return
	}
	s := step{from: h.view.Epoch, to: v.Epoch, changes: diff(h.view.Members, v.Members)}
	h.view, h.steps, h.changeCount = v, append(h.steps, s), h.changeCount+len(s.changes)
	for h.changeCount > maxChanges {
		h.changeCount -= len(h.steps[0].changes)
		h.steps = h.steps[1:]
	}
}

// Delta returns what leads a watcher with interest i from epoch e to the
// newest view: a snapshot when the changes since e are not known any more.
func (h *History) Delta(e balsampier.Epoch, i Interest) Delta {
	if e == h.view.Epoch {
		return Delta{From: e, To: e}
	}
	n := sort.Search(len(h.steps), func(n int) bool { return h.steps[n].from >= e })
	if e > 0 && n < len(h.steps) && h.steps[n].from == e {
		return h.deltaFrom(n, i)
	}
	return h.Snapshot(i)
}

// Snapshot returns the newest view for a watcher that has none.
func (h *History) Snapshot(i Interest) Delta {
	d := Delta{To: h.view.Epoch}
	for _, m := range h.view.Members {
		if i.Includes(m) {
			d.Changed = append(d.Changed, m)
		}
	}
	return d
}

func (h *History) deltaFrom(n int, i Interest) Delta {
	all := h.steps[n].changes
	for _, s := range h.steps[n+1:] {
		all = compose(all, s.changes)
	}
	d := Delta{From: h.steps[n].from, To: h.view.Epoch}
	for _, c := range all {
		switch {
		case c.after.ID != 0 && i.Includes(c.after):
			d.Changed = append(d.Changed, c.after)
		case c.before.ID != 0 && i.Includes(c.before):
			d.Removed = append(d.Removed, c.before.ID)
		}
	}
	return d
}
