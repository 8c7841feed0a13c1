package direct

import (
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

// handleFound records the holder of the flow and forwards the parked packets to
// it.
func (d *Director) handleFound(f *flow, from netip.AddrPort, t time.Time) {
	// A flow that is not established was never looked up: the reply is about an
	// earlier flow.
	if !f.isEstablished || f.state == stateOpen && f.agent == from {
		return
	}
	if f.state != stateProbing {
		d.recordRoundTrip(f, !slices.Contains(f.pendingAgents, from), t)
	}
	d.logEvent("found", f, from, balsampier.ReasonNone, 0)
	f.state, f.agent, f.requeryInterval, f.firstAskedAt, f.otherHolder = stateOpen, from, 0, time.Time{}, netip.AddrPort{}
	f.attempt++
	for _, b := range f.packets {
		d.sendRelay(f, balsampier.RelayDeliver, from, b)
	}
	d.unpark(f)
}

// handleNotFound processes a reply that an agent does not have the flow or is
// uncertain. A reply that returns a packet may also arrive while the flow is
// open or opening.
func (d *Director) handleNotFound(f *flow, from netip.AddrPort, r balsampier.Relay, t time.Time) {
	switch f.state {
	case stateOpen, stateOpening:
		switch {
		case len(r.Payload) == 0 || !f.isEstablished:
		case f.agent == from:
			d.logEvent("denied", f, from, balsampier.ReasonUnknownFlow, 0)
			f.forgetLookup()
			f.recordReturned(from)
			f.recordOtherHolder(from, r)
			f.excludedAgents = append(f.excludedAgents[:0], from)
			d.unpark(f)
			d.park(f, r.Payload)
			d.queryLikely(f, t)
		default:
			d.sendRelay(f, balsampier.RelayDeliver, f.agent, r.Payload)
		}
	case stateQuerying:
		if len(r.Payload) > 0 {
			d.park(f, r.Payload)
		}
		if !removeAddr(&f.pendingAgents, from) {
			return
		}
		d.recordRoundTrip(f, false, t)
		f.recordOtherHolder(from, r)
		if r.Kind == balsampier.RelayUncertain {
			d.addUncertain(f, from)
		}
		if len(f.pendingAgents) == 0 {
			d.continueLookup(f, t)
		}
	case stateProbing:
		// A late reply to a query returns no packet and is ignored.
		if f.agent == from && len(r.Payload) > 0 {
			f.recordReturned(from)
			f.recordOtherHolder(from, r)
			d.probeNext(f, t)
		}
	}
}

// recordReturned records that the server of an agent returned a packet of the
// flow. That server cannot have the flow.
func (f *flow) recordReturned(a netip.AddrPort) {
	if !slices.Contains(f.returnedBy, a) {
		f.returnedBy = append(f.returnedBy, a)
	}
}

// forgetLookup clears what the last lookup learned. The packets of the next one
// may be of a later flow with the same addresses and ports.
func (f *flow) forgetLookup() { f.returnedBy, f.otherHolder = nil, netip.AddrPort{} }

// recordOtherHolder records an agent that has another flow with the same addresses
// and ports.
func (f *flow) recordOtherHolder(a netip.AddrPort, r balsampier.Relay) {
	if r.Reason == balsampier.ReasonOtherFlow {
		f.otherHolder = a
	}
}

// queryLikely starts a lookup of the flow by querying its most likely holders.
func (d *Director) queryLikely(f *flow, t time.Time) {
	if d.dropIfNotParked(f) {
		return
	}
	f.state, f.agent, f.hasUnanswered, f.holderMayBeDeparted = stateQuerying, netip.AddrPort{}, false, false
	f.queriedMore, f.searchedAll = false, false
	f.uncertain, f.uncertainOther, f.pendingAgents = nil, nil, nil
	f.stateSince, f.firstAskedAt = t, time.Time{}
	services := d.routes.possibleServices(f.segment.Service)
	d.queryAgents(f, exclude(d.agents.likelyHolders(f.segment.Key, services, maxHighestScored), f.excludedAgents), t)
}

// queryAgents queries the given agents about the flow. Without agents the
// lookup continues at once.
func (d *Director) queryAgents(f *flow, as []netip.AddrPort, t time.Time) {
	f.attempt++
	f.pendingAgents = append(f.pendingAgents[:0], as...)
	if len(as) == 0 {
		d.continueLookup(f, t)
		return
	}
	f.markAsked(t)
	d.setDeadline(f, t, d.replyTimeout(queryTimeout))
	for _, a := range as {
		d.sendRelay(f, balsampier.RelayQuery, a, f.packets[0])
	}
}

// queryNextLikely queries the agents that rank after the most likely holders.
// The agents have changed since the flow was placed, or some were not eligible
// then. A search would ask all agents.
func (d *Director) queryNextLikely(f *flow, t time.Time) {
	f.queriedMore = true
	services := d.routes.possibleServices(f.segment.Service)
	as := d.agents.likelyHolders(f.segment.Key, services, maxHighestScored+maxNextScored)
	d.queryAgents(f, exclude(as[min(len(as), maxHighestScored):], f.excludedAgents), t)
}

// continueLookup continues a lookup after all replies arrived or the query
// timed out. First more agents are queried, then all are searched, then the
// uncertain ones are probed.
func (d *Director) continueLookup(f *flow, t time.Time) {
	if !f.queriedMore {
		d.queryNextLikely(f, t)
		return
	}
	if !f.searchedAll {
		f.searchedAll = true
		d.enqueueSearch(f, t)
		return
	}
	if len(f.pendingAgents) > 0 {
		// An agent that reported the flow in the search did not confirm it. It
		// may be the holder, so no others are probed.
		f.hasUnanswered = true
		d.endLookup(f, t)
		return
	}
	d.probeNext(f, t)
}

// addUncertain records an agent that does not know whether it has the flow.
// Agents of the route's services are probed first. The others are kept because
// the flow may belong to a service that the route had before.
func (d *Director) addUncertain(f *flow, from netip.AddrPort) {
	if slices.Contains(f.returnedBy, from) {
		return
	}
	a := d.agents.byAddr[from]
	if a == nil || !slices.Contains(d.routes.possibleServices(f.segment.Service), a.service) {
		f.uncertainOther = append(f.uncertainOther, from)
		return
	}
	f.uncertain = append(f.uncertain, from)
}

// endLookup ends a lookup that found no holder. The client gets a reset only if
// every agent replied that its server does not have the flow, no agent outside the
// view may have it, and the client is not opening another flow. Otherwise the flow
// is looked up again later. If a server holds another flow with the same addresses
// and ports, the packets are late ones and dropped.
func (d *Director) endLookup(f *flow, t time.Time) {
	s := f.segment
	if f.otherHolder.IsValid() {
		d.logEvent("dropped", f, f.otherHolder, balsampier.ReasonOtherFlow, len(f.packets))
		f.state, f.agent = stateOpen, f.otherHolder
		f.excludedAgents = f.excludedAgents[:0]
		f.attempt++
		d.unpark(f)
		return
	}
	if !f.hasUnanswered && !f.holderMayBeDeparted && !s.Reset && !f.mayOpenNow(t) && !d.mayBeAtDeparted(s.Service, t) {
		d.logEvent("reset", f, netip.AddrPort{}, balsampier.ReasonHolderGone, 0)
		d.pendingActions = append(d.pendingActions, Action{Reset: &s})
		d.evict(s.Key, f)
		return
	}
	d.logEvent("lost", f, netip.AddrPort{}, balsampier.ReasonUnknownFlow, 0)
	f.state, f.stateSince, f.agent = stateUnassigned, t, netip.AddrPort{}
	f.requeryInterval = min(max(2*f.requeryInterval, minRequeryInterval), maxRequeryInterval)
	f.excludedAgents = f.excludedAgents[:0]
	d.unpark(f)
}

// probeNext sends the first parked packet to the next uncertain agent.
func (d *Director) probeNext(f *flow, t time.Time) {
	if len(f.uncertain) == 0 {
		f.uncertain, f.uncertainOther = f.uncertainOther, nil
	}
	if len(f.uncertain) == 0 || len(f.packets) == 0 {
		d.endLookup(f, t)
		return
	}
	a := f.uncertain[0]
	f.uncertain = f.uncertain[1:]
	f.state, f.agent = stateProbing, a
	f.attempt++
	d.setDeadline(f, t, max(probeTimeout, 2*d.replyTimeout(0)))
	d.sendRelay(f, balsampier.RelayProbe, a, f.packets[0])
	d.logEvent("tried", f, a, balsampier.ReasonNone, len(f.uncertain))
}
