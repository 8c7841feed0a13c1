package register

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// MinRetryInterval is the interval before the first resend of a batch.
	MinRetryInterval = 20 * time.Millisecond
	// ReopenDelay is how long a holder does not reopen a flow that has ended.
	// It exceeds the time that packets may be in flight.
	ReopenDelay = 30 * time.Second
	// MaxRetryInterval is the longest interval between resends of a batch.
	MaxRetryInterval = time.Second
)

type (
	// Registrar tracks the flows of a holder and registers them with their
	// homes. Only one batch to each home is in flight at a time, so that
	// changes to a flow cannot overtake each other. It is not safe for
	// concurrent use.
	Registrar struct {
		self  balsampier.Holder
		epoch balsampier.Epoch
		homes Homes
		// flows holds, for each own flow, the homes that it is registered with.
		flows  map[balsampier.FlowKey][]balsampier.Holder
		queues map[balsampier.Holder]*homeQueue
		// ended holds the flows that ended less than ReopenDelay ago;
		// endedOrder lists them from the oldest to the newest.
		ended      map[balsampier.FlowKey]struct{}
		endedOrder []timedFlow
	}

	// Homes returns the homes of a flow under the current view and rules.
	Homes func(balsampier.FlowKey) []balsampier.Holder

	// homeQueue holds the changes to be sent to one home.
	homeQueue struct {
		// sequence is the sequence number of the newest batch.
		sequence uint64
		// queue holds the changes that are not yet in a batch.
		queue []Entry
		// inFlight is the batch that is not yet acknowledged; it has no entries
		// if there is none.
		inFlight Batch
		// sends counts how often inFlight was sent.
		sends int
		// resendAt is when inFlight is sent again.
		resendAt time.Time
	}
)

// NewRegistrar returns the registrar of the agent run h.
func NewRegistrar(h balsampier.Holder) *Registrar {
	return &Registrar{
		self:   h,
		homes:  func(balsampier.FlowKey) []balsampier.Holder { return nil },
		flows:  make(map[balsampier.FlowKey][]balsampier.Holder),
		queues: make(map[balsampier.Holder]*homeQueue),
		ended:  make(map[balsampier.FlowKey]struct{}),
	}
}

// Holds reports whether this run holds flow k.
func (r *Registrar) Holds(k balsampier.FlowKey) bool {
	_, ok := r.flows[k]
	return ok
}

// Len returns the number of flows that this run holds.
func (r *Registrar) Len() int { return len(r.flows) }

// Open adds a flow to those of this run and registers it with its homes.
func (r *Registrar) Open(k balsampier.FlowKey) {
	if r.Holds(k) {
		return
	}
	r.flows[k] = nil
	r.updateHomes(k)
}

// RecentlyEnded reports whether flow k was held by this run and ended less than
// ReopenDelay before t.
func (r *Registrar) RecentlyEnded(k balsampier.FlowKey, t time.Time) bool {
	n := 0
	for n < len(r.endedOrder) && t.Sub(r.endedOrder[n].at) >= ReopenDelay {
		delete(r.ended, r.endedOrder[n].flow)
		n++
	}
	r.endedOrder = r.endedOrder[n:]
	_, ok := r.ended[k]
	return ok
}

// Close removes a flow from those of this run and informs its homes.
func (r *Registrar) Close(k balsampier.FlowKey, t time.Time) {
	if !r.Holds(k) {
		return
	}
	r.ended[k] = struct{}{}
	r.endedOrder = append(r.endedOrder, timedFlow{flow: k, at: t})
	for _, h := range r.flows[k] {
		r.enqueue(h, Entry{Flow: k, Ended: true})
	}
	delete(r.flows, k)
}

// Adopt switches to epoch e and the homes f. Flows are registered with their
// new homes and removed from the old ones. Changes queued for homes that left
// the view are discarded.
func (r *Registrar) Adopt(e balsampier.Epoch, alive func(balsampier.Holder) bool, f Homes) {
	r.epoch, r.homes = e, f
	for h := range r.queues {
		if !alive(h) {
			delete(r.queues, h)
		}
	}
	for k := range r.flows {
		r.updateHomes(k)
	}
}

