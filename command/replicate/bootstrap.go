package replicate

import (
	"slices"

	"github.com/balsampier/balsampier"
)

const (
	// firstIndex and firstTerm belong to the snapshot that founds a log.
	firstIndex balsampier.Index = 1
	firstTerm  balsampier.Term  = 1
)

// tickBlank announces the blank disk, and at the coordinator asks for the
// agreement to a bootstrap.
func (n *Node) tickBlank() {
	if n.now.Before(n.heartbeatDue) {
		return
	}
	n.heartbeatDue = n.now.Add(n.g.HeartbeatInterval)
	if n.g.JoinOnly {
		n.announceDisk()
		return
	}
	if n.isCoordinator() && n.hard == (balsampier.HardState{}) {
		n.setHardState(balsampier.HardState{Vote: n.id})
	}
	if n.isCoordinator() && n.hard.Term == 0 {
		n.send(Message{Kind: MessageBootstrapVoteResponse, To: n.id})
	}
	n.announceDisk()
	if !n.isCoordinator() || n.hard.Term != 0 {
		return
	}
	for _, p := range n.g.Peers[1:] {
		n.send(Message{Kind: MessageBootstrapVote, To: balsampier.Replica{Instance: p}, Peers: n.g.Peers})
	}
}

// announceDisk tells all instances of this disk, so that a leader whose replica
// set lacks it can take it in.
func (n *Node) announceDisk() {
	ps := slices.Concat(n.g.Peers, n.knownVoters)
	for _, r := range slices.Concat(n.set.Voters, n.set.Learners) {
		ps = append(ps, r.Instance)
	}
	slices.Sort(ps)
	for _, p := range slices.Compact(ps) {
		if p != n.g.Instance {
			n.send(Message{Kind: MessageJoin, To: balsampier.Replica{Instance: p}})
		}
	}
}

func (n *Node) isCoordinator() bool { return len(n.g.Peers) > 0 && n.g.Instance == n.g.Peers[0] }

// SetSeeds replaces the seeds of an open node that has founded or joined a log,
// or will only join one.
func (n *Node) SetSeeds(is []balsampier.InstanceID) {
	if len(is) > 0 && (n.g.JoinOnly || !n.isBlank()) {
		n.g.Peers = slices.Compact(slices.Sorted(slices.Values(is)))
	}
}

// removeSeed takes in that a seed has no disk and will never be a replica.
func (n *Node) removeSeed(i balsampier.InstanceID) {
	if n.g.OpenMembership && n.isBlank() && n.hard.Term == 0 {
		n.g.Peers = slices.DeleteFunc(n.g.Peers, func(p balsampier.InstanceID) bool { return p == i })
	}
}

// stepBootstrap handles the messages that come before a log exists, and
// reports whether m is dealt with. A blank node takes part in nothing but the
// bootstrap and in what a leader sends.
func (n *Node) stepBootstrap(m Message) bool {
	switch m.Kind {
	case MessageDecline:
		n.removeSeed(m.From.Instance)
	case MessagePeers:
		n.knownVoters = m.Peers[:min(len(m.Peers), maxReplicas)]
	case MessageJoin:
		n.handleJoin(m.From)
	case MessageBootstrapVote:
		n.handleBootstrapVote(m)
	case MessageBootstrapVoteResponse:
		n.countBootstrapVote(m)
	case MessageBootstrapSet:
		n.installFirstSet(m.Snapshot)
	case MessageAppend, MessageInstallSnapshot:
		return false
	default:
		return n.isBlank()
	}
	return true
}

// handleBootstrapVote votes once, while blank and in term zero, for a coordinator with the
// same settings.
func (n *Node) handleBootstrapVote(m Message) {
	if !n.isBlank() || n.hard.Term != 0 || n.g.JoinOnly || !slices.Equal(m.Peers, n.g.Peers) || len(m.Peers) == 0 || m.From.Instance != m.Peers[0] {
		return
	}
	if n.hard.Vote.IsZero() {
		n.setHardState(balsampier.HardState{Vote: m.From})
	}
	if n.hard.Vote == m.From {
		n.send(Message{Kind: MessageBootstrapVoteResponse, To: m.From})
	}
}

// countBootstrapVote founds the log once every configured instance agreed.
func (n *Node) countBootstrapVote(m Message) {
	if !n.isBlank() || n.hard.Term != 0 || !n.isCoordinator() || !slices.Contains(n.g.Peers, m.From.Instance) {
		return
	}
	for r := range n.votes {
		if r.Instance == m.From.Instance {
			delete(n.votes, r)
		}
	}
	n.votes[m.From] = true
	if len(n.votes) < len(n.g.Peers) {
		return
	}
	var s balsampier.ReplicaSet
	for r := range n.votes {
		s.Voters = append(s.Voters, r)
	}
	sortReplicas(s.Voters)
	n.installFirstSet(balsampier.Snapshot{Index: firstIndex, Term: firstTerm, Set: s})
	for _, r := range s.Voters {
		n.sendFirstSet(r)
	}
}

// installFirstSet starts from the first replica set.
func (n *Node) installFirstSet(s balsampier.Snapshot) {
	if !n.isBlank() || n.hard.Term != 0 || s.Index != firstIndex || !s.Set.HasVoter(n.id) {
		return
	}
	clear(n.votes)
	n.setHardState(balsampier.HardState{Term: firstTerm})
	n.installSnapshot(s)
	n.resetElectionTimeout()
}

// sendFirstSet passes the first replica set on to a voter that may have missed it.
func (n *Node) sendFirstSet(r balsampier.Replica) {
	if r != n.id {
		n.send(Message{Kind: MessageBootstrapSet, To: r, Snapshot: n.log.snapshot})
	}
}

// handleJoin lets the leader bring in the new disk of a known instance.
func (n *Node) handleJoin(r balsampier.Replica) {
	switch {
	case n.isBlank():
	case n.set.Has(r):
		if n.log.snapshot.Index == firstIndex {
			n.sendFirstSet(r)
		}
	case n.role == RoleLeader && n.hasInstance(r.Instance):
		n.replaceDisk(r)
	case n.role == RoleLeader && n.g.OpenMembership:
		n.addLearner(r)
	case n.g.OpenMembership:
		m := Message{Kind: MessagePeers, To: r}
		for _, v := range n.set.Voters {
			m.Peers = append(m.Peers, v.Instance)
		}
		n.send(m)
	}
}
