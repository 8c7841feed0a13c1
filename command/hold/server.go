package hold

import (
	"time"

	"github.com/balsampier/balsampier"
)

// quietFor is how long a server with requests may send nothing until it is
// looked at; servers acknowledge packets in between.
const quietFor = 150 * time.Millisecond

// silentAfter is how many openings in turn a server leaves unanswered until it
// counts as silent.
const silentAfter = 2

// server is what the agent knows of the backend server beside it.
type server struct {
	// heard is true from the first heartbeat on, here until the farewell.
	heard bool
	here  bool
	state balsampier.ServerState
	// witnessed is true where the agent surely saw all packets of the run.
	witnessed bool
	// spoke is when the server sent a packet last. given is since when it was
	// given requests without a packet from it.
	spoke, given time.Time
	// unanswered counts openings in turn without an answer.
	unanswered int
	// silent servers are offered one opening at probeAt.
	silent  bool
	probeAt time.Time
}

// HandleHeartbeat takes in what the server says of itself and reports whether it is
// news. What an earlier run says, or the same run said earlier, changes
// nothing.
func (h *FlowTable) HandleHeartbeat(s balsampier.ServerState) (news bool) {
	v := &h.server
	same := v.state.ID == s.ID && v.state.Born.Equal(s.Born)
	switch {
	case s.Born.Before(v.state.Born), same && s.Sequence <= v.state.Sequence:
		return false
	case !same && v.heard:
		v.silent, v.unanswered = false, 0
		h.retire()
	}
	if !same {
		v.witnessed = s.Sequence <= firstStatements && !s.Born.Before(h.g.StartedAt.Add(-restartSlack))
	}
	news = !same || !v.here || v.state.Draining != s.Draining || v.state.Slots != s.Slots
	v.state, v.here, v.heard = s, true, true
	return news
}

// HandleShutdown takes in that the run of the server called id has ended, and reports
// whether it is the present one.
func (h *FlowTable) HandleShutdown(id string) bool {
	v := &h.server
	if v.state.ID != id || !v.here {
		return false
	}
	v.here = false
	return true
}

// HandleServerAbsent takes in that no server listens beside the agent: whatever ran there
// has ended with all its flows. Clients whose flows were open are told at once,
// so that they ask elsewhere. It reports whether that is news.
func (h *FlowTable) HandleServerAbsent(t time.Time) bool {
	v := &h.server
	if v.heard && !v.here {
		return false
	}
	v.heard, v.here = true, false
	for k, f := range h.flows {
		if f.fromClient && f.proved && (f.state == open || f.state == former) && !h.expired(f, t) {
			s := f.segment
			h.out = append(h.out, Action{Reset: &s})
			h.note("reset", s, f.via, balsampier.ReasonHolderGone, 0)
		}
		h.forget(k, f)
	}
	return true
}

// ShouldCheckServer reports whether it is worth a look whether a server listens: none
// has said anything yet, or the one that did leaves its requests unanswered.
func (h *FlowTable) ShouldCheckServer(t time.Time) bool {
	v := &h.server
	switch {
	case !v.heard:
		return true
	case !v.here:
		return false
	}
	return v.silent || h.running > 0 && t.Sub(v.spoke) > quietFor && t.Sub(v.given) > quietFor
}

// Server returns the newest that the server said; ok is false while there is
// none.
func (h *FlowTable) Server() (s balsampier.ServerState, ok bool) {
	return h.server.state, h.server.here
}

// asked notes an opening at time t.
func (v *server) asked(t time.Time) {
	if v.silent {
		v.probeAt = t.Add(probeInterval)
	}
}

// missed notes an opening that was not answered by time t.
func (v *server) missed(t time.Time) {
	v.unanswered++
	if v.unanswered >= silentAfter && !v.silent {
		v.silent, v.probeAt = true, t.Add(probeInterval)
	}
}

// answered notes that the server sent a packet at time t.
func (v *server) answered(t time.Time) { v.silent, v.unanswered, v.spoke = false, 0, t }

// gave notes that the server was given a request at time t.
func (v *server) gave(t time.Time) {
	if !v.given.After(v.spoke) {
		v.given = t
	}
}
