// Package hold decides, at an agent, which flows the backend server beside it
// has and whether it takes new ones. It is a pure state machine: relays,
// packets of the server, its heartbeats and times go in; packets, answers and
// notes come out.
package hold

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// answerTimeout is how long a server may take to answer an opening packet
	// before it counts as silent; a handshake takes a few milliseconds.
	answerTimeout = 30 * time.Millisecond
	// probeInterval spaces opening packets to a silent server, which find out
	// whether it is back.
	probeInterval = 200 * time.Millisecond
	// halfOpenTTL is how long an opening is remembered: a client gives it up
	// after 1.4 s.
	halfOpenTTL = 4 * time.Second
	// endedTTL is how long an ended flow is remembered: its ends repeat their
	// last packets for some seconds.
	endedTTL = 15 * time.Second
	// idleTTL is how long a silent flow is remembered; it exceeds the idle
	// time-outs of routes.
	idleTTL = 60 * time.Second
	// learningWindow is how long an agent that started after its server may lack
	// flows that the server has: the longest life of a flow.
	learningWindow = 60 * time.Second
	// minAgentDowntime is less than the time from the end of an agent to its next
	// start: a server that started that much earlier took no packet of the run
	// before.
	minAgentDowntime = 300 * time.Millisecond
	// maxStartupHeartbeats are the heartbeats of a server that has just started:
	// one for each time that it was not answered, and the first.
	maxStartupHeartbeats = 4
	// sweepInterval spaces the search for flows to forget.
	sweepInterval = 2 * time.Second
	// maxFlows bounds the remembered flows; servers hold some thousands.
	maxFlows = 50_000
	// ackWindow is how far an acknowledgement may be ahead of the server's
	// first number: 64 packets of 1,200 bytes.
	ackWindow = 76_800
	// departureWindow is how long an agent that left the view may still have flows:
	// longer than their idle time-out.
	departureWindow = 20 * time.Second
	// keyLength is the length of a flow in a search.
	keyLength = 8
)

const (
	halfOpen state = iota
	open
	ended
	// openInEarlierRun flows were open when a later run of the server showed up. It may
	// have taken them before it said so; if not, it returns their packets.
	openInEarlierRun
)

type (
	state uint8

	// Config sets up a Holder.
	Config struct {
		Service balsampier.ServiceName
		// KnowsAllFlows is true where the agent surely started before any flow.
		KnowsAllFlows bool
		// StartedAt is when the agent started, by the time of day.
		StartedAt time.Time
		// Allowed reports whether the newest routes that the agent knows, of
		// the given revision, send new flows to the service at to.
		Allowed func(to netip.AddrPort) (bool, balsampier.Revision)
	}

	// FlowTable is the state of one agent. It is serialized by its caller.
	FlowTable struct {
		config Config
		server server
		flows  map[balsampier.FlowKey]*flow
		// byHash has the same flows by the part of the key that searches name.
		byHash map[uint64]*flow
		// open and running count flows and those with a request under way.
		open, running   int
		answerDeadlines []deadline
		sweepAt         time.Time
		// agents are those of the service in the view; lostAt is when one
		// left it, zero before the first.
		agents     []netip.AddrPort
		departedAt time.Time
		// allKnownAt is when the agent knows all flows.
		allKnownAt           time.Time
		actions, lastActions []Action
	}

	flow struct {
		// lastSegment is the newest packet, of the client where fromClient is true.
		lastSegment    balsampier.Segment
		lastFromClient bool
		state          state
		// serverSequence is the server's first number, where answered is true.
		serverSequence uint32
		answered       bool
		// balancer is the balancer that sent the newest packet.
		balancer netip.AddrPort
		// lastSeen is when the newest packet was seen, either way.
		lastSeen time.Time
		// running is true from a request until its answer begins.
		running bool
		// established is true once the flow is surely open at the server: the client
		// acknowledged its answer, or it sent a packet of the open flow.
		established bool
	}

	deadline struct {
		at  time.Time
		key balsampier.FlowKey
	}

	// Action is one thing to do; one of the fields is set, and Note beside it.
	Action struct {
		// ToServer is delivered to the server.
		ToServer []byte
		// ToClient is sent to Client.
		ToClient []byte
		Client   netip.AddrPort
		// Reply is sent to To.
		Reply balsampier.Relay
		To    netip.AddrPort
		// Reset is sent to the client.
		Reset *balsampier.Segment
		Event Event
	}

	// Event tells of one decision; its Event is empty where there is nothing to
	// tell.
	Event struct {
		Name     string
		Flow     balsampier.FlowKey
		Segment  balsampier.Segment
		Balancer netip.AddrPort
		Reason   balsampier.Reason
		// Revision is that of the balancer's routes, OwnRevision the agent's.
		Revision, OwnRevision balsampier.Revision
	}
)

