// Package steer decides to which agent a packet is forwarded, or why it is not
// forwarded. All instances with the same rules and view make the same decision.
package steer

import (
	"github.com/balsampier/balsampier"
)

// AnyService stands for no particular service. Its homes are chosen among all
// agents and handle packets of flows that no rule covers any more.
const AnyService balsampier.ServiceName = ""

// maxDeparted bounds how many departed agents are remembered; the earliest
// departures are evicted first.
const maxDeparted = 16384

type (
	// Table decides by one rule table and one view.
	Table struct {
		rules balsampier.RuleTable
		view  balsampier.View
		// agents maps each agent to its index in view.Members.
		agents map[balsampier.InstanceID]int32
		// pools holds the agents of each service that take new flows, and all
		// agents under AnyService, so that flows have a home even while all
		// agents are draining.
		pools map[balsampier.ServiceName]*pool
		// departed holds agents that left the view and did not return; at most
		// maxDeparted. They may only have lost contact with the control
		// instances, so their flows are still forwarded to them.
		departed map[balsampier.InstanceID]departure
		// previous is the table of the previous view, with its own previous
		// table cleared; nil for a first table.
		previous *Table
	}

	// departure records an agent that left the view.
	departure struct {
		member balsampier.Member
		// epoch is the first epoch without the agent.
		epoch balsampier.Epoch
	}
)

var _ balsampier.FlowSteerer = (*Table)(nil)

// New returns a table for the given rules and view.
func New(rules balsampier.RuleTable, v balsampier.View) *Table {
	return (*Table)(nil).Next(rules, v)
}

// Next returns the table that follows t. It reuses what did not change, and
// places flows as a table made by New does. Unlike New, it keeps departed
// agents and the previous view.
func (t *Table) Next(rules balsampier.RuleTable, v balsampier.View) *Table {
	n := &Table{
		rules:  rules,
		view:   v,
		agents: make(map[balsampier.InstanceID]int32, len(v.Members)),
		pools:  make(map[balsampier.ServiceName]*pool, t.poolCount()),
	}
	all := newPool(t.pool(AnyService))
	for i := range v.Members {
		n.addMember(t, all, int32(i))
	}
	if len(all.ids) > 0 {
		n.pools[AnyService] = all
	}
	for s, p := range n.pools {
		p.cacheOwners(t.pool(s))
	}
	n.previous = t.asPrevious(v.Epoch)
	n.departed = t.departures(n)
	return n
}

// departures returns the departed agents as of table n.
func (t *Table) departures(n *Table) map[balsampier.InstanceID]departure {
	d := make(map[balsampier.InstanceID]departure)
	if t == nil {
		return d
	}
	for id, x := range t.departed {
		if _, back := n.agents[id]; !back {
			d[id] = x
		}
	}
	for id, i := range t.agents {
		if _, stays := n.agents[id]; !stays {
			d[id] = departure{member: t.view.Members[i], epoch: n.view.Epoch}
		}
	}
	for len(d) > maxDeparted {
		delete(d, earliestDeparture(d))
	}
	return d
}

func earliestDeparture(d map[balsampier.InstanceID]departure) balsampier.InstanceID {
	var first balsampier.InstanceID
	e := ^balsampier.Epoch(0)
	for id, x := range d {
		if x.epoch < e {
			first, e = id, x.epoch
		}
	}
	return first
}

// asPrevious returns the table that the successor of t, at epoch e, keeps as
// its previous one.
func (t *Table) asPrevious(e balsampier.Epoch) *Table {
	if t == nil {
		return nil
	}
	if t.view.Epoch == e {
		return t.previous
	}
	b := *t
	b.previous = nil
	return &b
}

// addMember adds member i, if it is an agent, to the pool of all agents and,
// unless it is draining, to the pool of its service. The pools of the old table
// determine the capacity.
func (t *Table) addMember(old *Table, all *pool, i int32) {
	m := &t.view.Members[i]
	if m.Role != balsampier.RoleAgent {
		return
	}
	t.agents[m.ID] = i
	all.add(m)
	if m.Draining {
		return
	}
	p := t.pools[m.Service]
	if p == nil {
		p = newPool(old.pool(m.Service))
		t.pools[m.Service] = p
	}
	p.add(m)
}

// poolCount returns the number of pools; zero if t is nil.
func (t *Table) poolCount() int {
	if t == nil {
		return 0
	}
	return len(t.pools)
}

func (t *Table) pool(s balsampier.ServiceName) *pool {
	if t == nil {
		return nil
	}
	return t.pools[s]
}

// Epoch returns the epoch of the view.
func (t *Table) Epoch() balsampier.Epoch { return t.view.Epoch }

// View returns the view.
func (t *Table) View() balsampier.View { return t.view }

// Agent returns the agent with the given ID and whether it is in the view.
func (t *Table) Agent(i balsampier.InstanceID) (balsampier.Member, bool) {
	at, ok := t.agents[i]
	if !ok {
		return balsampier.Member{}, false
	}
	return t.view.Members[at], true
}

