package requests

import (
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// plainQueue is the baseline that weighted fair admission is compared with:
	// one bounded FIFO queue, or with strict one queue per class, where urgent
	// requests always start first.
	plainQueue struct {
		slots, depth int
		// strict gives each class its own queue and starts urgent requests
		// before normal ones.
		strict     bool
		waiting    [2][]balsampier.Ticket
		running    map[balsampier.Ticket]struct{}
		lastTicket balsampier.Ticket
	}
)

var _ balsampier.Admitter = (*plainQueue)(nil)

func newPlainQueue(slots, depth int, strict bool) *plainQueue {
	return &plainQueue{slots: slots, depth: depth, strict: strict, running: make(map[balsampier.Ticket]struct{})}
}

// Admit enqueues the request, or refuses it if its queue is full.
func (q *plainQueue) Admit(r balsampier.Request, _ time.Time) (balsampier.Ticket, balsampier.Admission) {
	q.lastTicket++
	c := 0
	if q.strict {
		c = int(r.Class)
	}
	if len(q.waiting[c]) >= q.depth {
		return q.lastTicket, balsampier.AdmissionRefused
	}
	q.waiting[c] = append(q.waiting[c], q.lastTicket)
	return q.lastTicket, balsampier.AdmissionQueued
}

// Finish frees the slot of a request that has ended.
func (q *plainQueue) Finish(k balsampier.Ticket, _ time.Time) { delete(q.running, k) }

// Shed frees the slot of a request that the server refused.
func (q *plainQueue) Shed(k balsampier.Ticket, t time.Time) { q.Finish(k, t) }

// Cancel does nothing: a cancelled request stays queued.
func (q *plainQueue) Cancel(balsampier.Ticket, time.Time) {}

// ConvertToConnection always reports false: the baseline has no connections.
func (q *plainQueue) ConvertToConnection(balsampier.Ticket, time.Time) bool { return false }

// Refusal always reports false: the baseline records no reasons.
func (q *plainQueue) Refusal(balsampier.Ticket) (balsampier.Refusal, bool) {
	return balsampier.Refusal{}, false
}

// Next starts queued requests while slots are free: urgent requests first if
// strict is set, otherwise in order of arrival. It refuses none.
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

// SetSlots sets how many requests may run at the same time.
func (q *plainQueue) SetSlots(n int) { q.slots = n }

// Load returns the number of running and queued requests and the slots.
func (q *plainQueue) Load() balsampier.Load {
	return balsampier.Load{Running: len(q.running), Queued: len(q.waiting[0]) + len(q.waiting[1]), Slots: q.slots}
}
