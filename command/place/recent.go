package place

import (
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// RecentFlows caches the holders of recently placed flows, so that a
	// retransmitted opening packet reaches the same holder. It is not safe for
	// concurrent use.
	RecentFlows struct {
		// limit is the maximum number of flows in a generation; positive.
		limit int
		// ttl is how long an unused flow is kept; positive.
		ttl time.Duration
		// current and previous are the two generations of the cache. A flow is
		// in at most one of them and moves to current when it is used.
		current, previous map[balsampier.FlowKey]balsampier.Holder
		// rotatedAt is when the current generation began.
		rotatedAt time.Time
	}
)

// NewRecentFlows returns a cache of at least limit and at most twice as many
// flows. A flow is kept for at least ttl after its last use, unless limit other
// flows were used since, and for at most twice the ttl.
func NewRecentFlows(limit int, ttl time.Duration) *RecentFlows {
	return &RecentFlows{limit: limit, ttl: ttl, current: make(map[balsampier.FlowKey]balsampier.Holder)}
}

// FindHolder returns the holder of flow k and marks the flow as used at t.
func (r *RecentFlows) FindHolder(k balsampier.FlowKey, t time.Time) (balsampier.Holder, bool) {
	r.expire(t)
	h, ok := r.current[k]
	if ok {
		return h, true
	}
	if h, ok = r.previous[k]; ok {
		r.StoreHolder(k, h, t)
	}
	return h, ok
}

// StoreHolder sets the holder of flow k and marks the flow as used at t.
func (r *RecentFlows) StoreHolder(k balsampier.FlowKey, h balsampier.Holder, t time.Time) {
	r.expire(t)
	if _, known := r.current[k]; !known && len(r.current) >= r.limit {
		r.rotateGenerations(t)
	}
	delete(r.previous, k)
	r.current[k] = h
}

// Len returns the number of cached flows.
func (r *RecentFlows) Len() int { return len(r.current) + len(r.previous) }

// expire rotates the generations that have expired. It goes by when a
// generation began rather than by the last access, so that a flow stays for two
// generations at most.
func (r *RecentFlows) expire(t time.Time) {
	switch d := t.Sub(r.rotatedAt); {
	case d >= 2*r.ttl:
		r.rotateGenerations(t)
		r.previous = nil
	case d >= r.ttl:
		r.rotateGenerations(r.rotatedAt.Add(r.ttl))
	}
}

func (r *RecentFlows) rotateGenerations(t time.Time) {
	r.previous, r.current, r.rotatedAt = r.current, make(map[balsampier.FlowKey]balsampier.Holder), t
}
