package peer

import (
	"net/netip"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/peer/peerpb"
)

func encodeAddrPort(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	b, err := a.MarshalBinary()
	if err != nil {
		return nil
	}
	return b
}

// decodeAddrPort reports false if b is empty or malformed.
func decodeAddrPort(b []byte) (netip.AddrPort, bool) {
	var a netip.AddrPort
	if len(b) == 0 || a.UnmarshalBinary(b) != nil {
		return netip.AddrPort{}, false
	}
	return a, true
}

func encodeMember(m balsampier.Member) *peerpb.Member {
	return &peerpb.Member{
		Id:          uint64(m.ID),
		Name:        m.Name,
		Role:        uint32(m.Role),
		Incarnation: uint32(m.Incarnation),
		DataCentre:  string(m.DataCentre),
		Addr:        encodeAddrPort(m.Addr),
		PeerAddr:    encodeAddrPort(m.PeerAddr),
		Service:     string(m.Service),
		Slots:       uint32(m.Slots),
		Draining:    m.Draining,
	}
}

func decodeMember(m *peerpb.Member) balsampier.Member {
	a, _ := decodeAddrPort(m.GetAddr())
	p, _ := decodeAddrPort(m.GetPeerAddr())
	return balsampier.Member{
		ID:          balsampier.InstanceID(m.GetId()),
		Name:        m.GetName(),
		Role:        balsampier.Role(m.GetRole()),
		Incarnation: balsampier.Incarnation(m.GetIncarnation()),
		DataCentre:  balsampier.DataCentre(m.GetDataCentre()),
		Addr:        a,
		PeerAddr:    p,
		Service:     balsampier.ServiceName(m.GetService()),
		Slots:       int(m.GetSlots()),
		Draining:    m.GetDraining(),
	}
}

func encodeMembers(ms []balsampier.Member) []*peerpb.Member {
	out := make([]*peerpb.Member, 0, len(ms))
	for _, m := range ms {
		out = append(out, encodeMember(m))
	}
	return out
}

func decodeMembers(ms []*peerpb.Member) []balsampier.Member {
	out := make([]balsampier.Member, 0, len(ms))
	for _, m := range ms {
		out = append(out, decodeMember(m))
	}
	return out
}

func encodeView(v balsampier.View) *peerpb.View {
	return &peerpb.View{Epoch: uint64(v.Epoch), Members: encodeMembers(v.Members)}
}

func decodeView(v *peerpb.View) balsampier.View {
	return balsampier.View{Epoch: balsampier.Epoch(v.GetEpoch()), Members: decodeMembers(v.GetMembers())}
}

func encodeZones(zs []balsampier.ZoneTable) []*peerpb.ZoneTable {
	out := make([]*peerpb.ZoneTable, 0, len(zs))
	for _, z := range zs {
		p := &peerpb.ZoneTable{Zone: z.Zone}
		for _, t := range z.Transitions {
			p.Transitions = append(p.Transitions, &peerpb.Transition{
				AtUnixSeconds: t.At.Unix(), OffsetSeconds: int32(t.Offset / time.Second),
			})
		}
		out = append(out, p)
	}
	return out
}

func decodeZones(zs []*peerpb.ZoneTable) []balsampier.ZoneTable {
	out := make([]balsampier.ZoneTable, 0, len(zs))
	for _, z := range zs {
		t := balsampier.ZoneTable{Zone: z.GetZone()}
		for _, p := range z.GetTransitions() {
			t.Transitions = append(t.Transitions, balsampier.Transition{
				At:     time.Unix(p.GetAtUnixSeconds(), 0).UTC(),
				Offset: time.Duration(p.GetOffsetSeconds()) * time.Second,
			})
		}
		out = append(out, t)
	}
	return out
}

func encodeRules(r balsampier.RuleFile) *peerpb.RuleFile {
	return &peerpb.RuleFile{
		Revision:            uint64(r.Revision),
		Text:                r.Text,
		Zones:               encodeZones(r.Zones),
		SubmissionId:        r.Submission[:],
		AcceptedAtUnixNanos: r.AcceptedAt.UnixNano(),
	}
}

func decodeRules(r *peerpb.RuleFile) balsampier.RuleFile {
	id, _ := uuid.FromBytes(r.GetSubmissionId())
	return balsampier.RuleFile{
		Revision:   balsampier.Revision(r.GetRevision()),
		Text:       r.GetText(),
		Zones:      decodeZones(r.GetZones()),
		Submission: id,
		AcceptedAt: time.Unix(0, r.GetAcceptedAtUnixNanos()).UTC(),
	}
}

// EncodeSubmission encodes the log record of a submission.
func EncodeSubmission(s balsampier.Submission) ([]byte, error) {
	b, err := proto.Marshal(&peerpb.LogEntry{Change: &peerpb.LogEntry_Submission{Submission: &peerpb.Submission{
		Id: s.ID[:], Base: uint64(s.Base), Text: s.Text, Zones: encodeZones(s.Zones), AtUnixNanos: s.At.UnixNano(),
		Version: uint64(s.Version),
	}}})
	return b, trace.Wrap(err)
}

// EncodeMembership encodes the log record of a membership change.
func EncodeMembership(m apply.MembershipChange) ([]byte, error) {
	p := &peerpb.MembershipChange{Joined: encodeMembers(m.Joined)}
	for _, id := range m.Left {
		p.Left = append(p.Left, uint64(id))
	}
	b, err := proto.Marshal(&peerpb.LogEntry{Change: &peerpb.LogEntry_Membership{Membership: p}})
	return b, trace.Wrap(err)
}

// DecodeEntry decodes the change in a log record. Exactly one of the submission,
// the membership change and the completions is set. It returns a KindCorrupt
// error if the record or the submission ID cannot be decoded.
func DecodeEntry(b []byte) (*balsampier.Submission, *apply.MembershipChange, []apply.Completion, error) {
	var e peerpb.LogEntry
	if err := proto.Unmarshal(b, &e); err != nil {
		return nil, nil, nil, errCorrupt("decode log entry", err)
	}
	if l := e.GetCompletions(); l != nil {
		return nil, nil, decodeCompletions(l.GetList()), nil
	}
	if s := e.GetSubmission(); s != nil {
		id, err := decodeSubmissionID(s.GetId())
		return &balsampier.Submission{
			ID: id, Base: balsampier.Revision(s.GetBase()), Text: s.GetText(),
			Zones: decodeZones(s.GetZones()), At: time.Unix(0, s.GetAtUnixNanos()).UTC(),
			Version: balsampier.Revision(s.GetVersion()),
		}, nil, nil, err
	}
	m := e.GetMembership()
	c := &apply.MembershipChange{Joined: decodeMembers(m.GetJoined())}
	for _, id := range m.GetLeft() {
		c.Left = append(c.Left, balsampier.InstanceID(id))
	}
	return nil, c, nil, nil
}

func decodeSubmissionID(b []byte) (balsampier.SubmissionID, error) {
	id, err := uuid.FromBytes(b)
	if err != nil {
		return id, errCorrupt("decode submission ID", err)
	}
	return id, nil
}

// errCorrupt returns a KindCorrupt error for stored data that cannot be decoded.
func errCorrupt(op string, err error) error {
	return balsampier.NewError(balsampier.KindCorrupt, op, "replace the data folder of this instance as described in docs/OPERATIONS.md", err)
}
