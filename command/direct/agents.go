package direct

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// departedFlowTTL is how long an agent that departed from the view may
	// still have flows. It exceeds the idle time-out of flows.
	departedFlowTTL = 20 * time.Second
	// loadTTL is how long a reported load is valid.
	loadTTL = 5 * time.Second
	// remoteCost is added to the flows per slot of an agent in another data
	// centre, because traffic between data centres has a price.
	remoteCost = 0.35
	// coldCost is added to the flows per slot of an agent that has just joined
	// the view.
	coldCost = 1.0
	// coldWindow is how long after joining the view an agent counts as cold.
	coldWindow = 2 * time.Second
)

type (
	// agents holds the agents in the view and those that departed recently.
	agents struct {
		byAddr    map[netip.AddrPort]*agent
		byService map[balsampier.ServiceName][]*agent
	}

	agent struct {
		addr    netip.AddrPort
		service balsampier.ServiceName
		zone    balsampier.DataCentre
		slots   int
		// draining agents accept no new flows.
		draining bool
		// incarnation identifies the run of the agent.
		incarnation balsampier.Incarnation
		// departedAt is when the agent left the view; zero while it is in the
		// view.
		departedAt time.Time
		// silence is that of the present run, as far as this balancer asked it.
		silence silence
		// hasServerEnded is true if this run of the agent reported that its
		// server has ended.
		hasServerEnded bool
		// joinedAt is when the agent joined the view, runSeenAt when its present
		// run was first seen there.
		joinedAt, runSeenAt time.Time
		// load is the load last reported, at loadAt; placedSinceLoad counts the
		// flows placed on the agent since then.
		load            balsampier.Load
		loadAt          time.Time
		placedSinceLoad int
		// suspectUntil is until when the agent is chosen only if there is no
		// other.
		suspectUntil time.Time
	}

	// silence is a time in which an agent did not reply to searches that followed
	// each other closely. Any sign that the agent lives ends it, and so does a
	// time without searches, which the agent would have replied to.
	silence struct {
		// missed counts the searches, the first of which ended without a reply
		// at firstMissAt and the last at lastMissAt.
		missed                  int
		firstMissAt, lastMissAt time.Time
	}
)

func newAgents() agents { return agents{byAddr: make(map[netip.AddrPort]*agent)} }

// AdoptView switches to a newer view at time t.
func (d *Director) AdoptView(v balsampier.View, t time.Time) {
	g := &d.agents
	if d.started.IsZero() {
		d.started = t
	}
	ms := agentsByAddr(v)
	for _, m := range ms {
		a := g.byAddr[m.Addr]
		if a == nil || a.service != m.Service {
			a = &agent{addr: m.Addr, service: m.Service, joinedAt: t}
			g.byAddr[m.Addr] = a
		}
		if !a.departedAt.IsZero() {
			a.silence = silence{}
		}
		a.zone, a.slots, a.draining, a.departedAt = m.DataCentre, max(m.Slots, 1), m.Draining, time.Time{}
		// A later run has a lower incarnation if the clock was set back.
		if m.Incarnation != a.incarnation || a.runSeenAt.IsZero() {
			a.incarnation, a.hasServerEnded, a.silence, a.runSeenAt = m.Incarnation, false, silence{}, t
		}
	}
	for k, a := range g.byAddr {
		if _, ok := ms[k]; !ok && a.departedAt.IsZero() {
			a.departedAt = t
		}
	}
	g.rebuildIndex()
}

// agentsByAddr returns the agents of a view. If two members have the same
// address, the last one that is not draining counts.
func agentsByAddr(v balsampier.View) map[netip.AddrPort]balsampier.Member {
	ms := make(map[netip.AddrPort]balsampier.Member, len(v.Members))
	for _, m := range v.Members {
		if _, ok := ms[m.Addr]; m.Role == balsampier.RoleAgent && (!ok || !m.Draining) {
			ms[m.Addr] = m
		}
	}
	return ms
}

func (g *agents) rebuildIndex() {
	g.byService = make(map[balsampier.ServiceName][]*agent)
	for _, a := range g.byAddr {
		g.byService[a.service] = append(g.byService[a.service], a)
	}
	for _, as := range g.byService {
		slices.SortFunc(as, func(x, y *agent) int { return x.addr.Compare(y.addr) })
	}
}

