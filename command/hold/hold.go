// Package hold tracks, at an agent, the flows of the backend server beside it
// and decides whether that server accepts new ones. It is a pure state machine:
// its inputs are relays, packets and heartbeats from the server, and times; its
// outputs are packets, replies and events.
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
	// before the opening counts as unanswered; a handshake takes a few
	// milliseconds.
	answerTimeout = 30 * time.Millisecond
	// probeInterval is the time between two opening packets that are passed to
	// a silent server to find out whether it responds again.
	probeInterval = 200 * time.Millisecond
	// halfOpenTTL is how long a half-open flow is kept: a client gives up its
	// opening after 1.4 s.
	halfOpenTTL = 4 * time.Second
	// endedTTL is how long an ended flow is kept: client and server retransmit
	// their last packets for some seconds.
	endedTTL = 15 * time.Second
	// idleTTL is how long a flow without packets is kept; it exceeds the idle
	// time-outs of routes.
	idleTTL = 60 * time.Second
	// learningWindow is how long an agent that started after its server may not
	// know all flows of the server: the longest lifetime of a flow.
	learningWindow = 60 * time.Second
	// minAgentDowntime is less than the time between the end of an agent and
	// its next start: a server that started at most this long before the agent
	// received no packet through the agent's previous run.
	minAgentDowntime = 300 * time.Millisecond
	// maxStartupHeartbeats is the highest sequence number of a heartbeat from a
	// server that has just started: its first heartbeat and one more for each
	// that was not answered.
	maxStartupHeartbeats = 4
	// sweepInterval is the time between two sweeps that evict expired flows.
	sweepInterval = 2 * time.Second
	// maxFlows limits the flows in the table; servers have some thousands.
	maxFlows = 50_000
	// ackWindow is how far an acknowledgement may be ahead of what the agent knows
	// that the server has sent.
	ackWindow = balsampier.SequenceWindow
	// maxTrackedBytes limits how many of the bytes that the server has sent an
	// acknowledgement may be of.
	maxTrackedBytes = 1 << 30
	// departureWindow is how long an agent that left the view may still have
	// flows: longer than their idle time-out.
	departureWindow = 20 * time.Second
	// keyLength is the length of a flow key in a search, in bytes.
	keyLength = 8
)

const (
	halfOpen state = iota
	open
	ended
	// openInEarlierRun marks flows that were open when a later run of the
	// server sent its first heartbeat. That run may have accepted them before
	// the heartbeat; if not, it returns their packets.
	openInEarlierRun
)

type (
	state uint8

	// Config configures a FlowTable.
	Config struct {
		Service balsampier.ServiceName
		// KnowsAllFlows is true if the agent certainly started before any flow.
		KnowsAllFlows bool
		// StartedAt is the wall-clock time at which the agent started.
		StartedAt time.Time
		// Allowed reports whether the newest routes that the agent knows send
		// new flows for the address to to the service, and returns the revision
		// of those routes.
		Allowed func(to netip.AddrPort) (bool, balsampier.Revision)
	}

	// FlowTable holds the flows of the backend server beside one agent. The
	// caller serializes the calls.
	FlowTable struct {
		config Config
		// startedAt is when the agent started, by the clock of the calls.
		startedAt time.Time
		server    server
		flows     map[balsampier.FlowKey]*flow
		// byHash holds the same flows by the part of the key that searches
		// carry. Flows that share it are linked.
		byHash map[uint64]*flow
		// open counts open flows, running those with a request in flight.
		open, running   int
		answerDeadlines []deadline
		sweepAt         time.Time
		// agents are the agents of the service in the view; departedAt is when
		// one last left it, zero if none has.
		agents     []netip.AddrPort
		departedAt time.Time
		// allKnownAt is the time from which the agent knows all flows.
		allKnownAt           time.Time
		actions, lastActions []Action
	}

	flow struct {
		// lastSegment is the newest packet; lastFromClient is true if the client
		// sent it.
		lastSegment    balsampier.Segment
		lastFromClient bool
		state          state
		// opening identifies the opening packet.
		opening balsampier.Opening
		// reopening is the opening packet of another flow with the same addresses
		// and ports that the server has not answered; nil if there is none.
		reopening *reopening
		// closedByClient and closedByServer are true once that end has closed its
		// direction, both once either has aborted the flow.
		closedByClient, closedByServer bool
		// serverSequence is the server's initial sequence number, or a later one
		// if it has sent much; serverNext is the one that follows all it has sent.
		// Both are valid if answered is true.
		serverSequence, serverNext uint32
		answered                   bool
		// balancer is the one that sent the newest packet.
		balancer netip.AddrPort
		// lastSeen is when the newest packet was seen in either direction.
		lastSeen time.Time
		// running is true from a request until its response begins.
		running bool
		// sameHash is the next flow with the same hash; nil after the last.
		sameHash *flow
		// established is true once the flow is certainly open at the server:
		// the client acknowledged the server's answer, or the server sent a
		// packet of the open flow.
		established bool
	}

	// deadline is when the server must have answered an opening packet.
	deadline struct {
		at  time.Time
		key balsampier.FlowKey
		// sequence is that of the opening packet.
		sequence uint32
	}

	// Action is one output of the table: a packet, a reply, a reset or an
	// event.
	Action struct {
		// ToServer is a packet to deliver to the server.
		ToServer []byte
		// ToClient is a packet to send to Client.
		ToClient []byte
		Client   netip.AddrPort
		// Reply is sent to the balancer at To.
		Reply balsampier.Relay
		To    netip.AddrPort
		// Reset is the segment whose flow is reset at its client.
		Reset *balsampier.Segment
		Event Event
	}

	// Event describes one decision for the log and the metrics; Name is empty
	// if there is none.
	Event struct {
		Name     string
		Flow     balsampier.FlowKey
		Segment  balsampier.Segment
		Balancer netip.AddrPort
		Reason   balsampier.Reason
		// Revision is that of the balancer's routes, OwnRevision that of the
		// agent's.
		Revision, OwnRevision balsampier.Revision
	}
)

