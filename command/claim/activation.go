package claim

import (
	"slices"

	"github.com/balsampier/balsampier"
)

// Activation tracks which claim group of a service is active. It runs on the
// control instances and depends on the replicated log alone, so that members
// learn of an active epoch only after it was committed. An epoch is sealed once
// no member holds a usable lease below that view epoch; the lease table decides
// that.
type Activation struct {
	// Group is the newest published group.
	Group Group
	// Base is the newest active group. Its epoch is zero at first and at most
	// Group.Epoch.
	Base Group
	// Complete lists the holders of Group that have copied all claims; it is
	// empty once Group is active.
	Complete []balsampier.Holder
}

// Publish creates the group of epoch e, which is later than all earlier ones,
// with the given members. The holders are the members that are not draining. It
// does nothing if neither list has changed.
func (a *Activation) Publish(e balsampier.Epoch, members, holders []balsampier.Holder) {
	if slices.Equal(members, a.Group.Members) && slices.Equal(holders, a.Group.Holders) {
		return
	}
	a.Group = Group{Epoch: e, Members: members, Holders: holders, Base: a.Base.Epoch, BaseHolders: a.Base.Holders}
	a.Complete = nil
}

// MarkComplete records that h has copied the claims for epoch e, which a holder
// reports only after the epoch was sealed. The group becomes active once all
// its holders have reported. Holders that never report lose their lease and
// leave the group.
func (a *Activation) MarkComplete(h balsampier.Holder, e balsampier.Epoch) {
	if !a.Awaits(h, e) {
		return
	}
	a.Complete = append(slices.Clone(a.Complete), h)
	if len(a.Complete) == len(a.Group.Holders) {
		a.Base, a.Complete = a.Group, nil
	}
}

// Awaits reports whether the group of epoch e is not active yet and h still has
// to copy its claims.
func (a *Activation) Awaits(h balsampier.Holder, e balsampier.Epoch) bool {
	return e == a.Group.Epoch && a.Base.Epoch != e &&
		slices.Contains(a.Group.Holders, h) && !slices.Contains(a.Complete, h)
}

// State returns the claim state to send to the members; v is the epoch of the
// view after its last change.
func (a *Activation) State(v balsampier.Epoch) balsampier.ClaimState {
	return balsampier.ClaimState{Group: a.Group, Active: a.Base.Epoch, AsOf: v}
}
