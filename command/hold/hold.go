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
	// halfOpenFor is how long an opening is remembered: a client gives it up
	// after 1.4 s.
	halfOpenFor = 4 * time.Second
	// endedFor is how long an ended flow is remembered: its ends repeat their
	// last packets for some seconds.
	endedFor = 15 * time.Second
	// idleFor is how long a silent flow is remembered; it exceeds the idle
	// time-outs of routes.
	idleFor = 60 * time.Second
	// learnFor is how long an agent that started after its server may lack
	// flows that the server has: the longest life of a flow.
	learnFor = 60 * time.Second
	// restartSlack is less than the time from the end of an agent to its next
	// start: a server that started that much earlier took no packet of the run
	// before.
	restartSlack = 300 * time.Millisecond
	// firstStatements are the heartbeats of a server that has just started:
	// one for each time that it was not answered, and the first.
	firstStatements = 4
	// sweepInterval spaces the search for flows to forget.
	sweepInterval = 2 * time.Second
	// maxFlows bounds the remembered flows; servers hold some thousands.
	maxFlows = 50_000
	// ackWindow is how far an acknowledgement may be ahead of the server's
	// first number: 64 packets of 1,200 bytes.
	ackWindow = 76_800
	// lostFor is how long an agent that left the view may still have flows:
	// longer than their idle time-out.
	lostFor = 20 * time.Second
	// keyBytes is the length of a flow in a search.
	keyBytes = 8
)

const (
	half state = iota
	open
	ended
	// former flows were open when a later run of the server showed up. It may
	// have taken them before it said so; if not, it returns their packets.
	former
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
		g      Config
		server server
		flows  map[balsampier.FlowKey]*flow
		// byHash has the same flows by the part of the key that searches name.
		byHash map[uint64]*flow
		// open and running count flows and those with a request under way.
		open, running int
		due           []deadline
		sweepAt       time.Time
		// agents are those of the service in the view; lostAt is when one
		// left it, zero before the first.
		agents []netip.AddrPort
		lostAt time.Time
		// learnedAt is when the agent knows all flows.
		learnedAt  time.Time
		out, taken []Action
	}

	flow struct {
		// segment is the newest packet, of the client where fromClient is true.
		segment    balsampier.Segment
		fromClient bool
		state      state
		// sequence is the server's first number, where answered is true.
		sequence uint32
		answered bool
		// via is the balancer that sent the newest packet.
		via netip.AddrPort
		// used is when the newest packet was seen, either way.
		used time.Time
		// running is true from a request until its answer begins.
		running bool
		// proved is true once the flow is surely open at the server: the client
		// acknowledged its answer, or it sent a packet of the open flow.
		proved bool
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
	return &FlowTable{g: g, flows: make(map[balsampier.FlowKey]*flow), byHash: make(map[uint64]*flow), learnedAt: t.Add(learnFor)}
}

// TakeActions returns what is to be done, in order. The slice is valid until the next
// call of TakeActions.
func (h *FlowTable) TakeActions() []Action {
	out := h.out
	h.out, h.taken = h.taken[:0], out
	return out
}

// NextTick returns when to call Tick; ok is false while nothing is waited for.
func (h *FlowTable) NextTick() (time.Time, bool) {
	if len(h.due) == 0 {
		return time.Time{}, false
	}
	return h.due[0].at, true
}

// Load returns the load of the server.
func (h *FlowTable) Load() balsampier.Load {
	return balsampier.Load{Connections: h.open, Running: h.running, Slots: max(h.server.state.Slots, 1)}
}

// HandleRelay decides on what a balancer sent. s is read from the payload.
func (h *FlowTable) HandleRelay(from netip.AddrPort, r balsampier.Relay, s balsampier.Segment, t time.Time) {
	if r.Kind == balsampier.RelaySearch {
		h.search(from, r, t)
		return
	}
	f := h.flows[r.Flow]
	if f != nil && h.expired(f, t) {
		h.forget(r.Flow, f)
		f = nil
	}
	switch r.Kind {
	case balsampier.RelayOpen:
		h.take(from, r, s, f, t)
	case balsampier.RelayDeliver:
		h.deliver(from, r, s, f, t)
	case balsampier.RelayProbe:
		h.try(from, r, s, f, t)
	case balsampier.RelayQuery:
		h.answer(from, h.standing(f, s, t), r.Flow, balsampier.ReasonNone, nil)
	}
}

