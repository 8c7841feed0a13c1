// Package ring provides the bounded ring that joins threads. A thread that
// waits on a ring sleeps; it never spins.
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
	// Block makes Push wait for room.
	Block OverflowPolicy = iota
	// Reject makes Push return a KindFull error.
	Reject
	// DropNewest makes Push discard its value and count it.
	DropNewest
)

type (
	// OverflowPolicy tells what Push does when the ring is full.
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

		// readable and writable hold at most one token each; a token means
		// that a waiter should look again.
		readable, writable chan struct{}
		done               chan struct{}
		overflows          atomic.Uint64
	}

	// Stats describes a ring for metrics and dumps.
	Stats struct {
		Name      string `json:"name"`
		Depth     int    `json:"depth"`
		Capacity  int    `json:"capacity"`
		Overflows uint64 `json:"overflows"`
	}
)

// New returns a ring with room for capacity values.
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

// Push adds v. On a full ring it does what the ring's policy says.
func (r *Ring[T]) Push(c context.Context, v T) error {
	return r.PushWith(c, v, r.overflow)
}

// PushWith adds v. On a full ring it does what o says.
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

// Pop waits for values and moves up to len(dst) of them into dst.
func (r *Ring[T]) Pop(c context.Context, dst []T) (int, error) {
	return r.PopUntil(c, dst, nil)
}

// PopUntil is Pop that returns no values once t delivers.
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

// DiscardAll discards what is in the ring and counts it as overflows.
func (r *Ring[T]) DiscardAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overflows.Add(uint64(r.n))
	clear(r.buf)
	r.head, r.n = 0, 0
	signal(r.writable)
}

// Close ends the ring: pushes fail, pops drain what is left and then fail.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
}

// Stats returns the depth and the count of overflows.
func (r *Ring[T]) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Name: r.name, Depth: r.n, Capacity: len(r.buf), Overflows: r.overflows.Load()}
}

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

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Register exports the depth and the overflows of the ring as metrics.
func Register[T any](r *Ring[T]) {
	metrics.GetOrCreateGauge(fmt.Sprintf("balsampier_ring_depth{ring=%q}", r.name), func() float64 {
		return float64(r.Stats().Depth)
	})
	metrics.GetOrCreateGauge(fmt.Sprintf("balsampier_ring_overflows_total{ring=%q}", r.name), func() float64 {
		return float64(r.Stats().Overflows)
	})
}
