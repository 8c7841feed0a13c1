// Package ring provides a bounded queue that connects threads. A thread that
// waits on a ring blocks; it never spins.
package ring

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsampier/balsampier"
)

const (
	// Block makes Push wait until there is room.
	Block OverflowPolicy = iota
	// Reject makes Push return a KindFull error.
	Reject
	// DropNewest makes Push discard its value and count an overflow.
	DropNewest
)

type (
	// OverflowPolicy determines what Push does if the ring is full.
	OverflowPolicy uint8

	// Ring is a bounded queue between threads, safe for any number of
	// producers and consumers.
	Ring[T any] struct {
		name     string
		overflow OverflowPolicy

		mu sync.Mutex
		// buf is allocated once; its length is the capacity.
		buf []T
		// head indexes the oldest value; n counts values, at most len(buf).
		head, n int
		closed  bool

		// readable and writable hold at most one token each. A token wakes one
		// waiting consumer or producer, which then tries again.
		readable, writable chan struct{}
		// done is closed by Close.
		done      chan struct{}
		overflows atomic.Uint64
	}

	// Stats is a snapshot of the state of a ring for metrics and dumps.
	Stats struct {
		Name      string `json:"name"`
		Depth     int    `json:"depth"`
		Capacity  int    `json:"capacity"`
		Overflows uint64 `json:"overflows"`
	}
)

// New returns a ring that holds up to capacity values. The name identifies it in
// metrics and errors.
func New[T any](name string, capacity int, o OverflowPolicy) *Ring[T] {
	return &Ring[T]{
		name:     name,
		overflow: o,
		buf:      make([]T, capacity),
		readable: make(chan struct{}, 1),
		writable: make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
}

// Push adds v and applies the policy of the ring if the ring is full.
func (r *Ring[T]) Push(c context.Context, v T) error {
	return r.PushWith(c, v, r.overflow)
}

// PushWith adds v and applies policy o if the ring is full. It returns a
// KindClosed error if the ring is closed.
func (r *Ring[T]) PushWith(c context.Context, v T, o OverflowPolicy) error {
	for {
		ok, err := r.tryPush(v)
		if ok || err != nil {
			return err
		}
		switch o {
		case Reject:
			r.overflows.Add(1)
			return balsampier.NewError(balsampier.KindFull, "push to ring "+r.name, "retry later or raise the ring's capacity", nil)
		case DropNewest:
			r.overflows.Add(1)
			return nil
		case Block:
		}
		select {
		case <-r.writable:
		case <-r.done:
		case <-c.Done():
			return c.Err()
		}
	}
}

// Pop waits for values, moves up to len(dst) of them into dst and returns their
// number. It returns a KindClosed error once the ring is closed and empty.
func (r *Ring[T]) Pop(c context.Context, dst []T) (int, error) {
	return r.PopUntil(c, dst, nil)
}

// PopUntil is like Pop, but returns zero without an error when t delivers first.
func (r *Ring[T]) PopUntil(c context.Context, dst []T, t <-chan time.Time) (int, error) {
	for {
		n, err := r.tryPop(dst)
		if n > 0 || err != nil {
			return n, err
		}
		select {
		case <-r.readable:
		case <-r.done:
		case <-t:
			return 0, nil
		case <-c.Done():
			return 0, c.Err()
		}
	}
}

// DiscardAll discards all queued values and counts them as overflows.
func (r *Ring[T]) DiscardAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overflows.Add(uint64(r.n))
	clear(r.buf)
	r.head, r.n = 0, 0
	signal(r.writable)
}

// Close closes the ring. Pushes fail from then on; pops return the remaining
// values and then fail.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
}

// Stats returns the current state of the ring.
func (r *Ring[T]) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Name: r.name, Depth: r.n, Capacity: len(r.buf), Overflows: r.overflows.Load()}
}

// tryPush adds v without waiting and reports whether there was room.
func (r *Ring[T]) tryPush(v T) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false, r.errClosed()
	}
	if r.n == len(r.buf) {
		return false, nil
	}
	r.buf[(r.head+r.n)%len(r.buf)] = v
	r.n++
	signal(r.readable)
	if r.n < len(r.buf) {
		signal(r.writable)
	}
	return true, nil
}

// tryPop moves up to len(dst) queued values into dst without waiting.
func (r *Ring[T]) tryPop(dst []T) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == 0 && r.closed {
		return 0, r.errClosed()
	}
	var zero T
	k := min(len(dst), r.n)
	for i := range k {
		dst[i] = r.buf[r.head]
		r.buf[r.head] = zero
		r.head = (r.head + 1) % len(r.buf)
	}
	r.n -= k
	if k > 0 {
		signal(r.writable)
	}
	if r.n > 0 {
		signal(r.readable)
	}
	return k, nil
}

func (r *Ring[T]) errClosed() error {
	return balsampier.NewError(balsampier.KindClosed, "use ring "+r.name, "the process is stopping; use another instance", nil)
}

// signal puts a token into c unless it holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Register exports the depth and the overflow count of the ring as metrics.
func Register[T any](r *Ring[T]) {
	metrics.GetOrCreateGauge(fmt.Sprintf("balsampier_ring_depth{ring=%q}", r.name), func() float64 {
		return float64(r.Stats().Depth)
	})
	metrics.GetOrCreateGauge(fmt.Sprintf("balsampier_ring_overflows_total{ring=%q}", r.name), func() float64 {
		return float64(r.Stats().Overflows)
	})
}

// Unregister removes the metrics of a ring that is closed.
func Unregister[T any](r *Ring[T]) {
	metrics.UnregisterMetric(fmt.Sprintf("balsampier_ring_depth{ring=%q}", r.name))
	metrics.UnregisterMetric(fmt.Sprintf("balsampier_ring_overflows_total{ring=%q}", r.name))
}
