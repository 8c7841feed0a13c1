package balsampier

import (
	"net/netip"
	"time"
)

type (
	// Route distributes the new flows to one address over services by weight.
	Route struct {
		// Name identifies the route to operators; never empty.
		Name string
		// To is the address to which clients open flows; unique in a file.
		To netip.AddrPort
		// Targets are the services that receive new flows; never empty, and at
		// least one has a positive weight.
		Targets []Target
	}

	// Target is a service of a route and its weight.
	Target struct {
		Service ServiceName
		// Weight is the relative share of new flows; zero for none.
		Weight int
	}

	// RouteFile is a decoded Document.
	RouteFile struct {
		// Version is positive.
		Version Revision
		Routes  []Route
		// IdleTimeout is how long a flow may carry no packets before it
		// expires; zero if the document does not set it.
		IdleTimeout time.Duration
	}

	// Document is a route document as the operator submitted it, with the
	// version that the operator assigned.
	Document struct {
		// Version is positive.
		Version Revision
		// Text is the content of the document, byte for byte.
		Text string
	}

	// Segment holds the header fields of a packet that steering decides on, for
	// flows whose packets carry no holder hint.
	Segment struct {
		// Client and Service are the two ends of the flow, whichever of them
		// sent the packet.
		Client, Service netip.AddrPort
		// Key identifies the flow; it is the same in both directions.
		Key FlowKey
		// Opening is true for packets that open a flow.
		Opening bool
		// Retransmissions is how often the client has sent the opening packet
		// before.
		Retransmissions uint32
		// Ack is true if Acknowledged is set.
		Ack bool
		// Final is true for packets that close the sender's direction.
		Final bool
		// Reset is true for packets that abort the flow.
		Reset bool
		// Returned is true for packets that the server sent back because it
		// did not accept them.
		Returned bool
		// Sequence is the sender's sequence number; Acknowledged is the
		// sequence number of the other end that the packet acknowledges.
		Sequence, Acknowledged uint32
		// Length is the length of the data in bytes.
		Length int
	}

	// ServerState is the state that a backend server reports of itself.
	ServerState struct {
		// ID identifies the run of the server in logs and dumps; never empty.
		ID string
		// Born is when the run started, by the server's own clock.
		Born time.Time
		// Sequence increases with each report of a run.
		Sequence uint64
		Service  ServiceName
		Addr     netip.AddrPort
		// Slots is how many requests the server runs at once; positive.
		Slots int
		// Draining is true for servers that take no new flows.
		Draining bool
		// Cold is the remaining time during which the server is slow after its
		// start.
		Cold time.Duration
	}
)

// Allows reports whether the route sends new flows to the service.
func (r Route) Allows(s ServiceName) bool {
	for _, t := range r.Targets {
		if t.Service == s && t.Weight > 0 {
			return true
		}
	}
	return false
}
