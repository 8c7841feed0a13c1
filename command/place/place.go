// Package place decides, at an agent, what happens to a packet: this agent
// holds its flow, another agent holds it, or the flow is new and is assigned to
// exactly one holder.
//
// An epoch numbers a published state, which consists of a view and the rules in
// force with it. Epochs are serial: the next one is published only after all
// agents that may still act have acknowledged the current one, so at most two
// are in use at a time. Within an epoch only the home of a flow places it, and
// only if it is certain to know all flows placed earlier: either it was the
// home in the previous epoch too, or the epoch is settled.
package place

import (
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/register"
	"github.com/balsampier/balsampier/query/steer"
)

// WindowGuardInterval is how long after the start or end of a rule's window
// homes place no new flows. It exceeds the clock skew plus the time in which
// holders register their flows.
const WindowGuardInterval = 2 * time.Second

type (
	// Arrival is a packet that an agent receives from another instance.
	Arrival struct {
		// Packet is the decoded packet. Its Holder is the caller's hint.
		Packet balsampier.Packet
		// Placed is true if the home assigned the flow to the receiving agent.
		Placed bool
		// Target is the run that the sender addressed.
		Target balsampier.Holder
		// Service is the service for which the home placed the flow; set if
		// Placed is.
		Service balsampier.ServiceName
		// Epoch is the view epoch of the sender.
		Epoch balsampier.Epoch
		// Expired is true if the packet was parked and its deadline has passed.
		Expired bool
	}

	// Decision is the outcome for an Arrival.
	Decision struct {
		// Verdict is what to do with the packet. Its target is this run if the
		// packet is to be delivered here.
		Verdict balsampier.Verdict
		// Deliver is true if this run holds the flow.
		Deliver bool
		// Placed is the value of Arrival.Placed for the forwarded packet.
		Placed bool
		// Refused is true if the home is to be told that this run accepts no
		// new flows.
		Refused bool
	}

	// Placer makes the placement decisions of one agent. It is not safe for
	// concurrent use.
	Placer struct {
		self        balsampier.Member
		table       *steer.Table
		leaseExpiry time.Time
		chooser     *Chooser
		// candidates are the agents of this agent's service that accept new
		// flows.
		candidates []balsampier.Member
		// previous is the table of the previous epoch; nil unless that epoch
		// was adopted directly before the current one.
		previous *steer.Table
		// settled is true once no agent acts on an earlier view.
		settled   bool
		directory *register.Directory
		registrar *register.Registrar
	}
)

// New returns a Placer for the agent run m.
func New(m balsampier.Member, c *Chooser, d *register.Directory, r *register.Registrar) *Placer {
	return &Placer{self: m, chooser: c, directory: d, registrar: r}
}

// Adopt switches to the epoch of table n. It is also called with the current
// epoch when time alone changes the homes, at the start and end of windows.
// Flows that other agents have to know are queued in the registrar; the epoch
// is acknowledged once they are registered. homes returns where packets of a
// flow of this agent arrive.
func (p *Placer) Adopt(n *steer.Table, homes register.Homes) {
	if p.table != nil && n.Epoch() < p.table.Epoch() {
		return
	}
	if p.table == nil || n.Epoch() != p.table.Epoch() || n.Revision() != p.table.Revision() {
		p.previous = nil
		if p.table != nil && n.Epoch() == p.table.Epoch()+1 {
			p.previous = p.table
		}
		p.settled = false
	}
	p.table = n
	p.candidates = p.candidates[:0]
	for _, m := range n.View().Members {
		if m.Role == balsampier.RoleAgent && m.Service == p.self.Service && !m.Draining {
			p.candidates = append(p.candidates, m)
		}
	}
	p.directory.Adopt(n.Epoch(), n.InView)
	p.registrar.Adopt(n.Epoch(), n.InView, homes)
}

// MarkSettled records that no agent acts on a view before epoch e. It has no
// effect if e is not the current epoch.
func (p *Placer) MarkSettled(e balsampier.Epoch) {
	if p.table != nil && p.table.Epoch() == e {
		p.settled = true
	}
}

