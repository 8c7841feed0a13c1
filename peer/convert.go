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

func putAddrPort(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	b, err := a.MarshalBinary()
	if err != nil {
		return nil
	}
	return b
}

func addrPort(b []byte) (netip.AddrPort, bool) {
	var a netip.AddrPort
	if len(b) == 0 || a.UnmarshalBinary(b) != nil {
		return netip.AddrPort{}, false
	}
	return a, true
}

func putMember(m balsampier.Member) *peerpb.Member {
	return &peerpb.Member{
		Id:          uint64(m.ID),
		Name:        m.Name,
		Role:        uint32(m.Role),
		Incarnation: uint32(m.Incarnation),
		DataCentre:  string(m.DataCentre),
		Addr:        putAddrPort(m.Addr),
		PeerAddr:    putAddrPort(m.PeerAddr),
		Service:     string(m.Service),
		Slots:       uint32(m.Slots),
		Draining:    m.Draining,
	}
}

func member(m *peerpb.Member) balsampier.Member {
	a, _ := addrPort(m.GetAddr())
	p, _ := addrPort(m.GetPeerAddr())
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

func putMembers(ms []balsampier.Member) []*peerpb.Member {
	out := make([]*peerpb.Member, 0, len(ms))
	for _, m := range ms {
		out = append(out, putMember(m))
	}
	return out
}

func memberList(ms []*peerpb.Member) []balsampier.Member {
	out := make([]balsampier.Member, 0, len(ms))
	for _, m := range ms {
		out = append(out, member(m))
	}
	return out
}

func putView(v balsampier.View) *peerpb.View {
	return &peerpb.View{Epoch: uint64(v.Epoch), Members: putMembers(v.Members)}
}

func view(v *peerpb.View) balsampier.View {
	return balsampier.View{Epoch: balsampier.Epoch(v.GetEpoch()), Members: memberList(v.GetMembers())}
}

func putZones(zs []balsampier.ZoneTable) []*peerpb.ZoneTable {
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

func zones(zs []*peerpb.ZoneTable) []balsampier.ZoneTable {
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

func putRules(r balsampier.RuleFile) *peerpb.RuleFile {
	return &peerpb.RuleFile{
		Revision:            uint64(r.Revision),
		Text:                r.Text,
		Zones:               putZones(r.Zones),
		SubmissionId:        r.Submission[:],
		AcceptedAtUnixNanos: r.AcceptedAt.UnixNano(),
	}
}

func rules(r *peerpb.RuleFile) balsampier.RuleFile {
	id, _ := uuid.FromBytes(r.GetSubmissionId())
	return balsampier.RuleFile{
		Revision:   balsampier.Revision(r.GetRevision()),
		Text:       r.GetText(),
		Zones:      zones(r.GetZones()),
		Submission: id,
		AcceptedAt: time.Unix(0, r.GetAcceptedAtUnixNanos()).UTC(),
	}
}

// EncodeSubmission returns the log record of a submission.
func EncodeSubmission(s balsampier.Submission) ([]byte, error) {
	b, err := proto.Marshal(&peerpb.LogEntry{Change: &peerpb.LogEntry_Submission{Submission: &peerpb.Submission{
		Id: s.ID[:], Base: uint64(s.Base), Text: s.Text, Zones: putZones(s.Zones), AtUnixNanos: s.At.UnixNano(),
		Version: uint64(s.Version),
	}}})
	return b, trace.Wrap(err)
}

// EncodeMembership returns the log record of a membership change.
func EncodeMembership(m apply.MembershipChange) ([]byte, error) {
	p := &peerpb.MembershipChange{Joined: putMembers(m.Joined)}
	for _, id := range m.Left {
		p.Left = append(p.Left, uint64(id))
	}
	b, err := proto.Marshal(&peerpb.LogEntry{Change: &peerpb.LogEntry_Membership{Membership: p}})
	return b, trace.Wrap(err)
}

// DecodeEntry returns the change in a log record: exactly one of a submission,
// a membership change and completions is set.
func DecodeEntry(b []byte) (*balsampier.Submission, *apply.MembershipChange, []apply.Completion, error) {
	var e peerpb.LogEntry
	if err := proto.Unmarshal(b, &e); err != nil {
		return nil, nil, nil, errCorrupt("decode log entry", err)
	}
	if l := e.GetCompletions(); l != nil {
		return nil, nil, completions(l.GetList()), nil
	}
	if s := e.GetSubmission(); s != nil {
		id, err := submissionID(s.GetId())
		return &balsampier.Submission{
			ID: id, Base: balsampier.Revision(s.GetBase()), Text: s.GetText(),
			Zones: zones(s.GetZones()), At: time.Unix(0, s.GetAtUnixNanos()).UTC(),
			Version: balsampier.Revision(s.GetVersion()),
		}, nil, nil, err
	}
	m := e.GetMembership()
	c := &apply.MembershipChange{Joined: memberList(m.GetJoined())}
	for _, id := range m.GetLeft() {
		c.Left = append(c.Left, balsampier.InstanceID(id))
	}
	return nil, c, nil, nil
}

func submissionID(b []byte) (balsampier.SubmissionID, error) {
	id, err := uuid.FromBytes(b)
	if err != nil {
		return id, errCorrupt("decode submission ID", err)
	}
	return id, nil
}

func errCorrupt(op string, err error) error {
	return balsampier.NewError(balsampier.KindCorrupt, op, "replace this instance's data folder as OPERATIONS describes", err)
}
