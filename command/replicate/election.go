package replicate

import (
	"time"

	"github.com/balsampier/balsampier"
)

// resetElectionTimeout restarts the election timeout, randomized between one
// and two times ElectionTimeout.
func (n *Node) resetElectionTimeout() {
	n.electionDue = n.now.Add(n.g.ElectionTimeout + time.Duration(n.g.Random.Uint64()%uint64(n.g.ElectionTimeout)))
}

// startPreVote starts an election with a pre-vote, so that a replica that was
// partitioned does not raise the term of a healthy leader.
func (n *Node) startPreVote() {
	n.resetElectionTimeout()
	n.announceDisk()
	if !n.set.HasVoter(n.id) {
		return
	}
	n.role, n.leader = RolePreCandidate, balsampier.Replica{}
	clear(n.votes)
	n.requestVotes(MessagePreVote, n.hard.Term+1, false)
}

// startElection increments the term and requests votes in it.
func (n *Node) startElection(transfer bool) {
	n.role, n.leader = RoleCandidate, balsampier.Replica{}
	clear(n.votes)
	n.setHardState(balsampier.HardState{Term: n.hard.Term + 1, Vote: n.id})
	n.resetElectionTimeout()
	n.requestVotes(MessageVote, n.hard.Term, transfer)
}

// requestVotes requests votes from all voters. The node's own vote is sent to
// itself, so that it counts only once it is durable.
func (n *Node) requestVotes(k MessageKind, t balsampier.Term, transfer bool) {
	response := MessagePreVoteResponse
	if k == MessageVote {
		response = MessageVoteResponse
	}
	for _, r := range n.set.Voters {
		if r == n.id {
			n.send(Message{Kind: response, To: r, Term: t})
			continue
		}
		n.send(Message{
			Kind: k, To: r, Term: t, Transfer: transfer,
			Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
		})
	}
}

// handleHigherTerm handles the higher term of m and reports whether m must be
// handled further. Pre-votes and granted pre-votes do not raise the term. Vote
// requests are ignored while a leader may be alive, unless it transfers its
// leadership.
func (n *Node) handleHigherTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteResponse:
		if !m.Reject {
			return true
		}
	case MessageVote:
		if n.hasLeaderLease() && !m.Transfer {
			return false
		}
	}
	n.becomeFollower(m.Term)
	return true
}

// hasLeaderLease reports whether this node leads or has heard from a leader
// within ElectionTimeout.
func (n *Node) hasLeaderLease() bool {
	return n.role == RoleLeader || (!n.leader.IsZero() && n.now.Sub(n.leaderHeard) < n.g.ElectionTimeout)
}

// rejectStaleTerm rejects a message of an older term, so that the sender learns
// the current one.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageInstallSnapshot:
		n.send(Message{Kind: MessageAppendResponse, To: m.From, Reject: true})
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteResponse, To: m.From, Reject: true})
	}
}

// handleVoteRequest replies to a vote or pre-vote request. It grants the vote
// only if the candidate's log is at least as up to date as its own.
func (n *Node) handleVoteRequest(m Message) {
	upToDate := m.LogTerm > n.log.lastTerm() || (m.LogTerm == n.log.lastTerm() && m.Index >= n.log.lastIndex())
	if m.Kind == MessagePreVote {
		ok := upToDate && !n.hasLeaderLease() && m.Term > n.hard.Term
		t := m.Term
		if !ok {
			t = n.hard.Term
		}
		n.send(Message{Kind: MessagePreVoteResponse, To: m.From, Term: t, Reject: !ok})
		return
	}
	ok := upToDate && (n.hard.Vote == m.From || (n.hard.Vote.IsZero() && n.leader.IsZero()))
	if ok && n.hard.Vote.IsZero() {
		n.setHardState(balsampier.HardState{Term: n.hard.Term, Vote: m.From})
		n.resetElectionTimeout()
	}
	n.send(Message{Kind: MessageVoteResponse, To: m.From, Reject: !ok})
}

// countVote counts a granted vote or pre-vote. Only voters with the exact disk
// in the replica set count.
func (n *Node) countVote(m Message) {
	if m.Reject || !n.set.HasVoter(m.From) {
		return
	}
	isPreVote := m.Kind == MessagePreVoteResponse
	switch {
	case isPreVote && (n.role != RolePreCandidate || m.Term != n.hard.Term+1):
		return
	case !isPreVote && n.role != RoleCandidate:
		return
	}
	n.votes[m.From] = true
	k := 0
	for _, r := range n.set.Voters {
		if n.votes[r] {
			k++
		}
	}
	switch {
	case k < n.set.Quorum():
	case isPreVote:
		n.startElection(false)
	default:
		n.becomeLeader()
	}
}

// becomeFollower makes the node a follower without a known leader, in term t if
// that is higher.
func (n *Node) becomeFollower(t balsampier.Term) {
	if t > n.hard.Term {
		n.setHardState(balsampier.HardState{Term: t})
	}
	if n.role == RoleLeader {
		n.failReads()
	}
	n.role, n.leader, n.peers, n.transfer = RoleFollower, balsampier.Replica{}, nil, leaderTransfer{}
	n.resetElectionTimeout()
}

// becomeLeader makes the node the leader and appends an empty entry, as only an
// entry of the current term can commit earlier ones.
func (n *Node) becomeLeader() {
	n.role, n.leader = RoleLeader, n.id
	n.peers, n.durableIndex = make(map[balsampier.Replica]*progress), 0
	n.reads = pendingReads{seq: n.reads.seq}
	n.updatePeers()
	if p, ok := n.peers[n.lastLeader]; ok {
		// The election must not prolong the time after which a lost leader is
		// removed. One that lives has an election timeout to respond.
		p.silentSince = maxTime(n.leaderHeard, n.now.Add(n.g.ElectionTimeout-n.g.ReplicaTimeout))
	}
	n.heartbeatDue = n.now
	n.appendEntry(balsampier.Entry{Kind: balsampier.EntryEmpty})
}

// handleTransfer starts an election without a pre-vote because the leader
// requested it.
func (n *Node) handleTransfer() {
	if n.role == RoleFollower && n.set.HasVoter(n.id) {
		n.startElection(true)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
