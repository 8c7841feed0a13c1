package members

import (
	"sort"

	"github.com/balsampier/balsampier"
)

// maxChanges bounds how many member changes a History keeps.
const maxChanges = 30_000

type (
	// History holds the newest view and the most recent changes that led to it.
	History struct {
		// view is the newest view.
		view balsampier.View
		// steps are the changes that led to view, oldest first; together they
		// hold at most maxChanges.
		steps []step
		// changeCount is the total number of changes in steps.
		changeCount int
	}

	step struct {
		from, to balsampier.Epoch
		changes  []change
	}
)

// NewHistory returns a history that starts with view v.
func NewHistory(v balsampier.View) *History { return &History{view: v} }

// View returns the newest view.
func (h *History) View() balsampier.View { return h.view }

// Add appends view v; it ignores views that are not newer than the newest.
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

// Delta returns the changes from epoch e to the newest view for a watcher with
// interest i. It returns a snapshot if the changes since e are no longer kept.
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

// Snapshot returns the whole newest view for a watcher with interest i.
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
