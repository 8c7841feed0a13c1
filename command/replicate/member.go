package replicate

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// leaderTransfer is the state of a leadership transfer.
	leaderTransfer struct {
		// to is the voter to take over; zero if no transfer is in progress.
		to balsampier.Replica
		// deadline is when the leader gives up the transfer.
		deadline time.Time
		// requested is true once MessageTransfer has been sent.
		requested bool
	}
)

// AddInstance adds an instance as a learner. It becomes a voter once its disk
// has joined and holds all committed entries. Adding a member of the set has no
// effect.
func (n *Node) AddInstance(i balsampier.InstanceID) error {
	s := withoutInstance(n.set, i)
	if len(s.Voters)+len(s.Learners) < len(n.set.Voters)+len(n.set.Learners) {
		return nil
	}
	s.Learners = append(s.Learners, balsampier.Replica{Instance: i})
	return n.proposeSet(s)
}

// RemoveInstance removes an instance from the replica set. The last voter
// cannot be removed.
func (n *Node) RemoveInstance(i balsampier.InstanceID) error {
	s := withoutInstance(n.set, i)
	if len(s.Voters) == 0 {
		return newInvalidError("remove instance", "keep at least one voter")
	}
	return n.proposeSet(s)
}

// replaceDisk replaces the old disk of a known instance by its new one, which
// joins as a learner, unless the old disk still responds. Only one voter
// leaves, so that the quorums of the old and the new set overlap.
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
	// If the change is refused, the replica's next announcement retries it.
	_ = n.proposeSet(s)
}

// addLearner adds an instance outside the set as a learner.
func (n *Node) addLearner(r balsampier.Replica) {
	if len(n.set.Voters)+len(n.set.Learners) >= maxReplicas {
		return
	}
	s := withoutInstance(n.set, r.Instance)
	s.Learners = append(s.Learners, r)
	// If the change is refused, the replica's next announcement retries it.
	_ = n.proposeSet(s)
}

// removeLostReplica removes a replica that has been silent for ReplicaTimeout.
// A voter is removed only while MinVoters voters respond. It joins again when
// it comes back.
func (n *Node) removeLostReplica() {
	responsive := 1
	var lost balsampier.Replica
	for _, r := range n.otherReplicas() {
		switch p := n.peers[r]; {
		case n.now.Sub(p.silentSince) >= n.g.ReplicaTimeout:
			lost = r
		case n.set.HasVoter(r) && n.now.Sub(p.lastHeard) < n.g.ElectionTimeout:
			responsive++
		}
	}
	if lost.IsZero() || (n.set.HasVoter(lost) && responsive < n.g.MinVoters) {
		return
	}
	// If another change is in progress, the next heartbeat tick retries.
	_ = n.proposeSet(withoutInstance(n.set, lost.Instance))
}

func (n *Node) hasInstance(i balsampier.InstanceID) bool {
	return slices.ContainsFunc(slices.Concat(n.set.Voters, n.set.Learners), func(r balsampier.Replica) bool { return r.Instance == i })
}

// promoteLearner makes a responsive learner that holds all committed entries a
// voter.
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

// proposeSet proposes a replica set. The previous change must be committed, and
// the leader must have committed an entry of its own term.
func (n *Node) proposeSet(s balsampier.ReplicaSet) error {
	const op = "change replica set"
	if err := n.checkPropose(op); err != nil {
		return err
	}
	if n.setIndex > n.commit || !n.hasCommittedInTerm() {
		return balsampier.NewError(balsampier.KindUnavailable, op, "retry after the previous change is committed", nil)
	}
	n.appendEntry(balsampier.Entry{Kind: balsampier.EntryMembership, Set: s})
	return nil
}

// hasCommittedInTerm reports whether an entry of the current term is committed.
func (n *Node) hasCommittedInTerm() bool {
	t, ok := n.log.termAt(n.commit)
	return ok && t == n.hard.Term
}

// TransferLeadership starts a transfer of the leadership to the responsive
// voter with the highest match index. The leader accepts no proposals until the
// transfer ends or ElectionTimeout has passed.
func (n *Node) TransferLeadership() error {
	if n.role != RoleLeader {
		return balsampier.NewError(balsampier.KindNotLeader, "transfer leadership", "retry at the leader", nil)
	}
	var best *progress
	for _, r := range n.set.Voters {
		p, ok := n.peers[r]
		if ok && (best == nil || p.match > best.match) && n.now.Sub(p.lastHeard) < n.g.ElectionTimeout {
			best, n.transfer.to = p, r
		}
	}
	if best == nil {
		return balsampier.NewError(balsampier.KindUnavailable, "transfer leadership", "start another voter and retry", nil)
	}
	n.transfer.deadline, n.transfer.requested = n.now.Add(n.g.ElectionTimeout), false
	n.requestTransfer()
	return nil
}

// requestTransfer sends MessageTransfer once the target holds all entries.
func (n *Node) requestTransfer() {
	p, ok := n.peers[n.transfer.to]
	if ok && !n.transfer.requested && p.match == n.log.lastIndex() {
		n.transfer.requested = true
		n.send(Message{Kind: MessageTransfer, To: n.transfer.to})
	}
}

// withoutInstance returns a copy of s without instance i.
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
