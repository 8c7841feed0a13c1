package register

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// MinRetryInterval is the first interval between sends of a batch.
	MinRetryInterval = 20 * time.Millisecond
	// ReopenDelay is how long a holder doesn't open a flow again that ended. It
	// exceeds the time for which packets stay on their way.
	ReopenDelay = 30 * time.Second
	// MaxRetryInterval is the longest interval between sends of a batch.
	MaxRetryInterval = time.Second
)

type (
	// Registrar is a holder's account of its flows and of which homes know
	// them. To each home one batch is on its way at a time, so that changes of
	// a flow can't overtake each other.
	Registrar struct {
		self  balsampier.Holder
		epoch balsampier.Epoch
		homes Homes
		// flows holds the homes that each own flow was announced to.
		flows map[balsampier.FlowKey][]balsampier.Holder
		peers map[balsampier.Holder]*peer
		// ended holds the flows that ended less than Quiet ago; order has them
		// by age.
		ended map[balsampier.FlowKey]struct{}
		order []placement
	}

	// Homes returns the homes of a flow under the current view and rules.
	Homes func(balsampier.FlowKey) []balsampier.Holder

	// peer is one home that the registrar speaks to.
	peer struct {
		// sequence is that of the last batch made.
		sequence uint64
		// queue holds the changes that are in no batch yet.
		queue []Entry
		// sent is the batch on its way; without entries when there is none.
		sent Batch
		// attempts counts the sends of sent.
		attempts int
		// due is when sent is sent again.
		due time.Time
	}
)

// NewRegistrar returns the registrar of a run of an agent.
func NewRegistrar(h balsampier.Holder) *Registrar {
	return &Registrar{
		self:  h,
		homes: func(balsampier.FlowKey) []balsampier.Holder { return nil },
		flows: make(map[balsampier.FlowKey][]balsampier.Holder),
		peers: make(map[balsampier.Holder]*peer),
		ended: make(map[balsampier.FlowKey]struct{}),
	}
}

// Holds reports whether the flow is an own one.
func (r *Registrar) Holds(k balsampier.FlowKey) bool {
	_, ok := r.flows[k]
	return ok
}

// Len returns the number of own flows.
func (r *Registrar) Len() int { return len(r.flows) }

// Open adds an own flow.
func (r *Registrar) Open(k balsampier.FlowKey) {
	if r.Holds(k) {
		return
	}
	r.flows[k] = nil
	r.move(k)
}

// RecentlyEnded reports whether the flow was an own one and ended a short while ago.
func (r *Registrar) RecentlyEnded(k balsampier.FlowKey, t time.Time) bool {
	n := 0
	for n < len(r.order) && t.Sub(r.order[n].at) >= ReopenDelay {
		delete(r.ended, r.order[n].flow)
		n++
	}
	r.order = r.order[n:]
	_, ok := r.ended[k]
	return ok
}

// Close removes an own flow.
func (r *Registrar) Close(k balsampier.FlowKey, t time.Time) {
	if !r.Holds(k) {
		return
	}
	r.ended[k] = struct{}{}
	r.order = append(r.order, placement{flow: k, at: t})
	for _, h := range r.flows[k] {
		r.announce(h, Entry{Flow: k, Ended: true})
	}
	delete(r.flows, k)
}

// Adopt registers each own flow with the homes that are new to it. Homes that
// left the view are forgotten with all that was on its way to them.
func (r *Registrar) Adopt(e balsampier.Epoch, alive func(balsampier.Holder) bool, f Homes) {
	r.epoch, r.homes = e, f
	for h := range r.peers {
		if !alive(h) {
			delete(r.peers, h)
		}
	}
	for k := range r.flows {
		r.move(k)
	}
}

// move announces the flow to the homes that it wasn't announced to, and ends
// it at the live homes that are none any more.
func (r *Registrar) move(k balsampier.FlowKey) {
	now := r.homes(k)
	for _, h := range r.flows[k] {
		if _, ok := r.peers[h]; ok && !slices.Contains(now, h) {
			r.announce(h, Entry{Flow: k, Moved: true})
		}
	}
	for _, h := range now {
		if !slices.Contains(r.flows[k], h) {
			r.announce(h, Entry{Flow: k})
		}
	}
	r.flows[k] = now
}

func (r *Registrar) announce(h balsampier.Holder, e Entry) {
	if h == r.self {
		return
	}
	p := r.peers[h]
	if p == nil {
		p = &peer{}
		r.peers[h] = p
	}
	p.queue = append(p.queue, e)
}

// DueBatches returns the batches to send at t. A batch that isn't acknowledged is
// sent again at growing intervals with jitter.
func (r *Registrar) DueBatches(t time.Time, x balsampier.Random) []Batch {
	var bs []Batch
	for _, h := range r.PendingHomes() {
		p := r.peers[h]
		if len(p.sent.Entries) == 0 {
			p.fill(r.self, h, r.epoch)
		}
		if t.Before(p.due) {
			continue
		}
		p.due = t.Add(interval(p.attempts, x))
		p.attempts++
		bs = append(bs, p.sent)
	}
	return bs
}

// fill makes the next batch from the queue.
func (p *peer) fill(self, home balsampier.Holder, e balsampier.Epoch) {
	n := min(len(p.queue), MaxBatch)
	p.sequence++
	p.sent = Batch{From: self, To: home, Sequence: p.sequence, Epoch: e, Entries: slices.Clone(p.queue[:n])}
	p.queue = slices.Delete(p.queue, 0, n)
	p.attempts, p.due = 0, time.Time{}
}

// HandleAck takes in an acknowledgement and returns the own flows that another
// live agent has registered.
func (r *Registrar) HandleAck(a Ack) []balsampier.FlowKey {
	p := r.peers[a.From]
	if a.To != r.self || p == nil || a.Sequence != p.sent.Sequence {
		return nil
	}
	p.sent = Batch{}
	return slices.DeleteFunc(a.Conflicts, func(k balsampier.FlowKey) bool { return !r.Holds(k) })
}

// PendingHomes returns the homes that haven't acknowledged everything. The
// holder acknowledges a view when there are none, or names them.
func (r *Registrar) PendingHomes() []balsampier.Holder {
	var hs []balsampier.Holder
	for h, p := range r.peers {
		if len(p.sent.Entries) > 0 || len(p.queue) > 0 {
			hs = append(hs, h)
		}
	}
	slices.SortFunc(hs, compare)
	return hs
}

// Next returns when a batch is due next; false when none is.
func (r *Registrar) Next() (time.Time, bool) {
	var (
		n  time.Time
		ok bool
	)
	for _, p := range r.peers {
		d := p.due
		if len(p.sent.Entries) == 0 {
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

// interval doubles from MinRetry to MaxRetry and takes half of it at random.
func interval(attempts int, x balsampier.Random) time.Duration {
	d := MaxRetryInterval
	if attempts < 6 {
		d = min(MinRetryInterval<<attempts, MaxRetryInterval)
	}
	return d/2 + time.Duration(x.Uint64()%uint64(d/2))
}

func compare(a, b balsampier.Holder) int {
	switch {
	case a == b:
		return 0
	case a.Instance < b.Instance || (a.Instance == b.Instance && a.Incarnation < b.Incarnation):
		return -1
	default:
		return 1
	}
}
