package fabric

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier/clock"
)

// TestFailedReads checks that Receive goes on after reads that failed, and ends
// once the socket is closed.
func TestFailedReads(t *testing.T) {
	c := qt.New(t)
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort("127.0.0.1:0"), clock.System{})
	c.Assert(err, qt.IsNil)
	got, ended := make(chan string, 1), make(chan error, 1)
	// Each read fails while the deadline is in the past.
	c.Assert(s.conn.SetReadDeadline(time.Unix(1, 0)), qt.IsNil)
	go func() {
		ended <- s.Receive(context.Background(), func(d Datagram) error {
			got <- string(d.Payload)
			d.Free()
			return nil
		})
	}()
	select {
	case err := <-ended:
		c.Fatalf("Receive ended: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	c.Assert(s.conn.SetReadDeadline(time.Time{}), qt.IsNil)
	to := netip.MustParseAddrPort(s.conn.LocalAddr().String())
	c.Assert(s.Send([]byte("packet"), to), qt.IsNil)
	c.Assert(<-got, qt.Equals, "packet")
	c.Assert(s.Close(), qt.IsNil)
	c.Assert(errors.Unwrap(<-ended), qt.IsNotNil)
}
