package app

import (
	"net/netip"
	"sync"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// routeTTL is how long the last balancer of a caller is assumed to be alive
	// without another packet.
	routeTTL = 300 * time.Millisecond

	// routeRotationInterval is how often unused routes are evicted. It is
	// longer than the interval of keep-alive packets.
	routeRotationInterval = time.Minute

	// maxRoutes bounds each generation of routes.
	maxRoutes = 1 << 16
)

type (
	// routes records the balancer that last sent a packet of each caller.
	routes struct {
		mu sync.Mutex
		// recent and previous are two generations of routes. A route that is
		// used moves to recent.
		recent, previous map[netip.AddrPort]*route
		rotated          time.Time
		// memberIndex is the index of the view's member that choose last looked
		// at.
		memberIndex int
	}

	// route is the last balancer of a caller.
	route struct {
		balancer netip.AddrPort
		lastSeen time.Time
	}
)

func newRoutes(t time.Time) *routes {
	return &routes{
		recent: make(map[netip.AddrPort]*route), previous: make(map[netip.AddrPort]*route), rotated: t,
	}
}

// recordBalancer records a packet of caller c through balancer b.
func (r *routes) recordBalancer(c, b netip.AddrPort, t time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.find(c, t)
	if v == nil {
		v = &route{}
		r.insert(c, v, t)
	}
	v.balancer, v.lastSeen = b, t
}

// choose returns the balancer for a packet to caller c: the last one if its
// route is fresh, and otherwise each balancer of the view in turn, so that a
// dead balancer loses only single packets.
func (r *routes) choose(c netip.AddrPort, v balsampier.View, t time.Time) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.find(c, t)
	if k != nil && t.Sub(k.lastSeen) < routeTTL {
		return k.balancer, true
	}
	for range v.Members {
		r.memberIndex = (r.memberIndex + 1) % len(v.Members)
		if m := v.Members[r.memberIndex]; m.Role == balsampier.RoleBalancer {
			return m.Addr, true
		}
	}
	if k != nil {
		return k.balancer, true
	}
	return netip.AddrPort{}, false
}

// find returns the route of c, or nil. mu must be held.
func (r *routes) find(c netip.AddrPort, t time.Time) *route {
	if t.Sub(r.rotated) > routeRotationInterval {
		r.rotate(t)
	}
	if v, ok := r.recent[c]; ok {
		return v
	}
	v, ok := r.previous[c]
	if !ok {
		return nil
	}
	delete(r.previous, c)
	r.insert(c, v, t)
	return v
}

// insert adds a route to the recent generation. mu must be held.
func (r *routes) insert(c netip.AddrPort, v *route, t time.Time) {
	if len(r.recent) >= maxRoutes {
		r.rotate(t)
	}
	r.recent[c] = v
}

// rotate evicts the previous generation. mu must be held.
func (r *routes) rotate(t time.Time) {
	r.previous, r.recent, r.rotated = r.recent, make(map[netip.AddrPort]*route), t
}
