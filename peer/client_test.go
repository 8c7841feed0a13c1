package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"
)

// zeroRandom always returns zero.
type zeroRandom struct{}

func (zeroRandom) Uint64() uint64 { return 0 }

// TestConcurrentCalls checks that calls that connect at the same time share one
// connection, and that a failure of it moves the client on by one instance.
func TestConcurrentCalls(t *testing.T) {
	const calls = 8
	c := qt.New(t)
	var as []netip.AddrPort
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer serve(c, l, &gatedReplica{})()
		as = append(as, netip.MustParseAddrPort(l.Addr().String()))
	}
	k := NewControlClient(NewKey(nil), as, zeroRandom{})
	defer k.Close()
	var (
		w     sync.WaitGroup
		mu    sync.Mutex
		conns = make(map[drpc.Conn]struct{})
	)
	for range calls {
		w.Go(func() {
			n, err := k.sharedConn(context.Background())
			c.Check(err, qt.IsNil)
			mu.Lock()
			defer mu.Unlock()
			conns[n] = struct{}{}
		})
	}
	w.Wait()
	c.Assert(conns, qt.HasLen, 1)
	for n := range conns {
		for range calls {
			w.Go(func() { _ = k.discardConn(n) })
		}
	}
	w.Wait()
	c.Assert(k.currentAddr, qt.Equals, 1)
	c.Assert(k.conn, qt.IsNil)
}