// evictDeparted removes the agents that departed more than departedAgentTTL
// ago.
func (g *agents) evictDeparted(t time.Time) {
	n := len(g.byAddr)
	for k, a := range g.byAddr {
		if !a.departedAt.IsZero() && t.Sub(a.departedAt) > departedAgentTTL {
			delete(g.byAddr, k)
		}
	}
	if len(g.byAddr) != n {
		g.rebuildIndex()
	}
}

// choose returns the agent for a new flow and the number of candidates. The
// agent is the least loaded of those with the highest scores for the flow.
func (g *agents) choose(f *flow, zone balsampier.DataCentre, t time.Time) (netip.AddrPort, int) {
	var eligible, suspects []*agent
	for _, a := range g.byService[f.service] {
		switch {
		case a.draining || a.hasServerEnded || !a.departedAt.IsZero() || slices.Contains(f.excludedAgents, a.addr):
		case t.Before(a.suspectUntil):
			suspects = append(suspects, a)
		default:
			eligible = append(eligible, a)
		}
	}
	n := len(eligible) + len(suspects)
	if len(eligible) == 0 {
		eligible = suspects
	}
	if len(eligible) == 0 {
		return netip.AddrPort{}, n
	}
	eligible = highestScored(f.segment.Key, eligible, maxHighestScored)
	return slices.MinFunc(eligible, func(x, y *agent) int { return cmp.Compare(x.cost(zone, t), y.cost(zone, t)) }).addr, n
}

// highestScored returns the n agents with the highest scores for a flow,
// highest first.
func highestScored(k balsampier.FlowKey, as []*agent, n int) []*agent {
	top, scores := make([]*agent, 0, n+1), make([]uint64, 0, n+1)
	for _, a := range as {
		s := k.Score(a.addr)
		if len(top) == n && s <= scores[n-1] {
			continue
		}
		i := len(top)
		for i > 0 && scores[i-1] < s {
			i--
		}
		top, scores = slices.Insert(top, i, a), slices.Insert(scores, i, s)
		top, scores = top[:min(len(top), n)], scores[:min(len(scores), n)]
	}
	return top
}

// cost returns the flows per slot after one more flow, plus remoteCost and
// coldCost where they apply.
func (a *agent) cost(zone balsampier.DataCentre, t time.Time) float64 {
	n := a.placedSinceLoad
	if t.Sub(a.loadAt) < loadTTL {
		n += a.load.Connections + a.load.Running
	}
	c := float64(n+1) / float64(a.slots)
	if a.zone != zone {
		c += remoteCost
	}
	if t.Sub(a.joinedAt) < coldWindow {
		c += coldCost
	}
	return c
}

// likelyHolders returns the n agents of the given services that most likely
// hold a flow, the most likely one first.
func (g *agents) likelyHolders(k balsampier.FlowKey, ss []balsampier.ServiceName, n int) []netip.AddrPort {
	var as []*agent
	for _, s := range ss {
		for _, a := range g.byService[s] {
			if a.departedAt.IsZero() && !a.hasServerEnded {
				as = append(as, a)
			}
		}
	}
	return addrs(highestScored(k, as, n))
}

// searchTargets returns the agents that are sent a search. Agents that left the
// view are among them, because an agent that lost its connection to control
// still has its flows.
func (g *agents) searchTargets() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(g.byAddr))
	for k, a := range g.byAddr {
		if !a.hasServerEnded {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// expectedRepliers returns the agents whose replies a search waits for: all
// that are reachable.
func (g *agents) expectedRepliers(t time.Time) []netip.AddrPort {
	return g.reachable(g.searchTargets(), t)
}

// reachable returns those of the agents that are known and reachable.
func (g *agents) reachable(as []netip.AddrPort, t time.Time) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(as), func(k netip.AddrPort) bool {
		a := g.byAddr[k]
		return a == nil || a.isUnreachable(t)
	})
}

// seenSince returns the agents whose present run was first seen in the view
// after time t. A search that started at t did not ask them.
func (g *agents) seenSince(t time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for k, a := range g.byAddr {
		if a.runSeenAt.After(t) {
			out = append(out, k)
		}
	}
	return out
}

// recordMissedSearch records the agents that did not reply to a search. If they
// are the majority, the fault is likely at this balancer and nothing is
// recorded.
func (g *agents) recordMissedSearch(as []netip.AddrPort, t time.Time) {
	if 2*len(as) > len(g.byAddr) {
		return
	}
	for _, k := range as {
		if a := g.byAddr[k]; a != nil {
			a.silence.extend(t)
		}
	}
}

