package place

import (
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// RecentFlows remembers the holders of flows that were just placed, so that a
	// repeated opening packet reaches the same one. It is serialized by its
	// caller.
	RecentFlows struct {
		// limit bounds each generation; positive.
		limit int
		// keep is how long an unused flow is remembered; positive.
		keep time.Duration
		// young and old are two generations; a flow that is used moves to
		// young. A flow is in one of them only.
		young, old map[balsampier.FlowKey]balsampier.Holder
		// turned is when young began.
		turned time.Time
	}
)

// NewRecentFlows returns a memory of at least limit and at most twice as many
// flows. A flow is known for keep after its last use, unless limit other flows
// came since, and never for longer than twice that.
func NewRecentFlows(limit int, keep time.Duration) *RecentFlows {
	return &RecentFlows{limit: limit, keep: keep, young: make(map[balsampier.FlowKey]balsampier.Holder)}
}

// FindHolder returns the holder of a flow.
func (r *RecentFlows) FindHolder(k balsampier.FlowKey, t time.Time) (balsampier.Holder, bool) {
	r.expire(t)
	h, ok := r.young[k]
	if ok {
		return h, true
	}
	if h, ok = r.old[k]; ok {
		r.StoreHolder(k, h, t)
	}
	return h, ok
}

// StoreHolder remembers the holder of a flow in place of any earlier one.
func (r *RecentFlows) StoreHolder(k balsampier.FlowKey, h balsampier.Holder, t time.Time) {
	r.expire(t)
	if _, known := r.young[k]; !known && len(r.young) >= r.limit {
		r.turn(t)
	}
	delete(r.old, k)
	r.young[k] = h
}

// Len returns how many flows are remembered.
func (r *RecentFlows) Len() int { return len(r.young) + len(r.old) }

// expire ends generations by when they began, not by when they were last
// looked at, so that a flow lasts for two of them at most.
func (r *RecentFlows) expire(t time.Time) {
	switch d := t.Sub(r.turned); {
	case d >= 2*r.keep:
		r.turn(t)
		r.old = nil
	case d >= r.keep:
		r.turn(r.turned.Add(r.keep))
	}
}

func (r *RecentFlows) turn(t time.Time) {
	r.old, r.young, r.turned = r.young, make(map[balsampier.FlowKey]balsampier.Holder), t
}
