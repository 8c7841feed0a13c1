package watching

import (
	"context"
	"io"
	"net/netip"
	"sync/atomic"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/bench/measure"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/random"
)

const (
	// fleetAgents is the number of agents in the published view.
	fleetAgents  = 1_300
	renewalCount = 5_000
)

var streamCounts = []int{100, 300, 1_000}

// RunStreams measures the memory and processor time of watch streams of agents
// by the number of streams, and the processor time of a lease renewal.
func RunStreams(c context.Context, w io.Writer, k balsampier.Clock, seed uint64) error {
	r := measure.New(w)
	for _, n := range streamCounts {
		if err := measureStreams(c, r, k, n, seed); err != nil {
			return trace.Wrap(err, "open %d streams", n)
		}
	}
	r.PrintSlopes("Stream")
	if err := measureRenewals(c, r, k, seed); err != nil {
		return trace.Wrap(err, "renew leases")
	}
	return r.Err()
}

// measureRenewals measures the processor time of one lease renewal, client and
// server together.
func measureRenewals(c context.Context, r *measure.Report, k balsampier.Clock, seed uint64) error {
	s, err := startServer(c, k, fleetAgents, seed)
	if err != nil {
		return err
	}
	defer s.stop()
	l := peer.NewControlClient(peer.NewKey(key), []netip.AddrPort{s.addr}, random.System{})
	defer l.Close()
	m := agentAt(s.history.View(), 0)
	before, err := measure.ProcessorTime()
	if err != nil {
		return err
	}
	for range renewalCount {
		if _, err := l.Renew(c, balsampier.Renewal{Member: m, AppliedRevision: 1, AcknowledgedEpoch: 1}); err != nil {
			return err
		}
	}
	after, err := measure.ProcessorTime()
	r.Figure("renewal.processorSecondsEach", (after-before).Seconds()/renewalCount)
	return err
}

// measureStreams measures n watch streams, idle and with one change a second.
func measureStreams(c context.Context, r *measure.Report, k balsampier.Clock, n int, seed uint64) error {
	c, cancel := context.WithCancel(c)
	defer cancel()
	s, err := startServer(c, k, fleetAgents, seed)
	if err != nil {
		return err
	}
	defer s.stop()
	before := measure.MemoryBytes()
	// received is the number of heartbeats and changes that arrived.
	var received atomic.Int64
	v := s.history.View()
	for i := range n {
		l := peer.NewControlClient(peer.NewKey(key), []netip.AddrPort{s.addr}, random.System{})
		defer l.Close()
		q := balsampier.WatchRequest{Member: agentAt(v, i), Position: balsampier.WatchPosition{Revision: 1, Epoch: v.Epoch}}
		go func() {
			_ = l.Watch(c, q, func(balsampier.WatchMessage) error {
				received.Add(1)
				return nil
			})
		}()
	}
	if err := waitReady(k, func() bool { return received.Load() >= int64(n) }); err != nil {
		return err
	}
	r.Sized("watchStreams.memory.bytes", n, measure.MemoryBytes()-before)
	first := received.Load()
	idle, err := processorShare(k, nil)
	if err != nil {
		return err
	}
	busy, err := processorShare(k, s.publishRestart)
	if err != nil {
		return err
	}
	r.Sized("watchStreams.idle.processorShare", n, idle)
	r.Sized("watchStreams.oneChangeASecond.processorShare", n, busy)
	if got, want := received.Load()-first, int64(n*changeCount); got < want {
		return trace.BadParameter("%d messages arrived at %d streams, want at least %d", got, n, want)
	}
	return nil
}
