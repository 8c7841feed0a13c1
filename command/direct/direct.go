// Package direct decides, at a balancer, where to send packets that do not name
// their holder: it places new flows on agents and looks up the holders of flows
// that the balancer does not know. It is a pure state machine: its inputs are
// packets, replies and the time, its outputs are relays, resets and log events.
package direct

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// MaxParkedPerFlow is the maximum number of parked packets of one flow: a
	// client has up to 16 packets in flight.
	MaxParkedPerFlow = 16
	// maxParkedTotal is the maximum number of parked packets of all flows. At
	// about 1.2 KB each they take 5 MB.
	maxParkedTotal = 4096
	// maxFlows is the maximum number of known flows, at about 600 bytes each.
	// 41 million flows on 1,200 balancers are 34,000 per balancer.
	maxFlows = 120_000

	// openTimeout is the time-out for an agent's reply to an opening packet. It
	// covers several round trips within a region and is a fraction of the
	// 200 ms after which a client retransmits.
	openTimeout = 40 * time.Millisecond
	// queryTimeout is the time-out for the replies to a query.
	queryTimeout = 40 * time.Millisecond
	// probeTimeout is the time in which a server must return a probe packet
	// that it rejects.
	probeTimeout = 100 * time.Millisecond
	// minRequeryInterval and maxRequeryInterval are the first and the longest
	// interval between lookups of a flow that no agent has. A client
	// retransmits after 200 ms at first and doubles the interval each time.
	minRequeryInterval = 150 * time.Millisecond
	maxRequeryInterval = 2400 * time.Millisecond
	// maxOpenTimeouts is the number of agents that may time out on an opening
	// packet. After that many the fault is likely at this balancer.
	maxOpenTimeouts = 3
	// maxOpeningTime is how long a client tries to open a flow: 1.4 s, and the time
	// in which its packets arrive.
	maxOpeningTime = 2 * time.Second
	// suspectWindow is how long an agent is chosen last after it or its server
	// did not reply, or after the server was full.
	suspectWindow = time.Second
	// resetFlowTTL is how long a flow is kept after a reset.
	resetFlowTTL = 5 * time.Second
	// defaultFlowTTL is how long an unused flow is kept if the routes set no
	// idle time-out. It is twice the longest idle time-out in use so far.
	defaultFlowTTL = 30 * time.Second
	// departedAgentTTL is how long an agent that left the view is still
	// queried. It is the longest lifetime of a flow.
	departedAgentTTL = 60 * time.Second
	// sweepInterval is the interval between evictions of expired flows and
	// departed agents.
	sweepInterval = 2 * time.Second

	// maxHighestScored is the number of agents that are compared for a new
	// flow, or queried first for an unknown one.
	maxHighestScored = 3
	// maxNextScored is the number of agents that are queried next. While a
	// third of the agents is replaced, nearly all holders are among the first
	// nine of the ranking.
	maxNextScored = 6
)

const (
	// stateOpening waits for an agent to accept the opening packet.
	stateOpening state = iota
	// stateOpen has a holder.
	stateOpen
	// stateQuerying waits for replies to a query or a search.
	stateQuerying
	// stateProbing waits for a server to return the probe packet.
	stateProbing
	// stateUnassigned has no known holder.
	stateUnassigned
)

