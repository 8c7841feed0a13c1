// Package local starts parts of the system in the benchmark process.
package local

import (
	"context"
	"net/netip"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/cmd/balancer/app"
	"github.com/balsampier/balsampier/fabric"
	"github.com/balsampier/balsampier/random"
	"github.com/balsampier/balsampier/settings"
)

// Addr is the loopback address with port 0, which selects a free port.
var Addr = netip.MustParseAddrPort("127.0.0.1:0")

// Balancer is a running balancer with one service address.
type Balancer struct {
	*app.Balancer
	// Addr is the service address.
	Addr netip.AddrPort
	// Stop stops the threads and waits until they have returned, or until the
	// context given to StartBalancer ends.
	Stop func()
}

// StartBalancer starts a balancer that gets its state from l.
func StartBalancer(c context.Context, k balsampier.Clock, key []byte, l balsampier.ControlClient) (*Balancer, error) {
	probe, err := fabric.ListenUDP(Addr)
	if err != nil {
		return nil, err
	}
	a, err := netip.ParseAddrPort(probe.LocalAddr().String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := probe.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	s := app.Settings{
		Common:   settings.Common{Name: "balancer", LogLevel: "error"},
		PeerAddr: Addr, Control: []netip.AddrPort{Addr}, Services: []app.Service{{Addr: a, Bind: a}},
	}
	s.SetDefaults()
	b, err := app.New(s, k, random.System{}, key, l)
	if err != nil {
		return nil, err
	}
	ts := b.Threads()
	for _, t := range ts {
		go func() { _ = t.Start(c) }()
	}
	return &Balancer{Balancer: b, Addr: a, Stop: func() {
		for _, t := range ts {
			_ = t.Stop(c)
		}
	}}, nil
}
