package duty

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
)

var errDisk = errors.New("disk full")

func TestStart(t *testing.T) {
	tests := []struct {
		name string
		run  func(context.Context) error
		want error
	}{
		{"stopped", func(c context.Context) error { <-c.Done(); return c.Err() }, nil},
		{"ringClosed", func(c context.Context) error {
			<-c.Done()
			return balsampier.NewError(balsampier.KindClosed, "pop", "stop", nil)
		}, nil},
		{"failed", func(context.Context) error { return errDisk }, errDisk},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			d := New(tt.name, tt.run)
			errs := make(chan error, 1)
			go func() { errs <- d.Start(t.Context()) }()
			c.Assert(d.Stop(t.Context()), qt.IsNil)
			c.Assert(<-errs, qt.ErrorIs, tt.want)
		})
	}
}

// TestPanic checks that a panic of a duty ends it with an error that has the
// value and the stack.
func TestPanic(t *testing.T) {
	c := qt.New(t)
	err := New("faulty", func(context.Context) error { panic("index out of range") }).Start(t.Context())
	c.Assert(err, qt.ErrorMatches, "(?s).*index out of range.*TestPanic.*")
	c.Assert(balsampier.KindOf(err), qt.Equals, balsampier.KindUnknown)
}

func TestStopReturnsWhenContextEnds(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	d := New("stuck", func(context.Context) error { <-release; return nil })
	done := make(chan error, 1)
	go func() { done <- d.Start(context.Background()) }()
	x, cancel := context.WithCancel(t.Context())
	cancel()
	c.Assert(d.Stop(x), qt.ErrorIs, context.Canceled)
	close(release)
	c.Assert(<-done, qt.IsNil)
}