type (
	state uint8

	// Config configures a Director.
	Config struct {
		// DataCentre is that of the balancer.
		DataCentre balsampier.DataCentre
		// LinkBytesPerSecond is the rate of the balancer's link in either
		// direction; zero if it is not limited.
		LinkBytesPerSecond float64
	}

	// Director tracks the flows of one balancer. It is not safe for concurrent
	// use.
	Director struct {
		config Config
		// started is when the first view was adopted.
		started time.Time
		routes  routes
		agents  agents
		flows   map[balsampier.FlowKey]*flow
		// roundTrip is measured from the replies to openings and queries.
		roundTrip roundTrip
		linkUse   linkUse
		// timeoutShare is the smoothed share of openings without a reply in
		// time.
		timeoutShare float64
		// searches holds the pending searches, which ask all agents for flows.
		searches searches
		// parkedTotal is the number of parked packets of all flows.
		parkedTotal int
		// deadlineQueue holds the deadlines of all flows, earliest first.
		deadlineQueue []deadline
		// sweepAt is when expired flows are evicted next.
		sweepAt time.Time
		// pendingActions and spareActions are swapped by PopActions, so that
		// their memory is reused and no packet needs an allocation.
		pendingActions, spareActions []Action
	}

	// flow is the state of one flow.
	flow struct {
		// segment describes the newest packet from the client.
		segment balsampier.Segment
		state   state
		// agent is the agent that packets are sent to; invalid in the states
		// stateQuerying and stateUnassigned.
		agent netip.AddrPort
		// service is the service that the flow was placed in; empty for flows
		// that were looked up.
		service balsampier.ServiceName
		// traffic is that of the flow's route; never nil.
		traffic *traffic
		// lastPacketAt is when the newest packet arrived. stateSince is when
		// the flow was created, the newest lookup began or the flow became
		// unassigned, whichever is latest.
		lastPacketAt, stateSince time.Time
		// attempt counts what the flow has waited for, so that the deadlines of
		// earlier attempts are ignored. Replies to earlier attempts of the same
		// kind are recognized by their agent.
		attempt uint32
		// packets are the parked packets; in stateOpening the opening packet.
		packets [][]byte
		// excludedAgents are the agents that refused the flow, returned its
		// packet or did not reply to the opening packet; openTimeouts counts
		// the last of these.
		excludedAgents []netip.AddrPort
		openTimeouts   int
		// requeryInterval is how long the flow is not looked up again after it
		// was not found.
		requeryInterval time.Duration
		// mayOpenLate is true if a server may have received the opening packet
		// and may still accept it.
		mayOpenLate bool
		// isEstablished is true once the client has sent a packet other than an
		// opening one, which shows that a server has replied.
		isEstablished bool
		// isClosing is true once the client has closed its direction or aborted
		// the flow.
		isClosing bool
		// opening identifies the opening packet, otherOpening that of another flow
		// with the same addresses and ports that was known last.
		opening, otherOpening balsampier.Opening
		// earlier is the replaced flow if it may still be open; nil once this flow
		// is established.
		earlier *flow
		// firstAskedAt is when agents were first asked since the flow was last
		// opened or looked up, askedAt when they were last asked.
		firstAskedAt, askedAt time.Time
		// pendingAgents are the agents that have not replied yet; uncertain
		// those that replied that they do not know.
		pendingAgents, uncertain []netip.AddrPort
		// uncertainOther are the uncertain agents whose service is not in the
		// route.
		uncertainOther []netip.AddrPort
		// queriedMore is true once the agents that rank after the most likely
		// holders were queried, searchedAll once a search asks all agents.
		queriedMore, searchedAll bool
		// hasUnanswered is true if an agent that was asked did not reply,
		// holderMayBeDeparted if an agent outside the view may hold the flow.
		hasUnanswered, holderMayBeDeparted bool
		// otherHolder is an agent whose server holds another flow with the same
		// addresses and ports, so that the packets that are looked up may be late;
		// invalid if there is none.
		otherHolder netip.AddrPort
		// returnedBy are the agents whose servers returned a packet of the
		// flow; they are not probed again in the same lookup.
		returnedBy []netip.AddrPort
	}

	// deadline is that of one attempt of a flow. Another flow with the same key
	// may follow before it expires.
	deadline struct {
		expiresAt time.Time
		flow      *flow
		attempt   uint32
	}

	// Action is one thing that the balancer has to do.
	Action struct {
		// To is where Relay is sent. It is invalid if Reset is set or the
		// action only logs.
		To    netip.AddrPort
		Relay balsampier.Relay
		// Reset describes the packet to answer with a reset to the client.
		Reset *balsampier.Segment
		// Event is the decision to log and count; its Name is empty if
		// there is nothing to log.
		Event Event
	}

	// Event describes one decision.
	Event struct {
		Name    string
		Flow    balsampier.FlowKey
		Segment balsampier.Segment
		Service balsampier.ServiceName
		Agent   netip.AddrPort
		Reason  balsampier.Reason
		// Candidates is the number of agents, or of flows for a search, that
		// the decision covers.
		Candidates int
		// Revision is the revision of the routes behind the decision.
		Revision balsampier.Revision
	}
)

// New returns a Director without routes and agents.
func New(g Config) *Director {
	return &Director{config: g, flows: make(map[balsampier.FlowKey]*flow), agents: newAgents()}
}

// PopActions removes and returns the pending actions, in order. The slice is
// valid until the next call of PopActions.
func (d *Director) PopActions() []Action {
	out := d.pendingActions
	d.pendingActions, d.spareActions = d.spareActions[:0], out
	return out
}

// NextTick returns when Tick must be called next; false if nothing is pending.
func (d *Director) NextTick() (time.Time, bool) {
	at, ok := d.nextSearchDeadline()
	if len(d.deadlineQueue) > 0 && (!ok || d.deadlineQueue[0].expiresAt.Before(at)) {
		return d.deadlineQueue[0].expiresAt, true
	}
	return at, ok
}

// FlowCount returns the number of known flows.
func (d *Director) FlowCount() int { return len(d.flows) }

// Lookups returns how many flows wait for a search, and the time-out for the
// replies of agents. Both grow while the balancer or its link is overloaded.
func (d *Director) Lookups() (waiting int, replyTimeout time.Duration) {
	waiting = len(d.searches.pendingKeys)
	for _, s := range d.searches.activeSearches {
		waiting += len(s.keys)
	}
	return waiting, d.replyTimeout(openTimeout)
}