// New returns the holder of an agent that starts at time t.
func New(g Config, t time.Time) *FlowTable {
	return &FlowTable{config: g, flows: make(map[balsampier.FlowKey]*flow), byHash: make(map[uint64]*flow), allKnownAt: t.Add(learningWindow)}
}

// TakeActions returns what is to be done, in order. The slice is valid until the next
// call of TakeActions.
func (h *FlowTable) TakeActions() []Action {
	out := h.actions
	h.actions, h.lastActions = h.lastActions[:0], out
	return out
}

// NextTick returns when to call Tick; ok is false while nothing is waited for.
func (h *FlowTable) NextTick() (time.Time, bool) {
	if len(h.answerDeadlines) == 0 {
		return time.Time{}, false
	}
	return h.answerDeadlines[0].at, true
}

// Load returns the load of the server.
func (h *FlowTable) Load() balsampier.Load {
	return balsampier.Load{Connections: h.open, Running: h.running, Slots: max(h.server.state.Slots, 1)}
}

// HandleRelay decides on what a balancer sent. s is read from the payload.
func (h *FlowTable) HandleRelay(from netip.AddrPort, r balsampier.Relay, s balsampier.Segment, t time.Time) {
	if r.Kind == balsampier.RelaySearch {
		h.handleSearch(from, r, t)
		return
	}
	f := h.flows[r.Flow]
	if f != nil && h.expired(f, t) {
		h.evict(r.Flow, f)
		f = nil
	}
	switch r.Kind {
	case balsampier.RelayOpen:
		h.handleOpening(from, r, s, f, t)
	case balsampier.RelayDeliver:
		h.handleDeliver(from, r, s, f, t)
	case balsampier.RelayProbe:
		h.handleProbe(from, r, s, f, t)
	case balsampier.RelayQuery:
		h.reply(from, h.flowStatus(f, s, t), r.Flow, balsampier.ReasonNone, nil)
	}
}

// handleSearch answers which of the flows in the payload the server has.
func (h *FlowTable) handleSearch(from netip.AddrPort, r balsampier.Relay, t time.Time) {
	k := balsampier.RelayNotFound
	if h.mayMissFlows(t) {
		k = balsampier.RelayUncertain
	}
	var have []byte
	for b := r.Payload; len(b) >= keyLength; b = b[keyLength:] {
		if f := h.byHash[binary.BigEndian.Uint64(b)]; f != nil && !h.expired(f, t) {
			have = append(have, b[:keyLength]...)
		}
	}
	_, v := h.config.Allowed(netip.AddrPort{})
	o := balsampier.Relay{Kind: k, Flow: r.Flow, Revision: v, Load: h.Load(), Payload: have}
	if d := t.Sub(h.departedAt); !h.departedAt.IsZero() && d < departureWindow {
		o.SinceDeparture = max(d, 1)
	}
	h.actions = append(h.actions, Action{To: from, Reply: o})
}

// AdoptAgents takes over which agents of the service are in the view.
func (h *FlowTable) AdoptAgents(as []netip.AddrPort, t time.Time) {
	for _, a := range h.agents {
		if !slices.Contains(as, a) {
			h.departedAt = t
		}
	}
	h.agents = as
}

