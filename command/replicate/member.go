package replicate

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// leaderTransfer is a hand-over of leadership under way.
	leaderTransfer struct {
		// to is zero while there is none.
		to balsampier.Replica
		// deadline is when it is given up.
		deadline time.Time
		// requested is true once to was told to stand.
		requested bool
	}
)

// AddInstance admits a new instance as a learner; it becomes a voter once its
// disk has joined and holds all committed entries.
func (n *Node) AddInstance(i balsampier.InstanceID) error {
	s := withoutInstance(n.set, i)
	if len(s.Voters)+len(s.Learners) < len(n.set.Voters)+len(n.set.Learners) {
		return nil
	}
	s.Learners = append(s.Learners, balsampier.Replica{Instance: i})
	return n.proposeSet(s)
}

// RemoveInstance takes an instance out of the replica set.
func (n *Node) RemoveInstance(i balsampier.InstanceID) error {
	s := withoutInstance(n.set, i)
	if len(s.Voters) == 0 {
		return invalid("remove instance", "keep at least one voter")
	}
	return n.proposeSet(s)
}

// replaceDisk takes the old disk of a known instance out and its new one in
// as a learner, unless the old one still answers. Quorums of neighbouring sets
// always overlap, as only one voter leaves.
func (n *Node) replaceDisk(r balsampier.Replica) {
	if r.Instance == n.id.Instance {
		return
	}
	for o, p := range n.peers {
		if o.Instance == r.Instance && n.now.Sub(p.lastHeard) < n.g.ElectionTimeout {
			return
		}
	}
	s := withoutInstance(n.set, r.Instance)
	if len(s.Voters)+len(s.Learners) == len(n.set.Voters)+len(n.set.Learners) || len(s.Voters) == 0 {
		return
	}
	s.Learners = append(s.Learners, r)
	// Where this is refused, the replica announces itself again.
	_ = n.proposeSet(s)
}

// addLearner takes an instance that is not in the set in as a learner.
func (n *Node) addLearner(r balsampier.Replica) {
	if len(n.set.Voters)+len(n.set.Learners) >= maxReplicas {
		return
	}
	s := withoutInstance(n.set, r.Instance)
	s.Learners = append(s.Learners, r)
	// Where this is refused, the replica announces itself again.
	_ = n.proposeSet(s)
}

// removeLostReplica takes out a replica of an open node that has been silent for long:
// a learner, or a voter while enough others answer. A voter that comes back
// joins again.
func (n *Node) removeLostReplica() {
	live := 1
	var lost balsampier.Replica
	for _, r := range n.others() {
		switch p := n.peers[r]; {
		case n.now.Sub(p.lastHeard) >= n.g.ReplicaTimeout:
			lost = r
		case n.set.HasVoter(r) && n.now.Sub(p.lastHeard) < n.g.ElectionTimeout:
			live++
		}
	}
	if lost.IsZero() || (n.set.HasVoter(lost) && live < n.g.MinVoters) {
		return
	}
	// Where another change is under way, the next tick tries again.
	_ = n.proposeSet(withoutInstance(n.set, lost.Instance))
}

func (n *Node) hasInstance(i balsampier.InstanceID) bool {
	return slices.ContainsFunc(slices.Concat(n.set.Voters, n.set.Learners), func(r balsampier.Replica) bool { return r.Instance == i })
}

// promoteLearner makes a learner that holds all committed entries a voter.
func (n *Node) promoteLearner() {
	for _, r := range n.set.Learners {
		p, ok := n.peers[r]
		if !ok || p.match < n.commit || n.now.Sub(p.lastHeard) >= n.g.ElectionTimeout {
			continue
		}
		s := withoutInstance(n.set, r.Instance)
		s.Voters = append(s.Voters, r)
		sortReplicas(s.Voters)
		if n.proposeSet(s) == nil {
			return
		}
	}
}

// proposeSet proposes a replica set. Only one may be under way, and the leader
// must know what is committed.
func (n *Node) proposeSet(s balsampier.ReplicaSet) error {
	const op = "change replica set"
	if err := n.checkPropose(op); err != nil {
		return err
	}
	if n.setIndex > n.commit || !n.hasCommittedInTerm() {
		return balsampier.NewError(balsampier.KindUnavailable, op, "retry when the change before it is committed", nil)
	}
	n.appendEntry(balsampier.Entry{Kind: balsampier.EntryMembership, Set: s})
	return nil
}

// hasCommittedInTerm reports whether an entry of the own term is committed.
func (n *Node) hasCommittedInTerm() bool {
	t, ok := n.log.termAt(n.commit)
	return ok && t == n.hard.Term
}

// TransferLeadership hands the leadership to the voter that is furthest.
func (n *Node) TransferLeadership() error {
	if n.role != RoleLeader {
		return balsampier.NewError(balsampier.KindNotLeader, "transfer leadership", "ask the leader", nil)
	}
	var best *progress
	for _, r := range n.set.Voters {
		p, ok := n.peers[r]
		if ok && (best == nil || p.match > best.match) && n.now.Sub(p.lastHeard) < n.g.ElectionTimeout {
			best, n.transfer.to = p, r
		}
	}
	if best == nil {
		return balsampier.NewError(balsampier.KindUnavailable, "transfer leadership", "bring up another voter", nil)
	}
	n.transfer.deadline, n.transfer.requested = n.now.Add(n.g.ElectionTimeout), false
	n.requestTransfer()
	return nil
}

func (n *Node) requestTransfer() {
	p, ok := n.peers[n.transfer.to]
	if ok && !n.transfer.requested && p.match == n.log.lastIndex() {
		n.transfer.requested = true
		n.send(Message{Kind: MessageTransfer, To: n.transfer.to})
	}
}

// withoutInstance returns a copy of s that lacks instance i.
func withoutInstance(s balsampier.ReplicaSet, i balsampier.InstanceID) balsampier.ReplicaSet {
	is := func(r balsampier.Replica) bool { return r.Instance == i }
	return balsampier.ReplicaSet{
		Voters:   slices.DeleteFunc(slices.Clone(s.Voters), is),
		Learners: slices.DeleteFunc(slices.Clone(s.Learners), is),
	}
}

func sortReplicas(rs []balsampier.Replica) {
	slices.SortFunc(rs, func(a, b balsampier.Replica) int { return cmp.Compare(a.Instance, b.Instance) })
}
