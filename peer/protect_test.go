package peer

import (
	"context"
	"net"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
)

// faultyReplica panics in its first call.
type faultyReplica struct {
	gatedReplica
	calls int
}

func (r *faultyReplica) ReadIndex(context.Context) (balsampier.Index, error) {
	if r.calls++; r.calls == 1 {
		var missing []balsampier.Index
		return missing[r.calls], nil
	}
	return 7, nil
}

// TestPanicInCall checks that a call that panics returns an error to its caller
// and that the server goes on.
func TestPanicInCall(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	stop := serve(c, l, &faultyReplica{})
	defer stop()
	k := NewInstanceClient(NewKey(nil), netip.MustParseAddrPort(l.Addr().String()))
	_, err = k.ReadIndex(context.Background())
	c.Assert(err, qt.ErrorMatches, "(?s).*panic: .*index out of range.*")
	i, err := k.ReadIndex(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(i, qt.Equals, balsampier.Index(7))
}
