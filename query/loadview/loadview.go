// Package loadview tracks the load of agents. The load is what an agent last
// reported plus an estimate of the flows placed on it since then. The load that
// backend servers report of themselves is kept separately and does not
// influence it.
package loadview

import (
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// latencyWeight is the weight of the newest latency in the moving average.
	latencyWeight = 0.1
	// settleWindow is how long a report and the handshakes of the flows that it
	// counts may take on busy machines. A report may lack flows that were placed
	// within this window before it arrived.
	settleWindow = 500 * time.Millisecond
	// maxEarlierLoads limits the earlier loads that are kept per agent.
	maxEarlierLoads = 8
	// maxPlacements limits the recorded placements per agent; the oldest are
	// evicted.
	maxPlacements = 4096
)

type (
	// View holds the loads that one instance knows. It is not safe for
	// concurrent use.
	View struct {
		agents map[balsampier.InstanceID]*agent
		// placers is how many instances place flows on the agents; positive.
		placers int
	}

	// Observation is what this instance observed of an agent's server.
	Observation struct {
		// InFlight is the number of requests without an outcome yet; never
		// negative.
		InFlight int
		// Latency is the moving average latency of successful requests; zero
		// before the first one.
		Latency time.Duration
		// Succeeded and Failed count finished requests.
		Succeeded, Failed uint64
		// ConsecutiveFailures is the number of failures since the last success.
		ConsecutiveFailures int
	}

	agent struct {
		// agentLoad is the newest load that the agent reported, earlierLoads
		// those that it replaced within settleWindow and the one before them,
		// oldest first; at most maxEarlierLoads.
		agentLoad    balsampier.Load
		earlierLoads []balsampier.Load
		serverLoad   balsampier.Load
		observed     Observation
		// placements holds the times of this instance's placements since the
		// oldest of these loads, oldest first.
		placements []time.Time
	}
)

var _ balsampier.LoadView = (*View)(nil)

// New returns an empty view.
func New() *View { return &View{agents: make(map[balsampier.InstanceID]*agent), placers: 1} }

// SetPlacers sets how many instances, this one included, place flows on the
// agents.
func (v *View) SetPlacers(n int) { v.placers = max(n, 1) }

// Load returns an estimate of the agent's load, and whether the agent has
// reported any: the load that it reported plus the placements since then. The
// other instances are assumed to have placed as many flows on the agent as this
// one. Without them, the agent with the newest report would seem to have more
// load than the others, which would get all flows until their next report. For
// the same reason an earlier load counts if it gives a higher estimate.
func (v *View) Load(i balsampier.InstanceID) (balsampier.Load, bool) {
	a := v.agents[i]
	if a == nil || a.agentLoad.At.IsZero() {
		return balsampier.Load{}, false
	}
	l := a.agentLoad
	l.Connections += v.placers * a.placedSince(l.At)
	for _, e := range a.earlierLoads {
		l.Connections = max(l.Connections, e.Connections+v.placers*a.placedSince(e.At))
	}
	return l, true
}

// placedSince returns how many placements were made at t or later.
func (a *agent) placedSince(t time.Time) int {
	n := len(a.placements)
	for n > 0 && !a.placements[n-1].Before(t) {
		n--
	}
	return len(a.placements) - n
}

// RecordAgentLoad records the load that an agent measured. It ignores loads
// older than the recorded one.
func (v *View) RecordAgentLoad(i balsampier.InstanceID, l balsampier.Load) {
	a := v.agent(i)
	if l.At.Before(a.agentLoad.At) {
		return
	}
	if !a.agentLoad.At.IsZero() {
		a.earlierLoads = append(a.earlierLoads, a.agentLoad)
	}
	a.agentLoad = l
	for len(a.earlierLoads) > maxEarlierLoads || len(a.earlierLoads) > 1 && l.At.Sub(a.earlierLoads[1].At) >= settleWindow {
		a.earlierLoads = a.earlierLoads[1:]
	}
	if len(a.earlierLoads) > 0 && l.At.Sub(a.earlierLoads[0].At) >= 2*settleWindow {
		a.earlierLoads = a.earlierLoads[1:]
	}
	oldest := l.At
	if len(a.earlierLoads) > 0 {
		oldest = a.earlierLoads[0].At
	}
	a.placements = a.placements[len(a.placements)-a.placedSince(oldest):]
}

// RecordPlacement records that a flow was placed on the agent at time t.
func (v *View) RecordPlacement(i balsampier.InstanceID, t time.Time) {
	a := v.agent(i)
	if len(a.placements) == maxPlacements {
		a.placements = a.placements[1:]
	}
	a.placements = append(a.placements, t)
}

// RecordServerLoad records the load that the backend server reports of itself.
func (v *View) RecordServerLoad(i balsampier.InstanceID, l balsampier.Load) {
	v.agent(i).serverLoad = l
}

// ServerLoadDiverges reports whether the load reported by the server differs
// from that reported by the agent by more than the agent's slots and by more
// than half of the larger one.
func (v *View) ServerLoadDiverges(i balsampier.InstanceID) bool {
	a := v.agents[i]
	if a == nil || a.serverLoad.At.IsZero() || a.agentLoad.At.IsZero() {
		return false
	}
	server, agent := totalLoad(a.serverLoad), totalLoad(a.agentLoad)
	d := max(server, agent) - min(server, agent)
	return d > a.agentLoad.Slots && 2*d > max(server, agent)
}

// BeginRequest records that a request was sent to the agent's server.
func (v *View) BeginRequest(i balsampier.InstanceID) { v.agent(i).observed.InFlight++ }

// RecordOutcome records that a request succeeded or failed after duration d.
func (v *View) RecordOutcome(i balsampier.InstanceID, d time.Duration, failed bool) {
	s := &v.agent(i).observed
	s.InFlight = max(0, s.InFlight-1)
	if failed {
		s.Failed++
		s.ConsecutiveFailures++
		return
	}
	s.Succeeded++
	s.ConsecutiveFailures = 0
	if s.Latency == 0 {
		s.Latency = d
		return
	}
	s.Latency += time.Duration(latencyWeight * float64(d-s.Latency))
}

// DiscardRequest records that a request ended without indicating anything about
// the server.
func (v *View) DiscardRequest(i balsampier.InstanceID) {
	s := &v.agent(i).observed
	s.InFlight = max(0, s.InFlight-1)
}

// Observed returns what this instance observed of the agent's server.
func (v *View) Observed(i balsampier.InstanceID) Observation {
	if a := v.agents[i]; a != nil {
		return a.observed
	}
	return Observation{}
}

// Retain deletes all agents for which alive returns false.
func (v *View) Retain(alive func(balsampier.InstanceID) bool) {
	for i := range v.agents {
		if !alive(i) {
			delete(v.agents, i)
		}
	}
}

func (v *View) agent(i balsampier.InstanceID) *agent {
	a := v.agents[i]
	if a == nil {
		a = &agent{}
		v.agents[i] = a
	}
	return a
}

func totalLoad(l balsampier.Load) int { return l.Connections + l.Running + l.Queued }
