package ring

import (
	"context"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
)

func TestPushOverflow(t *testing.T) {
	tests := []struct {
		name      string
		overflow  OverflowPolicy
		wantKind  balsampier.Kind
		overflows uint64
	}{
		{"reject", Reject, balsampier.KindFull, 1},
		{"dropNewest", DropNewest, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := New[int](tt.name, 2, tt.overflow)
			c.Assert(r.Push(t.Context(), 1), qt.IsNil)
			c.Assert(r.Push(t.Context(), 2), qt.IsNil)
			c.Assert(balsampier.KindOf(r.Push(t.Context(), 3)), qt.Equals, tt.wantKind)
			c.Assert(r.Stats(), qt.Equals, Stats{Name: tt.name, Depth: 2, Capacity: 2, Overflows: tt.overflows})
		})
	}
}

func TestBlockDeliversEverythingInOrder(t *testing.T) {
	c := qt.New(t)
	r := New[int]("block", 4, Block)
	const total = 10_000
	go func() {
		defer r.Close()
		for i := range total {
			_ = r.Push(context.Background(), i)
		}
	}()
	b := make([]int, 3)
	next := 0
	for {
		n, err := r.Pop(t.Context(), b)
		if err != nil {
			c.Assert(balsampier.KindOf(err), qt.Equals, balsampier.KindClosed)
			break
		}
		for _, v := range b[:n] {
			c.Assert(v, qt.Equals, next)
			next++
		}
	}
	c.Assert(next, qt.Equals, total)
}

func TestManyProducersAndConsumersLoseNothing(t *testing.T) {
	c := qt.New(t)
	r := New[int]("many", 3, Block)
	var producers, consumers sync.WaitGroup
	sums := make([]int, 4)
	for i := range sums {
		consumers.Go(func() {
			b := make([]int, 2)
			for {
				n, err := r.Pop(context.Background(), b)
				if err != nil {
					return
				}
				for _, v := range b[:n] {
					sums[i] += v
				}
			}
		})
	}
	for range 5 {
		producers.Go(func() {
			for v := 1; v <= 1000; v++ {
				_ = r.Push(context.Background(), v)
			}
		})
	}
	producers.Wait()
	r.Close()
	consumers.Wait()
	total := 0
	for _, s := range sums {
		total += s
	}
	c.Assert(total, qt.Equals, 5*500500)
}

func TestPopReturnsWhenContextEnds(t *testing.T) {
	c := qt.New(t)
	r := New[int]("empty", 1, Block)
	x, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := r.Pop(x, make([]int, 1))
	c.Assert(err, qt.ErrorIs, context.Canceled)
}
