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
	// streamAgents is the size of the fleet that the streams are told of.
	streamAgents = 1_300
	renewalCount = 5_000
)

var streamCounts = []int{100, 300, 1_000}

// RunStreams measures watch streams of agents by their number.
func RunStreams(c context.Context, w io.Writer, k balsampier.Clock, seed uint64) error {
	r := measure.New(w)
	for _, n := range streamCounts {
		if err := streams(c, r, k, n, seed); err != nil {
			return trace.Wrap(err, "open %d streams", n)
		}
	}
	r.PrintSlopes("Stream")
	if err := renewals(c, r, k, seed); err != nil {
		return trace.Wrap(err, "renew leases")
	}
	return r.Err()
}

// renewals measures what one renewal costs both ends.
func renewals(c context.Context, r *measure.Report, k balsampier.Clock, seed uint64) error {
	s, err := serve(c, k, streamAgents, seed)
	if err != nil {
		return err
	}
	defer s.stop()
	l := peer.NewControlClient(peer.NewKey(key), []netip.AddrPort{s.addr}, random.System{})
	defer l.Close()
	m := agent(s.history.View(), 0)
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

func streams(c context.Context, r *measure.Report, k balsampier.Clock, n int, seed uint64) error {
	c, cancel := context.WithCancel(c)
	defer cancel()
	s, err := serve(c, k, streamAgents, seed)
	if err != nil {
		return err
	}
	defer s.stop()
	before := measure.MemoryBytes()
	// heard counts the heartbeats and changes that arrived.
	var heard atomic.Int64
	v := s.history.View()
	for i := range n {
		l := peer.NewControlClient(peer.NewKey(key), []netip.AddrPort{s.addr}, random.System{})
		defer l.Close()
		q := balsampier.WatchRequest{Member: agent(v, i), Position: balsampier.WatchPosition{Revision: 1, Epoch: v.Epoch}}
		go func() {
			_ = l.Watch(c, q, func(balsampier.WatchMessage) error {
				heard.Add(1)
				return nil
			})
		}()
	}
	if err := waitReady(k, func() bool { return heard.Load() >= int64(n) }); err != nil {
		return err
	}
	r.Sized("watchStreams.memory.bytes", n, measure.MemoryBytes()-before)
	first := heard.Load()
	idle, err := processorIn(k, nil)
	if err != nil {
		return err
	}
	busy, err := processorIn(k, s.change)
	if err != nil {
		return err
	}
	r.Sized("watchStreams.idle.processorShare", n, idle)
	r.Sized("watchStreams.oneChangeASecond.processorShare", n, busy)
	if got, want := heard.Load()-first, int64(n*changeCount); got < want {
		return trace.BadParameter("%d messages arrived at %d streams, not %d", got, n, want)
	}
	return nil
}
