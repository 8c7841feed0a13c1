package app

import (
	"net/netip"
	"sync"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// routeFresh is how long the last balancer of a caller is trusted to be
	// alive without a further packet.
	routeFresh = 300 * time.Millisecond

	// routeRotation is how often routes that were not used are forgotten;
	// it is longer than the period of keep-alive packets.
	routeRotation = time.Minute

	// maxRoutes bounds each generation of routes.
	maxRoutes = 1 << 16
)

type (
	// routes remembers through which balancer each caller was last heard.
	routes struct {
		mu sync.Mutex
		// recent and before are two generations; a route that is used moves to
		// recent.
		recent, before map[netip.AddrPort]*route
		rotated        time.Time
		// turn walks over the balancers of the view.
		turn int
	}

	route struct {
		balancer netip.AddrPort
		heard    time.Time
	}
)

func newRoutes(t time.Time) *routes {
	return &routes{
		recent: make(map[netip.AddrPort]*route), before: make(map[netip.AddrPort]*route), rotated: t,
	}
}

// heard records a packet of caller c through balancer b.
func (r *routes) heard(c, b netip.AddrPort, t time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.find(c, t)
	if v == nil {
		v = &route{}
		r.keep(c, v, t)
	}
	v.balancer, v.heard = b, t
}

// choose returns the balancer for an answer to c: the one it was just heard
// through, and otherwise each balancer of the view in turn, so that a dead
// one costs single packets only.
func (r *routes) choose(c netip.AddrPort, v balsampier.View, t time.Time) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.find(c, t)
	if k != nil && t.Sub(k.heard) < routeFresh {
		return k.balancer, true
	}
	for range v.Members {
		r.turn = (r.turn + 1) % len(v.Members)
		if m := v.Members[r.turn]; m.Role == balsampier.RoleBalancer {
			return m.Addr, true
		}
	}
	if k != nil {
		return k.balancer, true
	}
	return netip.AddrPort{}, false
}

// find is called with mu held.
func (r *routes) find(c netip.AddrPort, t time.Time) *route {
	if t.Sub(r.rotated) > routeRotation {
		r.rotate(t)
	}
	if v, ok := r.recent[c]; ok {
		return v
	}
	v, ok := r.before[c]
	if !ok {
		return nil
	}
	delete(r.before, c)
	r.keep(c, v, t)
	return v
}

// keep is called with mu held.
func (r *routes) keep(c netip.AddrPort, v *route, t time.Time) {
	if len(r.recent) >= maxRoutes {
		r.rotate(t)
	}
	r.recent[c] = v
}

func (r *routes) rotate(t time.Time) {
	r.before, r.recent, r.rotated = r.recent, make(map[netip.AddrPort]*route), t
}
