package claim

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

// leaseMarginDivisor is the share of a lease that a member gives up for the drift of
// its clock against control's: one in leaseMarginDivisor.
const leaseMarginDivisor = 10

// Epochs is what a member knows of the epochs of its service, and its lease.
type Epochs struct {
	self balsampier.Holder
	// group is the newest published group; adopting it acknowledges it.
	group Group
	// sealed and active only grow.
	sealed, active balsampier.Epoch
	// leaseEnd is when the leaseEnd ends by the member's own clock.
	leaseEnd time.Time
	// departed is true after Leave.
	hasLeft bool
}

// NewEpochs returns the state of a member that knows nothing yet.
func NewEpochs(self balsampier.Holder) *Epochs { return &Epochs{self: self} }

// AdoptGroup adopts g if it is newer and reports whether it was. From then on
// the member neither grants nor starts on grants of an earlier epoch.
func (e *Epochs) AdoptGroup(g Group) bool {
	if g.Epoch <= e.group.Epoch {
		return false
	}
	e.group = g
	return true
}

// Advance takes what control says of the epochs: s is sealed, a is active.
func (e *Epochs) Advance(s, a balsampier.Epoch) {
	e.sealed, e.active = max(e.sealed, s), max(e.active, a)
}

// ExtendLease takes the answer to a renewal sent at time s: a lease of length d
// and the sealed and active epochs. The lease counts only for a member that
// has acknowledged the sealed epoch, since control waits for no other.
func (e *Epochs) ExtendLease(s time.Time, d time.Duration, sealed, active balsampier.Epoch) {
	e.Advance(sealed, active)
	end := s.Add(d - d/leaseMarginDivisor)
	if e.group.Epoch >= e.sealed && end.After(e.leaseEnd) {
		e.leaseEnd = end
	}
}

// ApplyLease takes the answer to a renewal sent at time s. An epoch is sealed once no
// member has a lease that it uses below it.
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

// Leave gives the lease up for good.
func (e *Epochs) Leave() { e.leaseEnd, e.hasLeft = time.Time{}, true }

// Leased reports whether the lease is valid at time t.
func (e *Epochs) Leased(t time.Time) bool { return t.Before(e.leaseEnd) }

// Active returns the newest epoch known to be active.
func (e *Epochs) Active() balsampier.Epoch { return e.active }

// Acknowledged returns the epoch to acknowledge to control.
func (e *Epochs) Acknowledged() balsampier.Epoch { return e.group.Epoch }

// Group returns the newest published group.
func (e *Epochs) Group() Group { return e.group }

// Sealed reports whether no grant of an earlier epoch can be made any more.
func (e *Epochs) Sealed() bool { return e.group.Epoch > 0 && e.sealed >= e.group.Epoch }

// Valid reports whether the member may act for epoch p at time t.
func (e *Epochs) Valid(p balsampier.Epoch, t time.Time) bool {
	return e.group.Epoch == p && e.active == p && t.Before(e.leaseEnd) &&
		slices.Contains(e.group.Members, e.self)
}
