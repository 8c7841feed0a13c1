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
	// Digest is what a control instance passes to the leader of the renewals
	// that it received. It needs no state of earlier digests.
	Digest struct {
		// Sequence tells the digests of one instance apart.
		Sequence uint64
		// Epoch is the view that Alive and Lagging refer to.
		Epoch balsampier.Epoch
		// Revision is what the members in Alive have in force.
		Revision balsampier.Revision
		// Alive has the bit of every member, by its index in the view, that
		// reported itself as listed, with Revision and Epoch.
		Alive Bitmap
		// Lagging are members as listed, with another revision or epoch.
		Lagging []Lagging
		// Changed are members that the view does not list like this.
		Changed []Report
		// Completed says which holders have copied their claims.
		Completed []apply.Completion
	}

	// Lagging is the report of a member that is as listed in the view.
	Lagging struct {
		// Index is the place of the member in the view.
		Index             int
		AppliedRevision   balsampier.Revision
		AcknowledgedEpoch balsampier.Epoch
	}

	// Bitmap is a set of indexes, eight to a byte.
	Bitmap []byte

	// Receipt is the leader's answer to a digest.
	Receipt struct {
		// Sequence is that of the digest.
		Sequence uint64
		// Grant is for all members of the digest but those below.
		Grant Grant
		// Waiting may not count on a lease yet.
		Waiting []balsampier.Holder
		// Conflicting are incarnations that were replaced by newer ones.
		Conflicting []balsampier.Holder
	}
)

// Set adds index i, which must be below eight times the length.
func (m Bitmap) Set(i int) { m[i/8] |= 1 << (i % 8) }

// Has reports whether index i is in the set.
func (m Bitmap) Has(i int) bool { return i/8 < len(m) && m[i/8]&(1<<(i%8)) != 0 }

// HandleDigest takes the renewals of a digest that arrived at time t. The error is
// of KindInvalid when the leader no longer knows the view of the digest; it
// must be built again on the newest view.
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

// expandDigest expands a digest.
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
	return trace.Wrap(balsampier.NewError(balsampier.KindInvalid, "take digest",
		"build it again on the newest view", nil), "view epoch %d is not known", e)
}

// memberIndex returns the place of a member that is listed exactly as m.
func memberIndex(v balsampier.View, m balsampier.Member) (int, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].ID >= m.ID })
	return i, i < len(v.Members) && v.Members[i] == m
}
