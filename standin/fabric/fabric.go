// Package fabric simulates the network fabric: it forwards each datagram of a
// caller to a random balancer of the service address.
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

// callerIdleTimeout is how long a caller's socket stays open without a datagram
// from a balancer.
const callerIdleTimeout = 2 * time.Minute

type (
	// Route lists the balancers that receive the packets to a service address.
	Route struct {
		Service   netip.AddrPort
		Balancers []netip.AddrPort
	}

	router struct {
		Route
		clock  balsampier.Clock
		random balsampier.Random
		conn   *net.UDPConn

		mu sync.Mutex
		// callers holds one socket for each caller, so that balancers can
		// distinguish callers by their source address. mu guards it.
		callers map[netip.AddrPort]*net.UDPConn
	}
)

// Run forwards datagrams of all routes until c ends or one route fails.
func Run(c context.Context, rs []Route, k balsampier.Clock, r balsampier.Random) error {
	errs := make(chan error, len(rs))
	for _, v := range rs {
		conn, err := ourfabric.ListenUDP(v.Service)
		if err != nil {
			return err
		}
		t := &router{Route: v, clock: k, random: r, conn: conn, callers: make(map[netip.AddrPort]*net.UDPConn)}
		context.AfterFunc(c, func() { _ = conn.Close() })
		go func() { errs <- t.forwardDatagrams(c) }()
	}
	return <-errs
}

// forwardDatagrams forwards each datagram to a random balancer until c ends.
func (r *router) forwardDatagrams(c context.Context) error {
	b := make([]byte, ourfabric.MaxDatagramBytes)
	for c.Err() == nil {
		n, a, err := r.conn.ReadFromUDPAddrPort(b)
		if err != nil && c.Err() == nil {
			return trace.Wrap(err)
		}
		s, err := r.callerSocket(c, a)
		if err != nil {
			continue
		}
		to := r.Balancers[r.random.Uint64()%uint64(len(r.Balancers))]
		// A datagram to a balancer that is down is lost, as on a real network.
		_, _ = s.WriteToUDPAddrPort(b[:n], to)
	}
	return nil
}

// callerSocket returns the socket from which the datagrams of the caller at a
// are sent. It opens one if the caller has none.
func (r *router) callerSocket(c context.Context, a netip.AddrPort) (*net.UDPConn, error) {
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
	go r.forwardReplies(c, s, a)
	return s, nil
}

// forwardReplies forwards datagrams from the balancers to the caller at a. It
// closes the socket after callerIdleTimeout without one.
func (r *router) forwardReplies(c context.Context, s *net.UDPConn, a netip.AddrPort) {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.callers, a)
		_ = s.Close()
	}()
	b := make([]byte, ourfabric.MaxDatagramBytes)
	for c.Err() == nil {
		_ = s.SetReadDeadline(r.clock.Now().Add(callerIdleTimeout))
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
