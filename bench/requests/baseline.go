package requests

import (
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// plainQueue is what admission is compared with: one bounded queue, or
	// one for each class with the urgent one always first.
	plainQueue struct {
		slots, depth int
		// strict gives each class its own queue.
		strict  bool
		waiting [2][]balsampier.Ticket
		running map[balsampier.Ticket]struct{}
		last    balsampier.Ticket
	}
)

var _ balsampier.Admitter = (*plainQueue)(nil)

func newPlainQueue(slots, depth int, strict bool) *plainQueue {
	return &plainQueue{slots: slots, depth: depth, strict: strict, running: make(map[balsampier.Ticket]struct{})}
}

// Admit queues the request unless its queue is full.
func (q *plainQueue) Admit(r balsampier.Request, _ time.Time) (balsampier.Ticket, balsampier.Admission) {
	q.last++
	c := 0
	if q.strict {
		c = int(r.Class)
	}
	if len(q.waiting[c]) >= q.depth {
		return q.last, balsampier.AdmissionRefused
	}
	q.waiting[c] = append(q.waiting[c], q.last)
	return q.last, balsampier.AdmissionQueued
}

// Finish frees a slot.
func (q *plainQueue) Finish(k balsampier.Ticket, _ time.Time) { delete(q.running, k) }

// Shed frees a slot.
func (q *plainQueue) Shed(k balsampier.Ticket, t time.Time) { q.Finish(k, t) }

// Cancel does nothing.
func (q *plainQueue) Cancel(balsampier.Ticket, time.Time) {}

// ConvertToConnection is not supported.
func (q *plainQueue) ConvertToConnection(balsampier.Ticket, time.Time) bool { return false }

// Refusal knows no reasons.
func (q *plainQueue) Refusal(balsampier.Ticket) (balsampier.Refusal, bool) {
	return balsampier.Refusal{}, false
}

// Next starts the oldest requests, those of the urgent queue first.
func (q *plainQueue) Next(time.Time) (start, refuse []balsampier.Ticket) {
	for c := len(q.waiting) - 1; c >= 0; c-- {
		for len(q.running) < q.slots && len(q.waiting[c]) > 0 {
			k := q.waiting[c][0]
			q.waiting[c] = q.waiting[c][1:]
			q.running[k] = struct{}{}
			start = append(start, k)
		}
	}
	return start, nil
}

// SetSlots changes the number of requests that run at once.
func (q *plainQueue) SetSlots(n int) { q.slots = n }

// Load returns the current load.
func (q *plainQueue) Load() balsampier.Load {
	return balsampier.Load{Running: len(q.running), Queued: len(q.waiting[0]) + len(q.waiting[1]), Slots: q.slots}
}
