package replicate

import (
	"slices"

	"github.com/balsampier/balsampier"
)

const (
	// firstIndex and firstTerm are the index and term of the snapshot that a
	// bootstrapped log starts with.
	firstIndex balsampier.Index = 1
	firstTerm  balsampier.Term  = 1
)

// tickBlank announces the blank disk. On the coordinator it also requests the
// bootstrap votes of the other instances.
func (n *Node) tickBlank() {
	if n.now.Before(n.heartbeatDue) {
		return
	}
	n.heartbeatDue = n.now.Add(n.g.HeartbeatInterval)
	if n.mayBootstrap() {
		n.announceDisk()
		n.tickRounds()
		return
	}
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

// learnReplicas adds instances to the known replicas and drops the oldest ones
// above maxReplicas. Several senders may each know a part of them.
func (n *Node) learnReplicas(is ...balsampier.InstanceID) {
	old := slices.DeleteFunc(n.knownReplicas, func(i balsampier.InstanceID) bool { return slices.Contains(is, i) })
	n.knownReplicas = slices.Concat(is, old)
	n.knownReplicas = slices.DeleteFunc(n.knownReplicas, func(i balsampier.InstanceID) bool { return i == n.g.Instance })
	n.knownReplicas = n.knownReplicas[:min(len(n.knownReplicas), maxReplicas)]
}

// announceDisk sends this replica's disk to all known instances, so that a
// leader whose replica set lacks the disk can add it.
func (n *Node) announceDisk() {
	ps := slices.Concat(n.g.Peers, n.knownReplicas)
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

// isCoordinator reports whether this is the configured instance with the lowest
// ID.
func (n *Node) isCoordinator() bool { return len(n.g.Peers) > 0 && n.g.Instance == n.g.Peers[0] }

// SetSeeds replaces the seeds, unless the list is empty or the node is blank
// and may bootstrap a log without rounds: its seeds then are the first replica
// set. Rounds keep the seeds of the first start.
func (n *Node) SetSeeds(is []balsampier.InstanceID) {
	if len(is) > 0 && (n.g.JoinOnly || n.g.BootstrapQuorum > 0 || !n.isBlank()) {
		n.g.Peers = slices.Compact(slices.Sorted(slices.Values(is)))
	}
}

// removeSeed removes an instance from the first replica set of a blank node that
// may bootstrap a log, after it reported that it has no disk and will never be a
// replica. A node that only joins keeps it, and so do rounds: it may know the
// replicas.
func (n *Node) removeSeed(i balsampier.InstanceID) {
	if n.g.BootstrapQuorum > 0 {
		if slices.Contains(n.rounds.state.Seeds, i) {
			n.rounds.declined[i] = true
		}
		return
	}
	if n.g.OpenMembership && !n.g.JoinOnly && n.isBlank() && n.hard.Term == 0 {
		n.g.Peers = slices.DeleteFunc(n.g.Peers, func(p balsampier.InstanceID) bool { return p == i })
	}
}

// stepBootstrap handles bootstrap and join messages, and reports whether m
// needs no further handling. A blank node ignores all other messages except
// appends and snapshots of a leader.
func (n *Node) stepBootstrap(m Message) bool {
	switch m.Kind {
	case MessageDecline:
		n.removeSeed(m.From.Instance)
	case MessagePeers:
		n.learnReplicas(m.Peers...)
	case MessageJoin:
		n.handleJoin(m.From)
	case MessageBootstrapVote:
		n.handleBootstrapVote(m)
	case MessageBootstrapVoteResponse:
		n.countBootstrapVote(m)
	case MessageBootstrapSet:
		n.installFirstSet(m.Snapshot)
	case MessageRoundVote:
		n.handleRoundVote(m)
	case MessageRoundVoteResponse:
		n.countRoundVote(m)
	case MessageRoundAccept:
		n.handleRoundAccept(m)
	case MessageRoundAcceptResponse:
		n.countRoundAccept(m)
	case MessageAppend, MessageInstallSnapshot:
		return false
	default:
		return n.isBlank()
	}
	return true
}

// handleBootstrapVote grants a bootstrap vote to a coordinator with the same
// peers. A node grants it to one replica only, while it is blank and in term
// zero.
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

// countBootstrapVote creates the log once every configured instance has agreed.
// Only the latest disk of each instance counts.
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
	n.installFirstSet(firstSnapshot(s))
	for _, r := range s.Voters {
		n.sendFirstSet(r, firstSnapshot(s))
	}
}

// installFirstSet starts a blank node's log from the first replica set.
func (n *Node) installFirstSet(s balsampier.Snapshot) {
	if !n.isBlank() || n.hard.Term != 0 || s.Index != firstIndex || !s.Set.HasVoter(n.id) {
		return
	}
	clear(n.votes)
	clear(n.rounds.heardAt)
	n.setHardState(balsampier.HardState{Term: firstTerm})
	n.installSnapshot(s)
	n.resetElectionTimeout()
}

// sendFirstSet sends the first replica set to a voter, which may have missed it
// before.
func (n *Node) sendFirstSet(r balsampier.Replica, s balsampier.Snapshot) {
	if r != n.id {
		n.send(Message{Kind: MessageBootstrapSet, To: r, Snapshot: s})
	}
}

// handleJoin handles the announcement of a disk. A leader adds an unknown disk
// as a learner if it belongs to a known instance, or if open membership admits
// new ones; other nodes with open membership reply with the instances of the
// voters. A replica in the set receives the first replica set again while no
// later snapshot exists.
func (n *Node) handleJoin(r balsampier.Replica) {
	switch {
	case n.mayBootstrap():
		n.hearDisk(r)
	case n.isBlank():
	case n.set.Has(r):
		if n.log.snapshot.Index == firstIndex {
			n.sendFirstSet(r, n.log.snapshot)
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
