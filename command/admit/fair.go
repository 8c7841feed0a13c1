package admit

import (
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// classQueue holds the waiting requests of one class in one bucket for each
	// caller. It serves the buckets by start-time fair queueing, as Queue does
	// with the classes.
	classQueue struct {
		// weight is positive.
		weight float64
		// startTag is the start tag of the next request in virtual slot time.
		startTag time.Duration
		// virtualTime is the start tag of the bucket that was served last.
		virtualTime time.Duration
		// buckets has a bucket for each caller with waiting requests and for
		// callers without any that are still charged for earlier requests, in
		// order of arrival. At most maxChargedCallers of the latter are kept.
		buckets []*bucket
		byAddr  map[netip.Addr]*bucket
		// waitingCount is the number of requests in all buckets.
		waitingCount int
		// busySince is when the class last changed from no waiting requests to
		// some.
		busySince   time.Time
		serviceTime serviceTime
	}

	// bucket holds the waiting requests of one caller.
	bucket struct {
		caller netip.Addr
		// waiting is ordered from the oldest request to the newest.
		waiting  []*waiter
		startTag time.Duration
	}
)

const (
	// maxChargedCallers limits the buckets that are kept for callers without
	// waiting requests.
	maxChargedCallers = 256
	// borrowedServiceTimes is how far a class may run ahead of its share, in
	// mean service times.
	borrowedServiceTimes = 8
)

func newClassQueue(weight float64) *classQueue {
	return &classQueue{weight: weight, byAddr: make(map[netip.Addr]*bucket)}
}

// callerGroup returns the address that represents the caller. All addresses of
// one IPv6 /64 network count as one caller.
func callerGroup(a netip.Addr) netip.Addr {
	a = a.Unmap()
	if !a.Is6() {
		return a
	}
	p, err := a.WithZone("").Prefix(64)
	if err != nil {
		return a
	}
	return p.Addr()
}

// bucket returns the caller's bucket and creates it if there is none.
func (c *classQueue) bucket(a netip.Addr) *bucket {
	b, ok := c.byAddr[a]
	if !ok {
		b = &bucket{caller: a, startTag: c.virtualTime}
		c.byAddr[a] = b
		c.buckets = append(c.buckets, b)
	}
	return b
}

// prune removes the buckets without waiting requests that have no outstanding
// charge or exceed maxChargedCallers.
func (c *classQueue) prune() {
	charged := 0
	c.buckets = slices.DeleteFunc(c.buckets, func(b *bucket) bool {
		if len(b.waiting) > 0 {
			return false
		}
		if b.startTag > c.virtualTime && charged < maxChargedCallers {
			charged++
			return false
		}
		delete(c.byAddr, b.caller)
		return true
	})
}

// push adds w; v is the queue's virtual time.
func (c *classQueue) push(w *waiter, v time.Duration, t time.Time) {
	if c.waitingCount == 0 {
		c.startTag = max(c.startTag, v)
		c.busySince = t
	}
	b := c.bucket(w.caller)
	if len(b.waiting) == 0 {
		b.startTag = max(b.startTag, c.virtualTime)
	}
	b.waiting = append(b.waiting, w)
	c.waitingCount++
}

// nextBucket returns the bucket with the lowest start tag among those with
// waiting requests. The class must not be empty.
func (c *classQueue) nextBucket() *bucket {
	var best *bucket
	for _, b := range c.buckets {
		if len(b.waiting) > 0 && (best == nil || b.startTag < best.startTag) {
			best = b
		}
	}
	return best
}

// pop removes and returns the oldest request of the next bucket.
func (c *classQueue) pop() *waiter {
	b := c.nextBucket()
	w := b.waiting[0]
	b.waiting = b.waiting[1:]
	c.virtualTime = max(c.virtualTime, b.startTag)
	c.waitingCount--
	return w
}

// effectiveTag returns the tag by which the class is compared with the other
// one. If the next caller has far fewer waiting requests than the others of its
// class, the class may run ahead of its share by borrowedServiceTimes.
// Otherwise the burst of a light caller would wait until the share that a heavy
// caller has used up is available again.
func (c *classQueue) effectiveTag(t time.Time) time.Duration {
	if !c.isLightCaller(c.nextBucket(), c.callers(), c.waitingCount) {
		return c.startTag
	}
	return c.startTag - time.Duration(float64(borrowedServiceTimes*c.serviceTime.estimate(t))/c.weight)
}

// callers returns the number of callers with waiting requests.
func (c *classQueue) callers() int {
	n := 0
	for _, b := range c.buckets {
		if len(b.waiting) > 0 {
			n++
		}
	}
	return n
}

// isLightCaller reports whether b has one waiting request, or less than half
// the average of the given number of callers with n requests in total.
func (c *classQueue) isLightCaller(b *bucket, callers, n int) bool {
	return len(b.waiting) == 1 || 2*len(b.waiting)*callers < n
}

// charge adds the slot time d to the start tags of the class and of the
// caller's bucket.
func (c *classQueue) charge(w *waiter, d time.Duration) {
	c.startTag += time.Duration(float64(d) / c.weight)
	c.bucket(w.caller).startTag += d
}

// displace removes and returns the newest request of the longest bucket. It
// returns false if that bucket has only one request, or if the bucket of caller
// a would become as long as it.
func (c *classQueue) displace(a netip.Addr) (*waiter, bool) {
	longest := c.buckets[0]
	for _, b := range c.buckets {
		if len(b.waiting) > len(longest.waiting) {
			longest = b
		}
	}
	n := len(longest.waiting)
	if b, ok := c.byAddr[a]; n <= 1 || (ok && n <= len(b.waiting)+1) {
		return nil, false
	}
	w := longest.waiting[n-1]
	longest.waiting = longest.waiting[:n-1]
	c.waitingCount--
	return w, true
}

func (c *classQueue) remove(k balsampier.Ticket) bool {
	return len(c.removeMatching(func(_ *bucket, w *waiter) bool { return w.ticket == k })) > 0
}

// missesDeadline reports whether w can't be expected to finish before its
// deadline.
func (c *classQueue) missesDeadline(w *waiter, t time.Time) bool {
	return !w.request.Deadline.IsZero() && t.Add(c.serviceTime.upperBound(t)).After(w.request.Deadline)
}

func (c *classQueue) removeLate(t time.Time) []*waiter {
	return c.removeMatching(func(_ *bucket, w *waiter) bool { return c.missesDeadline(w, t) })
}

// removeOlder removes and returns requests that arrived before t, but leaves at
// least keep requests. It spares callers with less than half the average number
// of waiting requests.
func (c *classQueue) removeOlder(t time.Time, keep int) []*waiter {
	spare, callers, n := c.waitingCount-keep, c.callers(), c.waitingCount
	return c.removeMatching(func(b *bucket, w *waiter) bool {
		if spare <= 0 || !w.arrivedAt.Before(t) || 2*len(b.waiting)*callers < n {
			return false
		}
		spare--
		return true
	})
}

func (c *classQueue) removeMatching(f func(*bucket, *waiter) bool) []*waiter {
	var out []*waiter
	for _, b := range c.buckets {
		kept := b.waiting[:0]
		for _, w := range b.waiting {
			if f(b, w) {
				out = append(out, w)
			} else {
				kept = append(kept, w)
			}
		}
		clear(b.waiting[len(kept):])
		b.waiting = kept
	}
	c.waitingCount -= len(out)
	return out
}

// overloaded reports whether there have been waiting requests for longer than d
// without a break.
func (c *classQueue) overloaded(t time.Time, d time.Duration) bool {
	return c.waitingCount > 0 && t.Sub(c.busySince) > d
}
