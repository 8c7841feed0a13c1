// Package place decides, at an agent, what becomes of a packet: the agent has
// its flow, another has it, or the flow is new and gets exactly one holder.
//
// An epoch numbers a published state, which is a view and the rules in force
// with it. Epochs are serial: the next one is published only after all agents
// that may still act have acknowledged the current one, so that at most two are
// in use at a time. Within an epoch only the home decides on a flow, and it
// does so only when it surely knows the flows that were decided on before: when
// it was the home under the epoch before, or when the epoch is settled.
package place

import (
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/register"
	"github.com/balsampier/balsampier/query/steer"
)

// WindowGuard is how long after the start or end of a window homes decide on
// nothing new. It exceeds the skew of the clocks and the time in which holders
// register their flows.
const WindowGuard = 2 * time.Second

type (
	// Arrival is a packet as an agent gets it from another instance.
	Arrival struct {
		// Packet is the packet; its Holder is the caller's hint.
		Packet balsampier.Packet
		// Placed is true when the home chose the receiving agent.
		Placed bool
		// Target is the run that the sender meant.
		Target balsampier.Holder
		// Service is the service of the home's decision; set when Placed is.
		Service balsampier.ServiceName
		// Epoch is the view epoch of the sender.
		Epoch balsampier.Epoch
		// Overdue is true when the packet was parked and its time is up.
		Overdue bool
	}

	// Decision is what becomes of an arrival.
	Decision struct {
		// Verdict forwards to the own run when the packet is to be delivered.
		Verdict balsampier.Verdict
		// Deliver is true when the flow is an own one.
		Deliver bool
		// Placed goes into the forwarded arrival.
		Placed bool
		// Refused tells the home that this run takes no new flows.
		Refused bool
	}

	// Placer is the state of one agent's decisions. It is serialized by its
	// caller.
	Placer struct {
		self    balsampier.Member
		table   *steer.Table
		lease   time.Time
		chooser *Chooser
		// candidates are the agents of the own service that take new flows.
		candidates []balsampier.Member
		// before is the table of the epoch before; nil unless it was adopted
		// in turn.
		before *steer.Table
		// settled is true when no agent acts by an earlier view any more.
		settled   bool
		directory *register.Directory
		registrar *register.Registrar
	}
)

// New returns the placer of a run of an agent.
func New(m balsampier.Member, c *Chooser, d *register.Directory, r *register.Registrar) *Placer {
	return &Placer{self: m, chooser: c, directory: d, registrar: r}
}

