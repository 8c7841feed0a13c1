package lease

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

// take records what a member reports.
func (b *Table) take(l *lease, r Report, t time.Time) {
	if l.member.Incarnation != r.Member.Incarnation {
		b.replace(l, t)
	}
	if l.member != r.Member || l.leaving {
		urgent := r.Member.Draining && !l.member.Draining
		l.member, l.dirty = r.Member, true
		b.damper.note(t, urgent)
	}
	if l.applied != r.AppliedRevision || l.since.IsZero() {
		l.applied, l.since = r.AppliedRevision, t
	}
	l.acknowledged = max(l.acknowledged, r.AcknowledgedEpoch)
}

// taken reports whether the name of m belongs to another instance.
func (l *lease) taken(m balsampier.Member) bool {
	if l.member.Incarnation != m.Incarnation {
		return l.member.Incarnation > m.Incarnation
	}
	return l.member.Addr != m.Addr || l.member.PeerAddr != m.PeerAddr
}

// newest returns the newest committed view.
func (b *Table) newest() balsampier.View { return b.recent[len(b.recent)-1] }

// replace forgets what the incarnation before reported.
func (b *Table) replace(l *lease, t time.Time) {
	if l.member.Incarnation != 0 {
		l.restarts.note(t)
	}
	l.applied, l.since, l.acknowledged, l.listed = 0, time.Time{}, 0, false
}

// withhold takes a member that restarts all the time out of the view, and
// keeps it dirty for when its restarts are forgiven.
func (b *Table) withhold(l *lease) []balsampier.InstanceID {
	b.damper.noteAt(l.restarts.until)
	if !found(b.newest(), l.member.ID) {
		return nil
	}
	l.leaving = true
	return []balsampier.InstanceID{l.member.ID}
}

// grant decides on the lease of a member that has just reported. Only a
// member of the committed view that has acknowledged the newest active epoch
// may count on a lease.
func (b *Table) grant(l *lease, t time.Time) Grant {
	g := Grant{Epoch: b.epochs.published, ActiveEpoch: b.epochs.active}
	if !l.listed || l.leaving || l.acknowledged < b.epochs.floor {
		return g
	}
	g.TTL = MemberTTL(b.term)
	b.epochs.grant(l.member.Holder(), l.acknowledged, t.Add(b.term))
	return g
}

// noteExpired tells the damper of leases that have run out.
func (b *Table) noteExpired(t time.Time) {
	if !t.After(b.earliest) {
		return
	}
	b.earliest = t.Add(b.term)
	for _, l := range b.held {
		if l.leaving {
			continue
		}
		if l.expires.Before(b.earliest) {
			b.earliest = l.expires
		}
		if t.After(l.expires) {
			b.damper.note(l.expires, false)
		}
	}
}

func found(v balsampier.View, id balsampier.InstanceID) bool {
	_, ok := v.Find(id)
	return ok
}

func conflict(m balsampier.Member) error {
	return trace.Wrap(balsampier.NewError(balsampier.KindConflict, "renew lease",
		"give each instance its own name in its settings and restart this one", nil),
		"another instance is called %q too", m.Name)
}
