package direct

import (
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// routes holds the routes in force.
	routes struct {
		// revision is zero before the first routes are adopted.
		revision        balsampier.Revision
		idleFlowTimeout time.Duration
		routesByAddr    map[netip.AddrPort]*route
		// servicesSeen holds all services that each address has had, because
		// flows stay on their servers when a route changes.
		servicesSeen map[netip.AddrPort][]balsampier.ServiceName
	}

	route struct {
		targets []balsampier.Target
		// totalWeight is the sum of the targets' weights; positive.
		totalWeight int
		// traffic is kept when the route changes.
		traffic *traffic
	}
)

// AdoptRoutes switches to newer routes.
func (d *Director) AdoptRoutes(r balsampier.RouteFile) {
	if r.Version <= d.routes.revision {
		return
	}
	n := routes{
		revision: r.Version, idleFlowTimeout: r.IdleTimeout, routesByAddr: make(map[netip.AddrPort]*route, len(r.Routes)),
		servicesSeen: d.routes.servicesSeen,
	}
	if n.servicesSeen == nil {
		n.servicesSeen = make(map[netip.AddrPort][]balsampier.ServiceName)
	}
	for _, v := range r.Routes {
		x := &route{targets: v.Targets, traffic: new(traffic)}
		if o := d.routes.routesByAddr[v.To]; o != nil {
			x.traffic = o.traffic
		}
		for _, g := range v.Targets {
			x.totalWeight += g.Weight
			if !slices.Contains(n.servicesSeen[v.To], g.Service) {
				n.servicesSeen[v.To] = append(n.servicesSeen[v.To], g.Service)
			}
		}
		n.routesByAddr[v.To] = x
	}
	d.routes = n
}

func (r *routes) find(to netip.AddrPort) (*route, bool) {
	x, ok := r.routesByAddr[to]
	return x, ok
}

// possibleServices returns the services that may have flows to the address.
func (r *routes) possibleServices(to netip.AddrPort) []balsampier.ServiceName {
	return r.servicesSeen[to]
}

// allows reports whether new flows may go to the service.
func (r *route) allows(s balsampier.ServiceName) bool {
	return slices.ContainsFunc(r.targets, func(t balsampier.Target) bool { return t.Service == s && t.Weight > 0 })
}

// choose selects a service by weight. The choice depends only on the flow and
// the route, so that all balancers with the same routes agree on it.
func (r *route) choose(k balsampier.FlowKey) balsampier.ServiceName {
	n := int(k.Lo % uint64(r.totalWeight))
	for _, t := range r.targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return r.targets[0].Service
}
