// Package direct decides, at a balancer, what becomes of packets whose flow is
// not named in them: which agent a new flow goes to, and who has a flow that
// the balancer does not know. It is a pure state machine: packets, answers and
// times go in; relays, resets and notes come out.
package direct

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// MaxParkedPerFlow bounds the packets of one flow that wait for its holder: a
	// client has 16 in flight.
	MaxParkedPerFlow = 16
	// maxParkedAll bounds the waiting packets of all flows, at about 1.2 KB
	// each 5 MB.
	maxParkedAll = 4096
	// maxFlows bounds the remembered flows; 41 million over 1,200 balancers
	// are 34,000, at about 300 bytes each.
	maxFlows = 120_000

	// openTimeout is how long an agent may take to answer to an opening
	// packet. It is several round trips within a region and a fraction of the
	// 200 ms after which a client repeats itself.
	openTimeout = 40 * time.Millisecond
	// askTimeout bounds the wait for the answers to a question.
	askTimeout = 40 * time.Millisecond
	// tryTimeout is how long a server may take to return a packet.
	tryTimeout = 100 * time.Millisecond
	// againAfter and againMost space questions after a flow that nobody had,
	// from the first to the later ones: a client repeats a packet after 200 ms
	// at first, and twice as late each time.
	againAfter = 150 * time.Millisecond
	againMost  = 2400 * time.Millisecond
	// maxSilent is how many agents in turn may leave an opening unanswered
	// until the fault is looked for on this side.
	maxSilent = 3
	// suspectFor is how long an agent that was silent or whose server was is
	// asked last.
	suspectFor = time.Second
	// endedFor is how long a flow is remembered after a reset.
	endedFor = 5 * time.Second
	// defaultIdle is how long a flow may be silent where the routes do not
	// say, the longest that they have said so far twice over.
	defaultIdle = 30 * time.Second
	// departedFor is how long an agent that left the view is still asked: the
	// longest life of a flow.
	departedFor = 60 * time.Second
	// sweepInterval spaces the search for flows to forget.
	sweepInterval = 2 * time.Second

	// firstAsked is how many agents are asked or weighed first.
	firstAsked = 3
)

const (
	opening state = iota
	open
	asking
	trying
	nobody
)

type (
	state uint8

	// Director holds the flows of one balancer. It is serialized by its
	// caller.
	Director struct {
		zone balsampier.DataCentre
		// started is when the first view came.
		started time.Time
		routes  routes
		agents  agents
		flows   map[balsampier.FlowKey]*flow
		// searches look for flows at all agents.
		searches searches
		// parked counts the waiting packets of all flows.
		parked int
		// due has an entry for every deadline, in order of time.
		due []deadline
		// sweepAt is when to look for flows to forget.
		sweepAt time.Time
		// out and taken swap, so that nothing is allocated for each packet.
		out, taken []Action
	}

	// flow is what the director knows of one flow.
	flow struct {
		// segment is the newest packet of the client.
		segment balsampier.Segment
		state   state
		// agent is where packets go; invalid unless the state is opening or
		// open.
		agent netip.AddrPort
		// service is the one that the flow was placed in; empty for flows
		// that were found.
		service balsampier.ServiceName
		// used is when the newest packet came, since when the first did.
		used, since time.Time
		// attempt numbers what is waited for; answers to earlier attempts of
		// the same kind are told apart by the agent.
		attempt uint32
		// packets wait: the opening one while the state is opening.
		packets [][]byte
		// tried are agents that refused or did not answer; silences counts
		// the latter.
		tried    []netip.AddrPort
		silences int
		// again is how long the flow is not asked for after it was not found.
		again time.Duration
		// doubtful is true when a server may have the opening packet and
		// answer it yet.
		doubtful bool
		// opened is true once the client sent more than opening packets: a
		// server has answered it.
		opened bool
		// waiting are the agents asked that have not answered; unsure those
		// that do not know; wide is true once all were asked.
		waiting, unsure []netip.AddrPort
		// unsureElse are those that do not know and whose service is none of
		// the route's.
		unsureElse []netip.AddrPort
		wide       bool
		// silent is true when an agent that was asked did not answer, unseen
		// when an agent may have the flow that is not in the view.
		silent, unseen bool
		// returned are the agents whose servers returned a packet of the open
		// flow; they are not tried again.
		returned []netip.AddrPort
	}

	deadline struct {
		at      time.Time
		key     balsampier.FlowKey
		attempt uint32
	}

	// Action is one thing to do.
	Action struct {
		// To gets Relay; invalid where Reset is set or the action is a note.
		To    netip.AddrPort
		Relay balsampier.Relay
		// Reset is answered to the client.
		Reset *balsampier.Segment
		// LogEvent is what was decided; its LogEvent is empty where there is nothing
		// to tell.
		LogEvent LogEvent
	}

	// LogEvent tells of one decision.
	LogEvent struct {
		EventName string
		Flow      balsampier.FlowKey
		Segment   balsampier.Segment
		Service   balsampier.ServiceName
		Agent     netip.AddrPort
		Reason    balsampier.Reason
		// Candidates is how many agents there were to choose from.
		Candidates int
		// Revision is that of the routes behind the decision.
		Revision balsampier.Revision
	}
)

