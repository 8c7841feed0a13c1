package peer

import (
	"google.golang.org/protobuf/proto"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/peer/peerpb"
	"github.com/balsampier/balsampier/query/members"
)

const (
	// removedMemberBytes is the encoded length of one removed member and
	// emptyMessageBytes that of a message without rules or view, both with all
	// integers at their longest.
	removedMemberBytes = 8
	emptyMessageBytes  = 48

	// deltaNumberBytes bounds the encoded length of the integers in a rules delta.
	deltaNumberBytes = 40
)

// Sizes returns the encoded lengths, in bytes, of the parts of a watch message.
func Sizes() members.Sizes {
	return members.Sizes{
		Member: func(m balsampier.Member) int { return fieldBytes(proto.Size(encodeMember(m))) },
		File: func(f balsampier.RuleFile) int {
			f.Text = ""
			return fieldBytes(proto.Size(encodeRules(f))) + deltaNumberBytes
		},
		Removed: removedMemberBytes, Message: emptyMessageBytes,
	}
}

// fieldBytes returns the length of an embedded message of n bytes together with
// its tag and its length prefix.
func fieldBytes(n int) int {
	const tagBytes, twoByteLength = 1, 128
	if n < twoByteLength {
		return tagBytes + 1 + n
	}
	return tagBytes + 3 + n
}

func encodeWatchMessage(m balsampier.WatchMessage, k *textCompressor) (*peerpb.WatchResponse, error) {
	p := &peerpb.WatchResponse{
		Confirmed: m.Confirmed, Revision: uint64(m.Revision), Epoch: uint64(m.Epoch), Active: uint64(m.Active),
	}
	if r := m.Rules; r != nil {
		b, err := k.compress(r.Delta.Insert)
		if err != nil {
			return nil, err
		}
		p.MoreRules = r.More
		p.Rules = &peerpb.RulesDelta{
			From: uint64(r.Delta.From), Skip: uint32(r.Delta.Skip), Cut: uint32(r.Delta.Cut), Insert: r.Delta.Insert,
			Sum: r.Delta.TextHash, SameZones: r.Delta.SameZones, File: encodeRules(r.Delta.File), Packed: b,
		}
		if b != nil {
			p.Rules.Insert = ""
		}
	}
	if v := m.View; v != nil {
		p.MoreView = v.More
		p.View = &peerpb.ViewDelta{
			From: uint64(v.Delta.From), To: uint64(v.Delta.To), Changed: encodeMembers(v.Delta.Changed),
		}
		for _, i := range v.Delta.Removed {
			p.View.Removed = append(p.View.Removed, uint64(i))
		}
	}
	for _, a := range m.Instances {
		p.Instances = append(p.Instances, encodeAddrPort(a))
	}
	return p, nil
}

func decodeWatchMessage(p *peerpb.WatchResponse) (balsampier.WatchMessage, error) {
	m := balsampier.WatchMessage{
		Confirmed: p.GetConfirmed(), Revision: balsampier.Revision(p.GetRevision()),
		Epoch: balsampier.Epoch(p.GetEpoch()), Active: balsampier.Epoch(p.GetActive()),
	}
	if r := p.GetRules(); r != nil {
		insert := r.GetInsert()
		if b := r.GetPacked(); len(b) > 0 {
			var err error
			if insert, err = decompress(b); err != nil {
				return m, err
			}
		}
		m.Rules = &balsampier.RulesPart{More: p.GetMoreRules(), Delta: balsampier.RulesDelta{
			From: balsampier.Revision(r.GetFrom()), Skip: int(r.GetSkip()), Cut: int(r.GetCut()), Insert: insert,
			TextHash: r.GetSum(), SameZones: r.GetSameZones(), File: decodeRules(r.GetFile()),
		}}
	}
	if v := p.GetView(); v != nil {
		m.View = &balsampier.ViewPart{More: p.GetMoreView(), Delta: balsampier.ViewDelta{
			From: balsampier.Epoch(v.GetFrom()), To: balsampier.Epoch(v.GetTo()), Changed: decodeMembers(v.GetChanged()),
		}}
		for _, i := range v.GetRemoved() {
			m.View.Delta.Removed = append(m.View.Delta.Removed, balsampier.InstanceID(i))
		}
	}
	for _, b := range p.GetInstances() {
		if a, ok := decodeAddrPort(b); ok {
			m.Instances = append(m.Instances, a)
		}
	}
	return m, nil
}