// Adopt takes over an epoch. It is called with the same epoch again when time
// alone moves homes, at the start and end of windows. The flows that other agents must know are
// queued at the registrar; the epoch is acknowledged once they are registered.
// For homes, the caller says where packets of an own flow arrive.
func (p *Placer) Adopt(n *steer.Table, homes register.Homes) {
	if p.table != nil && n.Epoch() < p.table.Epoch() {
		return
	}
	if p.table == nil || n.Epoch() != p.table.Epoch() || n.Revision() != p.table.Revision() {
		p.before = nil
		if p.table != nil && n.Epoch() == p.table.Epoch()+1 {
			p.before = p.table
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

// Settled says that no agent acts by a view before epoch e any more.
func (p *Placer) Settled(e balsampier.Epoch) {
	if p.table != nil && p.table.Epoch() == e {
		p.settled = true
	}
}

// Lease says until when the agent may take new flows.
func (p *Placer) Lease(t time.Time) { p.lease = t }

// Drain keeps the agent from taking new flows at once, before any view says so.
func (p *Placer) Drain() { p.self.Draining = true }

// Refused takes in that the draining run h didn't take a flow.
func (p *Placer) Refused(k balsampier.FlowKey, h balsampier.Holder) { p.directory.Refused(k, h) }

// Arrive decides on an arrival at time t.
func (p *Placer) Arrive(a Arrival, t time.Time, x balsampier.Random) Decision {
	a.Packet.At = t
	k := a.Packet
	switch {
	case p.registrar.Holds(k.Flow):
		return p.deliver()
	case p.table == nil:
		return p.stop(balsampier.ActionWait, balsampier.ReasonUnsettled)
	case k.Hops >= balsampier.MaxHops:
		return p.stop(balsampier.ActionDrop, balsampier.ReasonHopLimit)
	case a.Placed:
		return p.accept(a, t)
	case !k.Holder.IsZero():
		return p.hinted(k)
	}
	if n, ok := p.directory.Lookup(k.Flow); ok && (n.Registered || !k.Opening) {
		return p.pass(n.Holder, false)
	}
	v := p.table.Steer(k)
	if v.Action != balsampier.ActionForward {
		return Decision{Verdict: v}
	}
	if v.Target != p.self.Holder() {
		return Decision{Verdict: v}
	}
	if k.Opening {
		return p.open(k, t, x)
	}
	return p.unknown(a, v.Service)
}

// accept takes a flow that its home gave to this run. A placement by an older
// view may have been made again under this one, so it is void.
func (p *Placer) accept(a Arrival, t time.Time) Decision {
	switch {
	case a.Target != p.self.Holder():
		return p.stop(balsampier.ActionDrop, balsampier.ReasonWrongIncarnation)
	case a.Service != p.self.Service:
		return p.stop(balsampier.ActionDrop, balsampier.ReasonWrongService)
	case p.self.Draining:
		d := p.stop(balsampier.ActionDrop, balsampier.ReasonDraining)
		d.Refused = true
		return d
	case a.Epoch < p.table.Epoch():
		return p.stop(balsampier.ActionDrop, balsampier.ReasonStaleEpoch)
	case !t.Before(p.lease):
		return p.stop(balsampier.ActionDrop, balsampier.ReasonLeaseExpired)
	case p.registrar.Ended(a.Packet.Flow, t):
		return p.stop(balsampier.ActionDrop, balsampier.ReasonUnknownFlow)
	}
	p.registrar.Open(a.Packet.Flow)
	return p.deliver()
}

// hinted decides on a packet of a flow that is not an own one.
func (p *Placer) hinted(k balsampier.Packet) Decision {
	if k.Holder.Instance != p.self.ID {
		return Decision{Verdict: p.table.Steer(k)}
	}
	if k.Holder.Incarnation > p.self.Incarnation {
		return p.stop(balsampier.ActionDrop, balsampier.ReasonWrongIncarnation)
	}
	return p.stop(balsampier.ActionReset, balsampier.ReasonUnknownFlow)
}

// open gives a new flow its holder.
func (p *Placer) open(k balsampier.Packet, t time.Time, x balsampier.Random) Decision {
	if !t.Before(p.lease) {
		return p.stop(balsampier.ActionDrop, balsampier.ReasonLeaseExpired)
	}
	if !p.complete(k) {
		return p.stop(balsampier.ActionWait, balsampier.ReasonUnsettled)
	}
	if p.registrar.Ended(k.Flow, t) {
		return p.stop(balsampier.ActionDrop, balsampier.ReasonUnknownFlow)
	}
	if n, ok := p.directory.Lookup(k.Flow); ok {
		return p.give(k.Flow, n.Holder, t)
	}
	m, ok := p.chooser.Choose(p.others(), t, x)
	if !ok {
		return p.stop(balsampier.ActionRefuse, balsampier.ReasonNoBackendServer)
	}
	if m.ID == p.self.ID {
		p.registrar.Open(k.Flow)
		return p.deliver()
	}
	return p.give(k.Flow, m.Holder(), t)
}

// give remembers that h was given the flow and passes the packet to it.
func (p *Placer) give(k balsampier.FlowKey, h balsampier.Holder, t time.Time) Decision {
	h, err := p.directory.Place(k, h, p.table.Epoch(), t)
	if err != nil {
		return p.stop(balsampier.ActionDrop, balsampier.ReasonUnsettled)
	}
	return p.pass(h, true)
}

// others returns the candidates, without this run when it drains.
func (p *Placer) others() []balsampier.Member {
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

// complete reports whether this run surely knows all flows of which it is the
// home.
func (p *Placer) complete(k balsampier.Packet) bool {
	if !p.steady(k) {
		return false
	}
	if p.settled {
		return true
	}
	if p.before == nil {
		return false
	}
	k.Hops = 0
	v := p.before.Steer(k)
	return v.Action == balsampier.ActionForward && v.Target == p.self.Holder() && v.Service == p.self.Service
}

// steady reports whether the rule in force was the same a while ago, so that
// holders have registered their flows by it.
func (p *Placer) steady(k balsampier.Packet) bool {
	now, before := p.table.ServiceOf(k), k
	before.At = k.At.Add(-WindowGuard)
	return now == p.table.ServiceOf(before)
}

// unknown decides on a packet that opens no flow and belongs to none that this
// home knows. It is never taken for a new flow.
// A reset ends a flow, so it needs proof that no holder may yet register it.
func (p *Placer) unknown(a Arrival, s balsampier.ServiceName) Decision {
	k := a.Packet
	if !a.Overdue {
		return p.stop(balsampier.ActionWait, balsampier.ReasonUnknownFlow)
	}
	m, ok := p.table.PreviousHome(s, k.Flow)
	if ok && m.ID != p.self.ID {
		return p.pass(m.Holder(), false)
	}
	if p.settled && p.steady(k) {
		return p.stop(balsampier.ActionReset, balsampier.ReasonUnknownFlow)
	}
	return p.stop(balsampier.ActionDrop, balsampier.ReasonUnsettled)
}

// pass forwards to the holder h.
func (p *Placer) pass(h balsampier.Holder, placed bool) Decision {
	m, ok := p.table.Agent(h.Instance)
	if !ok || m.Holder() != h {
		return p.stop(balsampier.ActionWait, balsampier.ReasonHolderGone)
	}
	d := p.stop(balsampier.ActionForward, balsampier.ReasonNone)
	d.Verdict.Target, d.Verdict.Addr, d.Verdict.Service = h, m.Addr, m.Service
	d.Placed = placed
	return d
}

func (p *Placer) deliver() Decision {
	d := p.stop(balsampier.ActionForward, balsampier.ReasonNone)
	d.Verdict.Target, d.Verdict.Addr, d.Verdict.Service = p.self.Holder(), p.self.Addr, p.self.Service
	d.Deliver = true
	return d
}

func (p *Placer) stop(a balsampier.Action, r balsampier.Reason) Decision {
	d := Decision{Verdict: balsampier.Verdict{Action: a, Reason: r}}
	if p.table != nil {
		d.Verdict.Epoch, d.Verdict.Revision = p.table.Epoch(), p.table.Revision()
	}
	return d
}
