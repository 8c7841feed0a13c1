// Package clock implements the Clock interface: System for programs and Fake
// for tests.
package clock

import (
	"sync"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// System is the clock of the operating system.
	System struct{}

	// Fake is a clock for tests whose time changes only through Advance. It is
	// safe for concurrent use.
	Fake struct {
		mu sync.Mutex
		// now never decreases.
		now time.Time
		// timers holds the timers that have neither fired nor been stopped.
		timers map[*fakeTimer]struct{}
	}

	systemTimer struct{ t *time.Timer }

	fakeTimer struct {
		fake     *Fake
		deadline time.Time
		c        chan time.Time
	}
)

// Now returns the current system time.
func (System) Now() time.Time { return time.Now() }

// NewTimer returns a runtime timer that fires after d.
func (System) NewTimer(d time.Duration) balsampier.Timer {
	return systemTimer{time.NewTimer(d)}
}

func (s systemTimer) C() <-chan time.Time { return s.t.C }
func (s systemTimer) Stop()               { s.t.Stop() }

// NewFake returns a fake clock that is set to t.
func NewFake(t time.Time) *Fake {
	return &Fake{now: t, timers: make(map[*fakeTimer]struct{})}
}

// Now returns the time to which the clock is set.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// NewTimer returns a timer that fires once the clock has advanced by d.
func (f *Fake) NewTimer(d time.Duration) balsampier.Timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &fakeTimer{fake: f, deadline: f.now.Add(d), c: make(chan time.Time, 1)}
	f.timers[t] = struct{}{}
	f.fireDue()
	return t
}

// Advance moves the clock forward by d and fires the timers that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	f.fireDue()
}

// fireDue fires the timers that are due. f.mu must be held.
func (f *Fake) fireDue() {
	for t := range f.timers {
		if !t.deadline.After(f.now) {
			t.c <- f.now
			delete(f.timers, t)
		}
	}
}

func (t *fakeTimer) C() <-chan time.Time { return t.c }

func (t *fakeTimer) Stop() {
	t.fake.mu.Lock()
	defer t.fake.mu.Unlock()
	delete(t.fake.timers, t)
}
