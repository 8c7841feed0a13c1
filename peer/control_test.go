package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/command/replicate"
)

// gatedReplica replies to ReadIndex calls only after all expected calls have
// arrived, so that they are in flight at the same time.
type gatedReplica struct{ pendingCalls sync.WaitGroup }

func (g *gatedReplica) Step(context.Context, []replicate.Message) error { return nil }

func (g *gatedReplica) PassDigest(context.Context, lease.Digest) (lease.Receipt, error) {
	return lease.Receipt{}, nil
}

func (g *gatedReplica) ReadIndex(context.Context) (balsampier.Index, error) {
	g.pendingCalls.Done()
	g.pendingCalls.Wait()
	return 7, nil
}

func serve(c *qt.C, l net.Listener, h ReplicaHandler) (stop func()) {
	s := NewServer(l)
	c.Assert(s.AddReplica(NewKey(nil), h), qt.IsNil)
	x, cancel := context.WithCancel(context.Background())
	var w sync.WaitGroup
	w.Go(func() { c.Check(s.Start(x), qt.IsNil) })
	return func() { cancel(); w.Wait() }
}

func TestInstanceClientConnections(t *testing.T) {
	tests := []struct {
		name string
		// calls is the number of concurrent calls; idle is the number of idle
		// connections afterwards.
		calls, idle int
		// restarts is true if the instance restarts before the next call.
		restarts bool
	}{
		{name: "one call", calls: 1, idle: 1},
		{name: "as many calls as idle connections", calls: maxIdleConns, idle: maxIdleConns},
		{name: "more calls than idle connections", calls: 5 * maxIdleConns, idle: maxIdleConns},
		{name: "the instance restarts", calls: maxIdleConns, idle: maxIdleConns, restarts: true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			a := netip.MustParseAddrPort(l.Addr().String())
			h := &gatedReplica{}
			stop := serve(c, l, h)
			k := NewInstanceClient(NewKey(nil), a)
			h.pendingCalls.Add(v.calls)
			var w sync.WaitGroup
			for range v.calls {
				w.Go(func() {
					i, err := k.ReadIndex(context.Background())
					c.Check(err, qt.IsNil)
					c.Check(i, qt.Equals, balsampier.Index(7))
				})
			}
			w.Wait()
			c.Assert(k.idle, qt.HasLen, v.idle)
			if v.restarts {
				stop()
				for _, n := range k.idle {
					<-n.Closed()
				}
				l, err = net.Listen("tcp", a.String())
				c.Assert(err, qt.IsNil)
				stop = serve(c, l, h)
			}
			h.pendingCalls.Add(1)
			_, err = k.ReadIndex(context.Background())
			c.Assert(err, qt.IsNil)
			stop()
		})
	}
}
