package hold

import (
	"time"

	"github.com/balsampier/balsampier"
)

// quietTimeout is how long a server with requests in flight may send nothing
// before the agent checks whether it still listens; servers acknowledge packets
// in between.
const quietTimeout = 150 * time.Millisecond

// minDrainingSilence is how long a draining server must have been silent before
// a refused connection shows that it has ended. It covers the loss of a
// heartbeat at the usual interval of about a second.
const minDrainingSilence = 3 * time.Second

// maxUnanswered is how many consecutive unanswered openings make a server count
// as silent.
const maxUnanswered = 2

// server is the state of the backend server beside the agent.
type server struct {
	// reported is true once a heartbeat has arrived or the server was found not
	// to listen; present is true from a heartbeat until a shutdown notice or
	// until the server is found not to listen.
	reported bool
	present  bool
	state    balsampier.ServerState
	// confirmed is true once a packet or an accepted connection showed that the
	// present run of the server lives. Its heartbeat alone may be late: the run
	// may have ended before the agent started.
	confirmed bool
	// observedFromStart is true if the agent certainly saw all packets of this
	// run of the server.
	observedFromStart bool
	// lastPacketAt is when the server last sent a packet. requestSentAt is when
	// the first request after that packet was delivered to it.
	lastPacketAt, requestSentAt time.Time
	// heartbeatAt is when the newest heartbeat arrived.
	heartbeatAt time.Time
	// unanswered counts consecutive openings without an answer.
	unanswered int
	// A silent server receives no opening before probeAt, then one as a probe.
	silent  bool
	probeAt time.Time
}

// HandleHeartbeat updates the server's state from a heartbeat that arrived at
// time t and reports whether its run, presence, draining or slots changed.
// Heartbeats of an earlier run, and those of the same run that are out of order,
// are ignored.
func (h *FlowTable) HandleHeartbeat(s balsampier.ServerState, t time.Time) (changed bool) {
	v := &h.server
	same := v.state.ID == s.ID && v.state.Born.Equal(s.Born)
	switch {
	case s.Born.Before(v.state.Born), same && s.Sequence <= v.state.Sequence:
		return false
	case !same && v.reported:
		v.silent, v.unanswered = false, 0
		h.retireOpenFlows()
	}
	if !same {
		v.observedFromStart = s.Sequence <= maxStartupHeartbeats && !s.Born.Before(h.config.StartedAt.Add(-minAgentDowntime))
	}
	v.confirmed = v.confirmed && same && v.present
	changed = !same || !v.present || v.state.Draining != s.Draining || v.state.Slots != s.Slots
	v.state, v.present, v.reported, v.heartbeatAt = s, true, true, t
	return changed
}

// HandleShutdown handles the shutdown notice of the server run with the given
// ID and reports whether that run was the present one.
func (h *FlowTable) HandleShutdown(id string) bool {
	v := &h.server
	if v.state.ID != id || !v.present {
		return false
	}
	v.present = false
	return true
}

// HandleServerAbsent records that no server listens beside the agent: any run
// there has ended, with all its flows. It resets open flows at their clients at
// once, so that these connect elsewhere. It reports whether the state changed.
//
// A draining server may close its listener and still serve its flows. It has
// ended only if it has also been silent for minDrainingSilence.
func (h *FlowTable) HandleServerAbsent(t time.Time) bool {
	v := &h.server
	if v.reported && !v.present {
		return false
	}
	if v.present && v.state.Draining && t.Sub(v.heartbeatAt) < minDrainingSilence {
		return false
	}
	v.reported, v.present = true, false
	for k, f := range h.flows {
		if f.lastFromClient && f.established && (f.state == open || f.state == openInEarlierRun) && !h.expired(f, t) {
			s := f.lastSegment
			h.actions = append(h.actions, Action{Reset: &s})
			h.recordEvent("reset", s, f.balancer, balsampier.ReasonHolderGone, 0)
		}
		h.evict(k, f)
	}
	return true
}

// HandleServerListens records that a server accepts connections beside the
// agent.
func (h *FlowTable) HandleServerListens() { h.server.confirmed = h.server.present }

// ShouldCheckServer reports whether the caller should check that a server
// listens: none has sent a heartbeat yet, the heartbeat of the present one is
// not confirmed, or it does not answer its requests or openings.
func (h *FlowTable) ShouldCheckServer(t time.Time) bool {
	v := &h.server
	switch {
	case !v.reported:
		return true
	case !v.present:
		return false
	case !v.confirmed && !v.state.Draining:
		return true
	}
	return v.silent || h.running > 0 && t.Sub(v.lastPacketAt) > quietTimeout && t.Sub(v.requestSentAt) > quietTimeout
}

// Server returns the state from the newest heartbeat; ok is false while no
// server is present.
func (h *FlowTable) Server() (s balsampier.ServerState, ok bool) {
	return h.server.state, h.server.present
}

// recordOpening records an opening delivered at time t. For a silent server it
// postpones the next probe.
func (v *server) recordOpening(t time.Time) {
	if v.silent {
		v.probeAt = t.Add(probeInterval)
	}
}

// recordUnanswered records an opening that was not answered by time t.
func (v *server) recordUnanswered(t time.Time) {
	v.unanswered++
	if v.unanswered >= maxUnanswered && !v.silent {
		v.silent, v.probeAt = true, t.Add(probeInterval)
	}
}

// recordPacket records that the server sent a packet at time t.
func (v *server) recordPacket(t time.Time) {
	v.silent, v.unanswered, v.lastPacketAt, v.confirmed = false, 0, t, v.present
}

// recordRequest records that a request was delivered to the server at time t.
func (v *server) recordRequest(t time.Time) {
	if !v.requestSentAt.After(v.lastPacketAt) {
		v.requestSentAt = t
	}
}
