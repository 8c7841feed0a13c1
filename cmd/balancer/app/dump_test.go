package app

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/fabric"
)

const testKey = "0123456789abcdef0123456789abcdef"

type (
	// fixedRandom is a random source that always returns the same number.
	fixedRandom struct{}

	// unreachableControl is a control client without any method: a call panics.
	unreachableControl struct{ balsampier.ControlClient }
)

func (fixedRandom) Uint64() uint64 { return 42 }

func newTestBalancer(c *qt.C) *Balancer {
	s := Settings{
		PeerAddr: netip.MustParseAddrPort("127.0.0.1:0"), Control: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.9:7000")},
		Services: []Service{{Addr: netip.MustParseAddrPort("203.0.113.7:443"), Bind: netip.MustParseAddrPort("127.0.0.1:0")}},
	}
	s.Name, s.DataCentre = "balancer-1", "lima-1"
	s.SetDefaults()
	b, err := New(s, clock.NewFake(time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)), fixedRandom{}, []byte(testKey), unreachableControl{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		_ = b.peers.Close()
		for _, s := range b.sockets {
			_ = s.Close()
		}
	})
	return b
}

func TestDump(t *testing.T) {
	c := qt.New(t)
	b, err := json.MarshalIndent(newTestBalancer(c).Dump(), "", "  ")
	c.Assert(err, qt.IsNil)
	c.Assert(string(b), qt.Not(qt.Contains), testKey)
	goldie.New(t).Assert(t, "dump", b)
}

// TestNotReady checks that a balancer that has received nothing from control
// drops the first packet of a connection, rather than refuse it with the reason
// that no rule is in force.
func TestNotReady(t *testing.T) {
	c := qt.New(t)
	b := newTestBalancer(c)
	initial := make([]byte, 1200)
	// A long header of version 1 with a destination connection ID of 8 bytes.
	copy(initial, []byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	refused := metrics.GetOrCreateCounter(`balsampier_balancer_refused_packets_total{reason="noRule"}`)
	dropped := metrics.GetOrCreateCounter(`balsampier_balancer_dropped_packets_total{reason="notReady"}`)
	before := dropped.Get()
	b.handlePacket(context.Background(), b.table.Load(), fabric.Datagram{
		Payload: initial, Caller: netip.MustParseAddrPort("192.0.2.10:5000"), ServiceAddr: b.settings.Services[0].Addr, At: b.clock.Now(),
	})
	c.Assert(refused.Get(), qt.Equals, uint64(0))
	c.Assert(dropped.Get()-before, qt.Equals, uint64(1))
}
