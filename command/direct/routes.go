package direct

import (
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// routes are the routes in force.
	routes struct {
		// revision is zero before the first routes.
		revision balsampier.Revision
		idle     time.Duration
		to       map[netip.AddrPort]*route
		// earlier holds the services that each address ever had: flows stay
		// where they are when a route changes.
		earlier map[netip.AddrPort][]balsampier.ServiceName
	}

	route struct {
		targets []balsampier.Target
		// total is the sum of the weights; positive.
		total int
	}
)

// AdoptRoutes takes over newer routes.
func (d *Director) AdoptRoutes(r balsampier.RouteFile) {
	if r.Version <= d.routes.revision {
		return
	}
	n := routes{
		revision: r.Version, idle: r.IdleTimeout, to: make(map[netip.AddrPort]*route, len(r.Routes)),
		earlier: d.routes.earlier,
	}
	if n.earlier == nil {
		n.earlier = make(map[netip.AddrPort][]balsampier.ServiceName)
	}
	for _, v := range r.Routes {
		x := &route{targets: v.Targets}
		for _, g := range v.Targets {
			x.total += g.Weight
			if !slices.Contains(n.earlier[v.To], g.Service) {
				n.earlier[v.To] = append(n.earlier[v.To], g.Service)
			}
		}
		n.to[v.To] = x
	}
	d.routes = n
}

func (r *routes) find(to netip.AddrPort) (*route, bool) {
	x, ok := r.to[to]
	return x, ok
}

// services are those that may have flows to the address.
func (r *routes) services(to netip.AddrPort) []balsampier.ServiceName { return r.earlier[to] }

// choose picks a service by weight, the same for every packet of a flow at
// every balancer with the same routes.
func (r *route) choose(k balsampier.FlowKey) balsampier.ServiceName {
	n := int(k.Lo % uint64(r.total))
	for _, t := range r.targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return r.targets[0].Service
}
