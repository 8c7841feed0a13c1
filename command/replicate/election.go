package replicate

import (
	"time"

	"github.com/balsampier/balsampier"
)

func (n *Node) resetElection() {
	n.electAt = n.now.Add(n.g.ElectionTimeout + time.Duration(n.g.Random.Uint64()%uint64(n.g.ElectionTimeout)))
}

// campaign starts with a pre-vote, so that a replica that was cut off does
// not raise the term of a healthy leader.
func (n *Node) campaign() {
	n.resetElection()
	n.announce()
	if !n.set.HasVoter(n.id) {
		return
	}
	n.role, n.leader = RolePreCandidate, balsampier.Replica{}
	clear(n.votes)
	n.askVotes(MessagePreVote, n.hard.Term+1, false)
}

// stand starts a real election.
func (n *Node) stand(transfer bool) {
	n.role, n.leader = RoleCandidate, balsampier.Replica{}
	clear(n.votes)
	n.setHard(balsampier.HardState{Term: n.hard.Term + 1, Vote: n.id})
	n.resetElection()
	n.askVotes(MessageVote, n.hard.Term, transfer)
}

// askVotes also asks the node itself: its own vote counts once it lasts.
func (n *Node) askVotes(k MessageKind, t balsampier.Term, transfer bool) {
	answer := MessagePreVoteResponse
	if k == MessageVote {
		answer = MessageVoteResponse
	}
	for _, r := range n.set.Voters {
		if r == n.id {
			n.send(Message{Kind: answer, To: r, Term: t})
			continue
		}
		n.send(Message{
			Kind: k, To: r, Term: t, Transfer: transfer,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

// raiseTerm deals with a higher term and reports whether m is to be handled.
func (n *Node) raiseTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteResponse:
		if !m.Reject {
			return true
		}
	case MessageVote:
		if n.leased() && !m.Transfer {
			return false
		}
	}
	n.becomeFollower(m.Term)
	return true
}

// leased reports whether a leader may still be alive for all that is known.
func (n *Node) leased() bool {
	return n.role == RoleLeader || (!n.leader.IsZero() && n.now.Sub(n.heard) < n.g.ElectionTimeout)
}

// answerStale tells senders of older terms about the current one.
func (n *Node) answerStale(m Message) {
	switch m.Kind {
	case MessageAppend, MessageInstallSnapshot:
		n.send(Message{Kind: MessageAppendResponse, To: m.From, Reject: true})
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteResponse, To: m.From, Reject: true})
	}
}

// answerVote grants a vote to a candidate whose log holds all that the own
// one does.
func (n *Node) answerVote(m Message) {
	fresh := m.LogTerm > n.log.lastTerm() || (m.LogTerm == n.log.lastTerm() && m.Index >= n.log.last())
	if m.Kind == MessagePreVote {
		ok := fresh && !n.leased() && m.Term > n.hard.Term
		t := m.Term
		if !ok {
			t = n.hard.Term
		}
		n.send(Message{Kind: MessagePreVoteResponse, To: m.From, Term: t, Reject: !ok})
		return
	}
	ok := fresh && (n.hard.Vote == m.From || (n.hard.Vote.IsZero() && n.leader.IsZero()))
	if ok && n.hard.Vote.IsZero() {
		n.setHard(balsampier.HardState{Term: n.hard.Term, Vote: m.From})
		n.resetElection()
	}
	n.send(Message{Kind: MessageVoteResponse, To: m.From, Reject: !ok})
}

// countVote counts votes of voters with their very disk only.
func (n *Node) countVote(m Message) {
	if m.Reject || !n.set.HasVoter(m.From) {
		return
	}
	pre := m.Kind == MessagePreVoteResponse
	switch {
	case pre && (n.role != RolePreCandidate || m.Term != n.hard.Term+1):
		return
	case !pre && n.role != RoleCandidate:
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
	case pre:
		n.stand(false)
	default:
		n.becomeLeader()
	}
}

func (n *Node) becomeFollower(t balsampier.Term) {
	if t > n.hard.Term {
		n.setHard(balsampier.HardState{Term: t})
	}
	if n.role == RoleLeader {
		n.failReads()
	}
	n.role, n.leader, n.peers, n.transfer = RoleFollower, balsampier.Replica{}, nil, transfer{}
	n.resetElection()
}

func (n *Node) becomeLeader() {
	n.role, n.leader = RoleLeader, n.id
	n.peers, n.durable = make(map[balsampier.Replica]*progress), 0
	n.reads = reads{seq: n.reads.seq}
	n.refreshPeers()
	n.beatAt = n.now
	n.push(balsampier.Entry{Kind: balsampier.EntryEmpty})
}

// takeOver stands for election at the leader's own wish.
func (n *Node) takeOver() {
	if n.role == RoleFollower && n.set.HasVoter(n.id) {
		n.stand(true)
	}
}
