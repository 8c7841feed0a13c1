// Package lease keeps the leases of the members at the leader of control and
// decides which membership changes to log. It also holds a member's own side
// of its lease.
package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
)

const (
	// DefaultTTL is how long a lease lasts at control.
	DefaultTTL = 5 * time.Second

	// clockDriftDivisor bounds the drift of every clock: in one true second it
	// advances by one second plus or minus one part in clockDriftDivisor.
	clockDriftDivisor = 100

	// maxRecentViews bounds the views that digests may refer to.
	maxRecentViews = 8
)

type (
	// Table holds one lease per instance. It must only be used while its
	// owner is the confirmed leader.
	Table struct {
		// ttl is how long a lease lasts at control; members count a shorter
		// one from the moment they sent the renewal.
		ttl time.Duration
		// leases has an entry for every member of the view and for every
		// instance that is to join it.
		leases map[balsampier.InstanceID]*lease
		// epochs finds the newest active epoch.
		epochs epochs
		// recentViews holds the newest committed views, oldest first; never empty.
		recentViews []balsampier.View
		batcher     batcher
		// changePending is true from a proposed change until it was committed or
		// dropped.
		changePending bool
		// nextExpiryCheck is at or before the end of every lease, so that no lease
		// needs a look before.
		nextExpiryCheck time.Time
		// conflicts counts refused reports of instances whose name is taken.
		conflicts uint64
	}

	lease struct {
		member balsampier.Member
		// expiresAt is when the lease has surely run out at the member too.
		expiresAt time.Time
		// appliedRevision is the rule revision that the member reported last.
		appliedRevision balsampier.Revision
		// acknowledgedEpoch is the newest view epoch that the member reported.
		acknowledgedEpoch balsampier.Epoch
		// appliedSince is when applied last changed.
		appliedSince time.Time
		// dirty is true until a change with this member was logged.
		dirty bool
		// inView is true when the committed view holds this incarnation.
		inView bool
		// removalPending is true from the proposal of the member's removal until it
		// was committed.
		removalPending bool
		// restarts counts recent restarts, for damping.
		restarts restarts
		// conflictAt is when another instance of the same name last reported;
		// zero when none did.
		conflictAt time.Time
	}

	// Report is what a member says when it renews its lease.
	Report struct {
		// Member is the whole announcement.
		Member balsampier.Member
		// AppliedRevision is the rule revision that is in force at the member.
		AppliedRevision balsampier.Revision
		// AcknowledgedEpoch is the newest view epoch that the member has taken
		// over. It never falls within one incarnation.
		AcknowledgedEpoch balsampier.Epoch
		// CompleteEpoch is a claim epoch for which the member has copied all claims
		// and control does not know it yet; zero when there is none.
		CompleteEpoch balsampier.Epoch
	}

	// Grant is the answer to a report.
	Grant struct {
		// TTL is how long the lease lasts at the member, counted from the
		// sending of the renewal; zero when the member must not count on a
		// lease yet.
		TTL time.Duration
		// Epoch is the newest committed view epoch.
		Epoch balsampier.Epoch
		// ActiveEpoch is an epoch below which no member has a lease any more.
		ActiveEpoch balsampier.Epoch
	}

	// Rollout tells which revision a member has in force.
	Rollout struct {
		Member          balsampier.Member
		AppliedRevision balsampier.Revision
		// AppliedSince is when the member first reported Applied; zero when it
		// reported nothing to this leader.
		AppliedSince time.Time
	}
)

// MemberTTL returns the term that a member counts for a lease of term d at
// control. Counted by a clock that is as slow as allowed, it ends before d
// does on a clock that is as fast as allowed.
func MemberTTL(d time.Duration) time.Duration {
	return d * (clockDriftDivisor - 1) / (clockDriftDivisor + 1)
}

// New returns the table of a new leader, which grants every member of v a
// whole new term from t: leases of earlier leaders end by then.
func New(v balsampier.View, ttl time.Duration, t time.Time) *Table {
	inherited := t.Add(ttl)
	if v.Epoch == 0 {
		// Only members of a view have leases, and there never was a view.
		inherited = t
	}
	b := &Table{
		ttl: ttl, leases: make(map[balsampier.InstanceID]*lease, len(v.Members)),
		epochs: newEpochs(v.Epoch, inherited), recentViews: []balsampier.View{v}, nextExpiryCheck: t.Add(ttl),
	}
	for _, m := range v.Members {
		b.leases[m.ID] = &lease{member: m, expiresAt: t.Add(ttl), inView: true}
	}
	return b
}

// Renew extends the lease of m, or starts one, for members that do not
// acknowledge views.
func (b *Table) Renew(m balsampier.Member, applied balsampier.Revision, t time.Time) {
	_, _ = b.Report(Report{Member: m, AppliedRevision: applied}, t)
}

// Report extends the lease of a member, or starts one. The error is of
// KindConflict when the member's name is taken: of two incarnations the higher
// one stays, and of two instances with equal incarnations the first one.
// Incarnations grow, so that neither a late report nor a new leader brings a
// replaced one back.
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

// Leave ends the lease of a member that says it has stopped. The member must
// not use its lease after it said so.
func (b *Table) Leave(h balsampier.Holder, t time.Time) {
	l, ok := b.leases[h.Instance]
	if !ok || l.member.Incarnation != h.Incarnation {
		return
	}
	b.epochs.release(h)
	l.expiresAt, b.nextExpiryCheck = t, t
	b.batcher.recordChange(t, true)
}

// Changes returns the batch that brings the view up to date at time t; ok is
// false when there is nothing to log yet. After a batch there is none until
// the call of Committed or Dropped.
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

// Committed tells the table of each view that was committed, in order.
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

// Dropped tells the table that the proposed change was not and will not be
// committed, so that its members are proposed again.
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

// Conflicts counts reports refused because two instances use one name.
func (b *Table) Conflicts() uint64 { return b.conflicts }

// Conflicting lists by ID the members whose name another instance claimed
// within the last term.
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

// Rollouts lists what each member has in force, by ID.
func (b *Table) Rollouts() []Rollout {
	out := make([]Rollout, 0, len(b.leases))
	for _, l := range b.leases {
		out = append(out, Rollout{Member: l.member, AppliedRevision: l.appliedRevision, AppliedSince: l.appliedSince})
	}
	slices.SortFunc(out, func(x, y Rollout) int { return cmp.Compare(x.Member.ID, y.Member.ID) })
	return out
}