// updateHomes registers the flow with its new homes, and informs those live
// homes that are no longer a home of it.
func (r *Registrar) updateHomes(k balsampier.FlowKey) {
	now := r.homes(k)
	for _, h := range r.flows[k] {
		if _, ok := r.queues[h]; ok && !slices.Contains(now, h) {
			r.enqueue(h, Entry{Flow: k, Moved: true})
		}
	}
	for _, h := range now {
		if !slices.Contains(r.flows[k], h) {
			r.enqueue(h, Entry{Flow: k})
		}
	}
	r.flows[k] = now
}

func (r *Registrar) enqueue(h balsampier.Holder, e Entry) {
	if h == r.self {
		return
	}
	p := r.queues[h]
	if p == nil {
		p = &homeQueue{}
		r.queues[h] = p
	}
	p.queue = append(p.queue, e)
}

// DueBatches returns the batches to send at t. A batch is resent with
// exponential backoff and jitter until it is acknowledged.
func (r *Registrar) DueBatches(t time.Time, x balsampier.Random) []Batch {
	var bs []Batch
	for _, h := range r.PendingHomes() {
		p := r.queues[h]
		if len(p.inFlight.Entries) == 0 {
			p.nextBatch(r.self, h, r.epoch)
		}
		if t.Before(p.resendAt) {
			continue
		}
		p.resendAt = t.Add(retryInterval(p.sends, x))
		p.sends++
		bs = append(bs, p.inFlight)
	}
	return bs
}

// nextBatch moves queued changes into a new batch.
func (p *homeQueue) nextBatch(self, home balsampier.Holder, e balsampier.Epoch) {
	n := min(len(p.queue), MaxBatch)
	p.sequence++
	p.inFlight = Batch{From: self, To: home, Sequence: p.sequence, Epoch: e, Entries: slices.Clone(p.queue[:n])}
	p.queue = slices.Delete(p.queue, 0, n)
	p.sends, p.resendAt = 0, time.Time{}
}

// HandleAck processes an acknowledgement. It returns those of its conflicts
// that are flows of this run: another live agent has registered them too.
func (r *Registrar) HandleAck(a Ack) []balsampier.FlowKey {
	p := r.queues[a.From]
	if a.To != r.self || p == nil || a.Sequence != p.inFlight.Sequence {
		return nil
	}
	p.inFlight = Batch{}
	return slices.DeleteFunc(a.Conflicts, func(k balsampier.FlowKey) bool { return !r.Holds(k) })
}

// PendingHomes returns, in a fixed order, the homes that have not acknowledged
// all changes. The holder acknowledges a view once there are none, or lists
// them in its acknowledgement.
func (r *Registrar) PendingHomes() []balsampier.Holder {
	var hs []balsampier.Holder
	for h, p := range r.queues {
		if len(p.inFlight.Entries) > 0 || len(p.queue) > 0 {
			hs = append(hs, h)
		}
	}
	slices.SortFunc(hs, compareHolders)
	return hs
}

// Next returns when the next batch is due; false if none is pending.
func (r *Registrar) Next() (time.Time, bool) {
	var (
		n  time.Time
		ok bool
	)
	for _, p := range r.queues {
		d := p.resendAt
		if len(p.inFlight.Entries) == 0 {
			if len(p.queue) == 0 {
				continue
			}
			d = time.Time{}
		}
		if !ok || d.Before(n) {
			n, ok = d, true
		}
	}
	return n, ok
}

// retryInterval returns the delay after the given number of attempts. It grows
// exponentially from MinRetryInterval to MaxRetryInterval, and up to half of it
// is random.
func retryInterval(attempts int, x balsampier.Random) time.Duration {
	d := MaxRetryInterval
	if attempts < 6 {
		d = min(MinRetryInterval<<attempts, MaxRetryInterval)
	}
	return d/2 + time.Duration(x.Uint64()%uint64(d/2))
}

func compareHolders(a, b balsampier.Holder) int {
	switch {
	case a == b:
		return 0
	case a.Instance < b.Instance || (a.Instance == b.Instance && a.Incarnation < b.Incarnation):
		return -1
	default:
		return 1
	}
}
