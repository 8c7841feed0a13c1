package admit

import (
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// classQueue holds the waiting requests of one class. It serves the
	// buckets of its callers by start-time fair queueing, as Queue does with
	// the classes.
	classQueue struct {
		// weight is positive.
		weight float64
		// tag is the start tag of the next request in virtual slot time.
		tag time.Duration
		// virtual is the tag of the bucket that was served last.
		virtual time.Duration
		// buckets has one for each caller with waiting requests, and for
		// those that are still charged for earlier ones, in the order of
		// their arrival. No more than maxCharged of the latter are kept.
		buckets []*bucket
		byAddr  map[netip.Addr]*bucket
		// n counts the requests in all buckets.
		n int
		// since is when the class last began to have waiting requests.
		since   time.Time
		service serviceTime
	}

	// bucket holds the waiting requests of one caller.
	bucket struct {
		caller netip.Addr
		// waiting has the oldest request first.
		waiting []*waiter
		tag     time.Duration
	}
)

const (
	// maxCharged bounds the callers without waiting requests that are
	// remembered.
	maxCharged = 256
	// borrowRuns is how many service times a class may go ahead of its share.
	borrowRuns = 8
)

func newClassQueue(weight float64) *classQueue {
	return &classQueue{weight: weight, byAddr: make(map[netip.Addr]*bucket)}
}

// group returns the address that stands for the caller: callers of one IPv6
// /64 are one.
func group(a netip.Addr) netip.Addr {
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

// bucket returns the bucket of the caller, making it where there is none.
func (c *classQueue) bucket(a netip.Addr) *bucket {
	b, ok := c.byAddr[a]
	if !ok {
		b = &bucket{caller: a, tag: c.virtual}
		c.byAddr[a] = b
		c.buckets = append(c.buckets, b)
	}
	return b
}

// prune forgets the callers that have no waiting requests and either owe
// nothing or are too many.
func (c *classQueue) prune() {
	charged := 0
	c.buckets = slices.DeleteFunc(c.buckets, func(b *bucket) bool {
		if len(b.waiting) > 0 {
			return false
		}
		if b.tag > c.virtual && charged < maxCharged {
			charged++
			return false
		}
		delete(c.byAddr, b.caller)
		return true
	})
}

// push adds w; v is the virtual time between classes.
func (c *classQueue) push(w *waiter, v time.Duration, t time.Time) {
	if c.n == 0 {
		c.tag = max(c.tag, v)
		c.since = t
	}
	b := c.bucket(w.caller)
	if len(b.waiting) == 0 {
		b.tag = max(b.tag, c.virtual)
	}
	b.waiting = append(b.waiting, w)
	c.n++
}

// first returns the bucket with the lowest tag. The class must not be empty.
func (c *classQueue) first() *bucket {
	var best *bucket
	for _, b := range c.buckets {
		if len(b.waiting) > 0 && (best == nil || b.tag < best.tag) {
			best = b
		}
	}
	return best
}

// pop takes the oldest request of the first bucket.
func (c *classQueue) pop() *waiter {
	b := c.first()
	w := b.waiting[0]
	b.waiting = b.waiting[1:]
	c.virtual = max(c.virtual, b.tag)
	c.n--
	return w
}

// due returns the tag by which the class is compared with the other one. For
// a caller with far fewer waiting requests than the others of its class, the
// class may go ahead of its share by a few service times, so that the burst
// of a modest caller need not wait for the share that a greedy one used up.
func (c *classQueue) due(t time.Time) time.Duration {
	if !c.modest(c.first(), c.callers(), c.n) {
		return c.tag
	}
	return c.tag - time.Duration(float64(borrowRuns*c.service.estimate(t))/c.weight)
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

// modest reports whether b has one request, or less than half of what the
// average of the given number of callers has of n requests.
func (c *classQueue) modest(b *bucket, callers, n int) bool {
	return len(b.waiting) == 1 || 2*len(b.waiting)*callers < n
}

// charge adds the slot time d to the class and to the caller's bucket.
func (c *classQueue) charge(w *waiter, d time.Duration) {
	c.tag += time.Duration(float64(d) / c.weight)
	c.bucket(w.caller).tag += d
}

// displace takes the newest request of the longest bucket, unless that of
// caller a would become as long.
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
	c.n--
	return w, true
}

func (c *classQueue) remove(k balsampier.Ticket) bool {
	return len(c.take(func(_ *bucket, w *waiter) bool { return w.ticket == k })) > 0
}

// late reports whether w cannot finish before its deadline.
func (c *classQueue) late(w *waiter, t time.Time) bool {
	return !w.r.Deadline.IsZero() && t.Add(c.service.likely(t)).After(w.r.Deadline)
}

func (c *classQueue) takeLate(t time.Time) []*waiter {
	return c.take(func(_ *bucket, w *waiter) bool { return c.late(w, t) })
}

// takeOlder takes the requests that were offered before t, but leaves keep.
// Callers with far fewer waiting requests than the others are spared.
func (c *classQueue) takeOlder(t time.Time, keep int) []*waiter {
	spare, callers, n := c.n-keep, c.callers(), c.n
	return c.take(func(b *bucket, w *waiter) bool {
		if spare <= 0 || !w.at.Before(t) || 2*len(b.waiting)*callers < n {
			return false
		}
		spare--
		return true
	})
}

func (c *classQueue) take(f func(*bucket, *waiter) bool) []*waiter {
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
	c.n -= len(out)
	return out
}

// overloaded reports whether requests have waited without a break for d.
func (c *classQueue) overloaded(t time.Time, d time.Duration) bool {
	return c.n > 0 && t.Sub(c.since) > d
}
