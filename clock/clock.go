// Package clock implements the Clock interface: System for programs and Fake
// for tests.
package clock

import (
	"sync"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// System is the clock of the machine.
	System struct{}

	// Fake is a clock that stands still until it is advanced.
	Fake struct {
		mu sync.Mutex
		// now only grows.
		now time.Time
		// timers are those that have neither fired nor been stopped.
		timers map[*fakeTimer]struct{}
	}

	systemTimer struct{ t *time.Timer }

	fakeTimer struct {
		f  *Fake
		at time.Time
		c  chan time.Time
	}
)

// Now returns the time of the machine.
func (System) Now() time.Time { return time.Now() }

// NewTimer returns a timer of the machine.
func (System) NewTimer(d time.Duration) balsampier.Timer {
	return systemTimer{time.NewTimer(d)}
}

func (s systemTimer) C() <-chan time.Time { return s.t.C }
func (s systemTimer) Stop()               { s.t.Stop() }

// NewFake returns a fake clock that stands at t.
func NewFake(t time.Time) *Fake {
	return &Fake{now: t, timers: make(map[*fakeTimer]struct{})}
}

// Now returns the time that the clock stands at.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// NewTimer returns a timer that fires when the clock is advanced by d.
func (f *Fake) NewTimer(d time.Duration) balsampier.Timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &fakeTimer{f: f, at: f.now.Add(d), c: make(chan time.Time, 1)}
	f.timers[t] = struct{}{}
	f.fire()
	return t
}

// Advance moves the clock by d and fires the timers that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	f.fire()
}

// fire is called with mu held.
func (f *Fake) fire() {
	for t := range f.timers {
		if !t.at.After(f.now) {
			t.c <- f.now
			delete(f.timers, t)
		}
	}
}

func (t *fakeTimer) C() <-chan time.Time { return t.c }

func (t *fakeTimer) Stop() {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	delete(t.f.timers, t)
}
