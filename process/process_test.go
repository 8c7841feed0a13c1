package process

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/duty"
)

// eventRecorder records events in the order in which they occur.
type eventRecorder struct {
	mu     sync.Mutex
	events []string
}

func (r *eventRecorder) add(s string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, s)
}

func raise(s syscall.Signal) { _ = syscall.Kill(syscall.Getpid(), s) }

// TestStop checks that a signal makes the program drain while its threads still
// run and then stop them. The signal arrives as soon as the first thread runs,
// which is before kratos handles signals.
func TestStop(t *testing.T) {
	for _, x := range []struct {
		name   string
		signal syscall.Signal
		drain  error
	}{
		{"terminate", syscall.SIGTERM, nil},
		{"interrupt", syscall.SIGINT, nil},
		{"drain ends early", syscall.SIGTERM, errors.New("time is up")},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			var r eventRecorder
			err := Run(Program{
				Name: "test", Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, DrainTimeout: time.Minute,
				Servers: []transport.Server{duty.New("work", func(c context.Context) error {
					r.add("work")
					raise(x.signal)
					<-c.Done()
					r.add("stopped")
					return c.Err()
				})},
				Drain: func(context.Context) error {
					r.add("drain")
					return x.drain
				},
			})
			c.Assert(err, qt.IsNil)
			c.Assert(r.events, qt.DeepEquals, []string{"work", "drain", "stopped"})
		})
	}
}

// TestSecondSignal checks that only the second signal, not the first one, forces
// the end while the program drains.
func TestSecondSignal(t *testing.T) {
	c := qt.New(t)
	ended := make(chan struct{})
	defer onSignals(func() {}, func() { close(ended) })()
	var r eventRecorder
	err := Run(Program{
		Name: "test", Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, DrainTimeout: time.Minute,
		Servers: []transport.Server{duty.New("work", func(c context.Context) error {
			raise(syscall.SIGTERM)
			<-c.Done()
			return nil
		})},
		Drain: func(context.Context) error {
			select {
			case <-ended:
				r.add("ended by the first signal")
			default:
			}
			return nil
		},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(r.events, qt.HasLen, 0)
	raise(syscall.SIGINT)
	<-ended
}

// TestFailedThread checks that the failure of one thread stops the program, which
// would otherwise seem to run although a thread is missing.
func TestFailedThread(t *testing.T) {
	c := qt.New(t)
	var stopped eventRecorder
	err := Run(Program{
		Name: "test", Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Servers: []transport.Server{
			duty.New("save", func(context.Context) error { return errors.New("disk full") }),
			duty.New("work", func(c context.Context) error {
				<-c.Done()
				stopped.add("work")
				return c.Err()
			}),
		},
	})
	c.Assert(err, qt.ErrorMatches, "(?s).*disk full.*")
	c.Assert(ExitCode(err), qt.Equals, ExitFailure)
	c.Assert(slices.Contains(stopped.events, "work"), qt.IsTrue)
}

func TestExitCode(t *testing.T) {
	for _, x := range []struct {
		err  error
		want int
	}{
		{nil, 0},
		{errors.New("plain"), ExitFailure},
		{balsampier.NewError(balsampier.KindInvalid, "read", "mend", nil), ExitInvalid},
		{balsampier.NewError(balsampier.KindConflict, "submit", "fetch", nil), ExitFailure},
		{errors.Join(errors.New("other"), balsampier.NewError(balsampier.KindInvalid, "read", "mend", nil)), ExitInvalid},
	} {
		qt.Assert(t, ExitCode(x.err), qt.Equals, x.want)
	}
}
