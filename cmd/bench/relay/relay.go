// Package relay compares the throughput of a balancer with that of a bare UDP
// relay that makes the same system calls for each packet.
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
	// minRatio is the bound of the design.
	minRatio = 0.6

	rounds       = 3
	roundTime    = 700 * time.Millisecond
	senders      = 2
	payloadBytes = 1200
	service      = balsampier.ServiceName("reservas")
)

var key = []byte("a key for the relay benchmark only")

type (
	// client delivers one view and then nothing.
	client struct{ v balsampier.View }

	// sink counts the packets that arrive at the agent's address.
	sink struct {
		conn  *net.UDPConn
		count atomic.Int64
	}

	// sample sums the rounds of one relay.
	sample struct {
		// packets reached the sink in time.
		packets   int64
		time      time.Duration
		processor time.Duration
	}
)

// Run prints the throughput of both relays and their ratio.
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

	bare, stop, err := startBare(c, s)
	if err != nil {
		return err
	}
	defer stop()
	balancer, err := local.StartBalancer(c, k, key, client{balsampier.View{Epoch: 1, Members: []balsampier.Member{m}}})
	if err != nil {
		return err
	}
	defer balancer.Stop()
	var sumBare, sumBalancer sample
	// The two take turns, so that both see the same machine.
	for range rounds {
		if err := s.measure(k, bare, packet, &sumBare); err != nil {
			return err
		}
		if err := s.measure(k, balancer.Addr, packet, &sumBalancer); err != nil {
			return err
		}
	}
	r := measure.New(w)
	r.Figure("relayPacketsPerSecond.bare", sumBare.rate())
	r.Figure("relayPacketsPerSecond.balancer", sumBalancer.rate())
	r.AtLeast("relayThroughputRatio", sumBalancer.rate()/sumBare.rate(), minRatio)
	// These hold the senders and the sink too.
	r.Figure("relayProcessorSecondsPerPacket.bare", sumBare.cost())
	r.Figure("relayProcessorSecondsPerPacket.balancer", sumBalancer.cost())
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

// measure floods to with the packet and adds what reaches the sink to x.
func (s *sink) measure(k balsampier.Clock, to netip.AddrPort, packet []byte, x *sample) error {
	var stop atomic.Bool
	var w sync.WaitGroup
	for range senders {
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
		measure.Wait(k, roundTime/4)
	}()
	measure.Wait(k, roundTime/4)
	n, t := s.count.Load(), k.Now()
	before, err := measure.ProcessorTime()
	if err != nil {
		return err
	}
	measure.Wait(k, roundTime)
	after, err := measure.ProcessorTime()
	x.packets += s.count.Load() - n
	x.time += k.Now().Sub(t)
	x.processor += after - before
	return err
}

// rate returns the packets per second.
func (x *sample) rate() float64 { return float64(x.packets) / x.time.Seconds() }

// cost returns the processor time of one packet in seconds.
func (x *sample) cost() float64 { return x.processor.Seconds() / float64(max(x.packets, 1)) }

// startBare runs a relay that only reads and writes.
func startBare(c context.Context, s *sink) (netip.AddrPort, func(), error) {
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
func (l client) Renew(context.Context, balsampier.Renewal) (balsampier.Lease, error) {
	return balsampier.Lease{TTL: time.Minute, Epoch: l.v.Epoch}, nil
}

// Leave implements balsampier.ControlClient.
func (l client) Leave(context.Context, balsampier.Holder) error { return nil }

// Watch implements balsampier.ControlClient.
func (l client) Watch(c context.Context, _ balsampier.WatchRequest, f func(balsampier.WatchMessage) error) error {
	err := f(balsampier.WatchMessage{
		Confirmed: true, Epoch: l.v.Epoch,
		View: &balsampier.ViewPart{Delta: balsampier.ViewDelta{To: l.v.Epoch, Changed: l.v.Members}},
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
