package balsampier

import (
	"net/netip"
	"time"
)

const (
	// RelayOpen hands an opening packet to an agent.
	RelayOpen RelayKind = iota + 1
	// RelayDeliver hands a packet to the agent that holds its flow.
	RelayDeliver
	// RelayProbe hands a packet to an agent that does not know whether its
	// server has the flow.
	RelayProbe
	// RelayQuery asks an agent whether it has the flow of a packet.
	RelayQuery
	// RelaySearch asks an agent which of many flows its server has. The reply
	// lists those flows and is RelayNotFound, or RelayUncertain if the agent
	// does not know all flows of its server.
	RelaySearch
	// RelayAccepted reports that the opening packet was delivered to the
	// server.
	RelayAccepted
	// RelayRefused reports that the server does not accept the flow and has
	// not run any of it.
	RelayRefused
	// RelayFound reports that the server has the flow.
	RelayFound
	// RelayNotFound reports that the server does not have the flow.
	RelayNotFound
	// RelayUncertain reports that the agent does not know whether the server
	// has the flow.
	RelayUncertain
	// RelayShutdown is the shutdown notice of an agent that stops and whose
	// server has ended, with all its flows. Flow.Lo holds the agent's
	// incarnation.
	RelayShutdown
	// RelayCollect asks an agent to pass a search on to the agents in Targets
	// and to collect their replies.
	RelayCollect
	// RelayCollected is the reply to RelayCollect.
	RelayCollected
	// RelayPassedSearch is a RelaySearch that an agent passes on for the
	// balancer in Targets. The reply goes to the agent.
	RelayPassedSearch
)

type (
	// RelayKind is the type of a Relay message.
	RelayKind uint8

	// Relay is a message between balancers and agents about flows whose packets
	// carry no holder hint.
	Relay struct {
		// Kind is never zero.
		Kind RelayKind
		// Flow is never zero. In searches, their replies and shutdown notices,
		// Hi is zero and Lo holds a number that is no hash of a flow.
		Flow FlowKey
		// Service is the hash of the requested service; set in RelayOpen only.
		Service ServiceHash
		// Revision is the revision of the sender's routes.
		Revision Revision
		// Reason is set in RelayRefused, and in RelayNotFound if the server holds
		// another flow with the same addresses and ports.
		Reason Reason
		// SinceDeparture is the time since another agent of the replying
		// agent's service left the view. The server of the departed agent may
		// still run. Zero if no agent left recently. Set in replies to searches
		// only.
		SinceDeparture time.Duration
		// Load is the load at the replying agent; set in replies only.
		Load Load
		// Targets are the agents to search in RelayCollect, at most
		// MaxCollectTargets, and the one balancer in RelayPassedSearch.
		Targets []netip.AddrPort
		// Results are the replies in RelayCollected that say more than that the
		// agent certainly has none of the flows; at most MaxCollectTargets.
		Results []SearchResult
		// Payload is the packet in RelayOpen, RelayDeliver and RelayProbe, its
		// header in RelayQuery, and hashes of flows in RelaySearch, its reply,
		// RelayPassedSearch and RelayCollect. Other replies return the packet if it was not
		// delivered.
		Payload []byte
	}

	// SearchResult is the reply of one agent to a search.
	SearchResult struct {
		Agent netip.AddrPort
		// Missing is true if the agent did not reply; the other fields are
		// zero then.
		Missing bool
		// Uncertain is true if the agent does not know all flows of its server.
		Uncertain bool
		// SinceDeparture is that of the agent's reply.
		SinceDeparture time.Duration
		// Flows are the hashes of the flows that the agent's server has.
		Flows []uint64
	}

	// ServiceHash identifies a service by the 64-bit hash of its name.
	ServiceHash uint64
)

// MaxCollectTargets is the maximum number of agents that one agent is asked to
// search, so that the request and the reply fit into a datagram.
const MaxCollectTargets = 48

// String returns the name of the kind as used in logs and metrics.
func (k RelayKind) String() string {
	return [...]string{
		"none", "open", "deliver", "try", "ask", "search", "took", "refused", "mine", "notMine", "unsure", "ended", "collect", "collected", "passedSearch",
	}[k]
}

// IsRequest reports whether relays of this kind are sent to agents by balancers,
// or by agents that search for them.
func (k RelayKind) IsRequest() bool {
	return k > 0 && k < RelayAccepted || k == RelayCollect || k == RelayPassedSearch
}
