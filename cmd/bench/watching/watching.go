// Package watching measures what it costs to follow control and to be
// followed, over the protocol between the processes. Both ends of it run in
// the benchmark, so that the figures hold the cost of both.
package watching

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/bench/measure"
	"github.com/balsampier/balsampier/cmd/bench/local"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/random"
)

const (
	// memoryBound and processorBound are those of a daemon for control, in
	// bytes and in seconds of each second.
	memoryBound    = 64 << 20
	processorBound = 0.034

	changePeriod = time.Second
	changeCount  = 5
	settleTime   = 2 * time.Second
	readyPeriod  = 20 * time.Millisecond
	readyTimeout = 30 * time.Second
)

var (
	fleetSizes = []int{300, 1_300, 4_000, 13_000}
	key        = []byte("a key for the watch benchmark only")
)

// server is a stand-in for a control instance on an address of this machine.
type server struct {
	*handler
	// agents is the size of the fleet.
	agents int
	addr   netip.AddrPort
	stop   func()
}

// RunBalancers measures a balancer that follows fleets of several sizes, with
// one change a second.
func RunBalancers(c context.Context, w io.Writer, k balsampier.Clock, seed uint64) error {
	return runAll(c, w, k, seed, "balancer", fleetSizes, startBalancer)
}

// RunAgents measures the session of an agent in the same way.
func RunAgents(c context.Context, w io.Writer, k balsampier.Clock, seed uint64) error {
	return runAll(c, w, k, seed, "agentSession", fleetSizes[1:], startSession)
}

func runAll(c context.Context, w io.Writer, k balsampier.Clock, seed uint64, name string, sizes []int, start starter) error {
	r := measure.New(w)
	for _, n := range sizes {
		s, err := serve(c, k, n, seed)
		if err != nil {
			return err
		}
		err = s.follow(c, r, name, start)
		s.stop()
		if err != nil {
			return trace.Wrap(err, "follow %d agents", n)
		}
	}
	r.PrintSlopes("Agent")
	return r.Err()
}

// follow measures one follower of the server.
func (s *server) follow(c context.Context, r *measure.Report, name string, start starter) error {
	k := s.clock
	before := measure.MemoryBytes()
	l := peer.NewControlClient(peer.NewKey(key), []netip.AddrPort{s.addr}, random.System{})
	defer l.Close()
	began, err := measure.ProcessorTime()
	if err != nil {
		return err
	}
	f, err := start(c, s, l)
	if err != nil {
		return err
	}
	defer f.stop()
	if err := waitReady(k, f.ready); err != nil {
		return err
	}
	// The first tables are made after the follower is ready.
	measure.Wait(k, settleTime)
	ready, err := measure.ProcessorTime()
	if err != nil {
		return err
	}
	r.Sized(name+".start.processorSeconds", s.agents, (ready - began).Seconds())
	r.SizedAtMost(name+".memory.bytes", s.agents, measure.MemoryBytes()-before, memoryBound)
	idle, err := processorIn(k, nil)
	if err != nil {
		return err
	}
	busy, err := processorIn(k, s.change)
	if err != nil {
		return err
	}
	r.SizedAtMost(name+".idle.processorShare", s.agents, idle, processorBound)
	r.SizedAtMost(name+".oneChangeASecond.processorShare", s.agents, busy, processorBound)
	return nil
}

// serve starts a stand-in that publishes a fleet.
func serve(c context.Context, k balsampier.Clock, agents int, seed uint64) (*server, error) {
	h, err := newHandler(k, agents, seed)
	if err != nil {
		return nil, err
	}
	l, err := (&net.ListenConfig{}).Listen(c, "tcp", local.Addr.String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p := peer.NewServer(l)
	if err := p.AddControl(peer.NewKey(key), h); err != nil {
		return nil, err
	}
	go func() { _ = p.Start(c) }()
	return &server{handler: h, agents: agents, addr: a, stop: func() { _ = p.Stop(c) }}, nil
}

// processorIn returns the share of a core that the process uses while change
// is called once a second; nil for no changes.
func processorIn(k balsampier.Clock, change func(int) error) (float64, error) {
	before, err := measure.ProcessorTime()
	if err != nil {
		return 0, err
	}
	t := k.Now()
	for i := range changeCount {
		if change != nil {
			if err := change(i); err != nil {
				return 0, err
			}
		}
		measure.Wait(k, changePeriod)
	}
	after, err := measure.ProcessorTime()
	return (after - before).Seconds() / k.Now().Sub(t).Seconds(), err
}

func waitReady(k balsampier.Clock, ready func() bool) error {
	for t := k.Now(); !ready(); measure.Wait(k, readyPeriod) {
		if k.Now().Sub(t) > readyTimeout {
			return trace.LimitExceeded("not ready after %s", fmt.Sprint(readyTimeout))
		}
	}
	return nil
}
