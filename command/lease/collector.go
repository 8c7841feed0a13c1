package lease

import (
	"cmp"
	"slices"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
)

// maxPendingRenewals limits the renewals that are pending at one control
// instance.
const maxPendingRenewals = 20_000

type (
	// Collector collects renewals at a control instance until the leader
	// confirms them. Members receive their reply only then, because only the
	// leader grants leases.
	Collector struct {
		// view is the newest view that the control instance has applied.
		view balsampier.View
		// pending holds the renewals of the next digest.
		pending map[balsampier.Holder]Report
		// inFlight holds the renewals of the digest in flight; empty if there
		// is none.
		inFlight map[balsampier.Holder]Report
		// sequence is the sequence number of the newest digest.
		sequence uint64
	}

	// Reply is the reply to one member's renewal.
	Reply struct {
		Holder balsampier.Holder
		Grant  Grant
		// Err is of KindConflict if another instance has the member's name.
		Err error
	}
)

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{pending: make(map[balsampier.Holder]Report), inFlight: make(map[balsampier.Holder]Report)}
}

// SetView sets the view to which digests refer; older views are ignored.
func (k *Collector) SetView(v balsampier.View) {
	if v.Epoch > k.view.Epoch {
		k.view = v
	}
}

// Add adds a renewal to the next digest, in place of an earlier one of the same
// incarnation. The error is of KindFull if too many renewals are pending.
func (k *Collector) Add(r Report) error {
	h := r.Member.Holder()
	if _, ok := k.pending[h]; !ok && len(k.pending)+len(k.inFlight) >= maxPendingRenewals {
		return balsampier.NewError(balsampier.KindFull, "renew lease", "renew at another control instance", nil)
	}
	k.pending[h] = r
	return nil
}

// NextDigest returns the next digest, in which members with revision n in force
// take the fewest bytes. It returns none while another one is in flight or if no
// renewal is pending.
func (k *Collector) NextDigest(n balsampier.Revision) (Digest, bool) {
	if len(k.inFlight) > 0 || len(k.pending) == 0 {
		return Digest{}, false
	}
	k.inFlight, k.pending = k.pending, k.inFlight
	k.sequence++
	return k.buildDigest(n), true
}

// HandleReceipt handles the receipt of the digest in flight and returns the
// replies to its members. Receipts of earlier digests are late and yield no
// replies.
func (k *Collector) HandleReceipt(rc Receipt) []Reply {
	if rc.Sequence != k.sequence {
		return nil
	}
	conflicting, waiting := holderSet(rc.Conflicting), holderSet(rc.Waiting)
	out := make([]Reply, 0, len(k.inFlight))
	for h, r := range k.inFlight {
		a := Reply{Holder: h, Grant: rc.Grant}
		if _, ok := waiting[h]; ok {
			a.Grant.TTL = 0
		}
		if _, ok := conflicting[h]; ok {
			a.Grant, a.Err = Grant{}, newConflictError(r.Member)
		}
		out = append(out, a)
	}
	clear(k.inFlight)
	slices.SortFunc(out, func(x, y Reply) int {
		return cmp.Or(cmp.Compare(x.Holder.Instance, y.Holder.Instance), cmp.Compare(x.Holder.Incarnation, y.Holder.Incarnation))
	})
	return out
}

// HandleFailure moves the renewals of the digest in flight into the next one.
func (k *Collector) HandleFailure() {
	for h, r := range k.inFlight {
		if _, ok := k.pending[h]; !ok {
			k.pending[h] = r
		}
	}
	clear(k.inFlight)
}

func (k *Collector) buildDigest(n balsampier.Revision) Digest {
	d := Digest{
		Sequence: k.sequence, Epoch: k.view.Epoch, Revision: n,
		Alive: make(Bitmap, (len(k.view.Members)+7)/8),
	}
	for _, r := range k.inFlight {
		if r.CompleteEpoch > 0 {
			d.Completed = append(d.Completed, apply.Completion{Service: r.Member.Service, Holder: r.Member.Holder(), Epoch: r.CompleteEpoch})
			r.CompleteEpoch = 0
		}
		i, ok := memberIndex(k.view, r.Member)
		switch {
		case !ok:
			d.Changed = append(d.Changed, r)
		case r.AppliedRevision == n && r.AcknowledgedEpoch == k.view.Epoch:
			d.Alive.Set(i)
		default:
			d.Lagging = append(d.Lagging, Lagging{Index: i, AppliedRevision: r.AppliedRevision, AcknowledgedEpoch: r.AcknowledgedEpoch})
		}
	}
	slices.SortFunc(d.Lagging, func(x, y Lagging) int { return cmp.Compare(x.Index, y.Index) })
	slices.SortFunc(d.Changed, func(x, y Report) int {
		return cmp.Or(cmp.Compare(x.Member.ID, y.Member.ID), cmp.Compare(x.Member.Incarnation, y.Member.Incarnation))
	})
	slices.SortFunc(d.Completed, func(x, y apply.Completion) int {
		return cmp.Compare(x.Holder.Instance, y.Holder.Instance)
	})
	return d
}

func holderSet(hs []balsampier.Holder) map[balsampier.Holder]struct{} {
	m := make(map[balsampier.Holder]struct{}, len(hs))
	for _, h := range hs {
		m[h] = struct{}{}
	}
	return m
}