// New returns the director of a balancer in the given data centre.
func New(zone balsampier.DataCentre) *Director {
	return &Director{zone: zone, flows: make(map[balsampier.FlowKey]*flow), agents: newAgents()}
}

// PopActions returns what is to be done, in order. The slice is valid until the next
// call of PopActions.
func (d *Director) PopActions() []Action {
	out := d.out
	d.out, d.taken = d.taken[:0], out
	return out
}

// Next returns when to call Tick; ok is false while nothing is waited for.
func (d *Director) Next() (time.Time, bool) {
	at, ok := d.nextSearch()
	if len(d.due) > 0 && (!ok || d.due[0].at.Before(at)) {
		return d.due[0].at, true
	}
	return at, ok
}

// FlowCount returns how many flows are remembered.
func (d *Director) FlowCount() int { return len(d.flows) }

// HandlePacket decides on a packet of a client. b is kept where the packet has to
// wait.
func (d *Director) HandlePacket(s balsampier.Segment, b []byte, t time.Time) {
	f, ok := d.flows[s.Key]
	if ok && t.Sub(f.used) > d.idle() {
		d.forget(s.Key, f)
		ok = false
	}
	if !ok {
		d.first(s, b, t)
		return
	}
	f.segment, f.used = s, t
	f.opened = f.opened || !s.Opening
	switch {
	case s.Opening && (f.state == opening || f.state == open):
		d.relay(f, balsampier.RelayOpen, f.agent, b)
	case f.state == opening:
		d.answeredElsewhere(f, b, t)
	case f.state == open:
		d.deliver(f, b)
	case f.state == nobody && !s.Opening && t.Sub(f.since) < f.again:
		d.note("dropped", f, f.agent, balsampier.ReasonUnknownFlow, 0)
	case f.state == nobody && s.Opening && !f.opened:
		d.park(f, b)
		d.place(f, t)
	case f.state == nobody:
		d.park(f, b)
		d.ask(f, t)
	default:
		d.park(f, b)
	}
}

// first decides on the first packet that is seen of a flow.
func (d *Director) first(s balsampier.Segment, b []byte, t time.Time) {
	r, ok := d.routes.find(s.Service)
	if !ok {
		d.noRoute(s)
		return
	}
	if len(d.flows) >= maxFlows {
		d.out = append(d.out, Action{LogEvent: LogEvent{EventName: "dropped", Flow: s.Key, Segment: s, Reason: balsampier.ReasonFull}})
		return
	}
	f := &flow{segment: s, used: t, since: t, opened: !s.Opening}
	d.flows[s.Key] = f
	d.park(f, b)
	if s.Opening {
		f.service = r.choose(s.Key)
		d.place(f, t)
		return
	}
	d.ask(f, t)
}

// noRoute resets flows that cannot be opened. Other packets may belong to a
// flow of a route that is gone, which its ends close.
func (d *Director) noRoute(s balsampier.Segment) {
	n := LogEvent{EventName: "dropped", Flow: s.Key, Segment: s, Reason: balsampier.ReasonNoRule, Revision: d.routes.revision}
	if d.routes.revision == 0 {
		n.Reason = balsampier.ReasonUnsettled
	}
	if s.Opening && d.routes.revision > 0 {
		n.EventName = "reset"
		d.out = append(d.out, Action{Reset: &s, LogEvent: n})
		return
	}
	d.out = append(d.out, Action{LogEvent: n})
}

