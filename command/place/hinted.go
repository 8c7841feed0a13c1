package place

import (
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/query/loadview"
)

const (
	// ReportPeriod is how often an agent tells others of its load.
	ReportPeriod = 250 * time.Millisecond

	// ReportTargets bounds the agents that one report goes to.
	ReportTargets = 16

	recentFlows = 1 << 16
	recentKeep  = 30 * time.Second
)

type (
	// Hinted places the flows of front ends whose packets name their holder
	// once it has answered. Only opening packets need a decision there, and
	// one that is decided on twice starts a handshake that the caller ignores,
	// so that neither epochs nor registrations are waited for. It is
	// serialized by its caller.
	Hinted struct {
		self    balsampier.Holder
		service balsampier.ServiceName
		loads   *loadview.View
		chooser *Chooser
		random  balsampier.Random
		recent  *Recent
		// draining keeps the own agent from being chosen.
		draining bool
		// view is what the candidates were taken from.
		view balsampier.View
		// candidates are the agents of the service that take new flows.
		candidates []balsampier.Member
	}

	// Placement is the decision on one opening packet.
	Placement struct {
		// Deliver is true when the packet is for the own agent, which may
		// still refuse it.
		Deliver bool
		// Target takes the packet when Deliver is false.
		Target balsampier.Member
	}
)

// NewHinted returns the decisions of the run h.
func NewHinted(h balsampier.Holder, l *loadview.View, x balsampier.Random) *Hinted {
	return &Hinted{
		self: h, loads: l, random: x, chooser: NewChooser(DefaultSettings(), l), recent: NewRecent(recentFlows, recentKeep),
	}
}

// Adopt takes over a view, and what the own agent serves and whether it
// drains, which it knows before any view says so.
func (h *Hinted) Adopt(v balsampier.View, s balsampier.ServiceName, draining bool) {
	if h.service == s && h.draining == draining && h.view.Epoch == v.Epoch && len(h.view.Members) == len(v.Members) {
		return
	}
	h.view, h.service, h.draining = v, s, draining
	h.candidates = h.candidates[:0]
	for _, m := range v.Members {
		if m.Role == balsampier.RoleAgent && m.Service == s && !m.Draining && (!draining || m.ID != h.self.Instance) {
			h.candidates = append(h.candidates, m)
		}
	}
	h.loads.Retain(func(i balsampier.InstanceID) bool {
		_, ok := v.Find(i)
		return ok || i == h.self.Instance
	})
}

// Place decides on an opening packet that a rule brings to the own service.
// placed is true when another agent chose the own one.
func (h *Hinted) Place(p balsampier.Packet, placed bool) Placement {
	if placed && !h.draining || p.Hops >= balsampier.MaxHops {
		return Placement{Deliver: true}
	}
	if k, ok := h.recent.Find(p.Flow, p.At); ok {
		if m, ok := h.remembered(k); ok {
			return h.to(m)
		}
	}
	m, ok := h.chooser.Choose(h.candidates, p.At, h.random)
	if !ok {
		return Placement{Deliver: true}
	}
	h.recent.Note(p.Flow, m.Holder(), p.At)
	h.loads.RecordPlacement(m.ID, p.At)
	return h.to(m)
}

// Peers returns up to n random agents among those that place flows on m.
func Peers(v balsampier.View, m balsampier.Member, n int, x balsampier.Random) []balsampier.Member {
	ms := make([]balsampier.Member, 0, n)
	seen := 0
	for _, k := range v.Members {
		if k.Role != balsampier.RoleAgent || k.Service != m.Service || k.ID == m.ID {
			continue
		}
		// Each of the seen ones is kept with equal probability.
		if seen++; len(ms) < n {
			ms = append(ms, k)
		} else if j := x.Uint64() % uint64(seen); j < uint64(n) {
			ms[j] = k
		}
	}
	return ms
}

// remembered returns the agent while its run may still have the flow. A run
// that drains keeps the flows that it has; the own one doesn't take the
// packets of others.
func (h *Hinted) remembered(k balsampier.Holder) (balsampier.Member, bool) {
	m, ok := h.view.Find(k.Instance)
	return m, ok && m.Incarnation == k.Incarnation
}

func (h *Hinted) to(m balsampier.Member) Placement {
	if m.ID == h.self.Instance {
		return Placement{Deliver: true}
	}
	return Placement{Target: m}
}