// search answers which of the flows in the payload the server has.
func (h *FlowTable) search(from netip.AddrPort, r balsampier.Relay, t time.Time) {
	k := balsampier.RelayNotFound
	if h.mayLack(t) {
		k = balsampier.RelayUncertain
	}
	var have []byte
	for b := r.Payload; len(b) >= keyBytes; b = b[keyBytes:] {
		if f := h.byHash[binary.BigEndian.Uint64(b)]; f != nil && !h.expired(f, t) {
			have = append(have, b[:keyBytes]...)
		}
	}
	_, v := h.g.Allowed(netip.AddrPort{})
	o := balsampier.Relay{Kind: k, Flow: r.Flow, Revision: v, Load: h.Load(), Payload: have}
	if d := t.Sub(h.lostAt); !h.lostAt.IsZero() && d < lostFor {
		o.SinceDeparture = max(d, 1)
	}
	h.out = append(h.out, Action{To: from, Reply: o})
}

// AdoptAgents takes over which agents of the service are in the view.
func (h *FlowTable) AdoptAgents(as []netip.AddrPort, t time.Time) {
	for _, a := range h.agents {
		if !slices.Contains(as, a) {
			h.lostAt = t
		}
	}
	h.agents = as
}

// take decides on an opening packet.
func (h *FlowTable) take(from netip.AddrPort, r balsampier.Relay, s balsampier.Segment, f *flow, t time.Time) {
	if f != nil && (f.state == open || f.state == half && f.answered) {
		f.via, f.used = from, t
		h.toServer(r.Payload)
		h.answer(from, balsampier.RelayAccepted, r.Flow, balsampier.ReasonNone, nil)
		return
	}
	if v := h.refusal(r, s, t); v != balsampier.ReasonNone {
		h.answer(from, balsampier.RelayRefused, r.Flow, v, nil)
		h.note("refused", s, from, v, r.Revision)
		return
	}
	if f == nil {
		f = &flow{}
		h.keep(r.Flow, f)
	}
	h.settle(f)
	f.segment, f.fromClient, f.via, f.used, f.state, f.answered, f.proved = s, true, from, t, half, false, false
	h.server.asked(t)
	h.due = append(h.due, deadline{at: t.Add(answerTimeout), key: r.Flow})
	h.toServer(r.Payload)
	h.answer(from, balsampier.RelayAccepted, r.Flow, balsampier.ReasonNone, nil)
	h.note("taken", s, from, balsampier.ReasonNone, r.Revision)
}

