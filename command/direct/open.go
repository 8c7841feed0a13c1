package direct

import (
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

// handleEarlyReply handles a client that continues before the reply of the
// agent arrived, which shows that a server has replied to it. The flow is not
// offered to another agent, because it is at one of those that it was offered
// to. If there were several, the flow is looked up.
func (d *Director) handleEarlyReply(f *flow, b []byte, t time.Time) {
	d.unpark(f)
	if len(f.excludedAgents) > 0 {
		f.excludedAgents = f.excludedAgents[:0]
		d.park(f, b)
		d.queryLikely(f, t)
		return
	}
	f.state = stateOpen
	f.attempt++
	d.deliver(f, b)
}

// place offers the flow to the next agent by sending it the opening packet. The
// routes may have changed since the flow was offered before.
func (d *Director) place(f *flow, t time.Time) {
	if d.dropIfNotParked(f) {
		return
	}
	r, ok := d.routes.find(f.segment.Service)
	if !ok {
		s := f.segment
		d.evict(s.Key, f)
		d.rejectUnrouted(s)
		return
	}
	if !r.allows(f.service) {
		f.service = r.choose(f.segment.Key)
	}
	a, n := d.agents.choose(f, d.config.DataCentre, t)
	if !a.IsValid() {
		a, n = d.chooseFallback(f, r, t)
	}
	if !a.IsValid() {
		d.failOpening(f, n, t)
		return
	}
	f.state, f.agent = stateOpening, a
	f.attempt++
	d.agents.countPlacement(a)
	f.markAsked(t)
	d.setDeadline(f, t, d.replyTimeout(openTimeout))
	d.sendRelay(f, balsampier.RelayOpen, a, f.packets[0])
	d.logEvent("placed", f, a, balsampier.ReasonNone, n)
}

// sendCopy sends a copy of the opening packet to the agent that was sent the
// packet before. The copy stays parked until the agent replies, so that another
// agent can be offered the flow if this one has restarted and refuses it.
func (d *Director) sendCopy(f *flow, b []byte) {
	if len(f.packets) == 0 {
		d.park(f, b)
	}
	d.sendRelay(f, balsampier.RelayOpen, f.agent, b)
}

// dropIfNotParked drops the flow and returns true if its packet could not be
// parked.
func (d *Director) dropIfNotParked(f *flow) bool {
	if len(f.packets) > 0 {
		return false
	}
	d.logEvent("dropped", f, f.agent, balsampier.ReasonFull, 0)
	d.evict(f.segment.Key, f)
	return true
}

// chooseFallback selects an agent from the other services of the route.
func (d *Director) chooseFallback(f *flow, r *route, t time.Time) (netip.AddrPort, int) {
	for _, g := range r.targets {
		if g.Weight == 0 || g.Service == f.service {
			continue
		}
		o := f.service
		f.service = g.Service
		if a, n := d.agents.choose(f, d.config.DataCentre, t); a.IsValid() {
			return a, n
		}
		f.service = o
	}
	return netip.AddrPort{}, 0
}

// failOpening resets a flow that every agent refused. No request of it has run,
// because it never opened. The flow is not reset if it may still open: a server
// may have received the opening packet, or an earlier copy of it may be at an
// agent that has left the view. Nor is it if the packet may be a stray one of an
// open flow.
func (d *Director) failOpening(f *flow, n int, t time.Time) {
	s := f.segment
	if f.mayOpenLate || f.earlier != nil || s.Retransmissions > 0 && d.mayBeAtDeparted(s.Service, t) {
		d.dropOpening(f, n, t)
		return
	}
	d.logEvent("reset", f, netip.AddrPort{}, balsampier.ReasonNoBackendServer, n)
	d.pendingActions = append(d.pendingActions, Action{Reset: &s})
	d.evict(s.Key, f)
}

// dropOpening drops an opening packet that no agent accepted for certain but
// one may have received. The client's retransmission starts anew.
func (d *Director) dropOpening(f *flow, n int, t time.Time) {
	d.logEvent("dropped", f, f.agent, balsampier.ReasonTimeout, n)
	d.unpark(f)
	f.state, f.agent, f.stateSince = stateUnassigned, netip.AddrPort{}, t
	f.excludedAgents, f.openTimeouts = f.excludedAgents[:0], 0
	f.attempt++
}

// handleAccepted processes the reply of an agent that delivered the opening
// packet to its server. A reply that comes after the opening was dropped still
// counts: the server has answered the client.
func (d *Director) handleAccepted(f *flow, from netip.AddrPort, t time.Time) {
	switch {
	case f.state == stateOpening && f.agent == from:
		d.recordRoundTrip(f, false, t)
		d.countOpening(false)
	case f.state == stateUnassigned && !f.isEstablished:
		d.recordRoundTrip(f, true, t)
		f.agent = from
		f.attempt++
	case f.state == stateOpening:
		d.recordRoundTrip(f, true, t)
		return
	case f.state != stateOpen || f.agent != from || f.isEstablished:
		return
	}
	f.state, f.firstAskedAt = stateOpen, time.Time{}
	d.unpark(f)
}

func (d *Director) handleRefused(f *flow, from netip.AddrPort, r balsampier.Relay, t time.Time) {
	if f.isEstablished || f.agent != from || (f.state != stateOpening && f.state != stateOpen) {
		return
	}
	if len(f.packets) == 0 {
		// The server returned the opening packet after the agent accepted it.
		if len(r.Payload) == 0 {
			return
		}
		d.park(f, r.Payload)
	}
	if len(f.packets) == 0 {
		return
	}
	// An agent that accepted the packet before refuses a copy if it has restarted.
	f.mayOpenLate = f.mayOpenLate || r.Reason == balsampier.ReasonUnanswered || f.state == stateOpen && len(r.Payload) == 0
	f.excludedAgents = append(f.excludedAgents, from)
	d.logEvent("refused", f, from, r.Reason, 0)
	d.place(f, t)
}