func (d *Director) deliver(f *flow, b []byte) {
	d.relay(f, balsampier.RelayDeliver, f.agent, b)
	if f.segment.Reset {
		f.used = f.used.Add(endedFor - d.idle())
	}
}

// HandleReply takes in what an agent says.
func (d *Director) HandleReply(from netip.AddrPort, r balsampier.Relay, t time.Time) {
	d.agents.heard(from, r, t)
	if r.Kind == balsampier.RelayShutdown {
		d.end(from, balsampier.Incarnation(r.Flow.Lo), t)
		return
	}
	if r.Flow.Hi == 0 {
		d.searched(from, r, t)
		return
	}
	f, ok := d.flows[r.Flow]
	if !ok {
		return
	}
	switch r.Kind {
	case balsampier.RelayAccepted:
		if f.state == opening && f.agent == from {
			f.state = open
			d.unpark(f)
		}
	case balsampier.RelayRefused:
		d.refused(f, from, r, t)
	case balsampier.RelayFound:
		d.found(f, from)
	case balsampier.RelayNotFound, balsampier.RelayUncertain:
		d.denied(f, from, r, t)
	}
}

// Tick takes in that time has passed.
func (d *Director) Tick(t time.Time) {
	for len(d.due) > 0 && !t.Before(d.due[0].at) {
		e := d.due[0]
		d.due = d.due[1:]
		f, ok := d.flows[e.key]
		if ok && f.attempt == e.attempt {
			d.expire(f, t)
		}
	}
	d.tickSearches(t)
	if t.Before(d.sweepAt) {
		return
	}
	d.sweepAt = t.Add(sweepInterval)
	for k, f := range d.flows {
		if t.Sub(f.used) > d.idle() {
			d.forget(k, f)
		}
	}
	d.agents.sweep(t)
}

// expire goes on with a flow whose answer did not come in time.
func (d *Director) expire(f *flow, t time.Time) {
	switch f.state {
	case opening:
		d.agents.suspect(f.agent, t)
		d.note("silent", f, f.agent, balsampier.ReasonTimeout, 0)
		f.tried = append(f.tried, f.agent)
		f.doubtful = true
		if f.silences++; f.silences >= maxSilent {
			d.hold(f, 0, t)
			return
		}
		d.place(f, t)
	case asking:
		d.note("silent", f, f.waiting[0], balsampier.ReasonTimeout, len(f.waiting))
		d.answered(f, t)
	case trying:
		// A server that does not hold the flow had returned the packet.
		a := f.agent
		f.packets = f.packets[1:]
		d.parked--
		d.found(f, a)
	}
}

func (d *Director) wait(f *flow, t time.Time, w time.Duration) {
	e := deadline{at: t.Add(w), key: f.segment.Key, attempt: f.attempt}
	i := len(d.due)
	for i > 0 && d.due[i-1].at.After(e.at) {
		i--
	}
	d.due = append(d.due, deadline{})
	copy(d.due[i+1:], d.due[i:])
	d.due[i] = e
}

func (d *Director) relay(f *flow, k balsampier.RelayKind, to netip.AddrPort, b []byte) {
	r := balsampier.Relay{Kind: k, Flow: f.segment.Key, Revision: d.routes.revision, Payload: b}
	if k == balsampier.RelayOpen {
		r.Service = f.service.Hash()
	}
	d.out = append(d.out, Action{To: to, Relay: r})
}

func (d *Director) note(event string, f *flow, a netip.AddrPort, r balsampier.Reason, n int) {
	d.out = append(d.out, Action{LogEvent: LogEvent{
		EventName: event, Flow: f.segment.Key, Segment: f.segment, Service: f.service, Agent: a, Reason: r,
		Candidates: n, Revision: d.routes.revision,
	}})
}

// park keeps a copy of a packet.
func (d *Director) park(f *flow, b []byte) {
	if len(f.packets) < MaxParkedPerFlow && d.parked < maxParkedAll {
		f.packets = append(f.packets, bytes.Clone(b))
		d.parked++
	}
}

func (d *Director) unpark(f *flow) {
	d.parked -= len(f.packets)
	f.packets = nil
}

func (d *Director) forget(k balsampier.FlowKey, f *flow) {
	d.unpark(f)
	delete(d.flows, k)
}

func (d *Director) idle() time.Duration {
	if d.routes.idle > 0 {
		return 2 * d.routes.idle
	}
	return defaultIdle
}
