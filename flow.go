package balsampier

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ActionDrop discards the packet; Verdict.Reason says why.
	ActionDrop Action = iota
	// ActionForward forwards the packet to Verdict.Target.
	ActionForward
	// ActionRefuse answers an opening packet with the refusal message of the
	// protocol.
	ActionRefuse
	// ActionReset answers a packet of an unknown flow with the reset message
	// of the protocol.
	ActionReset
	// ActionWait parks the packet until a registration of its flow arrives.
	ActionWait
)

const (
	// ReasonNone accompanies ActionForward.
	ReasonNone Reason = iota
	// ReasonNoRule means that no rule in force matches the packet.
	ReasonNoRule
	// ReasonNoBackendServer means that the service has no member that takes
	// new flows.
	ReasonNoBackendServer
	// ReasonHolderGone means that the flow's holder has left the view.
	ReasonHolderGone
	// ReasonHopLimit means that the packet has already been forwarded MaxHops
	// times.
	ReasonHopLimit
	// ReasonWrongService means that the packet reached an agent of another service.
	ReasonWrongService
	// ReasonWrongIncarnation means that the packet was meant for another run of
	// the agent.
	ReasonWrongIncarnation
	// ReasonUnknownFlow means that no registration of the flow was found.
	ReasonUnknownFlow
	// ReasonUnsettled means that another instance may still place the flow
	// under the previous view.
	ReasonUnsettled
	// ReasonLeaseExpired means that the agent's own lease has expired.
	ReasonLeaseExpired
	// ReasonDraining means that the agent takes no new flows.
	ReasonDraining
	// ReasonStaleEpoch means that the packet was placed under an older view.
	ReasonStaleEpoch
	// ReasonFull means that the server returned the opening packet, or that a
	// bounded table or queue on the packet's way had no room for it.
	ReasonFull
	// ReasonTimeout means that no answer arrived in time.
	ReasonTimeout
	// ReasonUnanswered means that the opening packet was delivered to the
	// server, which has not answered it yet.
	ReasonUnanswered
	// ReasonRouteChanged means that newer routes no longer allow the flow.
	ReasonRouteChanged
	// ReasonOtherFlow means that the server holds another flow with the same
	// addresses and ports.
	ReasonOtherFlow
)

// MaxHops limits how often one packet is forwarded between instances.
const MaxHops = 3

type (
	// FlowKey identifies a flow. Every instance derives the same key from the
	// same packet.
	FlowKey struct {
		// Hi and Lo are independent hashes of the flow's identity.
		Hi, Lo uint64
	}

	// Holder identifies the run of an agent that holds a flow or a claim. The
	// zero Holder means that none is known.
	Holder struct {
		// Instance is the agent.
		Instance InstanceID
		// Incarnation is the run of the agent, such as the one that opened the
		// flow.
		Incarnation Incarnation
	}

	// Packet holds the fields of a caller's packet that steering decides on.
	Packet struct {
		// Caller is the source of the packet.
		Caller netip.AddrPort
		// ServiceAddr is the original destination of the packet.
		ServiceAddr netip.AddrPort
		// Flow identifies the flow of the packet.
		Flow FlowKey
		// Holder is the holder hint that the packet carries; zero if it has
		// none.
		Holder Holder
		// Opening is true for packets that may start a flow.
		Opening bool
		// Hops counts the instances that have forwarded the packet; at most
		// MaxHops.
		Hops int
		// At is the time of arrival by the clock of the receiving instance.
		At time.Time
	}

	// Action is what to do with a packet.
	Action uint8

	// Reason is why a packet is not forwarded.
	Reason uint8

	// Verdict is the decision on one packet.
	Verdict struct {
		// Action is what to do.
		Action Action
		// Reason is ReasonNone exactly when Action is ActionForward.
		Reason Reason
		// Target receives the packet when Action is ActionForward.
		Target Holder
		// Addr is the datagram address of Target.
		Addr netip.AddrPort
		// Service is the service to which the packet belongs; empty if only
		// the holder knows it.
		Service ServiceName
		// Revision is the rule revision on which the decision is based.
		Revision Revision
		// Epoch is the view epoch on which the decision is based.
		Epoch Epoch
	}
)

// NewFlowKey hashes the identity of a flow: the addresses of its client c and
// service s, and the extra bytes that the front end's protocol adds, such as the
// original connection ID. Extra bytes that exceed the 64-byte buffer are ignored.
func NewFlowKey(c, s netip.AddrPort, extra []byte) FlowKey {
	var b [64]byte
	n := putAddrPort(b[:0], c)
	n = putAddrPort(n, s)
	n = append(n, extra[:min(len(extra), len(b)-len(n))]...)
	h := xxhash.Sum64(n)
	n = binary.BigEndian.AppendUint64(n[:0], h^flowKeySalt)
	n = putAddrPort(n, c)
	n = append(n, extra[:min(len(extra), len(b)-len(n))]...)
	return FlowKey{Hi: h, Lo: xxhash.Sum64(n)}
}

// flowKeySalt makes the two halves of a FlowKey differ.
const flowKeySalt = 0x9e3779b97f4a7c15

func putAddrPort(b []byte, a netip.AddrPort) []byte {
	x := a.Addr().As16()
	b = append(b, x[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// Hash returns the hash that stands for the service in relays.
func (s ServiceName) Hash() ServiceHash { return ServiceHash(xxhash.Sum64String(string(s))) }

// IsZero reports whether the key is unset.
func (k FlowKey) IsZero() bool { return k == FlowKey{} }

// Score returns the rendezvous hashing score of an address for the flow.
// Instances that know the same addresses rank them in the same order.
func (k FlowKey) Score(a netip.AddrPort) uint64 {
	var b [24]byte
	x := binary.BigEndian.AppendUint64(b[:0], k.Hi)
	x = putAddrPort(x, a)
	return xxhash.Sum64(x)
}

// IsZero reports whether no holder is known.
func (h Holder) IsZero() bool { return h == Holder{} }

// String returns the name of the reason as used in metrics and dumps.
func (r Reason) String() string {
	return [...]string{
		"none", "noRule", "noBackendServer", "holderGone", "hops", "service", "incarnation", "unknownFlow",
		"unsettled", "lease", "draining", "epoch", "full", "silent", "unanswered", "revision", "otherFlow",
	}[r]
}

// String returns the name of the action as used in metrics and dumps.
func (a Action) String() string {
	return [...]string{"drop", "forward", "refuse", "reset", "wait"}[a]
}
