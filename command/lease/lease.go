// Package lease manages the members' leases at the leader of control and decides
// which membership changes to log. It also implements the member's side of a
// lease.
package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
)

const (
	// DefaultTTL is the default duration of a lease at control.
	DefaultTTL = 5 * time.Second

	// clockDriftDivisor limits the drift of every clock: in one second of true
	// time it advances by one second plus or minus 1/clockDriftDivisor.
	clockDriftDivisor = 100

	// maxRecentViews limits how many of the newest views digests may refer to.
	maxRecentViews = 8
)

type (
	// Table holds one lease per instance. It must be used only while its
	// owner is the confirmed leader.
	Table struct {
		// ttl is the duration of a lease at control; members count a shorter
		// one (MemberTTL) from when they sent the renewal.
		ttl time.Duration
		// leases has an entry for every member of the view and for every
		// instance that is about to join it.
		leases map[balsampier.InstanceID]*lease
		// epochs determines the newest active epoch.
		epochs epochs
		// recentViews holds the newest committed views, oldest first; it is
		// never empty.
		recentViews []balsampier.View
		batcher     batcher
		// changePending is true from the proposal of a change until it is
		// committed or dropped.
		changePending bool
		// nextExpiryCheck is no later than the expiry of any lease, so no lease
		// needs to be checked before it.
		nextExpiryCheck time.Time
		// conflicts counts reports refused because another instance has the
		// name.
		conflicts uint64
	}

	lease struct {
		member balsampier.Member
		// expiresAt is when the lease has certainly expired at the member too.
		expiresAt time.Time
		// appliedRevision is the rule revision that the member last reported.
		appliedRevision balsampier.Revision
		// acknowledgedEpoch is the newest view epoch that the member reported.
		acknowledgedEpoch balsampier.Epoch
		// appliedSince is when appliedRevision last changed.
		appliedSince time.Time
		// dirty is true until a change with this member is proposed, and again
		// if that change is dropped.
		dirty bool
		// inView is true if the committed view contains this incarnation.
		inView bool
		// removalPending is true from the proposal of the member's removal
		// until it is committed or dropped.
		removalPending bool
		// restarts counts recent restarts, to keep members that restart often
		// out of the view.
		restarts restarts
		// conflictAt is when another instance of the same name last reported;
		// zero if none has.
		conflictAt time.Time
	}

	// Report is what a member reports when it renews its lease.
	Report struct {
		// Member describes the reporting member in full.
		Member balsampier.Member
		// AppliedRevision is the rule revision in force at the member.
		AppliedRevision balsampier.Revision
		// AcknowledgedEpoch is the newest view epoch that the member has
		// applied. It never decreases within one incarnation.
		AcknowledgedEpoch balsampier.Epoch
		// CompleteEpoch is a claim epoch for which the member has copied all
		// claims, which control does not know yet; zero if there is none.
		CompleteEpoch balsampier.Epoch
	}

	// Grant is the reply to a report.
	Grant struct {
		// TTL is how long the lease is valid at the member, counted from when
		// it sent the renewal; zero if the member must not rely on a lease yet.
		TTL time.Duration
		// Epoch is the newest committed view epoch.
		Epoch balsampier.Epoch
		// ActiveEpoch is an epoch below which no member has a lease any more.
		ActiveEpoch balsampier.Epoch
	}

	// Rollout is the rule revision that one member has in force.
	Rollout struct {
		Member          balsampier.Member
		AppliedRevision balsampier.Revision
		// AppliedSince is when the member first reported AppliedRevision; zero
		// if it has reported nothing to this leader.
		AppliedSince time.Time
	}
)

// MemberTTL returns the duration that a member counts for a lease that lasts d
// at control. Measured by the slowest clock that is allowed, it ends no later
// than d does on the fastest.
func MemberTTL(d time.Duration) time.Duration {
	return d * (clockDriftDivisor - 1) / (clockDriftDivisor + 1)
}

// New returns the table of a new leader, which gives every member of v a full
// lease from time t: leases granted by earlier leaders expire by the end of it.
func New(v balsampier.View, ttl time.Duration, t time.Time) *Table {
	inheritedExpiry := t.Add(ttl)
	if v.Epoch == 0 {
		// Only members of a view have leases, and there has been no view yet.
		inheritedExpiry = t
	}
	b := &Table{
		ttl: ttl, leases: make(map[balsampier.InstanceID]*lease, len(v.Members)),
		epochs: newEpochs(v.Epoch, inheritedExpiry), recentViews: []balsampier.View{v}, nextExpiryCheck: t.Add(ttl),
	}
	for _, m := range v.Members {
		b.leases[m.ID] = &lease{member: m, expiresAt: t.Add(ttl), inView: true}
	}
	return b
}

// Renew extends or starts the lease of a member that does not acknowledge views.
func (b *Table) Renew(m balsampier.Member, applied balsampier.Revision, t time.Time) {
	_, _ = b.Report(Report{Member: m, AppliedRevision: applied}, t)
}

