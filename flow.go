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
	// ActionForward hands the packet to Verdict.Target.
	ActionForward
	// ActionRefuse answers an opening packet with the protocol's refusal.
	ActionRefuse
	// ActionReset answers a packet of an unknown flow with the protocol's
	// reset.
	ActionReset
	// ActionWait parks the packet until a registration of its flow arrives.
	ActionWait
)

const (
	// ReasonNone accompanies ActionForward.
	ReasonNone Reason = iota
	// ReasonNoRule means that no rule is in force for the packet.
	ReasonNoRule
	// ReasonNoBackendServer means that the service has no member that takes
	// new flows.
	ReasonNoBackendServer
	// ReasonHolderGone means that the flow's holder left the view.
	ReasonHolderGone
	// ReasonHopLimit means that the packet was passed on too often.
	ReasonHopLimit
	// ReasonWrongService means that the packet reached an agent of another service.
	ReasonWrongService
	// ReasonWrongIncarnation means that the packet was meant for another run of
	// the agent.
	ReasonWrongIncarnation
	// ReasonUnknownFlow means that no registration of the flow was found.
	ReasonUnknownFlow
	// ReasonUnsettled means that another instance may still decide on the
	// flow under the view before.
	ReasonUnsettled
	// ReasonLeaseExpired means that the agent's own lease ran out.
	ReasonLeaseExpired
	// ReasonDraining means that the agent takes no new flows.
	ReasonDraining
	// ReasonStaleEpoch means that the packet was placed under an older view.
	ReasonStaleEpoch
	// ReasonFull means that the server returned the opening packet.
	ReasonFull
	// ReasonTimeout means that nothing answered in time.
	ReasonTimeout
	// ReasonUnanswered means that the server took the opening packet and has
	// not answered it yet.
	ReasonUnanswered
	// ReasonRouteChanged means that newer routes forbid the flow.
	ReasonRouteChanged
)

// MaxHops bounds how often one packet is passed on between instances.
const MaxHops = 3

type (
	// FlowKey identifies a flow. Equal packets of one flow have equal keys on
	// every instance.
	FlowKey struct {
		// Hi and Lo are independent hashes of the flow's identity.
		Hi, Lo uint64
	}

	// Holder names the run of an agent that has a flow. The zero Holder means
	// that none is known.
	Holder struct {
		// Instance is the agent.
		Instance InstanceID
		// Incarnation is the run of the agent that opened the flow.
		Incarnation Incarnation
	}

	// Packet is what steering needs to know of a caller's packet.
	Packet struct {
		// Caller is the source of the packet.
		Caller netip.AddrPort
		// ServiceAddr is the destination that the caller chose.
		ServiceAddr netip.AddrPort
		// Flow identifies the flow of the packet.
		Flow FlowKey
		// Holder is the hint that the packet carries, zero without one.
		Holder Holder
		// Opening is true for packets that may start a flow.
		Opening bool
		// Hops counts the instances that passed the packet on; at most
		// MaxHops.
		Hops int
		// At is the time of arrival by the clock of the receiving instance.
		At time.Time
	}

	// Action tells what to do with a packet.
	Action uint8

	// Reason tells why a packet is not forwarded.
	Reason uint8

	// Verdict is the decision on one packet.
	Verdict struct {
		// Action is what to do.
		Action Action
		// Reason is ReasonNone exactly when Action is ActionForward.
		Reason Reason
		// Target takes the packet when Action is ActionForward.
		Target Holder
		// Addr is the datagram address of Target.
		Addr netip.AddrPort
		// Service is the service the packet was decided to belong to; empty
		// where only the holder can tell.
		Service ServiceName
		// Revision is the rule revision behind the decision.
		Revision Revision
		// Epoch is the view epoch behind the decision.
		Epoch Epoch
	}
)

// NewFlowKey hashes the identity of a flow: its ends and the bytes that the
// front end's protocol adds, such as the original connection ID.
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

// flowKeySalt separates the two halves of a FlowKey.
const flowKeySalt = 0x9e3779b97f4a7c15

func putAddrPort(b []byte, a netip.AddrPort) []byte {
	x := a.Addr().As16()
	b = append(b, x[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// Hash returns the hash of the service's name.
func (s ServiceName) Hash() ServiceHash { return ServiceHash(xxhash.Sum64String(string(s))) }

// IsZero reports whether the key names no flow.
func (k FlowKey) IsZero() bool { return k == FlowKey{} }

// Rank returns the rendezvous score of an address for the flow: instances that
// know the same addresses rank them alike.
func (k FlowKey) Rank(a netip.AddrPort) uint64 {
	var b [24]byte
	x := binary.BigEndian.AppendUint64(b[:0], k.Hi)
	x = putAddrPort(x, a)
	return xxhash.Sum64(x)
}

// IsZero reports whether no holder is known.
func (h Holder) IsZero() bool { return h == Holder{} }

// String returns the name of the reason as it stands in metrics and dumps.
func (r Reason) String() string {
	return [...]string{
		"none", "noRule", "noBackendServer", "holderGone", "hops", "service", "incarnation", "unknownFlow",
		"unsettled", "lease", "draining", "epoch", "full", "silent", "unanswered", "revision",
	}[r]
}

// String returns the name of the action as it stands in metrics and dumps.
func (a Action) String() string {
	return [...]string{"drop", "forward", "refuse", "reset", "wait"}[a]
}
