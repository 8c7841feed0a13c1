// Package duty runs the long-lived threads of a process. Each thread has a single
// task, its duty, and is started and stopped by the kratos application.
package duty

import (
	"context"
	"errors"
	"sync"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

type (
	// Thread runs one duty until it is stopped. It implements the kratos
	// transport.Server interface.
	Thread struct {
		name string
		run  func(context.Context) error
		// stop is closed once, by the first Stop.
		stop     chan struct{}
		stopOnce sync.Once
		// done is closed when run has returned.
		done chan struct{}
	}
)

// New returns a thread that runs f, which must return when its context ends.
func New(name string, f func(context.Context) error) *Thread {
	return &Thread{name: name, run: f, stop: make(chan struct{}), done: make(chan struct{})}
}

// Start runs the duty until it returns. Its context ends with Stop or with c.
// Cancellation and KindClosed count as a regular end and yield no error. A panic
// is an error: the process stops in order and logs it with its stack.
func (t *Thread) Start(c context.Context) error {
	defer close(t.done)
	c, cancel := context.WithCancel(c)
	defer cancel()
	go func() {
		select {
		case <-t.stop:
			cancel()
		case <-c.Done():
		}
	}()
	err := Protect("run", func() error { return t.run(c) })
	if err == nil || errors.Is(err, context.Canceled) || balsampier.KindOf(err) == balsampier.KindClosed {
		return nil
	}
	return trace.Wrap(err, "duty %s", t.name)
}

// Stop cancels the duty and waits until it has returned or c ends.
func (t *Thread) Stop(c context.Context) error {
	t.stopOnce.Do(func() { close(t.stop) })
	select {
	case <-t.done:
		return nil
	case <-c.Done():
		return trace.Wrap(c.Err(), "stop duty %s", t.name)
	}
}
