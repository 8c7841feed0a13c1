package lease

import (
	"slices"
	"sort"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
)

type (
	// Digest is a compact form of the renewals that a control instance
	// received, which it sends to the leader. It does not depend on earlier
	// digests.
	Digest struct {
		// Sequence distinguishes the digests of one control instance.
		Sequence uint64
		// Epoch is the epoch of the view that Alive and Lagging refer to.
		Epoch balsampier.Epoch
		// Revision is the rule revision in force at the members in Alive.
		Revision balsampier.Revision
		// Alive contains the index in the view of every member that reported
		// itself unchanged from the view, with Revision and Epoch.
		Alive Bitmap
		// Lagging lists members that are unchanged from the view but reported
		// another revision or epoch.
		Lagging []Lagging
		// Changed lists the reports of members that differ from the view or are
		// not in it.
		Changed []Report
		// Completed lists the holders that have copied their claims.
		Completed []apply.Completion
	}

	// Lagging is the report of a member that is unchanged from the view.
	Lagging struct {
		// Index is the index of the member in the view.
		Index             int
		AppliedRevision   balsampier.Revision
		AcknowledgedEpoch balsampier.Epoch
	}

	// Bitmap is a set of indexes, eight to a byte.
	Bitmap []byte

	// Receipt is the leader's reply to a digest.
	Receipt struct {
		// Sequence is the sequence number of the digest.
		Sequence uint64
		// Grant applies to all members of the digest except those in Waiting
		// and Conflicting.
		Grant Grant
		// Waiting lists members that must not rely on a lease yet.
		Waiting []balsampier.Holder
		// Conflicting lists members whose name another instance has.
		Conflicting []balsampier.Holder
	}
)

// Set adds index i, which must be below eight times the length.
func (m Bitmap) Set(i int) { m[i/8] |= 1 << (i % 8) }

// Has reports whether index i is in the set.
func (m Bitmap) Has(i int) bool { return i/8 < len(m) && m[i/8]&(1<<(i%8)) != 0 }

// HandleDigest processes the renewals of a digest that arrived at time t. The
// error is of KindInvalid if the leader does not know the view of the digest any
// more; the digest must then be rebuilt on the newest view.
func (b *Table) HandleDigest(d Digest, t time.Time) (Receipt, error) {
	rc := Receipt{Sequence: d.Sequence}
	rs, err := b.expandDigest(d)
	if err != nil {
		return rc, trace.Wrap(err)
	}
	for _, r := range rs {
		g, err := b.Report(r, t)
		switch {
		case err != nil:
			rc.Conflicting = append(rc.Conflicting, r.Member.Holder())
		case g.TTL == 0:
			rc.Waiting = append(rc.Waiting, r.Member.Holder())
		}
	}
	rc.Grant = Grant{TTL: MemberTTL(b.ttl), Epoch: b.epochs.published, ActiveEpoch: b.epochs.active}
	return rc, nil
}

// expandDigest returns the reports in a digest, one per member.
func (b *Table) expandDigest(d Digest) ([]Report, error) {
	n := slices.IndexFunc(b.recentViews, func(v balsampier.View) bool { return v.Epoch == d.Epoch })
	if n < 0 {
		return nil, newUnknownViewError(d.Epoch)
	}
	ms := b.recentViews[n].Members
	rs := make([]Report, 0, len(d.Lagging)+len(d.Changed)+len(ms)/4)
	for i, m := range ms {
		if d.Alive.Has(i) {
			rs = append(rs, Report{Member: m, AppliedRevision: d.Revision, AcknowledgedEpoch: d.Epoch})
		}
	}
	for _, l := range d.Lagging {
		if l.Index < 0 || l.Index >= len(ms) {
			return nil, newUnknownViewError(d.Epoch)
		}
		rs = append(rs, Report{Member: ms[l.Index], AppliedRevision: l.AppliedRevision, AcknowledgedEpoch: l.AcknowledgedEpoch})
	}
	return append(rs, d.Changed...), nil
}

func newUnknownViewError(e balsampier.Epoch) error {
	return trace.Wrap(balsampier.NewError(balsampier.KindInvalid, "process digest",
		"rebuild it on the newest view", nil), "unknown view epoch %d", e)
}

// memberIndex returns the index in v of the member equal to m, and whether there
// is one.
func memberIndex(v balsampier.View, m balsampier.Member) (int, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].ID >= m.ID })
	return i, i < len(v.Members) && v.Members[i] == m
}
