package direct

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// unseenFor is how long an agent that left the view may still have flows:
	// longer than their idle time-out.
	unseenFor = 20 * time.Second
	// loadFor is how long a reported load counts.
	loadFor = 5 * time.Second
	// farCost is what an agent in another data centre counts as more flows on
	// each slot: traffic between data centres has a price.
	farCost = 0.35
	// coldCost is the same for a server that has just come into the view.
	coldCost = 1.0
	// coldFor is how long a server counts as cold.
	coldFor = 2 * time.Second
)

type (
	// agents are those of the view, and those that left it lately.
	agents struct {
		byAddr  map[netip.AddrPort]*agent
		service map[balsampier.ServiceName][]*agent
	}

	agent struct {
		addr    netip.AddrPort
		service balsampier.ServiceName
		zone    balsampier.DataCentre
		slots   int
		// draining agents take no new flows.
		draining bool
		// incarnation is the run of the agent.
		incarnation balsampier.Incarnation
		// left is when the agent left the view; zero while it is in it.
		left time.Time
		// misses counts the searches in turn that the agent did not answer, the
		// first of them at silentAt, the newest at missedAt.
		misses             int
		silentAt, missedAt time.Time
		// ended is true once this run of the agent said that its server has
		// ended.
		ended bool
		// joined is when the agent came into the view.
		joined time.Time
		// load is the newest that the agent reported, at loadAt; recent counts
		// the flows placed there since.
		load   balsampier.Load
		loadAt time.Time
		recent int
		// suspectUntil is until when the agent is chosen last.
		suspectUntil time.Time
	}
)

func newAgents() agents { return agents{byAddr: make(map[netip.AddrPort]*agent)} }

// AdoptView takes over a newer view at time t.
func (d *Director) AdoptView(v balsampier.View, t time.Time) {
	g := &d.agents
	if d.started.IsZero() {
		d.started = t
	}
	seen := make(map[netip.AddrPort]bool, len(v.Members))
	for _, m := range v.Members {
		if m.Role != balsampier.RoleAgent {
			continue
		}
		a := g.byAddr[m.Addr]
		if a == nil || a.service != m.Service {
			a = &agent{addr: m.Addr, service: m.Service, joined: t}
			g.byAddr[m.Addr] = a
		}
		// Of two members at one address the one that takes flows counts.
		if !seen[m.Addr] || !m.Draining {
			a.zone, a.slots, a.draining, a.left = m.DataCentre, max(m.Slots, 1), m.Draining, time.Time{}
		}
		seen[m.Addr] = true
		if m.Incarnation > a.incarnation {
			a.incarnation, a.ended = m.Incarnation, false
		}
	}
	for k, a := range g.byAddr {
		if !seen[k] && a.left.IsZero() {
			a.left = t
		}
	}
	g.index()
}

func (g *agents) index() {
	g.service = make(map[balsampier.ServiceName][]*agent)
	for _, a := range g.byAddr {
		g.service[a.service] = append(g.service[a.service], a)
	}
	for _, as := range g.service {
		slices.SortFunc(as, func(x, y *agent) int { return x.addr.Compare(y.addr) })
	}
}

// sweep forgets agents that left long ago.
func (g *agents) sweep(t time.Time) {
	n := len(g.byAddr)
	for k, a := range g.byAddr {
		if !a.left.IsZero() && t.Sub(a.left) > departedFor {
			delete(g.byAddr, k)
		}
	}
	if len(g.byAddr) != n {
		g.index()
	}
}

// choose returns the agent for a new flow, and how many there were to choose
// from: the least loaded of the first in the order of the flow.
func (g *agents) choose(f *flow, zone balsampier.DataCentre, t time.Time) (netip.AddrPort, int) {
	var fit, doubtful []*agent
	for _, a := range g.service[f.service] {
		switch {
		case a.draining || a.ended || !a.left.IsZero() || slices.Contains(f.tried, a.addr):
		case t.Before(a.suspectUntil):
			doubtful = append(doubtful, a)
		default:
			fit = append(fit, a)
		}
	}
	n := len(fit) + len(doubtful)
	if len(fit) == 0 {
		fit = doubtful
	}
	if len(fit) == 0 {
		return netip.AddrPort{}, n
	}
	fit = first(f.segment.Key, fit)
	return slices.MinFunc(fit, func(x, y *agent) int { return cmp.Compare(x.cost(zone, t), y.cost(zone, t)) }).addr, n
}

// first returns the agents that come first in the order of the flow.
func first(k balsampier.FlowKey, as []*agent) []*agent {
	type ranked struct {
		a    *agent
		rank uint64
	}
	rs := make([]ranked, len(as))
	for i, a := range as {
		rs[i] = ranked{a: a, rank: k.Score(a.addr)}
	}
	slices.SortFunc(rs, func(x, y ranked) int { return cmp.Compare(y.rank, x.rank) })
	rs = rs[:min(len(rs), firstAsked)]
	out := make([]*agent, len(rs))
	for i, r := range rs {
		out[i] = r.a
	}
	return out
}