// SetLeaseExpiry sets the time until which the agent may accept and place new
// flows.
func (p *Placer) SetLeaseExpiry(t time.Time) { p.leaseExpiry = t }

// Drain stops the agent from accepting new flows at once, before a view marks
// it as draining.
func (p *Placer) Drain() { p.self.Draining = true }

// HandleRefusal removes the placement of flow k, which the draining run h
// refused.
func (p *Placer) HandleRefusal(k balsampier.FlowKey, h balsampier.Holder) {
	p.directory.RemoveRefused(k, h)
}

// Decide returns the decision on an arrival at time t.
func (p *Placer) Decide(a Arrival, t time.Time, x balsampier.Random) Decision {
	a.Packet.At = t
	k := a.Packet
	switch {
	case p.registrar.Holds(k.Flow):
		return p.deliver()
	case p.table == nil:
		return p.newDecision(balsampier.ActionWait, balsampier.ReasonUnsettled)
	case k.Hops >= balsampier.MaxHops:
		return p.newDecision(balsampier.ActionDrop, balsampier.ReasonHopLimit)
	case a.Placed:
		return p.acceptPlaced(a, t)
	case !k.Holder.IsZero():
		return p.decideHinted(k)
	}
	if n, ok := p.directory.Lookup(k.Flow); ok && (n.Registered || !k.Opening) {
		return p.forwardTo(n.Holder, false)
	}
	v := p.table.Steer(k)
	if v.Action != balsampier.ActionForward {
		return Decision{Verdict: v}
	}
	if v.Target != p.self.Holder() {
		return Decision{Verdict: v}
	}
	if k.Opening {
		return p.placeFlow(k, t, x)
	}
	return p.decideUnknown(a, v.Service)
}

// acceptPlaced decides on a flow that its home placed on this run. A placement
// from an older epoch is dropped, because the flow may have been placed again
// in this one.
func (p *Placer) acceptPlaced(a Arrival, t time.Time) Decision {
	switch {
	case a.Target != p.self.Holder():
		return p.newDecision(balsampier.ActionDrop, balsampier.ReasonWrongIncarnation)
	case a.Service != p.self.Service:
		return p.newDecision(balsampier.ActionDrop, balsampier.ReasonWrongService)
	case p.self.Draining:
		d := p.newDecision(balsampier.ActionDrop, balsampier.ReasonDraining)
		d.Refused = true
		return d
	case a.Epoch < p.table.Epoch():
		return p.newDecision(balsampier.ActionDrop, balsampier.ReasonStaleEpoch)
	case !t.Before(p.leaseExpiry):
		return p.newDecision(balsampier.ActionDrop, balsampier.ReasonLeaseExpired)
	case p.registrar.RecentlyEnded(a.Packet.Flow, t):
		return p.newDecision(balsampier.ActionDrop, balsampier.ReasonUnknownFlow)
	}
	p.registrar.Open(a.Packet.Flow)
	return p.deliver()
}

// decideHinted decides on a packet that names its holder and whose flow this
// run does not hold.
func (p *Placer) decideHinted(k balsampier.Packet) Decision {
	if k.Holder.Instance != p.self.ID {
		return Decision{Verdict: p.table.Steer(k)}
	}
	if k.Holder.Incarnation > p.self.Incarnation {
		return p.newDecision(balsampier.ActionDrop, balsampier.ReasonWrongIncarnation)
	}
	return p.newDecision(balsampier.ActionReset, balsampier.ReasonUnknownFlow)
}

// placeFlow places a new flow.
func (p *Placer) placeFlow(k balsampier.Packet, t time.Time, x balsampier.Random) Decision {
	if !t.Before(p.leaseExpiry) {
		return p.newDecision(balsampier.ActionDrop, balsampier.ReasonLeaseExpired)
	}
	if !p.knowsEarlierFlows(k) {
		return p.newDecision(balsampier.ActionWait, balsampier.ReasonUnsettled)
	}
	if p.registrar.RecentlyEnded(k.Flow, t) {
		return p.newDecision(balsampier.ActionDrop, balsampier.ReasonUnknownFlow)
	}
	if n, ok := p.directory.Lookup(k.Flow); ok {
		return p.forwardPlaced(k.Flow, n.Holder, t)
	}
	m, ok := p.chooser.Choose(p.openCandidates(), t, x)
	if !ok {
		return p.newDecision(balsampier.ActionRefuse, balsampier.ReasonNoBackendServer)
	}
	if m.ID == p.self.ID {
		p.registrar.Open(k.Flow)
		return p.deliver()
	}
	return p.forwardPlaced(k.Flow, m.Holder(), t)
}

