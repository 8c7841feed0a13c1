package balsampier

import "time"

const (
	// RelayOpen gives an opening packet to an agent.
	RelayOpen RelayKind = iota + 1
	// RelayDeliver gives a packet to the agent that has its flow.
	RelayDeliver
	// RelayProbe gives a packet to an agent that does not know whether its
	// server has the flow.
	RelayProbe
	// RelayQuery asks an agent whether it has the flow of a packet.
	RelayQuery
	// RelaySearch asks an agent which of many flows it has. Its answer is
	// RelayNotMine, or RelayUnsure where the agent does not know all flows of
	// its server, with those that it has.
	RelaySearch
	// RelayAccepted says that the opening packet went to the server.
	RelayAccepted
	// RelayRefused says that the server does not take the flow; it has not
	// run anything of it.
	RelayRefused
	// RelayFound says that the server has the flow.
	RelayFound
	// RelayNotFound says that the server does not have the flow.
	RelayNotFound
	// RelayUncertain says that the agent does not know.
	RelayUncertain
	// RelayShutdown says that the agent stops and that its server has ended, with
	// all flows. Its flow has the agent's incarnation in Lo.
	RelayShutdown
)

type (
	// RelayKind tells the kinds of relays apart.
	RelayKind uint8

	// Relay is what balancers and agents tell each other of flows whose
	// packets carry no hint of their holder.
	Relay struct {
		// Kind is never zero.
		Kind RelayKind
		// Flow is never zero. Searches, their answers and farewells have a
		// number in Lo and zero in Hi.
		Flow FlowKey
		// Service is the hash of the service meant, in RelayOpen only.
		Service ServiceHash
		// Revision is that of the sender's routes.
		Revision Revision
		// Reason is set in RelayRefused only.
		Reason Reason
		// SinceDeparture is how long ago an agent of the answering one's service left
		// the view, whose server may live on; zero where none has lately. It
		// is set in answers to searches only.
		SinceDeparture time.Duration
		// Load is that of an answering agent.
		Load Load
		// Payload is the packet in RelayOpen, RelayDeliver and RelayTry, and
		// its head in RelayAsk. Answers return a packet that was not
		// delivered.
		Payload []byte
	}

	// ServiceHash identifies a service in few bytes.
	ServiceHash uint64
)

// String returns the name of the kind as it stands in logs and metrics.
func (k RelayKind) String() string {
	return [...]string{"none", "open", "deliver", "try", "ask", "search", "took", "refused", "mine", "notMine", "unsure", "ended"}[k]
}
