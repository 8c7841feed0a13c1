// Package steer decides where a packet goes. Every instance with the same
// rules and view decides alike.
package steer

import (
	"cmp"
	"slices"

	"github.com/balsampier/balsampier"
)

type (
	// Table steers by one rule table and one view.
	Table struct {
		rules balsampier.RuleTable
		epoch balsampier.Epoch
		// agents holds the agents of the view by ID.
		agents map[balsampier.InstanceID]balsampier.Member
		// open holds the agents of each service that take new flows, sorted
		// by ID.
		open map[balsampier.ServiceName][]balsampier.Member
	}
)

var _ balsampier.FlowSteerer = (*Table)(nil)

// New returns a table for the rules and the view.
func New(rules balsampier.RuleTable, v balsampier.View) *Table {
	t := &Table{
		rules:  rules,
		epoch:  v.Epoch,
		agents: make(map[balsampier.InstanceID]balsampier.Member),
		open:   make(map[balsampier.ServiceName][]balsampier.Member),
	}
	for _, m := range v.Members {
		if m.Role != balsampier.RoleAgent {
			continue
		}
		t.agents[m.ID] = m
		if !m.Draining {
			t.open[m.Service] = append(t.open[m.Service], m)
		}
	}
	for _, ms := range t.open {
		slices.SortFunc(ms, func(a, b balsampier.Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return t
}

// Steer returns the verdict on p.
func (t *Table) Steer(p balsampier.Packet) balsampier.Verdict {
	v := balsampier.Verdict{Revision: t.rules.Revision(), Epoch: t.epoch}
	if p.Hops >= balsampier.MaxHops {
		v.Reason = balsampier.ReasonHops
		return v
	}
	if !p.Holder.IsZero() {
		return t.toHolder(v, p)
	}
	r, ok := t.rules.InForce(p.ServiceAddr, p.Caller.Addr(), p.At)
	if !ok {
		v.Action, v.Reason = balsampier.ActionRefuse, balsampier.ReasonNoRule
		if !p.Opening {
			v.Action = balsampier.ActionReset
		}
		return v
	}
	return t.toHome(v, r.Service, p)
}

// Home returns the agent that decides on new flows with the given key.
func (t *Table) Home(s balsampier.ServiceName, k balsampier.FlowKey) (balsampier.Member, bool) {
	return rendezvous(t.open[s], k)
}

func (t *Table) toHolder(v balsampier.Verdict, p balsampier.Packet) balsampier.Verdict {
	m, ok := t.agents[p.Holder.Instance]
	if !ok || m.Incarnation != p.Holder.Incarnation {
		v.Action, v.Reason = balsampier.ActionReset, balsampier.ReasonHolderGone
		return v
	}
	return forward(v, m)
}

func (t *Table) toHome(v balsampier.Verdict, s balsampier.ServiceName, p balsampier.Packet) balsampier.Verdict {
	m, ok := t.Home(s, p.Flow)
	if !ok {
		v.Action, v.Reason = balsampier.ActionRefuse, balsampier.ReasonNoBackendServer
		return v
	}
	v.Service = s
	return forward(v, m)
}

func forward(v balsampier.Verdict, m balsampier.Member) balsampier.Verdict {
	v.Action, v.Target, v.Addr, v.Service = balsampier.ActionForward, m.Holder(), m.Addr, m.Service
	return v
}

// rendezvous returns the member with the highest score for the key.
func rendezvous(ms []balsampier.Member, k balsampier.FlowKey) (balsampier.Member, bool) {
	best, top := -1, uint64(0)
	for i := range ms {
		if s := score(ms[i].ID, k); best < 0 || s > top {
			best, top = i, s
		}
	}
	if best < 0 {
		return balsampier.Member{}, false
	}
	return ms[best], true
}

// score mixes an agent and a key by the finalizer of SplitMix64.
func score(i balsampier.InstanceID, k balsampier.FlowKey) uint64 {
	x := uint64(i) ^ k.Hi
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= k.Lo
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
