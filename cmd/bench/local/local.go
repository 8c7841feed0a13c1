// Package local starts parts of the system inside of the benchmark.
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

// Addr is an address of this machine with any free port.
var Addr = netip.MustParseAddrPort("127.0.0.1:0")

// Balancer is a balancer with one service address.
type Balancer struct {
	*app.Balancer
	// Addr is the service address.
	Addr netip.AddrPort
	// Stop ends the threads and returns once they have ended.
	Stop func()
}

// StartBalancer runs the threads of a balancer that follows l.
func StartBalancer(c context.Context, k balsampier.Clock, key []byte, l balsampier.ControlClient) (*Balancer, error) {
	free, err := fabric.ListenUDP(Addr)
	if err != nil {
		return nil, err
	}
	a, err := netip.ParseAddrPort(free.LocalAddr().String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := free.Close(); err != nil {
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
