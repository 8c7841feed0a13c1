package claim

import (
	"slices"

	"github.com/balsampier/balsampier"
)

// Activation decides at control which group of a service is active. It is a
// function of the replicated log alone, so that an epoch is told to be active
// only after that was committed. When an epoch is sealed is decided with the
// leases: once no member has a lease that it uses below that view epoch.
type Activation struct {
	// Group is the newest published group.
	Group Group
	// Base is the newest active group; its epoch is zero at first and at most
	// Group.Epoch.
	Base Group
	// Complete are the holders of Group that have copied all claims; empty
	// once Group is active.
	Complete []balsampier.Holder
}

// Publish makes the group of epoch e, which is later than all before, out of
// the members; holders are those that are not draining. Nothing changes while
// both are as they were.
func (a *Activation) Publish(e balsampier.Epoch, members, holders []balsampier.Holder) {
	if slices.Equal(members, a.Group.Members) && slices.Equal(holders, a.Group.Holders) {
		return
	}
	a.Group = Group{Epoch: e, Members: members, Holders: holders, Base: a.Base.Epoch, BaseHolders: a.Base.Holders}
	a.Complete = nil
}

// MarkComplete records that h has copied the claims for epoch e. A holder says so
// only after the epoch was sealed. The group is active once all its holders
// have said it; those that never will lose their lease and leave the group.
func (a *Activation) MarkComplete(h balsampier.Holder, e balsampier.Epoch) {
	if !a.Awaits(h, e) {
		return
	}
	a.Complete = append(slices.Clone(a.Complete), h)
	if len(a.Complete) == len(a.Group.Holders) {
		a.Base, a.Complete = a.Group, nil
	}
}

// Awaits reports whether the group is not active and h has yet to complete it.
func (a *Activation) Awaits(h balsampier.Holder, e balsampier.Epoch) bool {
	return e == a.Group.Epoch && a.Base.Epoch != e &&
		slices.Contains(a.Group.Holders, h) && !slices.Contains(a.Complete, h)
}

// State returns what is told to the members; v is the view of the last change.
func (a *Activation) State(v balsampier.Epoch) balsampier.ClaimState {
	return balsampier.ClaimState{Group: a.Group, Active: a.Base.Epoch, AsOf: v}
}
