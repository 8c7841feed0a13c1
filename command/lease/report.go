package lease

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

// recordReport updates a lease from a report and records the change if the
// member changed.
func (b *Table) recordReport(l *lease, r Report, t time.Time) {
	if l.member.Incarnation != r.Member.Incarnation {
		b.replaceIncarnation(l, t)
	}
	if l.member != r.Member || l.removalPending {
		urgent := r.Member.Draining && !l.member.Draining
		l.member, l.dirty = r.Member, true
		b.batcher.recordChange(t, urgent)
	}
	if l.appliedRevision != r.AppliedRevision || l.appliedSince.IsZero() {
		l.appliedRevision, l.appliedSince = r.AppliedRevision, t
	}
	l.acknowledgedEpoch = max(l.acknowledgedEpoch, r.AcknowledgedEpoch)
}

// conflictsWith reports whether m is another instance of the same name that must
// not replace the holder of the lease.
func (l *lease) conflictsWith(m balsampier.Member) bool {
	if l.member.Incarnation != m.Incarnation {
		return l.member.Incarnation > m.Incarnation
	}
	return l.member.Addr != m.Addr || l.member.PeerAddr != m.PeerAddr
}

// newestView returns the newest committed view.
func (b *Table) newestView() balsampier.View { return b.recentViews[len(b.recentViews)-1] }

// replaceIncarnation clears what the previous incarnation reported and counts a
// restart if there was one.
func (b *Table) replaceIncarnation(l *lease, t time.Time) {
	if l.member.Incarnation != 0 {
		l.restarts.recordRestart(t)
	}
	l.appliedRevision, l.appliedSince, l.acknowledgedEpoch, l.inView = 0, time.Time{}, 0, false
}

// withhold removes a member that restarts too often from the view. The member
// stays dirty, so that it is proposed again once its hold delay has passed.
func (b *Table) withhold(l *lease) []balsampier.InstanceID {
	b.batcher.scheduleAt(l.restarts.heldUntil)
	if !contains(b.newestView(), l.member.ID) {
		return nil
	}
	l.removalPending = true
	return []balsampier.InstanceID{l.member.ID}
}

// grant returns the grant for a member that has just reported. Only a member of
// the committed view that has acknowledged the newest epoch that may be active
// gets a lease.
func (b *Table) grant(l *lease, t time.Time) Grant {
	g := Grant{Epoch: b.epochs.published, ActiveEpoch: b.epochs.active}
	if !l.inView || l.removalPending || l.acknowledgedEpoch < b.epochs.minAcknowledged {
		return g
	}
	g.TTL = MemberTTL(b.ttl)
	b.epochs.grant(l.member.Holder(), l.acknowledgedEpoch, t.Add(b.ttl))
	return g
}

// recordExpired records a change for each lease that has expired.
func (b *Table) recordExpired(t time.Time) {
	if !t.After(b.nextExpiryCheck) {
		return
	}
	b.nextExpiryCheck = t.Add(b.ttl)
	for _, l := range b.leases {
		if l.removalPending {
			continue
		}
		if l.expiresAt.Before(b.nextExpiryCheck) {
			b.nextExpiryCheck = l.expiresAt
		}
		if t.After(l.expiresAt) {
			b.batcher.recordChange(l.expiresAt, false)
		}
	}
}

func contains(v balsampier.View, id balsampier.InstanceID) bool {
	_, ok := v.Find(id)
	return ok
}

func newConflictError(m balsampier.Member) error {
	return trace.Wrap(balsampier.NewError(balsampier.KindConflict, "renew lease",
		"give each instance its own name in its settings and restart this one", nil),
		"another instance has the name %q too", m.Name)
}
