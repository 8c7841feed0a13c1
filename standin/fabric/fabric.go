// Package fabric plays the fabric: it sprays every datagram of every caller
// over the balancers of a service address.
package fabric

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	ourfabric "github.com/balsampier/balsampier/fabric"
)

// idle is how long a caller's socket stays without a datagram.
const idle = 2 * time.Minute

type (
	// Route says which balancers take the packets to a service address.
	Route struct {
		Service   netip.AddrPort
		Balancers []netip.AddrPort
	}

	route struct {
		Route
		clock  balsampier.Clock
		random balsampier.Random
		conn   *net.UDPConn

		mu sync.Mutex
		// callers holds one socket per caller, so that balancers tell callers
		// apart by their source.
		callers map[netip.AddrPort]*net.UDPConn
	}
)

// Run sprays datagrams until c ends.
func Run(c context.Context, rs []Route, k balsampier.Clock, r balsampier.Random) error {
	errs := make(chan error, len(rs))
	for _, v := range rs {
		conn, err := ourfabric.ListenUDP(v.Service)
		if err != nil {
			return err
		}
		t := &route{Route: v, clock: k, random: r, conn: conn, callers: make(map[netip.AddrPort]*net.UDPConn)}
		context.AfterFunc(c, func() { _ = conn.Close() })
		go func() { errs <- t.receive(c) }()
	}
	return <-errs
}

func (r *route) receive(c context.Context) error {
	b := make([]byte, ourfabric.MaxDatagramBytes)
	for c.Err() == nil {
		n, a, err := r.conn.ReadFromUDPAddrPort(b)
		if err != nil && c.Err() == nil {
			return trace.Wrap(err)
		}
		s, err := r.socket(c, a)
		if err != nil {
			continue
		}
		to := r.Balancers[r.random.Uint64()%uint64(len(r.Balancers))]
		// A balancer that is down loses the datagram, as on a real network.
		_, _ = s.WriteToUDPAddrPort(b[:n], to)
	}
	return nil
}

// socket returns the socket that stands for the caller.
func (r *route) socket(c context.Context, a netip.AddrPort) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.callers[a]; ok {
		return s, nil
	}
	s, err := ourfabric.ListenUDP(netip.AddrPortFrom(a.Addr(), 0))
	if err != nil {
		return nil, err
	}
	r.callers[a] = s
	go r.answer(c, s, a)
	return s, nil
}

// answer hands answers to the caller until it is idle.
func (r *route) answer(c context.Context, s *net.UDPConn, a netip.AddrPort) {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.callers, a)
		_ = s.Close()
	}()
	b := make([]byte, ourfabric.MaxDatagramBytes)
	for c.Err() == nil {
		_ = s.SetReadDeadline(r.clock.Now().Add(idle))
		n, _, err := s.ReadFromUDPAddrPort(b)
		if err != nil {
			if trace.IsConnectionProblem(err) {
				continue
			}
			return
		}
		if _, err := r.conn.WriteToUDPAddrPort(b[:n], a); err != nil {
			return
		}
	}
}
