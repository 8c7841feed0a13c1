// Package admit decides which requests run, wait or are refused at one
// backend server. Classes share the slots by weight, callers share the slots
// of their class evenly, and what cannot finish in time never starts.
package admit

import (
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	classes = 2

	// sweepInterval is how often waiting requests are checked for refusal.
	sweepInterval = 5 * time.Millisecond

	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

type (
	// Queue admits requests to the slots of one backend server.
	Queue struct {
		settings Settings
		// running holds the tickets in slots.
		running map[balsampier.Ticket]*waiter
		// connections holds the requests that became connections, at most
		// MaxConnections.
		openConnections map[balsampier.Ticket]struct{}
		// classes are indexed by Class.
		classes [classes]*classQueue
		// virtualTime is the tag by which the class that was served last was picked;
		// it only grows.
		virtualTime time.Duration
		limit       limit
		// refused holds the refusals of the last Admit or Next.
		refused map[balsampier.Ticket]balsampier.Refusal
		// displaced holds the requests that gave their place to another
		// caller's; the next Next refuses them.
		displaced []*waiter
		// sweptAt is when the waiting requests were last checked.
		sweptAt    time.Time
		lastTicket balsampier.Ticket
	}

	waiter struct {
		ticket  balsampier.Ticket
		request balsampier.Request
		// caller stands for all addresses that are treated as one caller.
		caller netip.Addr
		// arrivedAt is when the request was offered.
		arrivedAt time.Time
		// runStartedAt is zero while the request waits.
		runStartedAt time.Time
		// charged is the service time that was charged at the start.
		charged time.Duration
	}
)

var _ balsampier.Admitter = (*Queue)(nil)

// New returns a queue for the given number of slots with room for depth
// waiting requests of each class and defaults for the rest.
func New(slots, depth int) *Queue {
	s := DefaultSettings()
	s.Slots, s.Depth = slots, depth
	return NewQueue(s)
}

// NewQueue returns a queue. The settings are checked ones.
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

// Admit presents a request. When the queue of its class is full, the newest
// request of the caller that has most waiting makes room.
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

// Finish frees the slot of a request that ran, or ends its stream.
func (q *Queue) Finish(k balsampier.Ticket, t time.Time) {
	delete(q.openConnections, k)
	if q.freeSlot(k, t, true) {
		q.limit.raise(t)
	}
}

// Shed frees the slot of a request that the backend server refused, and
// lowers the number of requests that run at once.
func (q *Queue) Shed(k balsampier.Ticket, t time.Time) {
	if q.freeSlot(k, t, false) {
		q.limit.lower(t)
	}
}

// ConvertToConnection turns a request that runs into a connection.
func (q *Queue) ConvertToConnection(k balsampier.Ticket, t time.Time) bool {
	if _, ok := q.running[k]; !ok || len(q.openConnections) >= q.settings.MaxConnections {
		return false
	}
	q.freeSlot(k, t, false)
	q.openConnections[k] = struct{}{}
	return true
}

// Cancel withdraws a request that still waits.
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

// Next returns the tickets that may start and those that are refused.
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

// Refusal tells why the ticket was refused by the last Admit or Next.
func (q *Queue) Refusal(k balsampier.Ticket) (balsampier.Refusal, bool) {
	r, ok := q.refused[k]
	return r, ok
}

// SetSlots changes the number of requests that run at once.
func (q *Queue) SetSlots(n int) {
	q.settings.Slots = n
	q.limit.set(n)
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

// pick returns the class that is due next, nil when none waits. Equal tags go
// to the higher class.
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

// freeSlot frees the slot of a request and corrects its charge to what it took.
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

// sweep refuses what cannot finish in time, and in an overload what waited
// longer than the target while enough younger requests wait.
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
