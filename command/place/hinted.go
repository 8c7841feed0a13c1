package place

import (
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/query/loadview"
)

const (
	// ReportInterval is the interval at which an agent reports its load to
	// others.
	ReportInterval = 250 * time.Millisecond

	// MaxReportTargets is the maximum number of agents that receive one report.
	MaxReportTargets = 16

	maxRecentFlows = 1 << 16
	recentFlowTTL  = 30 * time.Second
)

type (
	// HintedPlacer places flows of protocols whose packets name their holder
	// once it has replied. Only opening packets need a decision there. A flow
	// that is placed twice merely starts a handshake that the caller ignores,
	// so placement waits neither for epochs nor for registrations. HintedPlacer
	// is not safe for concurrent use.
	HintedPlacer struct {
		self    balsampier.Holder
		service balsampier.ServiceName
		loads   *loadview.View
		chooser *Chooser
		random  balsampier.Random
		recent  *RecentFlows
		// draining excludes this agent from the candidates.
		draining bool
		// view is the view from which candidates was computed.
		view balsampier.View
		// candidates are the agents of the service that accept new flows.
		candidates []balsampier.Member
	}

	// Placement is the decision on an opening packet.
	Placement struct {
		// Deliver is true if the packet is to be delivered to this agent's
		// server. The agent may still refuse it.
		Deliver bool
		// Target is the agent to forward the packet to if Deliver is false.
		Target balsampier.Member
	}
)

// NewHintedPlacer returns a HintedPlacer for the agent run h, with the loads in
// l.
func NewHintedPlacer(h balsampier.Holder, l *loadview.View, x balsampier.Random) *HintedPlacer {
	return &HintedPlacer{
		self: h, loads: l, random: x, chooser: NewChooser(DefaultSettings(), l), recent: NewRecentFlows(maxRecentFlows, recentFlowTTL),
	}
}

// Adopt switches to view v, with the service of this agent and whether it is
// draining. The agent knows both before a view contains them.
func (h *HintedPlacer) Adopt(v balsampier.View, s balsampier.ServiceName, draining bool) {
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
	// All agents of the service that accept new flows place them too. An agent
	// receives the reports of only so many.
	h.loads.SetPlacers(min(len(h.candidates), MaxReportTargets))
	h.loads.Retain(func(i balsampier.InstanceID) bool {
		_, ok := v.Find(i)
		return ok || i == h.self.Instance
	})
}

// Place decides on an opening packet that a rule maps to this agent's service.
// placed is true if another agent has already placed the flow on this one. A
// draining agent ignores that and decides itself, so that it accepts no flows
// from others.
func (h *HintedPlacer) Place(p balsampier.Packet, placed bool) Placement {
	if placed && !h.draining || p.Hops >= balsampier.MaxHops {
		return Placement{Deliver: true}
	}
	if k, ok := h.recent.FindHolder(p.Flow, p.At); ok {
		if m, ok := h.liveHolder(k); ok {
			return h.placementOn(m)
		}
	}
	m, ok := h.chooser.Choose(h.candidates, p.At, h.random)
	if !ok {
		return Placement{Deliver: true}
	}
	h.recent.StoreHolder(p.Flow, m.Holder(), p.At)
	h.loads.RecordPlacement(m.ID, p.At)
	return h.placementOn(m)
}

// SamplePeers returns up to n random agents other than m that serve m's service
// and thus may place flows on m.
func SamplePeers(v balsampier.View, m balsampier.Member, n int, x balsampier.Random) []balsampier.Member {
	ms := make([]balsampier.Member, 0, n)
	seen := 0
	for _, k := range v.Members {
		if k.Role != balsampier.RoleAgent || k.Service != m.Service || k.ID == m.ID {
			continue
		}
		// Reservoir sampling: each agent is kept with equal probability.
		if seen++; len(ms) < n {
			ms = append(ms, k)
		} else if j := x.Uint64() % uint64(seen); j < uint64(n) {
			ms[j] = k
		}
	}
	return ms
}

// liveHolder returns the agent of holder k while that run is in the view and so
// may still have the flow. A draining agent keeps its flows, so packets are
// still forwarded to it.
func (h *HintedPlacer) liveHolder(k balsampier.Holder) (balsampier.Member, bool) {
	m, ok := h.view.Find(k.Instance)
	return m, ok && m.Incarnation == k.Incarnation
}

func (h *HintedPlacer) placementOn(m balsampier.Member) Placement {
	if m.ID == h.self.Instance {
		return Placement{Deliver: true}
	}
	return Placement{Target: m}
}
