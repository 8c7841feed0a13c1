// Package balsampier holds the core types, the typed errors and the interfaces
// of a layer-4 load balancer. Decisions live in the packages below command
// (what changes state) and query (what only answers); the remaining packages
// encode for one peer or protocol each.
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
	// RoleBalancer takes packets from the fabric.
	RoleBalancer
	// RoleAgent runs beside a backend server and terminates flows.
	RoleAgent
	// RoleControl replicates rules and membership.
	RoleControl
)

// incarnationStep makes incarnations last for 34 years.
const incarnationStep = 250 * time.Millisecond

// clockSkewSteps is two seconds, so that a few tries pass a clock that was set
// back by some.
const clockSkewSteps = 8

var firstIncarnation = time.Date(2025, time.January, 1, 0, 0, 0, 0, time.UTC)

type (
	// InstanceID identifies an instance. It is derived from the configured
	// name, so that it survives restarts.
	InstanceID uint64

	// Incarnation tells one run of an instance from the next. Zero is not an
	// incarnation. Later runs have higher ones.
	Incarnation uint32

	// Epoch numbers membership views. Epochs only grow.
	Epoch uint64

	// Revision numbers accepted rule files. Revisions only grow; zero means
	// that no rule file was ever accepted.
	Revision uint64

	// ServiceName names a service of the operators, such as reservas.
	ServiceName string

	// DataCentre names the data centre that an instance stands in.
	DataCentre string

	// Role tells what an instance does.
	Role uint8

	// Member describes one instance in a membership view.
	Member struct {
		// ID is never zero.
		ID InstanceID
		// Name is what ID was derived from.
		Name string
		// Role is never RoleUnknown.
		Role Role
		// Incarnation grows with every restart of the process.
		Incarnation Incarnation
		// DataCentre may be empty where the operator runs a single one.
		DataCentre DataCentre
		// Addr receives datagram envelopes; invalid for control instances.
		Addr netip.AddrPort
		// PeerAddr receives calls of other instances; it may be invalid for
		// balancers, which serve none.
		PeerAddr netip.AddrPort
		// Service is set for agents only.
		Service ServiceName
		// Slots counts concurrent requests of the backend server; positive
		// for agents.
		Slots int
		// Draining members take no new flows and no new requests.
		Draining bool
	}

	// View is one numbered state of the membership.
	View struct {
		// Epoch is zero only for the view before any member joined.
		Epoch Epoch
		// Members are sorted by ID, without repeats.
		Members []Member
	}
)

// NewInstanceID derives the ID of the instance called n.
func NewInstanceID(n string) InstanceID {
	return InstanceID(xxhash.Sum64String(n))
}

// NewAddrInstanceID returns the ID of an instance that is known by nothing but
// its IPv4 address, such as one found through seeds.
func NewAddrInstanceID(a netip.AddrPort) InstanceID {
	b := a.Addr().Unmap().As4()
	return InstanceID(binary.BigEndian.Uint32(b[:]))<<16 | InstanceID(a.Port())
}

// Addr returns the address that an ID of NewAddrInstanceID was made from.
func (i InstanceID) Addr() netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(i>>16))
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(i))
}

// NewIncarnation returns the incarnation of a process that starts at time t. A
// later start has a higher one, as long as starts are incarnationStep apart.
func NewIncarnation(t time.Time) Incarnation {
	return Incarnation(t.Sub(firstIncarnation)/incarnationStep) + 1
}

// Later returns an incarnation that is higher by some seconds, for a run whose
// clock was behind that of the run before.
func (i Incarnation) Later() Incarnation { return i + clockSkewSteps }

// String returns the name of the role as it stands in dumps.
func (r Role) String() string {
	switch r {
	case RoleBalancer:
		return "balancer"
	case RoleAgent:
		return "agent"
	case RoleControl:
		return "control"
	default:
		return "unknown"
	}
}

// Holder returns the incarnation of the member as a flow's holder.
func (m Member) Holder() Holder {
	return Holder{Instance: m.ID, Incarnation: m.Incarnation}
}

// Find returns the member with the given ID.
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
