package hold

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// quietTimeout is how long a server with requests in flight may send nothing
	// before the agent checks whether it still listens; servers acknowledge
	// packets in between.
	quietTimeout = 150 * time.Millisecond
	// minDrainingSilence is how long a server that may be draining must have been
	// silent before a refused connection shows that it has ended. It covers the
	// loss of a heartbeat at the usual interval of about a second.
	minDrainingSilence = 3 * time.Second
	// takeoverWindow is how long another run must send heartbeats, while the
	// present one sends none, to replace it without other evidence. A run that
	// lives sends at least two in it, so that late heartbeats of an ended run
	// never replace it.
	takeoverWindow = 3 * time.Second
	// maxReplacedRuns bounds the replaced runs that are remembered: more than
	// restart within the time that a heartbeat may be late.
	maxReplacedRuns = 8
	// maxHeartbeatInterval exceeds the time between two heartbeats of a server.
	maxHeartbeatInterval = 1500 * time.Millisecond
	// maxUnanswered is how many consecutive unanswered openings make a server
	// count as silent.
	maxUnanswered = 2
)

type (
	// runID identifies a run of a server. Both parts may be those of another
	// run, but not both at once. The start tells nothing about the order of two
	// runs, as the time of day may be set back in between.
	runID struct {
		id               string
		bornMilliseconds int64
	}

	// takeover is a run that may have replaced the present one: its heartbeats
	// arrive and those of the present one do not.
	takeover struct {
		run runID
		// firstAt is when its first heartbeat since the last one of the present
		// run arrived.
		firstAt time.Time
		// sequence is that of its newest heartbeat.
		sequence uint64
	}

	// server is the state of the backend server beside the agent.
	server struct {
		// reported is true once a heartbeat has arrived or the server was found not
		// to listen; present is true from a heartbeat until a shutdown notice or
		// until the server is found not to listen.
		reported bool
		present  bool
		state    balsampier.ServerState
		// left is true once the run has sent a shutdown notice, until a check after a
		// later heartbeat finds that a server listens: the notice may be one of an
		// earlier run with the same ID. revived is true while that check is due.
		left, revived bool
		// replaced are runs that others have replaced, the newest last.
		replaced []runID
		// takeover is the run that may replace the present one; zero if there is
		// none.
		takeover takeover
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
)

// HandleHeartbeat updates the server's state from a heartbeat that arrived at
// time t and reports whether its run, presence, draining or slots changed.
// Heartbeats of an earlier run, and those of the same run that are out of order,
// are ignored; IsCurrentRun tells which.
func (h *FlowTable) HandleHeartbeat(s balsampier.ServerState, t time.Time) (changed bool) {
	v := &h.server
	switch {
	case !h.IsCurrentRun(s):
		if !v.shouldReplace(s, t) {
			return false
		}
		h.replaceRun(s, t)
		changed = true
	case s.Sequence <= v.state.Sequence:
		return false
	case v.left:
		v.state, v.heartbeatAt, v.revived, v.takeover = s, t, true, takeover{}
		return false
	default:
		v.confirmed = v.confirmed && v.present
		changed = !v.present || v.state.Draining != s.Draining || v.state.Slots != s.Slots
	}
	v.state, v.present, v.reported, v.heartbeatAt, v.takeover = s, true, true, t, takeover{}
	return changed
}

// IsCurrentRun reports whether a heartbeat is of the run that the table follows,
// which may have ended.
func (h *FlowTable) IsCurrentRun(s balsampier.ServerState) bool {
	return h.server.state.ID != "" && runOf(h.server.state) == runOf(s)
}

// replaceRun makes the run of s the present one.
func (h *FlowTable) replaceRun(s balsampier.ServerState, t time.Time) {
	v := &h.server
	if v.reported {
		v.silent, v.unanswered = false, 0
		h.retireOpenFlows()
	}
	if v.state.ID != "" {
		v.replaced = append(v.replaced, runOf(v.state))
		v.replaced = v.replaced[max(0, len(v.replaced)-maxReplacedRuns):]
	}
	v.confirmed, v.left, v.revived = false, false, false
	v.observedFromStart = h.startedAfterAgent(s, t)
}

// startedAfterAgent reports whether a run, whose first heartbeat here is s, has
// certainly started after the agent. The starts are times of day, which may have
// been set back in between; so the number of its heartbeats must show it too.
func (h *FlowTable) startedAfterAgent(s balsampier.ServerState, t time.Time) bool {
	if s.Sequence > maxStartupHeartbeats || s.Born.Before(h.config.StartedAt.Add(-minAgentDowntime)) {
		return false
	}
	return s.Sequence == 1 || t.Sub(h.startedAt) >= time.Duration(s.Sequence)*maxHeartbeatInterval
}

// shouldReplace reports whether s shows that its run has replaced the present
// one. A run that was never heard of has if none is present or if it started
// later, which is wrong only for a late heartbeat after the time of day was set
// back; the next heartbeats then decide. Any other must outlast the present one.
func (v *server) shouldReplace(s balsampier.ServerState, t time.Time) bool {
	r := runOf(s)
	if !slices.Contains(v.replaced, r) && (!v.present || s.Born.After(v.state.Born)) {
		return true
	}
	if v.takeover.run != r {
		v.takeover = takeover{run: r, firstAt: t, sequence: s.Sequence}
		return false
	}
	if s.Sequence <= v.takeover.sequence {
		return false
	}
	v.takeover.sequence = s.Sequence
	return t.Sub(v.takeover.firstAt) >= takeoverWindow
}

func runOf(s balsampier.ServerState) runID { return runID{s.ID, s.Born.UnixMilli()} }

// HandleShutdown handles the shutdown notice of the server run with the given
// ID and reports whether that run was the present one.
func (h *FlowTable) HandleShutdown(id string) bool {
	v := &h.server
	if v.state.ID != id || !v.present {
		return false
	}
	v.present, v.left = false, true
	return true
}

// HandleServerAbsent records that no server listens beside the agent: any run
// there has ended, with all its flows. It resets open flows at their clients at
// once, so that these connect elsewhere. It reports whether the state changed.
//
// A draining server may close its listener and still serve its flows. It has
// ended only if it has also been silent for minDrainingSilence, and so has one of
// which an agent that restarted has heard nothing yet.
func (h *FlowTable) HandleServerAbsent(t time.Time) bool {
	v := &h.server
	if v.reported && !v.present {
		v.revived = false
		return false
	}
	if h.mayDrain() && t.Sub(h.serverHeardAt()) < minDrainingSilence {
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

// mayDrain reports whether the server may have closed its listener although it
// still serves its flows.
func (h *FlowTable) mayDrain() bool {
	v := &h.server
	return v.present && v.state.Draining || !v.reported && !h.config.KnowsAllFlows
}

// serverHeardAt returns when the server last showed that it lives, or when the
// agent started.
func (h *FlowTable) serverHeardAt() time.Time {
	t := h.startedAt
	for _, x := range []time.Time{h.server.heartbeatAt, h.server.lastPacketAt} {
		if x.After(t) {
			t = x
		}
	}
	return t
}

// HasServerEnded reports whether it is known that no server runs beside the
// agent, so that all flows of the last one have ended. An agent that has heard
// nothing yet does not know.
func (h *FlowTable) HasServerEnded() bool {
	return h.server.reported && !h.server.present && !h.server.revived
}

// HandleServerListens records that a server accepts connections beside the
// agent. It reports whether the state changed.
func (h *FlowTable) HandleServerListens() bool {
	v := &h.server
	changed := v.revived
	if changed {
		v.present, v.left, v.revived = true, false, false
	}
	v.confirmed = v.present
	return changed
}

// ShouldCheckServer reports whether the caller should check that a server
// listens: none has sent a heartbeat yet, the heartbeat of the present one is
// not confirmed, or it does not answer its requests or openings.
func (h *FlowTable) ShouldCheckServer(t time.Time) bool {
	v := &h.server
	switch {
	case !v.reported:
		return true
	case !v.present:
		return v.revived
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
