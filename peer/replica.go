package peer

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/peer/peerpb"
)

func encodeReplica(r balsampier.Replica) *peerpb.Replica {
	return &peerpb.Replica{Instance: uint64(r.Instance), Disk: uint64(r.Disk)}
}

func decodeReplica(r *peerpb.Replica) balsampier.Replica {
	return balsampier.Replica{
		Instance: balsampier.InstanceID(r.GetInstance()), Disk: balsampier.DiskIncarnation(r.GetDisk()),
	}
}

func encodeReplicas(rs []balsampier.Replica) []*peerpb.Replica {
	out := make([]*peerpb.Replica, 0, len(rs))
	for _, r := range rs {
		out = append(out, encodeReplica(r))
	}
	return out
}

func decodeReplicas(rs []*peerpb.Replica) []balsampier.Replica {
	out := make([]balsampier.Replica, 0, len(rs))
	for _, r := range rs {
		out = append(out, decodeReplica(r))
	}
	return out
}

func encodeReplicaSet(s balsampier.ReplicaSet) *peerpb.ReplicaSet {
	return &peerpb.ReplicaSet{Voters: encodeReplicas(s.Voters), Learners: encodeReplicas(s.Learners)}
}

func decodeReplicaSet(s *peerpb.ReplicaSet) balsampier.ReplicaSet {
	return balsampier.ReplicaSet{Voters: decodeReplicas(s.GetVoters()), Learners: decodeReplicas(s.GetLearners())}
}

func encodeReplicaMessage(m replicate.Message) *peerpb.ReplicaMessage {
	p := &peerpb.ReplicaMessage{
		Kind: uint32(m.Kind), From: encodeReplica(m.From), To: encodeReplica(m.To), Term: uint64(m.Term),
		Index: uint64(m.Index), LogTerm: uint64(m.LogTerm), Commit: uint64(m.Commit), Hint: uint64(m.Hint),
		Reject: m.Reject, Transfer: m.Transfer, Read: m.ReadSeq,
	}
	for _, i := range m.Peers {
		p.Peers = append(p.Peers, uint64(i))
	}
	for _, e := range m.Entries {
		p.Entries = append(p.Entries, &peerpb.Entry{
			Term: uint64(e.Term), Index: uint64(e.Index), Kind: uint32(e.Kind), Data: e.Data, Set: encodeReplicaSet(e.Set),
		})
	}
	if m.Snapshot.Index > 0 {
		p.Snapshot = &peerpb.LogSnapshot{
			Index: uint64(m.Snapshot.Index), Term: uint64(m.Snapshot.Term),
			Set: encodeReplicaSet(m.Snapshot.Set), Data: m.Snapshot.Data,
		}
	}
	return p
}

func decodeReplicaMessage(p *peerpb.ReplicaMessage) replicate.Message {
	m := replicate.Message{
		Kind: replicate.MessageKind(p.GetKind()), From: decodeReplica(p.GetFrom()), To: decodeReplica(p.GetTo()),
		Term: balsampier.Term(p.GetTerm()), Index: balsampier.Index(p.GetIndex()),
		LogTerm: balsampier.Term(p.GetLogTerm()), Commit: balsampier.Index(p.GetCommit()),
		Hint: balsampier.Index(p.GetHint()), Reject: p.GetReject(), Transfer: p.GetTransfer(), ReadSeq: p.GetRead(),
	}
	for _, i := range p.GetPeers() {
		m.Peers = append(m.Peers, balsampier.InstanceID(i))
	}
	for _, e := range p.GetEntries() {
		m.Entries = append(m.Entries, balsampier.Entry{
			Term: balsampier.Term(e.GetTerm()), Index: balsampier.Index(e.GetIndex()),
			Kind: balsampier.EntryKind(e.GetKind()), Data: e.GetData(), Set: decodeReplicaSet(e.GetSet()),
		})
	}
	if s := p.GetSnapshot(); s != nil {
		m.Snapshot = balsampier.Snapshot{
			Index: balsampier.Index(s.GetIndex()), Term: balsampier.Term(s.GetTerm()),
			Set: decodeReplicaSet(s.GetSet()), Data: s.GetData(),
		}
	}
	return m
}

// EncodeSnapshot encodes a snapshot of the state of control.
func EncodeSnapshot(s apply.Snapshot) ([]byte, error) {
	p := &peerpb.ControlSnapshot{Rules: encodeRules(s.Rules), View: encodeView(s.View)}
	for _, a := range s.Answers {
		p.Answers = append(p.Answers, &peerpb.SubmissionAnswer{
			Id: a.ID[:], Accepted: a.Accepted, Revision: uint64(a.Revision),
		})
	}
	p.Claims = encodeActivations(s.Claims)
	b, err := proto.Marshal(p)
	return b, trace.Wrap(err)
}

// DecodeSnapshot decodes a snapshot of the state of control. It returns a
// KindCorrupt error if that fails.
func DecodeSnapshot(b []byte) (apply.Snapshot, error) {
	var p peerpb.ControlSnapshot
	if err := proto.Unmarshal(b, &p); err != nil {
		return apply.Snapshot{}, errCorrupt("decode snapshot", err)
	}
	s := apply.Snapshot{Rules: decodeRules(p.GetRules()), View: decodeView(p.GetView()), Claims: decodeActivations(p.GetClaims())}
	for _, a := range p.GetAnswers() {
		id, err := decodeSubmissionID(a.GetId())
		if err != nil {
			return s, err
		}
		s.Answers = append(s.Answers, balsampier.SubmissionAnswer{
			ID: id, Accepted: a.GetAccepted(), Revision: balsampier.Revision(a.GetRevision()),
		})
	}
	return s, nil
}