// extend adds a missed search.
func (s *silence) extend(t time.Time) {
	if s.missed == 0 || t.Sub(s.lastMissAt) > maxSilenceGap {
		*s = silence{firstMissAt: t}
	}
	s.missed++
	s.lastMissAt = t
}

// isUnreachable reports whether no reply is expected from the agent. Either its
// server has ended, or the agent has been silent for longer than a restart takes.
// The latter expires unreachableTTL after the last missed search, so that the
// agent is asked again.
func (a *agent) isUnreachable(t time.Time) bool {
	return a.hasServerEnded || a.isGone() && t.Sub(a.silence.lastMissAt) < unreachableTTL
}

// isGone reports whether the agent was silent for so long that its flows count
// as lost. An agent outside the view has already lost its lease.
func (a *agent) isGone() bool {
	w := minSilenceInView
	if !a.departedAt.IsZero() {
		w = minSilenceOutsideView
	}
	s := &a.silence
	return s.missed >= minMissedSearches && s.lastMissAt.Sub(s.firstMissAt) >= w
}

// mayBeAtDeparted reports whether an agent that has left the view may still
// hold flows to the address.
func (d *Director) mayBeAtDeparted(to netip.AddrPort, t time.Time) bool {
	for _, a := range d.agents.byAddr {
		if !a.departedAt.IsZero() && !a.isUnreachable(t) && t.Sub(a.departedAt) < departedFlowTTL && d.mayHold(a, to, t) {
			return true
		}
	}
	return false
}

// mayHold reports whether an agent may hold flows to the address. A balancer
// that started recently does not know which services the route had before, so
// any agent counts.
func (d *Director) mayHold(a *agent, to netip.AddrPort, t time.Time) bool {
	return t.Sub(d.started) < departedAgentTTL || slices.Contains(d.routes.possibleServices(to), a.service)
}

// handleShutdown records that the server of an agent has ended, and completes
// the agent's pending searches: its server has none of the flows.
func (d *Director) handleShutdown(from netip.AddrPort, i balsampier.Incarnation, t time.Time) {
	a := d.agents.byAddr[from]
	if a == nil || a.incarnation != i || a.hasServerEnded {
		return
	}
	a.hasServerEnded = true
	d.pendingActions = append(d.pendingActions, Action{Event: Event{Name: "server ended", Agent: from, Service: a.service, Revision: d.routes.revision}})
	for _, s := range slices.Clone(d.searches.activeSearches) {
		d.handleSearchReply(from, balsampier.Relay{Kind: balsampier.RelayNotFound, Flow: balsampier.FlowKey{Lo: s.number}}, t)
	}
}

// recordReply records the load and the availability that an agent's reply
// shows.
func (g *agents) recordReply(from netip.AddrPort, r balsampier.Relay, t time.Time) {
	a := g.byAddr[from]
	if a == nil {
		return
	}
	a.silence = silence{}
	if r.Load.Slots > 0 {
		a.load, a.loadAt, a.placedSinceLoad = r.Load, t, 0
	}
	switch {
	case r.Kind == balsampier.RelayAccepted:
		a.suspectUntil = time.Time{}
	case r.Kind != balsampier.RelayRefused:
	case r.Reason == balsampier.ReasonTimeout, r.Reason == balsampier.ReasonUnanswered, r.Reason == balsampier.ReasonFull:
		a.suspectUntil = t.Add(suspectWindow)
	case r.Reason == balsampier.ReasonDraining:
		a.draining = true
	}
}

func (g *agents) countPlacement(to netip.AddrPort) {
	if a := g.byAddr[to]; a != nil {
		a.placedSinceLoad++
	}
}

func (g *agents) markSuspect(to netip.AddrPort, t time.Time) {
	if a := g.byAddr[to]; a != nil {
		a.suspectUntil = t.Add(suspectWindow)
	}
}

func addrs(as []*agent) []netip.AddrPort {
	out := make([]netip.AddrPort, len(as))
	for i, a := range as {
		out[i] = a.addr
	}
	return out
}

func exclude(as, not []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(as, func(a netip.AddrPort) bool { return slices.Contains(not, a) })
}

// removeAddr removes a from as and reports whether it was present.
func removeAddr(as *[]netip.AddrPort, a netip.AddrPort) bool {
	i := slices.Index(*as, a)
	if i < 0 {
		return false
	}
	*as = slices.Delete(*as, i, i+1)
	return true
}