// handleOpening decides on an opening packet.
func (h *FlowTable) handleOpening(from netip.AddrPort, r balsampier.Relay, s balsampier.Segment, f *flow, t time.Time) {
	if f != nil && (f.state == open || f.state == halfOpen && f.answered) {
		f.balancer, f.lastSeen = from, t
		h.sendToServer(r.Payload)
		h.reply(from, balsampier.RelayAccepted, r.Flow, balsampier.ReasonNone, nil)
		return
	}
	if v := h.refusalReason(r, s, t); v != balsampier.ReasonNone {
		h.reply(from, balsampier.RelayRefused, r.Flow, v, nil)
		h.recordEvent("refused", s, from, v, r.Revision)
		return
	}
	if f == nil {
		f = &flow{}
		h.insert(r.Flow, f)
	}
	h.removeFromCounts(f)
	f.lastSegment, f.lastFromClient, f.balancer, f.lastSeen, f.state, f.answered, f.established = s, true, from, t, halfOpen, false, false
	h.server.recordOpening(t)
	h.answerDeadlines = append(h.answerDeadlines, deadline{at: t.Add(answerTimeout), key: r.Flow})
	h.sendToServer(r.Payload)
	h.reply(from, balsampier.RelayAccepted, r.Flow, balsampier.ReasonNone, nil)
	h.recordEvent("taken", s, from, balsampier.ReasonNone, r.Revision)
}

// refusalReason returns why the server takes no new flow, or ReasonNone.
func (h *FlowTable) refusalReason(r balsampier.Relay, s balsampier.Segment, t time.Time) balsampier.Reason {
	v := &h.server
	allowed, revision := h.config.Allowed(s.Service)
	switch {
	case !v.present:
		return balsampier.ReasonNoBackendServer
	case r.Service != h.config.Service.Hash() || v.state.Service != h.config.Service:
		return balsampier.ReasonWrongService
	case v.state.Draining:
		return balsampier.ReasonDraining
	case revision > r.Revision && !allowed:
		return balsampier.ReasonRouteChanged
	case len(h.flows) >= maxFlows:
		return balsampier.ReasonFull
	case v.silent && t.Before(v.probeAt):
		return balsampier.ReasonTimeout
	}
	return balsampier.ReasonNone
}

// handleDeliver decides on a packet of a flow that the balancer thinks is here.
func (h *FlowTable) handleDeliver(from netip.AddrPort, r balsampier.Relay, s balsampier.Segment, f *flow, t time.Time) {
	k := h.flowStatus(f, s, t)
	if k == balsampier.RelayNotFound {
		h.reply(from, k, r.Flow, balsampier.ReasonNone, r.Payload)
		h.recordEvent("denied", s, from, balsampier.ReasonUnknownFlow, r.Revision)
		return
	}
	// Where the agent does not know, the balancer had it from this agent's
	// earlier run.
	h.deliverToOpen(from, r, s, f, t)
}

// handleProbe delivers a packet of a flow that nobody is known to have.
func (h *FlowTable) handleProbe(from netip.AddrPort, r balsampier.Relay, s balsampier.Segment, f *flow, t time.Time) {
	if h.flowStatus(f, s, t) == balsampier.RelayNotFound {
		h.reply(from, balsampier.RelayNotFound, r.Flow, balsampier.ReasonNone, r.Payload)
		return
	}
	h.deliverToOpen(from, r, s, f, t)
	h.recordEvent("tried", s, from, balsampier.ReasonNone, r.Revision)
}

// deliverToOpen delivers a packet of an open flow.
func (h *FlowTable) deliverToOpen(from netip.AddrPort, r balsampier.Relay, s balsampier.Segment, f *flow, t time.Time) {
	if f == nil {
		f = &flow{}
		h.insert(r.Flow, f)
	}
	f.lastSegment, f.lastFromClient, f.balancer, f.lastSeen = s, true, from, t
	if f.state == halfOpen {
		f.established = f.answered
		h.markOpen(f)
	}
	if s.Length > 0 {
		h.server.recordRequest(t)
	}
	if s.Length > 0 && !f.running && f.state == open {
		f.running = true
		h.running++
	}
	if s.Reset || s.Final {
		h.markEnded(f)
	}
	h.sendToServer(r.Payload)
}

