// Package balsampier holds the core types, the typed errors and the interfaces
// of a layer-4 load balancer. Decisions live in the packages below command
// (what changes state) and query (what only answers); the remaining packages
// each encode the messages of one peer or protocol.
package balsampier

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// RoleUnknown is the zero Role and is never valid in a view.
	RoleUnknown Role = iota
	// RoleBalancer receives callers' packets from the network fabric and
	// forwards them to agents.
	RoleBalancer
	// RoleAgent runs beside a backend server and terminates flows.
	RoleAgent
	// RoleControl replicates the rule file and the membership view.
	RoleControl
	// RoleRelay is a control instance without a data folder, which directs
	// callers to one that has one.
	RoleRelay
)

// incarnationStep is the resolution of an Incarnation. At 250 ms, 32 bits
// last for 34 years.
const incarnationStep = 250 * time.Millisecond

// clockSkewSteps raises an incarnation by two seconds, so that a few retries are
// enough to pass the previous run after the clock was set back by some seconds.
const clockSkewSteps = 8

var firstIncarnation = time.Date(2025, time.January, 1, 0, 0, 0, 0, time.UTC)

type (
	// InstanceID identifies an instance. It is derived from the configured
	// name, so that it survives restarts.
	InstanceID uint64

	// Incarnation identifies one run of an instance's process. Zero is not
	// valid. Later runs have higher ones.
	Incarnation uint32

	// Epoch numbers membership views and never decreases.
	Epoch uint64

	// Revision numbers accepted rule files and never decreases; zero means
	// that no rule file was ever accepted.
	Revision uint64

	// ServiceName names a service that operators define, such as reservas.
	ServiceName string

	// DataCentre names the data centre in which an instance runs.
	DataCentre string

	// Role is the function of an instance.
	Role uint8

	// Member describes one instance in a membership view.
	Member struct {
		// ID is never zero.
		ID InstanceID
		// Name is the configured name from which ID is derived.
		Name string
		// Role is never RoleUnknown.
		Role Role
		// Incarnation grows with every restart of the process.
		Incarnation Incarnation
		// DataCentre may be empty where the operator runs a single one.
		DataCentre DataCentre
		// Addr receives the datagrams of other instances; invalid for control
		// instances.
		Addr netip.AddrPort
		// PeerAddr serves remote procedure calls to other instances; it may be
		// invalid for balancers, which serve none.
		PeerAddr netip.AddrPort
		// Service is set for agents only.
		Service ServiceName
		// Slots is how many requests the backend server runs at once;
		// positive for agents.
		Slots int
		// Draining is true for members that take no new flows and requests.
		Draining bool
	}

	// View is one version of the membership.
	View struct {
		// Epoch is zero only before the first member joined.
		Epoch Epoch
		// Members are sorted by ID, without duplicates.
		Members []Member
	}
)

// NewInstanceID derives the ID of the instance called n.
func NewInstanceID(n string) InstanceID {
	return InstanceID(xxhash.Sum64String(n))
}

// NewAddrInstanceID returns the ID of an instance of which only the IPv4 address
// and port are known, such as one found through seeds.
func NewAddrInstanceID(a netip.AddrPort) InstanceID {
	b := a.Addr().Unmap().As4()
	return InstanceID(binary.BigEndian.Uint32(b[:]))<<16 | InstanceID(a.Port())
}

// Addr returns the address from which NewAddrInstanceID derived the ID. It is
// meaningless for other IDs.
func (i InstanceID) Addr() netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(i>>16))
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(i))
}

// NewIncarnation returns the incarnation of a process that starts at time t. A
// later start has a higher one if it is at least incarnationStep later.
func NewIncarnation(t time.Time) Incarnation {
	return Incarnation(t.Sub(firstIncarnation)/incarnationStep) + 1
}

// Later returns the incarnation two seconds later, for a run whose clock is
// behind that of the previous run.
func (i Incarnation) Later() Incarnation { return i + clockSkewSteps }

// String returns the name of the role as used in dumps.
func (r Role) String() string {
	switch r {
	case RoleBalancer:
		return "balancer"
	case RoleAgent:
		return "agent"
	case RoleControl:
		return "control"
	case RoleRelay:
		return "relay"
	default:
		return "unknown"
	}
}

// Holder returns the member's ID and incarnation as a Holder.
func (m Member) Holder() Holder {
	return Holder{Instance: m.ID, Incarnation: m.Incarnation}
}

// Find returns the member with ID i and whether there is one.
func (v View) Find(i InstanceID) (Member, bool) {
	lo, hi := 0, len(v.Members)
	for lo < hi {
		mid := (lo + hi) / 2
		if v.Members[mid].ID < i {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo < len(v.Members) && v.Members[lo].ID == i {
		return v.Members[lo], true
	}
	return Member{}, false
}