// cost is the load on a slot after one more flow.
func (a *agent) cost(zone balsampier.DataCentre, t time.Time) float64 {
	n := a.recent
	if t.Sub(a.loadAt) < loadFor {
		n += a.load.Connections + a.load.Running
	}
	c := float64(n+1) / float64(a.slots)
	if a.zone != zone {
		c += farCost
	}
	if t.Sub(a.joined) < coldFor {
		c += coldCost
	}
	return c
}

// likely returns the agents that most likely have a flow.
func (g *agents) likely(k balsampier.FlowKey, ss []balsampier.ServiceName, not []netip.AddrPort) []netip.AddrPort {
	var as []*agent
	for _, s := range ss {
		for _, a := range g.service[s] {
			if a.left.IsZero() && !a.ended {
				as = append(as, a)
			}
		}
	}
	return without(addrs(first(k, as)), not)
}

// all returns the agents that a search asks. Those that left the view are
// among them: an agent that is cut off from control has its flows yet.
func (g *agents) all() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(g.byAddr))
	for k, a := range g.byAddr {
		if !a.ended {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// awaited returns the agents whose answers a search waits for: all but those
// that are gone.
func (g *agents) awaited(t time.Time) []netip.AddrPort {
	return slices.DeleteFunc(g.all(), func(a netip.AddrPort) bool { return g.byAddr[a].gone(t) })
}

// missed takes in which agents did not answer a search. Where that is most of
// them the fault is on this side.
func (g *agents) missed(as []netip.AddrPort, t time.Time) {
	if 2*len(as) > len(g.byAddr) {
		return
	}
	for _, k := range as {
		a := g.byAddr[k]
		if a == nil {
			continue
		}
		if a.misses++; a.misses == 1 {
			a.silentAt = t
		}
		a.missedAt = t
	}
}

// gone reports whether the agent is not waited for: its server has ended, or it
// is out of touch with this balancer and, after a while, with control.
func (a *agent) gone(t time.Time) bool {
	silent := a.misses >= goneAfter && (!a.left.IsZero() || a.missedAt.Sub(a.silentAt) >= goneFor)
	return a.ended || silent && t.Sub(a.missedAt) < goneValid
}

// unseen reports whether an agent that may have flows to the address may live
// outside of the view.
func (d *Director) unseen(to netip.AddrPort, t time.Time) bool {
	for _, a := range d.agents.byAddr {
		if !a.left.IsZero() && !a.gone(t) && t.Sub(a.left) < unseenFor && d.mayHave(a, to, t) {
			return true
		}
	}
	return false
}

// mayHave reports whether an agent may have flows to the address. A balancer
// that started lately does not know which services the route had before.
func (d *Director) mayHave(a *agent, to netip.AddrPort, t time.Time) bool {
	return t.Sub(d.started) < departedFor || slices.Contains(d.routes.services(to), a.service)
}

// end takes in that the server beside an agent has ended, and gives up what is
// asked of the agent.
func (d *Director) end(from netip.AddrPort, i balsampier.Incarnation, t time.Time) {
	a := d.agents.byAddr[from]
	if a == nil || a.incarnation != i || a.ended {
		return
	}
	a.ended = true
	d.out = append(d.out, Action{LogEvent: LogEvent{EventName: "server ended", Agent: from, Service: a.service, Revision: d.routes.revision}})
	for _, s := range slices.Clone(d.searches.under) {
		d.searched(from, balsampier.Relay{Kind: balsampier.RelayNotFound, Flow: balsampier.FlowKey{Lo: s.number}}, t)
	}
}

// heard takes in the load of an agent that answered.
func (g *agents) heard(from netip.AddrPort, r balsampier.Relay, t time.Time) {
	a := g.byAddr[from]
	if a == nil {
		return
	}
	a.misses = 0
	if r.Load.Slots > 0 {
		a.load, a.loadAt, a.recent = r.Load, t, 0
	}
	switch {
	case r.Kind == balsampier.RelayAccepted:
		a.suspectUntil = time.Time{}
	case r.Kind != balsampier.RelayRefused:
	case r.Reason == balsampier.ReasonTimeout, r.Reason == balsampier.ReasonUnanswered, r.Reason == balsampier.ReasonFull:
		a.suspectUntil = t.Add(suspectFor)
	case r.Reason == balsampier.ReasonDraining:
		a.draining = true
	}
}

func (g *agents) placed(to netip.AddrPort) {
	if a := g.byAddr[to]; a != nil {
		a.recent++
	}
}

func (g *agents) suspect(to netip.AddrPort, t time.Time) {
	if a := g.byAddr[to]; a != nil {
		a.suspectUntil = t.Add(suspectFor)
	}
}

func addrs(as []*agent) []netip.AddrPort {
	out := make([]netip.AddrPort, len(as))
	for i, a := range as {
		out[i] = a.addr
	}
	return out
}

func without(as, not []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(as, func(a netip.AddrPort) bool { return slices.Contains(not, a) })
}

// drop removes a from as and reports whether it was there.
func drop(as *[]netip.AddrPort, a netip.AddrPort) bool {
	i := slices.Index(*as, a)
	if i < 0 {
		return false
	}
	*as = slices.Delete(*as, i, i+1)
	return true
}
