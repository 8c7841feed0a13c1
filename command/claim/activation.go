package claim

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// Activation decides at control when an epoch of a service is sealed and
	// when it is active. Its state is part of what control replicates: an
	// epoch is told to be active only after that was committed.
	Activation struct {
		// group is the newest published group.
		group Group
		// base is the newest active group; its epoch is zero at first.
		base Group
		// sealed is at most group.Epoch, and at least base.Epoch.
		sealed balsampier.Epoch
		// standings has an entry for each member of group and base that
		// renewed at least once.
		standings map[balsampier.Holder]standing
	}

	standing struct {
		acknowledged, complete balsampier.Epoch
		// expires is when the lease has surely run out at the member too.
		expires time.Time
	}
)

// NewActivation returns the state of a service without members.
func NewActivation() *Activation {
	return &Activation{standings: make(map[balsampier.Holder]standing)}
}

// Publish makes the group of the next epoch out of the members; holders are
// those that are not draining.
func (a *Activation) Publish(members, holders []balsampier.Holder) Group {
	a.group = Group{
		Epoch: a.group.Epoch + 1, Members: members, Holders: holders,
		Base: a.base.Epoch, BaseHolders: a.base.Holders,
	}
	for h := range a.standings {
		if !slices.Contains(a.group.Members, h) && !slices.Contains(a.base.Members, h) {
			delete(a.standings, h)
		}
	}
	return a.group
}

// Renew takes the renewal of h with the epochs it acknowledged and completed,
// and extends its lease to time t. Where it returns false h is no member, and
// must not be given a lease: sealing would not wait for it.
func (a *Activation) Renew(h balsampier.Holder, acknowledged, complete balsampier.Epoch, t time.Time) bool {
	if !slices.Contains(a.group.Members, h) && !slices.Contains(a.base.Members, h) {
		return false
	}
	s := a.standings[h]
	s.acknowledged, s.complete = max(s.acknowledged, acknowledged), max(s.complete, complete)
	if t.After(s.expires) {
		s.expires = t
	}
	a.standings[h] = s
	return true
}

// Advance returns the sealed and the active epoch at time t.
func (a *Activation) Advance(t time.Time) (sealed, active balsampier.Epoch) {
	e := a.group.Epoch
	if a.all(a.base.Members, t, func(s standing) bool { return s.acknowledged >= e }) {
		a.sealed = e
	}
	if a.sealed == e && a.all(a.group.Holders, t, func(s standing) bool { return s.complete >= e }) {
		a.base = a.group
	}
	return a.sealed, a.base.Epoch
}

// Lapsed reports whether the lease of h has surely run out at time t.
func (a *Activation) Lapsed(h balsampier.Holder, t time.Time) bool {
	return t.After(a.standings[h].expires)
}

// all reports whether f holds for every member whose lease may still be valid.
func (a *Activation) all(ms []balsampier.Holder, t time.Time, f func(standing) bool) bool {
	for _, m := range ms {
		if !a.Lapsed(m, t) && !f(a.standings[m]) {
			return false
		}
	}
	return true
}