// forwardPlaced records the placement of flow k on h and forwards the packet to
// the flow's holder.
func (p *Placer) forwardPlaced(k balsampier.FlowKey, h balsampier.Holder, t time.Time) Decision {
	h, err := p.directory.Place(k, h, p.table.Epoch(), t)
	if err != nil {
		return p.newDecision(balsampier.ActionDrop, balsampier.ReasonUnsettled)
	}
	return p.forwardTo(h, true)
}

// openCandidates returns the candidates, without this run if it is draining.
func (p *Placer) openCandidates() []balsampier.Member {
	if !p.self.Draining {
		return p.candidates
	}
	ms := make([]balsampier.Member, 0, len(p.candidates))
	for _, m := range p.candidates {
		if m.ID != p.self.ID {
			ms = append(ms, m)
		}
	}
	return ms
}

// knowsEarlierFlows reports whether this run is certain to know all flows of
// which it is the home.
func (p *Placer) knowsEarlierFlows(k balsampier.Packet) bool {
	if !p.isRuleSteady(k) {
		return false
	}
	if p.settled {
		return true
	}
	if p.previous == nil {
		return false
	}
	k.Hops = 0
	v := p.previous.Steer(k)
	return v.Action == balsampier.ActionForward && v.Target == p.self.Holder() && v.Service == p.self.Service
}

// isRuleSteady reports whether the same rule was in force WindowGuardInterval
// ago, so that holders have registered their flows by it.
func (p *Placer) isRuleSteady(k balsampier.Packet) bool {
	now, before := p.table.ServiceOf(k), k
	before.At = k.At.Add(-WindowGuardInterval)
	return now == p.table.ServiceOf(before)
}

// decideUnknown decides on a packet that opens no flow and whose flow this home
// does not know. It is never treated as a new flow. A reset ends a flow, so it
// is sent only if no holder can still register the flow.
func (p *Placer) decideUnknown(a Arrival, s balsampier.ServiceName) Decision {
	k := a.Packet
	if !a.Expired {
		return p.newDecision(balsampier.ActionWait, balsampier.ReasonUnknownFlow)
	}
	m, ok := p.table.PreviousHome(s, k.Flow)
	if ok && m.ID != p.self.ID {
		return p.forwardTo(m.Holder(), false)
	}
	if p.settled && p.isRuleSteady(k) {
		return p.newDecision(balsampier.ActionReset, balsampier.ReasonUnknownFlow)
	}
	return p.newDecision(balsampier.ActionDrop, balsampier.ReasonUnsettled)
}

// forwardTo forwards the packet to holder h, or parks it if h is not in the
// view.
func (p *Placer) forwardTo(h balsampier.Holder, placed bool) Decision {
	m, ok := p.table.Agent(h.Instance)
	if !ok || m.Holder() != h {
		return p.newDecision(balsampier.ActionWait, balsampier.ReasonHolderGone)
	}
	d := p.newDecision(balsampier.ActionForward, balsampier.ReasonNone)
	d.Verdict.Target, d.Verdict.Addr, d.Verdict.Service = h, m.Addr, m.Service
	d.Placed = placed
	return d
}

func (p *Placer) deliver() Decision {
	d := p.newDecision(balsampier.ActionForward, balsampier.ReasonNone)
	d.Verdict.Target, d.Verdict.Addr, d.Verdict.Service = p.self.Holder(), p.self.Addr, p.self.Service
	d.Deliver = true
	return d
}

func (p *Placer) newDecision(a balsampier.Action, r balsampier.Reason) Decision {
	d := Decision{Verdict: balsampier.Verdict{Action: a, Reason: r}}
	if p.table != nil {
		d.Verdict.Epoch, d.Verdict.Revision = p.table.Epoch(), p.table.Revision()
	}
	return d
}