// flowStatus tells whether the server has the flow that s belongs to.
func (h *FlowTable) flowStatus(f *flow, s balsampier.Segment, t time.Time) balsampier.RelayKind {
	switch {
	case f != nil && f.state == halfOpen && !f.answered && !h.mayMissFlows(t):
		return balsampier.RelayNotFound
	case f != nil && f.state == halfOpen && !f.answered:
		return balsampier.RelayUncertain
	case f != nil && f.state == halfOpen && s.Ack && s.Acknowledged-f.serverSequence > ackWindow:
		// The client opened the flow at another server.
		return balsampier.RelayNotFound
	case f != nil:
		return balsampier.RelayFound
	case !h.mayMissFlows(t):
		return balsampier.RelayNotFound
	}
	return balsampier.RelayUncertain
}

// mayMissFlows reports whether the server may have flows that the agent does not
// know.
func (h *FlowTable) mayMissFlows(t time.Time) bool {
	v := &h.server
	if h.config.KnowsAllFlows || !t.Before(h.allKnownAt) {
		return false
	}
	// A server that has said nothing yet may be older than the agent.
	return !v.reported || v.present && !v.observedFromStart
}

// Tick takes in that time has passed.
func (h *FlowTable) Tick(t time.Time) {
	for len(h.answerDeadlines) > 0 && !t.Before(h.answerDeadlines[0].at) {
		k := h.answerDeadlines[0].key
		h.answerDeadlines = h.answerDeadlines[1:]
		f := h.flows[k]
		if f == nil || f.state != halfOpen || f.answered {
			continue
		}
		h.server.recordUnanswered(t)
		h.reply(f.balancer, balsampier.RelayRefused, k, balsampier.ReasonUnanswered, nil)
		h.recordEvent("silent", f.lastSegment, f.balancer, balsampier.ReasonUnanswered, 0)
	}
	if t.Before(h.sweepAt) {
		return
	}
	h.sweepAt = t.Add(sweepInterval)
	for k, f := range h.flows {
		if h.expired(f, t) {
			h.evict(k, f)
		}
	}
}

func (h *FlowTable) expired(f *flow, t time.Time) bool {
	d := t.Sub(f.lastSeen)
	switch f.state {
	case halfOpen:
		return d > halfOpenTTL
	case ended:
		return d > endedTTL
	}
	return d > idleTTL
}

// markOpen counts a flow that is open from now on.
func (h *FlowTable) markOpen(f *flow) {
	f.state = open
	h.open++
}

// retireOpenFlows takes in that a later run of the server showed up.
func (h *FlowTable) retireOpenFlows() {
	for _, f := range h.flows {
		if f.state == open {
			h.removeFromCounts(f)
			f.state = openInEarlierRun
		}
	}
}

func (h *FlowTable) markEnded(f *flow) {
	h.removeFromCounts(f)
	f.state = ended
}

func (h *FlowTable) evict(k balsampier.FlowKey, f *flow) {
	h.removeFromCounts(f)
	delete(h.flows, k)
	delete(h.byHash, k.Hi)
}

func (h *FlowTable) insert(k balsampier.FlowKey, f *flow) { h.flows[k], h.byHash[k.Hi] = f, f }

// removeFromCounts takes a flow out of the counts.
func (h *FlowTable) removeFromCounts(f *flow) {
	if f.state == open {
		h.open--
	}
	if f.running {
		f.running = false
		h.running--
	}
}

func (h *FlowTable) sendToServer(b []byte) { h.actions = append(h.actions, Action{ToServer: b}) }

func (h *FlowTable) reply(to netip.AddrPort, k balsampier.RelayKind, key balsampier.FlowKey, r balsampier.Reason, b []byte) {
	_, v := h.config.Allowed(netip.AddrPort{})
	h.actions = append(h.actions, Action{To: to, Reply: balsampier.Relay{
		Kind: k, Flow: key, Reason: r, Revision: v, Load: h.Load(), Payload: b,
	}})
}

func (h *FlowTable) recordEvent(event string, s balsampier.Segment, b netip.AddrPort, r balsampier.Reason, v balsampier.Revision) {
	_, own := h.config.Allowed(netip.AddrPort{})
	h.actions = append(h.actions, Action{Event: Event{Name: event, Flow: s.Key, Segment: s, Balancer: b, Reason: r, Revision: v, OwnRevision: own}})
}
