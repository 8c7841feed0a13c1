package peer

import (
	"google.golang.org/protobuf/proto"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/peer/peerpb"
	"github.com/balsampier/balsampier/query/members"
)

const (
	// removedBytes is the length of one removed member, messageBytes that of a
	// message without parts, both with all integers at their longest.
	removedBytes = 8
	messageBytes = 48

	// partBytes is the length of the numbers in a delta.
	partBytes = 40
)

// Sizes returns the lengths of what a watch message is made of.
func Sizes() members.Sizes {
	return members.Sizes{
		Member: func(m balsampier.Member) int { return fieldBytes(proto.Size(putMember(m))) },
		File: func(f balsampier.RuleFile) int {
			f.Text = ""
			return fieldBytes(proto.Size(putRules(f))) + partBytes
		},
		Removed: removedBytes, Message: messageBytes,
	}
}

// fieldBytes is the length of an embedded message of n bytes.
func fieldBytes(n int) int {
	const tagBytes, shortLength = 1, 128
	if n < shortLength {
		return tagBytes + 1 + n
	}
	return tagBytes + 3 + n
}

func putWatchMessage(m balsampier.WatchMessage, k *packer) (*peerpb.WatchResponse, error) {
	p := &peerpb.WatchResponse{
		Confirmed: m.Confirmed, Revision: uint64(m.Revision), Epoch: uint64(m.Epoch), Active: uint64(m.Active),
	}
	if r := m.Rules; r != nil {
		b, err := k.pack(r.Delta.Insert)
		if err != nil {
			return nil, err
		}
		p.MoreRules = r.More
		p.Rules = &peerpb.RulesDelta{
			From: uint64(r.Delta.From), Skip: uint32(r.Delta.Skip), Cut: uint32(r.Delta.Cut), Insert: r.Delta.Insert,
			Sum: r.Delta.TextHash, SameZones: r.Delta.SameZones, File: putRules(r.Delta.File), Packed: b,
		}
		if b != nil {
			p.Rules.Insert = ""
		}
	}
	if v := m.View; v != nil {
		p.MoreView = v.More
		p.View = &peerpb.ViewDelta{
			From: uint64(v.Delta.From), To: uint64(v.Delta.To), Changed: putMembers(v.Delta.Changed),
		}
		for _, i := range v.Delta.Removed {
			p.View.Removed = append(p.View.Removed, uint64(i))
		}
	}
	return p, nil
}

func watchMessage(p *peerpb.WatchResponse) (balsampier.WatchMessage, error) {
	m := balsampier.WatchMessage{
		Confirmed: p.GetConfirmed(), Revision: balsampier.Revision(p.GetRevision()),
		Epoch: balsampier.Epoch(p.GetEpoch()), Active: balsampier.Epoch(p.GetActive()),
	}
	if r := p.GetRules(); r != nil {
		insert := r.GetInsert()
		if b := r.GetPacked(); len(b) > 0 {
			var err error
			if insert, err = unpack(b); err != nil {
				return m, err
			}
		}
		m.Rules = &balsampier.RulesPart{More: p.GetMoreRules(), Delta: balsampier.RulesDelta{
			From: balsampier.Revision(r.GetFrom()), Skip: int(r.GetSkip()), Cut: int(r.GetCut()), Insert: insert,
			TextHash: r.GetSum(), SameZones: r.GetSameZones(), File: rules(r.GetFile()),
		}}
	}
	if v := p.GetView(); v != nil {
		m.View = &balsampier.ViewPart{More: p.GetMoreView(), Delta: balsampier.ViewDelta{
			From: balsampier.Epoch(v.GetFrom()), To: balsampier.Epoch(v.GetTo()), Changed: memberList(v.GetChanged()),
		}}
		for _, i := range v.GetRemoved() {
			m.View.Delta.Removed = append(m.View.Delta.Removed, balsampier.InstanceID(i))
		}
	}
	return m, nil
}
