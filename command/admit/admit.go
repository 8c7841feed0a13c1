// Package admit decides which requests run, wait or are refused at one backend
// server. Classes share the slots by weight, the callers of a class share its
// slots evenly, and a request that can't finish before its deadline is never
// started.
package admit

import (
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	classes = 2

	// sweepInterval is how often the waiting requests are checked for requests
	// to refuse.
	sweepInterval = 5 * time.Millisecond

	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

type (
	// Queue admits requests to the slots of one backend server. Slots are
	// shared between the classes by start-time fair queueing.
	Queue struct {
		settings Settings
		// running holds the requests that occupy a slot.
		running map[balsampier.Ticket]*waiter
		// openConnections holds the requests that became connections, at most
		// MaxConnections.
		openConnections map[balsampier.Ticket]struct{}
		// classes is indexed by balsampier.Class.
		classes [classes]*classQueue
		// virtualTime is the tag by which the last class was picked. It never
		// decreases.
		virtualTime time.Duration
		limit       limit
		// refused holds the refusals from the last call of Admit or Next.
		refused map[balsampier.Ticket]balsampier.Refusal
		// displaced holds the requests that were removed from a full queue in
		// favour of another caller. The next call of Next refuses them.
		displaced []*waiter
		// sweptAt is when the waiting requests were last checked.
		sweptAt    time.Time
		lastTicket balsampier.Ticket
	}

	waiter struct {
		ticket  balsampier.Ticket
		request balsampier.Request
		// caller is the address that represents the caller; see callerGroup.
		caller netip.Addr
		// arrivedAt is when the request was passed to Admit.
		arrivedAt time.Time
		// runStartedAt is zero while the request waits.
		runStartedAt time.Time
		// charged is the estimated service time that was charged when the
		// request started.
		charged time.Duration
	}
)

var _ balsampier.Admitter = (*Queue)(nil)

// New returns a queue with the given number of slots, space for depth waiting
// requests in each class, and defaults for the other settings.
func New(slots, depth int) *Queue {
	s := DefaultSettings()
	s.Slots, s.Depth = slots, depth
	return NewQueue(s)
}

// NewQueue returns an empty queue. The settings must have passed Check.
func NewQueue(s Settings) *Queue {
	q := &Queue{
		settings:        s,
		running:         make(map[balsampier.Ticket]*waiter),
		openConnections: make(map[balsampier.Ticket]struct{}),
		limit:           newLimit(s.Slots),
		refused:         make(map[balsampier.Ticket]balsampier.Refusal),
	}
	for c := range q.classes {
		q.classes[c] = newClassQueue(s.Weights[c])
	}
	return q
}

// Admit runs, queues or refuses a request. If the queue of its class is full,
// the newest request of the caller with the most waiting requests is displaced.
func (q *Queue) Admit(r balsampier.Request, t time.Time) (balsampier.Ticket, balsampier.Admission) {
	clear(q.refused)
	q.lastTicket++
	c := q.classes[r.Class]
	w := &waiter{ticket: q.lastTicket, request: r, caller: callerGroup(r.Caller), arrivedAt: t}
	if c.missesDeadline(w, t) {
		q.refuse(w, balsampier.RefusalDeadline, t)
		return w.ticket, balsampier.AdmissionRefused
	}
	if q.isEmpty() && q.hasFreeSlot() {
		q.start(w, c.startTag, t)
		return w.ticket, balsampier.AdmissionRun
	}
	if c.waitingCount >= q.settings.Depth {
		v, ok := c.displace(w.caller)
		if !ok {
			q.refuse(w, balsampier.RefusalQueueFull, t)
			return w.ticket, balsampier.AdmissionRefused
		}
		q.displaced = append(q.displaced, v)
	}
	c.push(w, q.virtualTime, t)
	return w.ticket, balsampier.AdmissionQueued
}

// Finish frees the slot of a request that ran, or removes its connection.
func (q *Queue) Finish(k balsampier.Ticket, t time.Time) {
	delete(q.openConnections, k)
	if q.freeSlot(k, t, true) {
		q.limit.raise(t)
	}
}

// Shed frees the slot of a request that the backend server refused, and lowers
// the concurrency limit.
func (q *Queue) Shed(k balsampier.Ticket, t time.Time) {
	if q.freeSlot(k, t, false) {
		q.limit.lower(t)
	}
}

// ConvertToConnection frees the slot of a running request and counts it as a
// connection from then on. It returns false, and changes nothing, if the
// request isn't running or there are MaxConnections connections already.
func (q *Queue) ConvertToConnection(k balsampier.Ticket, t time.Time) bool {
	if _, ok := q.running[k]; !ok || len(q.openConnections) >= q.settings.MaxConnections {
		return false
	}
	q.freeSlot(k, t, false)
	q.openConnections[k] = struct{}{}
	return true
}

// Cancel removes a waiting request.
func (q *Queue) Cancel(k balsampier.Ticket, _ time.Time) {
	for _, c := range q.classes {
		if c.remove(k) {
			return
		}
	}
	for i, w := range q.displaced {
		if w.ticket == k {
			q.displaced = append(q.displaced[:i:i], q.displaced[i+1:]...)
			return
		}
	}
}

// Next returns the tickets of the requests to start and of those to refuse.
func (q *Queue) Next(t time.Time) (start, refuse []balsampier.Ticket) {
	clear(q.refused)
	for _, w := range q.displaced {
		q.refuse(w, balsampier.RefusalQueueFull, t)
	}
	q.displaced = nil
	if t.Sub(q.sweptAt) >= sweepInterval || t.Before(q.sweptAt) {
		q.sweep(t)
	}
	for q.hasFreeSlot() {
		c, due := q.pick(t)
		if c == nil {
			break
		}
		w := c.pop()
		if c.missesDeadline(w, t) {
			q.refuse(w, balsampier.RefusalDeadline, t)
			continue
		}
		q.start(w, due, t)
		start = append(start, w.ticket)
	}
	for k := range q.refused {
		refuse = append(refuse, k)
	}
	return start, refuse
}

// Refusal returns the reason why the last call of Admit or Next refused the
// ticket.
func (q *Queue) Refusal(k balsampier.Ticket) (balsampier.Refusal, bool) {
	r, ok := q.refused[k]
	return r, ok
}

// SetSlots changes the maximum number of requests that run at once.
func (q *Queue) SetSlots(n int) {
	q.settings.Slots = n
	q.limit.setMaxSlots(n)
}

// Load returns the current load.
func (q *Queue) Load() balsampier.Load {
	return balsampier.Load{
		Running:     len(q.running),
		Queued:      q.classes[0].waitingCount + q.classes[1].waitingCount,
		Connections: len(q.openConnections),
		Slots:       q.limit.slots(),
	}
}

func (q *Queue) hasFreeSlot() bool { return len(q.running) < q.limit.slots() }

func (q *Queue) isEmpty() bool { return q.classes[0].waitingCount+q.classes[1].waitingCount == 0 }

// pick returns the class with the lowest effective tag and that tag, or nil if
// no request waits. On equal tags the higher class wins.
func (q *Queue) pick(t time.Time) (best *classQueue, due time.Duration) {
	for i := classes - 1; i >= 0; i-- {
		c := q.classes[i]
		if c.waitingCount == 0 {
			continue
		}
		if d := c.effectiveTag(t); best == nil || d < due {
			best, due = c, d
		}
	}
	return best, due
}

// start gives w a slot; due is the tag by which its class was picked.
func (q *Queue) start(w *waiter, due time.Duration, t time.Time) {
	c := q.classes[w.request.Class]
	w.runStartedAt, w.charged = t, c.serviceTime.estimate(t)
	c.startTag = max(c.startTag, q.virtualTime)
	q.virtualTime = max(q.virtualTime, due)
	c.charge(w, w.charged)
	q.running[w.ticket] = w
}

// freeSlot frees the slot of a request and corrects its charge to the actual
// service time. The service time counts towards the estimate only if the
// request ran.
func (q *Queue) freeSlot(k balsampier.Ticket, t time.Time, ran bool) bool {
	w, ok := q.running[k]
	if !ok {
		return false
	}
	delete(q.running, k)
	c, d := q.classes[w.request.Class], t.Sub(w.runStartedAt)
	c.charge(w, d-w.charged)
	if ran {
		c.serviceTime.observe(d, t)
	}
	return true
}

// sweep refuses requests that can't finish before their deadline. It also
// refuses requests that have waited longer than MaxWait, or in an overload
// longer than the target, as long as enough requests to fill all slots remain.
func (q *Queue) sweep(t time.Time) {
	q.sweptAt = t
	for _, c := range q.classes {
		c.prune()
		for _, w := range c.removeLate(t) {
			q.refuse(w, balsampier.RefusalDeadline, t)
		}
		limit := q.settings.MaxWait
		if c.overloaded(t, q.settings.OverloadInterval) {
			limit = min(limit, max(q.settings.TargetWait, targetServiceTimes*c.serviceTime.estimate(t)))
		}
		for _, w := range c.removeOlder(t.Add(-limit), q.limit.slots()) {
			q.refuse(w, balsampier.RefusalOverload, t)
		}
	}
}

func (q *Queue) refuse(w *waiter, r balsampier.RefusalReason, t time.Time) {
	c := q.classes[w.request.Class]
	share := q.settings.Weights[w.request.Class] / (q.settings.Weights[0] + q.settings.Weights[1])
	d := time.Duration(float64(c.waitingCount) * float64(c.serviceTime.estimate(t)) / (share * float64(q.limit.slots())))
	q.refused[w.ticket] = balsampier.Refusal{Reason: r, RetryAfter: min(max(d, minRetryAfter), maxRetryAfter)}
}