// New returns the flow table of an agent that starts at time t.
func New(g Config, t time.Time) *FlowTable {
	return &FlowTable{config: g, startedAt: t, flows: make(map[balsampier.FlowKey]*flow), byHash: make(map[uint64]*flow), allKnownAt: t.Add(learningWindow)}
}

// PopActions removes and returns the pending actions, in order. The slice is
// valid until the next call of PopActions.
func (h *FlowTable) PopActions() []Action {
	out := h.actions
	h.actions, h.lastActions = h.lastActions[:0], out
	return out
}

// NextTick returns when to call Tick; ok is false while no answer time-out is
// pending.
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

// HandleRelay handles the relay r that the balancer at from sent. s is the
// segment parsed from its payload; it is not used for searches.
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
		k, v := h.flowStatus(f, s, t)
		h.reply(from, k, r.Flow, v, nil)
	}
}

// handleSearch replies with those flows in the payload that the server has.
func (h *FlowTable) handleSearch(from netip.AddrPort, r balsampier.Relay, t time.Time) {
	k := balsampier.RelayNotFound
	if h.mayMissFlows(t) {
		k = balsampier.RelayUncertain
	}
	var have []byte
	for b := r.Payload; len(b) >= keyLength; b = b[keyLength:] {
		f := h.byHash[binary.BigEndian.Uint64(b)]
		for f != nil && h.expired(f, t) {
			f = f.sameHash
		}
		if f != nil {
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

// AdoptAgents sets the agents of the service that are in the view.
func (h *FlowTable) AdoptAgents(as []netip.AddrPort, t time.Time) {
	for _, a := range h.agents {
		if !slices.Contains(as, a) {
			h.departedAt = t
		}
	}
	h.agents = as
}

// refusalReason returns why the server accepts no new flow, or ReasonNone if it
// does.
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
	case revision > 0 && revision >= r.Revision && !allowed:
		return balsampier.ReasonRouteChanged
	case len(h.flows) >= maxFlows:
		return balsampier.ReasonFull
	case v.silent && t.Before(v.probeAt):
		return balsampier.ReasonTimeout
	}
	return balsampier.ReasonNone
}

// handleDeliver handles a packet of a flow that the balancer attributes to this
// agent.
func (h *FlowTable) handleDeliver(from netip.AddrPort, r balsampier.Relay, s balsampier.Segment, f *flow, t time.Time) {
	k, v := h.flowStatus(f, s, t)
	if k == balsampier.RelayNotFound {
		h.reply(from, k, r.Flow, v, r.Payload)
		h.recordEvent("denied", s, from, balsampier.ReasonUnknownFlow, r.Revision)
		return
	}
	// If the agent is uncertain, the balancer learned of the flow from an
	// earlier run of this agent.
	h.deliverPacket(from, r, s, f, t)
}

// handleProbe delivers a packet of a flow that no agent is known to have,
// unless the server certainly does not have it.
func (h *FlowTable) handleProbe(from netip.AddrPort, r balsampier.Relay, s balsampier.Segment, f *flow, t time.Time) {
	if k, v := h.flowStatus(f, s, t); k == balsampier.RelayNotFound {
		h.reply(from, k, r.Flow, v, r.Payload)
		return
	}
	h.deliverPacket(from, r, s, f, t)
	h.recordEvent("tried", s, from, balsampier.ReasonNone, r.Revision)
}

// deliverPacket delivers a packet that does not open a flow, and adds the flow
// if it is unknown.
func (h *FlowTable) deliverPacket(from netip.AddrPort, r balsampier.Relay, s balsampier.Segment, f *flow, t time.Time) {
	if f == nil {
		f = &flow{opening: balsampier.NewOpening(s, t)}
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
		f.closedByClient, f.closedByServer = true, f.closedByServer || s.Reset
		h.markEnded(f)
	}
	h.sendToServer(r.Payload)
}

// flowStatus returns RelayFound, RelayNotFound or RelayUncertain for the flow f
// of s, with the reason for RelayNotFound; f is nil if the flow is unknown.
func (h *FlowTable) flowStatus(f *flow, s balsampier.Segment, t time.Time) (balsampier.RelayKind, balsampier.Reason) {
	switch {
	case f != nil && f.isOther(s):
		return balsampier.RelayNotFound, balsampier.ReasonOtherFlow
	case f != nil && f.state == halfOpen && !f.answered && !h.mayMissFlows(t):
		return balsampier.RelayNotFound, balsampier.ReasonNone
	case f != nil && f.state == halfOpen && !f.answered:
		return balsampier.RelayUncertain, balsampier.ReasonNone
	case f != nil && !f.isAcknowledgedBy(s):
		// The client opened the flow at another server.
		return balsampier.RelayNotFound, balsampier.ReasonNone
	case f != nil:
		return balsampier.RelayFound, balsampier.ReasonNone
	case !h.mayMissFlows(t):
		return balsampier.RelayNotFound, balsampier.ReasonNone
	}
	return balsampier.RelayUncertain, balsampier.ReasonNone
}

// isOther reports whether the server holds f, or is opening it, and s is of
// another flow with the same addresses and ports.
func (f *flow) isOther(s balsampier.Segment) bool {
	switch f.state {
	case halfOpen:
		return !s.Opening && !f.opening.MayPrecede(s)
	case open:
		return !f.isAcknowledgedBy(s)
	}
	return false
}

// isAcknowledgedBy reports whether s acknowledges what the server may have sent on
// the flow. If not, s is of another flow with the same addresses and ports.
func (f *flow) isAcknowledgedBy(s balsampier.Segment) bool {
	return !f.answered || !s.Ack || s.Acknowledged-f.serverSequence <= f.serverNext-f.serverSequence+ackWindow
}

// mayMissFlows reports whether the server may have flows that the agent does
// not know.
func (h *FlowTable) mayMissFlows(t time.Time) bool {
	v := &h.server
	if h.config.KnowsAllFlows || !t.Before(h.allKnownAt) {
		return false
	}
	// A server that has not sent a heartbeat yet may be older than the agent.
	return !v.reported || v.present && !v.observedFromStart
}

// Tick refuses openings whose answer timed out and evicts expired flows.
func (h *FlowTable) Tick(t time.Time) {
	for len(h.answerDeadlines) > 0 && !t.Before(h.answerDeadlines[0].at) {
		e := h.answerDeadlines[0]
		h.answerDeadlines = h.answerDeadlines[1:]
		if f := h.flows[e.key]; f != nil {
			h.handleUnanswered(f, e, t)
		}
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

// markOpen marks a flow as open and counts it.
func (h *FlowTable) markOpen(f *flow) {
	f.state = open
	h.open++
}

// retireOpenFlows marks all open flows as open in an earlier run, after a later
// run of the server sent a heartbeat.
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
	first := h.byHash[k.Hi]
	if first == f && f.sameHash == nil {
		delete(h.byHash, k.Hi)
		return
	}
	if first == f {
		h.byHash[k.Hi] = f.sameHash
		return
	}
	for x := first; x != nil; x = x.sameHash {
		if x.sameHash == f {
			x.sameHash = f.sameHash
			return
		}
	}
}

func (h *FlowTable) insert(k balsampier.FlowKey, f *flow) {
	f.sameHash = h.byHash[k.Hi]
	h.flows[k], h.byHash[k.Hi] = f, f
}

// removeFromCounts subtracts a flow from the counts of open flows and of
// requests in flight.
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
