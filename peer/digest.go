package peer

import (
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/peer/peerpb"
)

func encodeReport(r lease.Report) *peerpb.Report {
	return &peerpb.Report{
		Member: encodeMember(r.Member), Applied: uint64(r.AppliedRevision), Acknowledged: uint64(r.AcknowledgedEpoch),
	}
}

func decodeReport(p *peerpb.Report) lease.Report {
	return lease.Report{
		Member: decodeMember(p.GetMember()), AppliedRevision: balsampier.Revision(p.GetApplied()),
		AcknowledgedEpoch: balsampier.Epoch(p.GetAcknowledged()),
	}
}

func encodeDigest(d lease.Digest) *peerpb.Digest {
	p := &peerpb.Digest{
		Sequence: d.Sequence, Epoch: uint64(d.Epoch), Revision: uint64(d.Revision), Alive: d.Alive,
	}
	for _, l := range d.Lagging {
		p.Lagging = append(p.Lagging, &peerpb.Lagging{
			Index: uint32(l.Index), Applied: uint64(l.AppliedRevision), Acknowledged: uint64(l.AcknowledgedEpoch),
		})
	}
	for _, r := range d.Changed {
		p.Changed = append(p.Changed, encodeReport(r))
	}
	p.Completed = encodeCompletions(d.Completed)
	return p
}

func decodeDigest(p *peerpb.Digest) lease.Digest {
	d := lease.Digest{
		Sequence: p.GetSequence(), Epoch: balsampier.Epoch(p.GetEpoch()),
		Revision: balsampier.Revision(p.GetRevision()), Alive: p.GetAlive(),
	}
	for _, l := range p.GetLagging() {
		d.Lagging = append(d.Lagging, lease.Lagging{
			Index: int(l.GetIndex()), AppliedRevision: balsampier.Revision(l.GetApplied()),
			AcknowledgedEpoch: balsampier.Epoch(l.GetAcknowledged()),
		})
	}
	for _, r := range p.GetChanged() {
		d.Changed = append(d.Changed, decodeReport(r))
	}
	d.Completed = decodeCompletions(p.GetCompleted())
	return d
}

func encodeReceipt(r lease.Receipt) *peerpb.Receipt {
	return &peerpb.Receipt{
		Sequence: r.Sequence, TermNanos: r.Grant.TTL.Nanoseconds(), Epoch: uint64(r.Grant.Epoch),
		Active: uint64(r.Grant.ActiveEpoch), Waiting: encodeHolders(r.Waiting), Conflicting: encodeHolders(r.Conflicting),
	}
}

func decodeReceipt(p *peerpb.Receipt) lease.Receipt {
	return lease.Receipt{
		Sequence: p.GetSequence(),
		Grant: lease.Grant{
			TTL: time.Duration(p.GetTermNanos()), Epoch: balsampier.Epoch(p.GetEpoch()),
			ActiveEpoch: balsampier.Epoch(p.GetActive()),
		},
		Waiting: decodeHolders(p.GetWaiting()), Conflicting: decodeHolders(p.GetConflicting()),
	}
}

func encodeHolder(h balsampier.Holder) *peerpb.Holder {
	return &peerpb.Holder{Instance: uint64(h.Instance), Incarnation: uint32(h.Incarnation)}
}

func decodeHolder(p *peerpb.Holder) balsampier.Holder {
	return balsampier.Holder{
		Instance: balsampier.InstanceID(p.GetInstance()), Incarnation: balsampier.Incarnation(p.GetIncarnation()),
	}
}

func encodeHolders(hs []balsampier.Holder) []*peerpb.Holder {
	out := make([]*peerpb.Holder, 0, len(hs))
	for _, h := range hs {
		out = append(out, encodeHolder(h))
	}
	return out
}

func decodeHolders(ps []*peerpb.Holder) []balsampier.Holder {
	out := make([]balsampier.Holder, 0, len(ps))
	for _, p := range ps {
		out = append(out, decodeHolder(p))
	}
	return out
}
