package claim

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

// A member treats its lease as expired early, by 1/leaseMarginDivisor of its
// length, to allow for clock drift between the member and the control
// instances.
const leaseMarginDivisor = 10

// Epochs tracks a member's lease and what the member knows of its service's
// claim epochs.
type Epochs struct {
	self balsampier.Holder
	// group is the newest published group. Adopting a group also acknowledges
	// it.
	group Group
	// sealed and active never decrease.
	sealed, active balsampier.Epoch
	// leaseEnd is when the lease expires by the member's own clock.
	leaseEnd time.Time
	// hasLeft is set by Leave.
	hasLeft bool
}

// NewEpochs returns the state of a member that has no group and no lease yet.
func NewEpochs(self balsampier.Holder) *Epochs { return &Epochs{self: self} }

// AdoptGroup adopts g if it is newer than the current group, and reports
// whether it was. From then on the member neither grants claims in an earlier
// epoch nor starts requests on grants of one.
func (e *Epochs) AdoptGroup(g Group) bool {
	if g.Epoch <= e.group.Epoch {
		return false
	}
	e.group = g
	return true
}

// Advance records that epoch s is sealed and epoch a is active, as reported by
// a control instance.
func (e *Epochs) Advance(s, a balsampier.Epoch) {
	e.sealed, e.active = max(e.sealed, s), max(e.active, a)
}

// ExtendLease applies the reply to a renewal that was sent at time s. The reply
// contains a lease of duration d and the sealed and active epochs. The lease
// counts only if the member has acknowledged the sealed epoch, because the
// control instances wait only for the leases of members that have.
func (e *Epochs) ExtendLease(s time.Time, d time.Duration, sealed, active balsampier.Epoch) {
	e.Advance(sealed, active)
	end := s.Add(d - d/leaseMarginDivisor)
	if e.group.Epoch >= e.sealed && end.After(e.leaseEnd) {
		e.leaseEnd = end
	}
}

// ApplyLease applies the lease l from the reply to a renewal that was sent at
// time s. An epoch is sealed once no member holds a usable lease below it.
func (e *Epochs) ApplyLease(s time.Time, l balsampier.Lease) {
	e.AdoptGroup(l.Claims.Group)
	sealed := e.sealed
	if l.Active >= e.group.Epoch {
		sealed = e.group.Epoch
	}
	if e.hasLeft {
		e.Advance(sealed, l.Claims.Active)
		return
	}
	e.ExtendLease(s, l.TTL, sealed, l.Claims.Active)
}

// Leave gives up the lease permanently.
func (e *Epochs) Leave() { e.leaseEnd, e.hasLeft = time.Time{}, true }

// Leased reports whether the lease is valid at time t.
func (e *Epochs) Leased(t time.Time) bool { return t.Before(e.leaseEnd) }

// Active returns the newest epoch known to be active.
func (e *Epochs) Active() balsampier.Epoch { return e.active }

// Acknowledged returns the epoch to report to the control instances as
// acknowledged.
func (e *Epochs) Acknowledged() balsampier.Epoch { return e.group.Epoch }

// Group returns the newest published group.
func (e *Epochs) Group() Group { return e.group }

// Sealed reports whether no claim can be granted in an earlier epoch any more.
func (e *Epochs) Sealed() bool { return e.group.Epoch > 0 && e.sealed >= e.group.Epoch }

// Valid reports whether the member may act in epoch p at time t: p is its
// newest epoch and active, the member belongs to the group, and its lease is
// valid.
func (e *Epochs) Valid(p balsampier.Epoch, t time.Time) bool {
	return e.group.Epoch == p && e.active == p && t.Before(e.leaseEnd) &&
		slices.Contains(e.group.Members, e.self)
}