// Report extends or starts the lease of a member. The error is of KindConflict
// if another instance has the member's name: of two incarnations the higher one
// keeps it, and of two instances with equal incarnations the first one.
// Incarnations increase, so neither a late report nor a new leader can restore a
// replaced one.
func (b *Table) Report(r Report, t time.Time) (Grant, error) {
	l, ok := b.leases[r.Member.ID]
	if !ok {
		l = &lease{dirty: true}
		b.leases[r.Member.ID] = l
		b.batcher.recordChange(t, false)
	}
	if l.conflictsWith(r.Member) {
		b.conflicts++
		l.conflictAt = t
		return Grant{}, newConflictError(r.Member)
	}
	b.recordReport(l, r, t)
	l.expiresAt = t.Add(b.ttl)
	return b.grant(l, t), nil
}

// Leave ends the lease of a member that has sent its shutdown notice. The member
// must not use its lease after it has sent that notice.
func (b *Table) Leave(h balsampier.Holder, t time.Time) {
	l, ok := b.leases[h.Instance]
	if !ok || l.member.Incarnation != h.Incarnation {
		return
	}
	b.epochs.release(h)
	l.expiresAt, b.nextExpiryCheck = t, t
	b.batcher.recordChange(t, true)
}

// Changes returns the batch of changes that brings the view up to date at time
// t; ok is false if there is nothing to log yet. After it has returned a batch,
// it returns no other until Committed or Dropped is called.
func (b *Table) Changes(t time.Time) (c apply.MembershipChange, ok bool) {
	b.epochs.advance(t)
	b.recordExpired(t)
	if b.changePending || !b.batcher.startIfDue(t) {
		return c, false
	}
	for id, l := range b.leases {
		switch {
		case t.After(l.expiresAt) && !contains(b.newestView(), id):
			delete(b.leases, id)
		case t.After(l.expiresAt):
			c.Left = append(c.Left, id)
			l.removalPending, l.dirty = true, false
		case l.dirty && !l.inView && l.restarts.isHeld(t):
			c.Left = append(c.Left, b.withhold(l)...)
		case l.dirty:
			c.Joined = append(c.Joined, l.member)
			l.dirty = false
		}
	}
	slices.Sort(c.Left)
	slices.SortFunc(c.Joined, func(x, y balsampier.Member) int { return cmp.Compare(x.ID, y.ID) })
	b.changePending = len(c.Joined)+len(c.Left) > 0
	return c, b.changePending
}

// Committed records a committed view. The caller calls it for each view, in
// order.
func (b *Table) Committed(v balsampier.View) {
	b.changePending = false
	b.recentViews = append(b.recentViews, v)
	b.recentViews = slices.Clone(b.recentViews[max(0, len(b.recentViews)-maxRecentViews):])
	b.epochs.publish(v.Epoch)
	for id, l := range b.leases {
		m, ok := v.Find(id)
		l.inView = ok && m.Incarnation == l.member.Incarnation
		if l.removalPending && !l.dirty {
			delete(b.leases, id)
		}
		l.removalPending = false
	}
}

// Dropped records that the proposed change was not and will not be committed;
// its members are proposed again.
func (b *Table) Dropped(c apply.MembershipChange, t time.Time) {
	b.changePending = false
	for _, id := range c.Left {
		if l, ok := b.leases[id]; ok {
			l.removalPending = false
		}
	}
	for _, m := range c.Joined {
		if l, ok := b.leases[m.ID]; ok {
			l.dirty = true
		}
	}
	b.batcher.recordChange(t, false)
}

// ActiveEpoch returns an epoch below which no member has a lease any more.
func (b *Table) ActiveEpoch() balsampier.Epoch { return b.epochs.active }

// Conflicts returns how many reports were refused because two instances use one
// name.
func (b *Table) Conflicts() uint64 { return b.conflicts }

// Conflicting returns, sorted by ID, the members whose name another instance
// reported less than a lease duration ago.
func (b *Table) Conflicting(t time.Time) []balsampier.Member {
	var out []balsampier.Member
	for _, l := range b.leases {
		if !l.conflictAt.IsZero() && t.Sub(l.conflictAt) < b.ttl {
			out = append(out, l.member)
		}
	}
	slices.SortFunc(out, func(x, y balsampier.Member) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// Rollouts returns the rule revision in force at each member, sorted by ID.
func (b *Table) Rollouts() []Rollout {
	out := make([]Rollout, 0, len(b.leases))
	for _, l := range b.leases {
		out = append(out, Rollout{Member: l.member, AppliedRevision: l.appliedRevision, AppliedSince: l.appliedSince})
	}
	slices.SortFunc(out, func(x, y Rollout) int { return cmp.Compare(x.Member.ID, y.Member.ID) })
	return out
}
