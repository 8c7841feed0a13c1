// Package loadview answers what is known of the load of agents. The agents'
// own counts and the own placements since then make up the load; what backend
// servers claim is kept apart and moves nothing.
package loadview

import (
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// latencyWeight is the part of the average that the newest latency makes.
	latencyWeight = 0.1
	// maxPlacements bounds the remembered placements of an agent.
	maxPlacements = 4096
)

type (
	// View holds the loads as one instance knows them.
	View struct {
		agents map[balsampier.InstanceID]*agent
	}

	// Observation is what this instance itself saw of an agent's server.
	Observation struct {
		// InFlight counts requests that have no outcome yet; never negative.
		InFlight int
		// Latency is a moving average of finished requests; zero before the
		// first.
		Latency time.Duration
		// Succeeded and Failed count finished requests.
		Succeeded, Failed uint64
		// ConsecutiveFailures counts failures since the last success.
		ConsecutiveFailures int
	}

	agent struct {
		agentLoad balsampier.Load
		serverLoad balsampier.Load
		observed    Observation
		// placements holds the own placements after counted.At, by age.
		placements []time.Time
	}
)

var _ balsampier.LoadView = (*View)(nil)

// New returns a view that knows nothing.
func New() *View { return &View{agents: make(map[balsampier.InstanceID]*agent)} }

// Load returns the agent's own count, with the own placements since then.
func (v *View) Load(i balsampier.InstanceID) (balsampier.Load, bool) {
	a := v.agents[i]
	if a == nil || a.agentLoad.At.IsZero() {
		return balsampier.Load{}, false
	}
	l := a.agentLoad
	l.Connections += len(a.placements)
	return l, true
}

// RecordAgentLoad takes in what an agent counted. Older counts are ignored.
func (v *View) RecordAgentLoad(i balsampier.InstanceID, l balsampier.Load) {
	a := v.agent(i)
	if l.At.Before(a.agentLoad.At) {
		return
	}
	a.agentLoad = l
	n := 0
	for n < len(a.placements) && !a.placements[n].After(l.At) {
		n++
	}
	a.placements = a.placements[n:]
}

// RecordPlacement notes that a flow was given to the agent at t.
func (v *View) RecordPlacement(i balsampier.InstanceID, t time.Time) {
	a := v.agent(i)
	if len(a.placements) == maxPlacements {
		a.placements = a.placements[1:]
	}
	a.placements = append(a.placements, t)
}

// RecordServerLoad takes in what the backend server says of itself.
func (v *View) RecordServerLoad(i balsampier.InstanceID, l balsampier.Load) { v.agent(i).serverLoad = l }

// ServerLoadDiverges reports whether the server's claim is off the agent's count by more
// than half and more than its slots.
func (v *View) ServerLoadDiverges(i balsampier.InstanceID) bool {
	a := v.agents[i]
	if a == nil || a.serverLoad.At.IsZero() || a.agentLoad.At.IsZero() {
		return false
	}
	server, agent := total(a.serverLoad), total(a.agentLoad)
	d := max(server, agent) - min(server, agent)
	return d > a.agentLoad.Slots && 2*d > max(server, agent)
}

// BeginRequest notes that a request was sent to the agent's server.
func (v *View) BeginRequest(i balsampier.InstanceID) { v.agent(i).observed.InFlight++ }

// RecordOutcome notes the outcome of a request after d.
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

// DiscardRequest notes that a request ended without showing anything of the server.
func (v *View) DiscardRequest(i balsampier.InstanceID) {
	s := &v.agent(i).observed
	s.InFlight = max(0, s.InFlight-1)
}

// Observed returns what this instance saw of the agent's server.
func (v *View) Observed(i balsampier.InstanceID) Observation {
	if a := v.agents[i]; a != nil {
		return a.observed
	}
	return Observation{}
}

// Retain drops the agents that are not alive.
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

func total(l balsampier.Load) int { return l.Connections + l.Running + l.Queued }
