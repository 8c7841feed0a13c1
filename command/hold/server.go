package hold

import (
	"time"

	"github.com/balsampier/balsampier"
)

// quietTimeout is how long a server with requests may send nothing until it is
// looked at; servers acknowledge packets in between.
const quietTimeout = 150 * time.Millisecond

// maxUnanswered is how many openings in turn a server leaves unanswered until it
// counts as silent.
const maxUnanswered = 2

// server is what the agent knows of the backend server beside it.
type server struct {
	// reported is true from the first heartbeat on, here until the farewell.
	reported bool
	present  bool
	state    balsampier.ServerState
	// observedFromStart is true where the agent surely saw all packets of the run.
	observedFromStart bool
	// lastPacketAt is when the server sent a packet last. requestSentAt is since when it was
	// requestSentAt requests without a packet from it.
	lastPacketAt, requestSentAt time.Time
	// unanswered counts openings in turn without an answer.
	unanswered int
	// silent servers are offered one opening at probeAt.
	silent  bool
	probeAt time.Time
}

// HandleHeartbeat takes in what the server says of itself and reports whether it is
// news. What an earlier run says, or the same run said earlier, changes
// nothing.
func (h *FlowTable) HandleHeartbeat(s balsampier.ServerState) (changed bool) {
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
	changed = !same || !v.present || v.state.Draining != s.Draining || v.state.Slots != s.Slots
	v.state, v.present, v.reported = s, true, true
	return changed
}

// HandleShutdown takes in that the run of the server called id has ended, and reports
// whether it is the present one.
func (h *FlowTable) HandleShutdown(id string) bool {
	v := &h.server
	if v.state.ID != id || !v.present {
		return false
	}
	v.present = false
	return true
}

// HandleServerAbsent takes in that no server listens beside the agent: whatever ran there
// has ended with all its flows. Clients whose flows were open are told at once,
// so that they ask elsewhere. It reports whether that is news.
func (h *FlowTable) HandleServerAbsent(t time.Time) bool {
	v := &h.server
	if v.reported && !v.present {
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

// ShouldCheckServer reports whether it is worth a look whether a server listens: none
// has said anything yet, or the one that did leaves its requests unanswered.
func (h *FlowTable) ShouldCheckServer(t time.Time) bool {
	v := &h.server
	switch {
	case !v.reported:
		return true
	case !v.present:
		return false
	}
	return v.silent || h.running > 0 && t.Sub(v.lastPacketAt) > quietTimeout && t.Sub(v.requestSentAt) > quietTimeout
}

// Server returns the newest that the server said; ok is false while there is
// none.
func (h *FlowTable) Server() (s balsampier.ServerState, ok bool) {
	return h.server.state, h.server.present
}

// recordOpening notes an opening at time t.
func (v *server) recordOpening(t time.Time) {
	if v.silent {
		v.probeAt = t.Add(probeInterval)
	}
}

// recordUnanswered notes an opening that was not answered by time t.
func (v *server) recordUnanswered(t time.Time) {
	v.unanswered++
	if v.unanswered >= maxUnanswered && !v.silent {
		v.silent, v.probeAt = true, t.Add(probeInterval)
	}
}

// recordPacket notes that the server sent a packet at time t.
func (v *server) recordPacket(t time.Time) { v.silent, v.unanswered, v.lastPacketAt = false, 0, t }

// recordRequest notes that the server was given a request at time t.
func (v *server) recordRequest(t time.Time) {
	if !v.requestSentAt.After(v.lastPacketAt) {
		v.requestSentAt = t
	}
}