// HandleReply processes an agent's reply that arrived at time t.
func (d *Director) HandleReply(from netip.AddrPort, r balsampier.Relay, t time.Time) {
	d.agents.recordReply(from, r, t)
	if r.Kind == balsampier.RelayShutdown {
		d.handleShutdown(from, balsampier.Incarnation(r.Flow.Lo), t)
		return
	}
	if r.Kind == balsampier.RelayCollected {
		d.handleCollected(from, r, t)
		return
	}
	if r.Flow.Hi == 0 {
		d.handleSearchReply(from, r, t)
		return
	}
	f, ok := d.flows[r.Flow]
	if !ok {
		return
	}
	switch r.Kind {
	case balsampier.RelayAccepted:
		d.handleAccepted(f, from, t)
	case balsampier.RelayRefused:
		d.handleRefused(f, from, r, t)
	case balsampier.RelayFound:
		d.handleFound(f, from, t)
	case balsampier.RelayNotFound, balsampier.RelayUncertain:
		d.handleNotFound(f, from, r, t)
	}
}

// Tick processes all time-outs up to t and evicts expired flows and departed
// agents.
func (d *Director) Tick(t time.Time) {
	for len(d.deadlineQueue) > 0 && !t.Before(d.deadlineQueue[0].expiresAt) {
		e := d.deadlineQueue[0]
		d.deadlineQueue = d.deadlineQueue[1:]
		f := e.flow
		if d.flows[f.segment.Key] == f && f.attempt == e.attempt {
			d.handleTimeout(f, t)
		}
	}
	d.tickSearches(t)
	if t.Before(d.sweepAt) {
		return
	}
	d.sweepAt = t.Add(sweepInterval)
	for k, f := range d.flows {
		if t.Sub(f.lastPacketAt) > d.flowTTL() {
			d.evict(k, f)
		}
	}
	d.agents.evictDeparted(t)
}

// handleTimeout continues a flow for which no reply arrived in time.
func (d *Director) handleTimeout(f *flow, t time.Time) {
	switch f.state {
	case stateOpening:
		d.countOpening(true)
		d.agents.markSuspect(f.agent, t)
		d.logEvent("silent", f, f.agent, balsampier.ReasonTimeout, 0)
		f.excludedAgents = append(f.excludedAgents, f.agent)
		f.mayOpenLate = true
		if f.openTimeouts++; f.openTimeouts >= maxOpenTimeouts {
			d.dropOpening(f, 0, t)
			return
		}
		d.place(f, t)
	case stateQuerying:
		d.logEvent("silent", f, f.pendingAgents[0], balsampier.ReasonTimeout, len(f.pendingAgents))
		d.continueLookup(f, t)
	case stateProbing:
		// The server has the flow: otherwise it would have returned the packet.
		a := f.agent
		f.packets = f.packets[1:]
		d.parkedTotal--
		d.handleFound(f, a, t)
	}
}

func (d *Director) setDeadline(f *flow, t time.Time, w time.Duration) {
	e := deadline{expiresAt: t.Add(w), flow: f, attempt: f.attempt}
	i := len(d.deadlineQueue)
	for i > 0 && d.deadlineQueue[i-1].expiresAt.After(e.expiresAt) {
		i--
	}
	d.deadlineQueue = append(d.deadlineQueue, deadline{})
	copy(d.deadlineQueue[i+1:], d.deadlineQueue[i:])
	d.deadlineQueue[i] = e
}

func (d *Director) sendRelay(f *flow, k balsampier.RelayKind, to netip.AddrPort, b []byte) {
	r := balsampier.Relay{Kind: k, Flow: f.segment.Key, Revision: d.routes.revision, Payload: b}
	if k == balsampier.RelayOpen {
		r.Service = f.service.Hash()
	}
	d.pendingActions = append(d.pendingActions, Action{To: to, Relay: r})
}

func (d *Director) logEvent(event string, f *flow, a netip.AddrPort, r balsampier.Reason, n int) {
	d.pendingActions = append(d.pendingActions, Action{Event: Event{
		Name: event, Flow: f.segment.Key, Segment: f.segment, Service: f.service, Agent: a, Reason: r,
		Candidates: n, Revision: d.routes.revision,
	}})
}

// park stores a copy of a packet, unless the limits are reached.
func (d *Director) park(f *flow, b []byte) {
	if len(f.packets) < MaxParkedPerFlow && d.parkedTotal < maxParkedTotal {
		f.packets = append(f.packets, bytes.Clone(b))
		d.parkedTotal++
	}
}

func (d *Director) unpark(f *flow) {
	d.parkedTotal -= len(f.packets)
	f.packets = nil
}

func (d *Director) evict(k balsampier.FlowKey, f *flow) {
	d.unpark(f)
	delete(d.flows, k)
}

func (d *Director) flowTTL() time.Duration {
	if d.routes.idleFlowTimeout > 0 {
		return 2 * d.routes.idleFlowTimeout
	}
	return defaultFlowTTL
}
