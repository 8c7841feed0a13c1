package balsampier

import (
	"net/netip"
	"time"
)

type (
	// Route sends the flows to one address to services by weight.
	Route struct {
		// Name identifies the route to operators; never empty.
		Name string
		// To is the address that clients open flows to; unique in a file.
		To netip.AddrPort
		// Targets are the services of new flows; never empty, and at least one
		// has a positive weight.
		Targets []Target
	}

	// Target is one service of a route.
	Target struct {
		Service ServiceName
		// Weight is the share of new flows; zero for none.
		Weight int
	}

	// RouteFile is a numbered document of routes, decoded.
	RouteFile struct {
		// Version is positive.
		Version Revision
		Routes  []Route
		// IdleTimeout is how long a flow may be silent before it is forgotten;
		// zero where the document does not say.
		IdleTimeout time.Duration
	}

	// Document is a numbered document as the operator sent it.
	Document struct {
		// Version is positive.
		Version Revision
		// Text is the document, byte for byte.
		Text string
	}

	// Segment is what steering needs to know of a packet of a flow whose
	// packets carry no hint of their holder.
	Segment struct {
		// Client and Service are the ends of the flow, whichever sent it.
		Client, Service netip.AddrPort
		// Key identifies the flow at both ends.
		Key FlowKey
		// Opening packets start a flow.
		Opening bool
		// Retransmissions is how often the client has sent the opening packet before.
		Retransmissions uint32
		// Ack is true where Acknowledged is set.
		Ack bool
		// Final packets end the sender's direction.
		Final bool
		// Reset packets end the flow.
		Reset bool
		// Returned packets were not accepted by the server.
		Returned bool
		// Sequence is the sender's number; Acknowledged is the other end's.
		Sequence, Acknowledged uint32
		// Length is that of the data.
		Length int
	}

	// ServerState is what a backend server says of itself.
	ServerState struct {
		// ID identifies the run of the server to operators; never empty.
		ID string
		// Born is when the run started, by its own clock.
		Born time.Time
		// Sequence grows with each statement of a run.
		Sequence uint64
		Service  ServiceName
		Addr     netip.AddrPort
		// Slots is how many requests it runs at once; positive.
		Slots int
		// Draining servers take no new flows.
		Draining bool
		// Cold is how much longer it is slow after its start.
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
