// Package admit decides which requests run, wait or are refused.
package admit

import (
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// Queue admits requests to the slots of one backend server. Urgent
	// requests go first.
	Queue struct {
		// slots is how many requests may run at once.
		slots int
		// depth bounds the waiting requests of each class.
		depth int
		// running holds the tickets in slots, at most slots of them unless
		// SetSlots lowered it.
		running map[balsampier.Ticket]struct{}
		// waiting holds the waiting requests of each class, oldest first.
		waiting [2][]waiter
		next    balsampier.Ticket
	}

	waiter struct {
		ticket balsampier.Ticket
		r      balsampier.Request
	}
)

var _ balsampier.Admitter = (*Queue)(nil)

// New returns a queue for the given number of slots with room for depth
// waiting requests of each class.
func New(slots, depth int) *Queue {
	return &Queue{slots: slots, depth: depth, running: make(map[balsampier.Ticket]struct{})}
}

// Offer presents a request.
func (q *Queue) Offer(r balsampier.Request, _ time.Time) (balsampier.Ticket, balsampier.Admission) {
	q.next++
	k := q.next
	if len(q.running) < q.slots && len(q.waiting[0])+len(q.waiting[1]) == 0 {
		q.running[k] = struct{}{}
		return k, balsampier.AdmissionRun
	}
	if len(q.waiting[r.Class]) >= q.depth {
		return k, balsampier.AdmissionRefused
	}
	q.waiting[r.Class] = append(q.waiting[r.Class], waiter{ticket: k, r: r})
	return k, balsampier.AdmissionQueued
}

// Done frees the slot of a request that ran.
func (q *Queue) Done(k balsampier.Ticket, _ time.Time) { delete(q.running, k) }

// Cancel withdraws a request that still waits.
func (q *Queue) Cancel(k balsampier.Ticket, _ time.Time) {
	for c, ws := range q.waiting {
		for i, w := range ws {
			if w.ticket == k {
				q.waiting[c] = append(ws[:i:i], ws[i+1:]...)
				return
			}
		}
	}
}

// Next starts what fits and refuses what is past its deadline.
func (q *Queue) Next(t time.Time) (start, refuse []balsampier.Ticket) {
	for c := int(balsampier.ClassUrgent); c >= 0; c-- {
		keep := q.waiting[c][:0:0]
		for _, w := range q.waiting[c] {
			switch {
			case !w.r.Deadline.IsZero() && t.After(w.r.Deadline):
				refuse = append(refuse, w.ticket)
			case len(q.running) < q.slots:
				q.running[w.ticket] = struct{}{}
				start = append(start, w.ticket)
			default:
				keep = append(keep, w)
			}
		}
		q.waiting[c] = keep
	}
	return start, refuse
}

// SetSlots changes the number of requests that run at once.
func (q *Queue) SetSlots(n int) { q.slots = n }

// Load returns the current load.
func (q *Queue) Load() balsampier.Load {
	return balsampier.Load{
		Running: len(q.running),
		Queued:  len(q.waiting[0]) + len(q.waiting[1]),
		Slots:   q.slots,
	}
}
