// Package watching benchmarks the lease renewals and watch streams between
// daemons and control over the network protocol. Client and server run in the
// benchmark process, so that the results include the cost of both.
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
	// memoryBound and processorBound bound what a daemon spends on control: its
	// memory in bytes, and its processor time in seconds a second.
	memoryBound    = 64 << 20
	processorBound = 0.034

	changeInterval    = time.Second
	changeCount       = 5
	settleDelay       = 2 * time.Second
	readyPollInterval = 20 * time.Millisecond
	readyTimeout      = 30 * time.Second
)

var (
	fleetSizes = []int{300, 1_300, 4_000, 13_000}
	key        = []byte("a key for the watch benchmark only")
)

// controlServer serves a controlHandler on a loopback address.
type controlServer struct {
	*controlHandler
	// agents is the number of agents in the published view.
	agents int
	addr   netip.AddrPort
	stop   func()
}

// RunBalancers measures a balancer that watches fleets of several sizes, idle
// and with one change a second.
func RunBalancers(c context.Context, w io.Writer, k balsampier.Clock, seed uint64) error {
	return measureFleets(c, w, k, seed, "balancer", fleetSizes, startBalancer)
}

// RunAgents measures the control session of an agent like RunBalancers.
func RunAgents(c context.Context, w io.Writer, k balsampier.Clock, seed uint64) error {
	return measureFleets(c, w, k, seed, "agentSession", fleetSizes[1:], startSession)
}

func measureFleets(c context.Context, w io.Writer, k balsampier.Clock, seed uint64, name string, sizes []int, start startFunc) error {
	r := measure.New(w)
	for _, n := range sizes {
		s, err := startServer(c, k, n, seed)
		if err != nil {
			return err
		}
		err = s.measureFollower(c, r, name, start)
		s.stop()
		if err != nil {
			return trace.Wrap(err, "watch a fleet of %d agents", n)
		}
	}
	r.PrintSlopes("Agent")
	return r.Err()
}

// measureFollower measures a follower of the server: its start, its memory, and
// its processor share idle and with one change a second.
func (s *controlServer) measureFollower(c context.Context, r *measure.Report, name string, start startFunc) error {
	k := s.clock
	before := measure.MemoryBytes()
	l := peer.NewControlClient(peer.NewKey(key), []netip.AddrPort{s.addr}, random.System{})
	defer l.Close()
	processorBefore, err := measure.ProcessorTime()
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
	// The follower builds its first tables after it is ready.
	measure.Wait(k, settleDelay)
	ready, err := measure.ProcessorTime()
	if err != nil {
		return err
	}
	r.Sized(name+".start.processorSeconds", s.agents, (ready - processorBefore).Seconds())
	r.SizedAtMost(name+".memory.bytes", s.agents, measure.MemoryBytes()-before, memoryBound)
	idle, err := processorShare(k, nil)
	if err != nil {
		return err
	}
	busy, err := processorShare(k, s.publishRestart)
	if err != nil {
		return err
	}
	r.SizedAtMost(name+".idle.processorShare", s.agents, idle, processorBound)
	r.SizedAtMost(name+".oneChangeASecond.processorShare", s.agents, busy, processorBound)
	return nil
}

// startServer starts a control server that publishes a fleet.
func startServer(c context.Context, k balsampier.Clock, agents int, seed uint64) (*controlServer, error) {
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
	return &controlServer{controlHandler: h, agents: agents, addr: a, stop: func() { _ = p.Stop(c) }}, nil
}

// processorShare calls change once every changeInterval, unless it is nil, and
// returns the share of a core that the process uses meanwhile.
func processorShare(k balsampier.Clock, change func(int) error) (float64, error) {
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
		measure.Wait(k, changeInterval)
	}
	after, err := measure.ProcessorTime()
	return (after - before).Seconds() / k.Now().Sub(t).Seconds(), err
}

// waitReady polls ready and returns an error after readyTimeout.
func waitReady(k balsampier.Clock, ready func() bool) error {
	for t := k.Now(); !ready(); measure.Wait(k, readyPollInterval) {
		if k.Now().Sub(t) > readyTimeout {
			return trace.LimitExceeded("not ready after %s", fmt.Sprint(readyTimeout))
		}
	}
	return nil
}
