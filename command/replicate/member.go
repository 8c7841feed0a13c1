package replicate

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// transfer is a hand-over of leadership under way.
	transfer struct {
		// to is zero while there is none.
		to balsampier.Replica
		// until is when it is given up.
		until time.Time
		// asked is true once to was told to stand.
		asked bool
	}
)

// AddInstance admits a new instance as a learner; it becomes a voter once its
// disk has joined and holds all committed entries.
func (n *Node) AddInstance(i balsampier.InstanceID) error {
	s := without(n.set, i)
	if len(s.Voters)+len(s.Learners) < len(n.set.Voters)+len(n.set.Learners) {
		return nil
	}
	s.Learners = append(s.Learners, balsampier.Replica{Instance: i})
	return n.change(s)
}

// RemoveInstance takes an instance out of the replica set.
func (n *Node) RemoveInstance(i balsampier.InstanceID) error {
	s := without(n.set, i)
	if len(s.Voters) == 0 {
		return invalid("remove instance", "keep at least one voter")
	}
	return n.change(s)
}

// replaceDisk takes the old disk of a known instance out and its new one in
// as a learner, unless the old one still answers. Quorums of neighbouring sets
// always overlap, as only one voter leaves.
func (n *Node) replaceDisk(r balsampier.Replica) {
	if r.Instance == n.id.Instance {
		return
	}
	for o, p := range n.peers {
		if o.Instance == r.Instance && n.now.Sub(p.heard) < n.g.ElectionTimeout {
			return
		}
	}
	s := without(n.set, r.Instance)
	if len(s.Voters)+len(s.Learners) == len(n.set.Voters)+len(n.set.Learners) || len(s.Voters) == 0 {
		return
	}
	s.Learners = append(s.Learners, r)
	// Where this is refused, the replica announces itself again.
	_ = n.change(s)
}

// admit takes an instance that is not in the set in as a learner.
func (n *Node) admit(r balsampier.Replica) {
	if len(n.set.Voters)+len(n.set.Learners) >= maxReplicas {
		return
	}
	s := without(n.set, r.Instance)
	s.Learners = append(s.Learners, r)
	// Where this is refused, the replica announces itself again.
	_ = n.change(s)
}

// dropLost takes out a replica of an open node that has been silent for long:
// a learner, or a voter while enough others answer. A voter that comes back
// joins again.
func (n *Node) dropLost() {
	live := 1
	var lost balsampier.Replica
	for _, r := range n.others() {
		switch p := n.peers[r]; {
		case n.now.Sub(p.heard) >= n.g.ReplicaTimeout:
			lost = r
		case n.set.HasVoter(r) && n.now.Sub(p.heard) < n.g.ElectionTimeout:
			live++
		}
	}
	if lost.IsZero() || (n.set.HasVoter(lost) && live < n.g.MinVoters) {
		return
	}
	// Where another change is under way, the next tick tries again.
	_ = n.change(without(n.set, lost.Instance))
}

func (n *Node) hasInstance(i balsampier.InstanceID) bool {
	return slices.ContainsFunc(slices.Concat(n.set.Voters, n.set.Learners), func(r balsampier.Replica) bool { return r.Instance == i })
}

// promoteLearner makes a learner that holds all committed entries a voter.
func (n *Node) promoteLearner() {
	for _, r := range n.set.Learners {
		p, ok := n.peers[r]
		if !ok || p.match < n.commit || n.now.Sub(p.heard) >= n.g.ElectionTimeout {
			continue
		}
		s := without(n.set, r.Instance)
		s.Voters = append(s.Voters, r)
		sortReplicas(s.Voters)
		if n.change(s) == nil {
			return
		}
	}
}

// change proposes a replica set. Only one may be under way, and the leader
// must know what is committed.
func (n *Node) change(s balsampier.ReplicaSet) error {
	const op = "change replica set"
	if err := n.mayPropose(op); err != nil {
		return err
	}
	if n.setIndex > n.commit || !n.committedOwn() {
		return balsampier.NewError(balsampier.KindUnavailable, op, "retry when the change before it is committed", nil)
	}
	n.push(balsampier.Entry{Kind: balsampier.EntryMembership, Set: s})
	return nil
}

// committedOwn reports whether an entry of the own term is committed.
func (n *Node) committedOwn() bool {
	t, ok := n.log.term(n.commit)
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
		if ok && (best == nil || p.match > best.match) && n.now.Sub(p.heard) < n.g.ElectionTimeout {
			best, n.transfer.to = p, r
		}
	}
	if best == nil {
		return balsampier.NewError(balsampier.KindUnavailable, "transfer leadership", "bring up another voter", nil)
	}
	n.transfer.until, n.transfer.asked = n.now.Add(n.g.ElectionTimeout), false
	n.finishTransfer()
	return nil
}

func (n *Node) finishTransfer() {
	p, ok := n.peers[n.transfer.to]
	if ok && !n.transfer.asked && p.match == n.log.last() {
		n.transfer.asked = true
		n.send(Message{Kind: MessageTransfer, To: n.transfer.to})
	}
}

// without returns a copy of s that lacks instance i.
func without(s balsampier.ReplicaSet, i balsampier.InstanceID) balsampier.ReplicaSet {
	is := func(r balsampier.Replica) bool { return r.Instance == i }
	return balsampier.ReplicaSet{
		Voters:   slices.DeleteFunc(slices.Clone(s.Voters), is),
		Learners: slices.DeleteFunc(slices.Clone(s.Learners), is),
	}
}

func sortReplicas(rs []balsampier.Replica) {
	slices.SortFunc(rs, func(a, b balsampier.Replica) int { return cmp.Compare(a.Instance, b.Instance) })
}
