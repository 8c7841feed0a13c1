// Package lease keeps the leases of the members at the leader of control and
// decides which membership changes to log.
package lease

import (
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
)

type (
	// Table holds one lease per instance.
	Table struct {
		// term is how long a lease lasts at control; members count a shorter
		// one from the moment they sent the renewal.
		term time.Duration
		// held has an entry for every member of the view.
		held map[balsampier.InstanceID]*lease
	}

	lease struct {
		member balsampier.Member
		// expires is when the lease has surely run out at the member too.
		expires time.Time
		// applied is the rule revision that the member reported last.
		applied balsampier.Revision
		// dirty is true until a change with this member was logged.
		dirty bool
	}

	// Rollout tells which revision a member has in force.
	Rollout struct {
		Member  balsampier.Member
		Applied balsampier.Revision
	}
)

// New returns a table that grants every member of v a whole new term from t.
func New(v balsampier.View, term time.Duration, t time.Time) *Table {
	b := &Table{term: term, held: make(map[balsampier.InstanceID]*lease)}
	for _, m := range v.Members {
		b.held[m.ID] = &lease{member: m, expires: t.Add(term)}
	}
	return b
}

// Renew extends the lease of m, or starts one.
func (b *Table) Renew(m balsampier.Member, applied balsampier.Revision, t time.Time) {
	l, ok := b.held[m.ID]
	if !ok {
		l = &lease{dirty: true}
		b.held[m.ID] = l
	}
	if l.member != m {
		l.member, l.dirty = m, true
	}
	l.applied, l.expires = applied, t.Add(b.term)
}

// Changes returns the batch that brings the view up to date at time t; ok is
// false when there is nothing to log.
func (b *Table) Changes(t time.Time) (c apply.MembershipChange, ok bool) {
	for id, l := range b.held {
		switch {
		case t.After(l.expires):
			c.Left = append(c.Left, id)
			delete(b.held, id)
		case l.dirty:
			c.Joined = append(c.Joined, l.member)
			l.dirty = false
		}
	}
	return c, len(c.Joined)+len(c.Left) > 0
}

// Rollouts lists what each member has in force.
func (b *Table) Rollouts() []Rollout {
	out := make([]Rollout, 0, len(b.held))
	for _, l := range b.held {
		out = append(out, Rollout{Member: l.member, Applied: l.applied})
	}
	return out
}
