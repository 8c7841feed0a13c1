// Package relay compares the throughput of a balancer with that of a bare UDP
// relay that makes the same system calls for each packet.
package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/caller"
	"github.com/balsampier/balsampier/cmd/balancer/app"
	"github.com/balsampier/balsampier/fabric"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/random"
	"github.com/balsampier/balsampier/settings"
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

var (
	key         = []byte("a key for the relay benchmark only")
	serviceAddr = netip.MustParseAddrPort("127.0.0.1:0")
)

type (
	// client delivers one view and then nothing.
	client struct{ v balsampier.View }

	// sink counts the packets that arrive at the agent's address.
	sink struct {
		conn  *net.UDPConn
		count atomic.Int64
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
	balancer, stop, err := startBalancer(c, k, m)
	if err != nil {
		return err
	}
	defer stop()
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	var rateBare, rateBalancer float64
	// The two take turns, so that both see the same machine.
	for range rounds {
		rateBare += s.measure(k, bare, packet) / rounds
		rateBalancer += s.measure(k, balancer, packet) / rounds
	}
	_, err = fmt.Fprintf(w, "measure=relayPacketsPerSecond.bare value=%.0f\nmeasure=relayPacketsPerSecond.balancer value=%.0f\nmeasure=relayThroughputRatio value=%.2f bound=%.2f ok=%t\n",
		rateBare, rateBalancer, rateBalancer/rateBare, minRatio, rateBalancer/rateBare >= minRatio)
	return trace.Wrap(err)
}

func newSink() (*sink, error) {
	u, err := fabric.ListenUDP(serviceAddr)
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

// measure floods to with the packet and returns the packets per second that
// reach the sink.
func (s *sink) measure(k balsampier.Clock, to netip.AddrPort, packet []byte) float64 {
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
	wait(k, roundTime/4)
	n, t := s.count.Load(), k.Now()
	wait(k, roundTime)
	got, took := s.count.Load()-n, k.Now().Sub(t)
	stop.Store(true)
	w.Wait()
	wait(k, roundTime/4)
	return float64(got) / took.Seconds()
}

// startBare runs a relay that only reads and writes.
func startBare(c context.Context, s *sink) (netip.AddrPort, func(), error) {
	in, err := fabric.ListenUDP(serviceAddr)
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	out, err := fabric.ListenUDP(serviceAddr)
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

// startBalancer runs the threads of a balancer that knows one agent.
func startBalancer(c context.Context, k balsampier.Clock, m balsampier.Member) (netip.AddrPort, func(), error) {
	free, err := fabric.ListenUDP(serviceAddr)
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	a := addrOf(free)
	if err := free.Close(); err != nil {
		return a, nil, trace.Wrap(err)
	}
	s := app.Settings{
		Common:   settings.Common{Name: "balancer", LogLevel: "error"},
		PeerAddr: serviceAddr, Control: []netip.AddrPort{serviceAddr}, Services: []app.Service{{Addr: a, Bind: a}},
	}
	s.SetDefaults()
	b, err := app.New(s, k, random.System{}, key, client{balsampier.View{Epoch: 1, Members: []balsampier.Member{m}}})
	if err != nil {
		return a, nil, err
	}
	ts := b.Threads()
	for _, t := range ts {
		go func() { _ = t.Start(c) }()
	}
	return a, func() {
		for _, t := range ts {
			_ = t.Stop(c)
		}
	}, nil
}

// Renew implements balsampier.ControlClient.
func (l client) Renew(context.Context, balsampier.Renewal) (balsampier.Lease, error) {
	return balsampier.Lease{Term: time.Minute, Epoch: l.v.Epoch}, nil
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

func wait(k balsampier.Clock, d time.Duration) {
	t := k.NewTimer(d)
	<-t.C()
}