// refusal returns why the server takes no new flow, or ReasonNone.
func (h *FlowTable) refusal(r balsampier.Relay, s balsampier.Segment, t time.Time) balsampier.Reason {
	v := &h.server
	allowed, revision := h.g.Allowed(s.Service)
	switch {
	case !v.here:
		return balsampier.ReasonNoBackendServer
	case r.Service != h.g.Service.Hash() || v.state.Service != h.g.Service:
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

// deliver decides on a packet of a flow that the balancer thinks is here.
func (h *FlowTable) deliver(from netip.AddrPort, r balsampier.Relay, s balsampier.Segment, f *flow, t time.Time) {
	k := h.standing(f, s, t)
	if k == balsampier.RelayNotFound {
		h.answer(from, k, r.Flow, balsampier.ReasonNone, r.Payload)
		h.note("denied", s, from, balsampier.ReasonUnknownFlow, r.Revision)
		return
	}
	// Where the agent does not know, the balancer had it from this agent's
	// earlier run.
	h.hand(from, r, s, f, t)
}

// try delivers a packet of a flow that nobody is known to have.
func (h *FlowTable) try(from netip.AddrPort, r balsampier.Relay, s balsampier.Segment, f *flow, t time.Time) {
	if h.standing(f, s, t) == balsampier.RelayNotFound {
		h.answer(from, balsampier.RelayNotFound, r.Flow, balsampier.ReasonNone, r.Payload)
		return
	}
	h.hand(from, r, s, f, t)
	h.note("tried", s, from, balsampier.ReasonNone, r.Revision)
}

// hand delivers a packet of an open flow.
func (h *FlowTable) hand(from netip.AddrPort, r balsampier.Relay, s balsampier.Segment, f *flow, t time.Time) {
	if f == nil {
		f = &flow{}
		h.keep(r.Flow, f)
	}
	f.segment, f.fromClient, f.via, f.used = s, true, from, t
	if f.state == half {
		f.proved = f.answered
		h.begin(f)
	}
	if s.Length > 0 {
		h.server.gave(t)
	}
	if s.Length > 0 && !f.running && f.state == open {
		f.running = true
		h.running++
	}
	if s.Reset || s.Final {
		h.end(f)
	}
	h.toServer(r.Payload)
}

// standing tells whether the server has the flow that s belongs to.
func (h *FlowTable) standing(f *flow, s balsampier.Segment, t time.Time) balsampier.RelayKind {
	switch {
	case f != nil && f.state == half && !f.answered && !h.mayLack(t):
		return balsampier.RelayNotFound
	case f != nil && f.state == half && !f.answered:
		return balsampier.RelayUncertain
	case f != nil && f.state == half && s.Ack && s.Acknowledged-f.sequence > ackWindow:
		// The client opened the flow at another server.
		return balsampier.RelayNotFound
	case f != nil:
		return balsampier.RelayFound
	case !h.mayLack(t):
		return balsampier.RelayNotFound
	}
	return balsampier.RelayUncertain
}

// mayLack reports whether the server may have flows that the agent does not
// know.
func (h *FlowTable) mayLack(t time.Time) bool {
	v := &h.server
	if h.g.KnowsAllFlows || !t.Before(h.learnedAt) {
		return false
	}
	// A server that has said nothing yet may be older than the agent.
	return !v.heard || v.here && !v.witnessed
}

// Tick takes in that time has passed.
func (h *FlowTable) Tick(t time.Time) {
	for len(h.due) > 0 && !t.Before(h.due[0].at) {
		k := h.due[0].key
		h.due = h.due[1:]
		f := h.flows[k]
		if f == nil || f.state != half || f.answered {
			continue
		}
		h.server.missed(t)
		h.answer(f.via, balsampier.RelayRefused, k, balsampier.ReasonUnanswered, nil)
		h.note("silent", f.segment, f.via, balsampier.ReasonUnanswered, 0)
	}
	if t.Before(h.sweepAt) {
		return
	}
	h.sweepAt = t.Add(sweepInterval)
	for k, f := range h.flows {
		if h.expired(f, t) {
			h.forget(k, f)
		}
	}
}

func (h *FlowTable) expired(f *flow, t time.Time) bool {
	d := t.Sub(f.used)
	switch f.state {
	case half:
		return d > halfOpenFor
	case ended:
		return d > endedFor
	}
	return d > idleFor
}

// begin counts a flow that is open from now on.
func (h *FlowTable) begin(f *flow) {
	f.state = open
	h.open++
}

// retire takes in that a later run of the server showed up.
func (h *FlowTable) retire() {
	for _, f := range h.flows {
		if f.state == open {
			h.settle(f)
			f.state = former
		}
	}
}

func (h *FlowTable) end(f *flow) {
	h.settle(f)
	f.state = ended
}

func (h *FlowTable) forget(k balsampier.FlowKey, f *flow) {
	h.settle(f)
	delete(h.flows, k)
	delete(h.byHash, k.Hi)
}

func (h *FlowTable) keep(k balsampier.FlowKey, f *flow) { h.flows[k], h.byHash[k.Hi] = f, f }

// settle takes a flow out of the counts.
func (h *FlowTable) settle(f *flow) {
	if f.state == open {
		h.open--
	}
	if f.running {
		f.running = false
		h.running--
	}
}

func (h *FlowTable) toServer(b []byte) { h.out = append(h.out, Action{ToServer: b}) }

func (h *FlowTable) answer(to netip.AddrPort, k balsampier.RelayKind, key balsampier.FlowKey, r balsampier.Reason, b []byte) {
	_, v := h.g.Allowed(netip.AddrPort{})
	h.out = append(h.out, Action{To: to, Reply: balsampier.Relay{
		Kind: k, Flow: key, Reason: r, Revision: v, Load: h.Load(), Payload: b,
	}})
}

func (h *FlowTable) note(event string, s balsampier.Segment, b netip.AddrPort, r balsampier.Reason, v balsampier.Revision) {
	_, own := h.g.Allowed(netip.AddrPort{})
	h.out = append(h.out, Action{Event: Event{Name: event, Flow: s.Key, Segment: s, Balancer: b, Reason: r, Revision: v, OwnRevision: own}})
}
