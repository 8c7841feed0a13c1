// Package relay benchmarks the throughput of a balancer against that of a bare
// UDP relay that makes the same system calls for each packet.
package relay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/bench/measure"
	"github.com/balsampier/balsampier/caller"
	"github.com/balsampier/balsampier/cmd/bench/local"
	"github.com/balsampier/balsampier/fabric"
	"github.com/balsampier/balsampier/peer"
)

const (
	// minThroughputRatio is the design bound of the throughput of a balancer
	// relative to the bare relay.
	minThroughputRatio = 0.6

	rounds       = 3
	roundWindow  = 700 * time.Millisecond
	senderCount  = 2
	payloadBytes = 1200
	service      = balsampier.ServiceName("reservas")
)

var key = []byte("a key for the relay benchmark only")

type (
	// controlClient is a balsampier.ControlClient that delivers one view and no
	// changes.
	controlClient struct{ publishedView balsampier.View }

	// sink receives packets at the agent's address and counts them.
	sink struct {
		conn  *net.UDPConn
		count atomic.Int64
	}

	// relayTotals accumulates the results of one relay over all rounds.
	relayTotals struct {
		// packets is the number of packets that reached the sink while the
		// round was timed.
		packets       int64
		elapsed       time.Duration
		processorTime time.Duration
	}
)

// Run measures both relays and prints their throughput, its ratio and the
// processor time of a packet.
func Run(c context.Context, w io.Writer, k balsampier.Clock) error {
	s, err := newSink()
	if err != nil {
		return err
	}
	defer func() { _ = s.conn.Close() }()
	m := balsampier.Member{
		ID: balsampier.NewInstanceID("agent"), Name: "agent", Role: balsampier.RoleAgent, Incarnation: 7,
		Service: service, Slots: 5, Addr: addrOf(s.conn),
	}
	codec, err := caller.NewIDCodec(key)
	if err != nil {
		return err
	}
	id := codec.Encode(m.Holder(), 1)
	packet := append([]byte{0x40}, id[:]...)
	packet = append(packet, make([]byte, payloadBytes-len(packet))...)

	bare, stop, err := startBareRelay(c, s)
	if err != nil {
		return err
	}
	defer stop()
	balancer, err := local.StartBalancer(c, k, key, controlClient{balsampier.View{Epoch: 1, Members: []balsampier.Member{m}}})
	if err != nil {
		return err
	}
	defer balancer.Stop()
	var bareTotals, balancerTotals relayTotals
	// The rounds alternate, so that other load on the machine affects both.
	for range rounds {
		if err := s.measureRelay(k, bare, packet, &bareTotals); err != nil {
			return err
		}
		if err := s.measureRelay(k, balancer.Addr, packet, &balancerTotals); err != nil {
			return err
		}
	}
	r := measure.New(w)
	r.Figure("relayPacketsPerSecond.bare", bareTotals.packetsPerSecond())
	r.Figure("relayPacketsPerSecond.balancer", balancerTotals.packetsPerSecond())
	r.AtLeast("relayThroughputRatio", balancerTotals.packetsPerSecond()/bareTotals.packetsPerSecond(), minThroughputRatio)
	// The processor time includes that of the senders and the sink.
	r.Figure("relayProcessorSecondsPerPacket.bare", bareTotals.secondsPerPacket())
	r.Figure("relayProcessorSecondsPerPacket.balancer", balancerTotals.secondsPerPacket())
	return r.Err()
}

func newSink() (*sink, error) {
	u, err := fabric.ListenUDP(local.Addr)
	if err != nil {
		return nil, err
	}
	s := &sink{conn: u}
	go func() {
		b := make([]byte, peer.MaxEnvelopeBytes)
		for {
			if _, _, err := u.ReadFromUDPAddrPort(b); err != nil {
				return
			}
			s.count.Add(1)
		}
	}()
	return s, nil
}

// measureRelay sends copies of the packet to the relay at address to as fast as
// it can and adds the results of one round to x. Before and after the timed
// window it waits a quarter of roundWindow, so that the relay gets under load
// and its packets in flight don't count for the next round.
func (s *sink) measureRelay(k balsampier.Clock, to netip.AddrPort, packet []byte, x *relayTotals) error {
	var stop atomic.Bool
	var w sync.WaitGroup
	for range senderCount {
		w.Go(func() {
			u, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
			if err != nil {
				return
			}
			defer func() { _ = u.Close() }()
			for !stop.Load() {
				_, _ = u.Write(packet)
			}
		})
	}
	defer func() {
		stop.Store(true)
		w.Wait()
		measure.Wait(k, roundWindow/4)
	}()
	measure.Wait(k, roundWindow/4)
	n, t := s.count.Load(), k.Now()
	before, err := measure.ProcessorTime()
	if err != nil {
		return err
	}
	measure.Wait(k, roundWindow)
	after, err := measure.ProcessorTime()
	x.packets += s.count.Load() - n
	x.elapsed += k.Now().Sub(t)
	x.processorTime += after - before
	return err
}

// packetsPerSecond returns the throughput over all rounds.
func (x *relayTotals) packetsPerSecond() float64 { return float64(x.packets) / x.elapsed.Seconds() }

// secondsPerPacket returns the processor time of a packet in seconds.
func (x *relayTotals) secondsPerPacket() float64 {
	return x.processorTime.Seconds() / float64(max(x.packets, 1))
}

// startBareRelay starts a relay that forwards each packet to the sink with one
// read and one write. It returns the relay's address and a function that stops
// it.
func startBareRelay(c context.Context, s *sink) (netip.AddrPort, func(), error) {
	in, err := fabric.ListenUDP(local.Addr)
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	out, err := fabric.ListenUDP(local.Addr)
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	to := addrOf(s.conn)
	go func() {
		b := make([]byte, fabric.MaxDatagramBytes)
		for c.Err() == nil {
			n, _, err := in.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			_, _ = out.WriteToUDPAddrPort(b[:n], to)
		}
	}()
	return addrOf(in), func() { _, _ = in.Close(), out.Close() }, nil
}

// Renew implements balsampier.ControlClient.
func (l controlClient) Renew(context.Context, balsampier.Renewal) (balsampier.Lease, error) {
	return balsampier.Lease{TTL: time.Minute, Epoch: l.publishedView.Epoch}, nil
}

// Leave implements balsampier.ControlClient.
func (l controlClient) Leave(context.Context, balsampier.Holder) error { return nil }

// Watch implements balsampier.ControlClient.
func (l controlClient) Watch(c context.Context, _ balsampier.WatchRequest, f func(balsampier.WatchMessage) error) error {
	err := f(balsampier.WatchMessage{
		Confirmed: true, Epoch: l.publishedView.Epoch,
		View: &balsampier.ViewPart{Delta: balsampier.ViewDelta{To: l.publishedView.Epoch, Changed: l.publishedView.Members}},
	})
	if err != nil {
		return err
	}
	<-c.Done()
	return c.Err()
}

func addrOf(u *net.UDPConn) netip.AddrPort {
	return u.LocalAddr().(*net.UDPAddr).AddrPort()
}