// Steer returns the verdict on p.
func (t *Table) Steer(p balsampier.Packet) balsampier.Verdict {
	v := balsampier.Verdict{Revision: t.rules.Revision(), Epoch: t.view.Epoch}
	if p.Hops >= balsampier.MaxHops {
		v.Reason = balsampier.ReasonHopLimit
		return v
	}
	if !p.Holder.IsZero() {
		return t.steerToHolder(v, p.Holder)
	}
	r, ok := t.rules.InForce(p.ServiceAddr, p.Caller.Addr(), p.At)
	if !ok && p.Opening {
		v.Action, v.Reason = balsampier.ActionRefuse, balsampier.ReasonNoRule
		return v
	}
	return t.steerToHome(v, r.Service, p)
}

// Home returns the agent that decides on flows of service s with key k, and
// whether there is one.
func (t *Table) Home(s balsampier.ServiceName, k balsampier.FlowKey) (balsampier.Member, bool) {
	o := t.pools[s].owner(slotOf(k))
	if o == nil {
		return balsampier.Member{}, false
	}
	return t.Agent(o.holder.Instance)
}

// PreviousHome returns the home under the previous view, and whether the same
// run is still in this view.
func (t *Table) PreviousHome(s balsampier.ServiceName, k balsampier.FlowKey) (balsampier.Member, bool) {
	if t.previous == nil {
		return balsampier.Member{}, false
	}
	m, ok := t.previous.Home(s, k)
	if !ok {
		return m, false
	}
	n, ok := t.Agent(m.ID)
	return n, ok && n.Incarnation == m.Incarnation
}

// steerToHolder forwards the packet to the run that holds its flow. A run
// counts as ended only once a later run of the agent is known: a stale view
// lacks new agents, and an agent that left the view may only have lost contact
// with the control instances.
func (t *Table) steerToHolder(v balsampier.Verdict, h balsampier.Holder) balsampier.Verdict {
	m, ok := t.Agent(h.Instance)
	if d, left := t.departed[h.Instance]; !ok && left {
		m, ok = d.member, true
	}
	if ok && m.Incarnation == h.Incarnation {
		return forward(v, &target{holder: h, addr: m.Addr, service: m.Service})
	}
	v.Action, v.Reason = balsampier.ActionWait, balsampier.ReasonHolderGone
	if ok && m.Incarnation > h.Incarnation {
		v.Action = balsampier.ActionReset
	}
	return v
}

func (t *Table) steerToHome(v balsampier.Verdict, s balsampier.ServiceName, p balsampier.Packet) balsampier.Verdict {
	o := t.pools[s].owner(slotOf(p.Flow))
	if o == nil && !p.Opening {
		o = t.pools[AnyService].owner(slotOf(p.Flow))
	}
	if o == nil {
		v.Action, v.Reason = balsampier.ActionRefuse, balsampier.ReasonNoBackendServer
		if !p.Opening {
			v.Action = balsampier.ActionWait
		}
		return v
	}
	v = forward(v, o)
	v.Service = s
	return v
}

func forward(v balsampier.Verdict, o *target) balsampier.Verdict {
	v.Action, v.Target, v.Addr, v.Service = balsampier.ActionForward, o.holder, o.addr, o.service
	return v
}

// Revision returns the revision of the rules.
func (t *Table) Revision() balsampier.Revision { return t.rules.Revision() }

// InView reports whether the run is a member of the view.
func (t *Table) InView(h balsampier.Holder) bool {
	m, ok := t.Agent(h.Instance)
	return ok && m.Incarnation == h.Incarnation
}

// HomeHolder returns the home of a flow as a Holder; zero if there is none.
func (t *Table) HomeHolder(s balsampier.ServiceName, k balsampier.FlowKey) balsampier.Holder {
	o := t.pools[s].owner(slotOf(k))
	if o == nil {
		return balsampier.Holder{}
	}
	return o.holder
}

// Homes returns the homes that must know a flow of service s: the one to which
// the rules send its packets if they carry no holder hint, or else its home
// under AnyService, and the home under service s if it differs.
func (t *Table) Homes(s balsampier.ServiceName, p balsampier.Packet) []balsampier.Holder {
	h := t.HomeHolder(t.ServiceOf(p), p.Flow)
	if h.IsZero() {
		h = t.HomeHolder(AnyService, p.Flow)
	}
	if h.IsZero() {
		return nil
	}
	own := t.HomeHolder(s, p.Flow)
	if own.IsZero() || own == h {
		return []balsampier.Holder{h}
	}
	return []balsampier.Holder{h, own}
}

// ServiceOf returns the service of the rule in force for the packet, or
// AnyService if there is none.
func (t *Table) ServiceOf(p balsampier.Packet) balsampier.ServiceName {
	r, _ := t.rules.InForce(p.ServiceAddr, p.Caller.Addr(), p.At)
	return r.Service
}
