package replicate

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

// bootstrapRounds is the bootstrap of a log among disks that find each other
// through seeds. It is a single-decree consensus on the first replica set.
type bootstrapRounds struct {
	// state is what must survive a restart. It is zero on a disk that has never
	// taken part in a bootstrap.
	state balsampier.BootstrapState
	// heardAt is when each other disk last announced itself; it is cleared once
	// the log exists.
	heardAt map[balsampier.Replica]time.Time
	// declined holds the seeds that reported that they have no disk.
	declined map[balsampier.InstanceID]bool
	// highest is the highest round that any message has shown.
	highest balsampier.Term
	// round is the round that this node proposes in; zero if there is none.
	round balsampier.Term
	// promised and accepted hold the disks that answered in round.
	promised, accepted map[balsampier.Replica]bool
	// priorRound and prior are the newest set that a promise of round reported
	// as accepted earlier.
	priorRound balsampier.Term
	prior      balsampier.ReplicaSet
	// proposed is the set proposed in round; empty until a quorum has promised.
	proposed balsampier.ReplicaSet
	// due is when this node may start a round although a lower one should, and
	// retryDue when it may start another of its own.
	due, retryDue time.Time
}

func newBootstrapRounds(s balsampier.BootstrapState) bootstrapRounds {
	return bootstrapRounds{
		state: s, highest: s.Promised,
		heardAt: make(map[balsampier.Replica]time.Time), declined: make(map[balsampier.InstanceID]bool),
	}
}

// mayBootstrap reports whether this disk takes part in the bootstrap: it was
// blank when the whole system started for the first time, and has not heard of
// a log since.
func (n *Node) mayBootstrap() bool {
	return n.g.BootstrapQuorum > 0 && n.isBlank() && n.hard.Term == 0 && (!n.g.JoinOnly || len(n.rounds.state.Seeds) > 0)
}

// tickRounds starts a round if the disks that were heard lately are enough. The
// lowest of them starts at once; the others wait, so that rounds do not compete.
func (n *Node) tickRounds() {
	b := &n.rounds
	if len(b.state.Seeds) == 0 {
		b.state.Seeds = slices.Clone(n.g.Peers)
		n.out.bootstrapChanged = true
		n.delayRound()
	}
	heard := map[balsampier.Replica]bool{n.id: true}
	isLowest := true
	for r, t := range b.heardAt {
		if n.now.Sub(t) < n.g.ElectionTimeout {
			heard[r] = true
			isLowest = isLowest && n.id.Instance <= r.Instance
		}
	}
	if n.now.Before(b.retryDue) || !isLowest && n.now.Before(b.due) || !n.isBootstrapQuorum(heard) {
		return
	}
	n.startRound(heard)
	b.retryDue = b.due
}

func (n *Node) startRound(heard map[balsampier.Replica]bool) {
	b := &n.rounds
	b.round = max(b.highest, b.state.Promised) + 1
	b.highest = b.round
	b.promised, b.accepted = make(map[balsampier.Replica]bool), make(map[balsampier.Replica]bool)
	b.priorRound, b.prior, b.proposed = 0, balsampier.ReplicaSet{}, balsampier.ReplicaSet{}
	for _, r := range sortedReplicas(heard) {
		if r != n.id {
			n.send(Message{Kind: MessageRoundVote, To: r, Term: b.round, Peers: b.state.Seeds})
		}
	}
	n.handleRoundVote(Message{Kind: MessageRoundVote, From: n.id, Term: b.round, Peers: b.state.Seeds})
}

// delayRound gives the rounds of other disks time to complete.
func (n *Node) delayRound() {
	n.rounds.due = n.now.Add(n.g.ElectionTimeout + time.Duration(n.g.Random.Uint64()%uint64(n.g.ElectionTimeout)))
}

// handleRoundVote promises to accept nothing of an earlier round. A round is
// promised to one disk only, so that all sets accepted in it are the same.
func (n *Node) handleRoundVote(m Message) {
	b := &n.rounds
	if !n.mayBootstrap() || !slices.Equal(m.Peers, b.state.Seeds) {
		return
	}
	a := Message{Kind: MessageRoundVoteResponse, To: m.From, Term: m.Term, LogTerm: b.state.Accepted}
	if m.Term <= b.state.Promised {
		a.Term, a.Reject = b.state.Promised, true
		n.send(a)
		return
	}
	if b.state.Accepted > 0 {
		a.Snapshot = firstSnapshot(b.state.Set)
	}
	b.state.Promised, n.out.bootstrapChanged = m.Term, true
	b.highest = max(b.highest, m.Term)
	n.delayRound()
	n.send(a)
}

// countRoundVote proposes a set once a quorum has promised: one that may have
// been chosen in an earlier round, else the disks that promised.
func (n *Node) countRoundVote(m Message) {
	b := &n.rounds
	b.highest = max(b.highest, m.Term)
	if m.Reject && b.round > 0 && m.Term >= b.round {
		// Two rounds collided, as not all disks had heard of each other.
		b.round, b.retryDue = 0, n.now.Add(n.g.HeartbeatInterval*time.Duration(n.g.Random.Uint64()%3))
		return
	}
	if !n.mayBootstrap() || m.Reject || b.round == 0 || m.Term != b.round || len(b.proposed.Voters) > 0 {
		return
	}
	recordDisk(b.promised, m.From)
	if m.LogTerm > b.priorRound {
		b.priorRound, b.prior = m.LogTerm, m.Snapshot.Set
	}
	if !n.isBootstrapQuorum(b.promised) {
		return
	}
	b.proposed = b.prior
	if b.priorRound == 0 {
		b.proposed = balsampier.ReplicaSet{Voters: sortedReplicas(b.promised)}
	}
	for _, r := range sortedReplicas(b.promised) {
		n.send(Message{Kind: MessageRoundAccept, To: r, Term: b.round, Snapshot: firstSnapshot(b.proposed)})
	}
}

// handleRoundAccept accepts a set unless a later round was promised.
func (n *Node) handleRoundAccept(m Message) {
	b := &n.rounds
	if !n.mayBootstrap() || m.Term < b.state.Promised || len(b.state.Seeds) == 0 {
		return
	}
	b.state.Promised, b.state.Accepted, b.state.Set = m.Term, m.Term, m.Snapshot.Set
	n.out.bootstrapChanged = true
	n.delayRound()
	n.send(Message{Kind: MessageRoundAcceptResponse, To: m.From, Term: m.Term})
}

// countRoundAccept creates the log once a quorum has accepted its first set.
func (n *Node) countRoundAccept(m Message) {
	b := &n.rounds
	if !n.mayBootstrap() || b.round == 0 || m.Term != b.round || len(b.proposed.Voters) == 0 {
		return
	}
	recordDisk(b.accepted, m.From)
	if !n.isBootstrapQuorum(b.accepted) {
		return
	}
	s := firstSnapshot(b.proposed)
	n.installFirstSet(s)
	for _, r := range s.Set.Voters {
		n.sendFirstSet(r, s)
	}
}

// isBootstrapQuorum reports whether rs suffice to decide. Any two quorums share
// a disk: all seeds; or BootstrapQuorum disks, provided that a seed is one of
// them or has no disk, so that not all seeds can have decided without them.
func (n *Node) isBootstrapQuorum(rs map[balsampier.Replica]bool) bool {
	seeds := 0
	for r := range rs {
		if slices.Contains(n.rounds.state.Seeds, r.Instance) {
			seeds++
		}
	}
	if seeds == len(n.rounds.state.Seeds) {
		return true
	}
	quorum := max(n.g.BootstrapQuorum, (len(n.knownReplicas)+1)/2+1)
	return len(rs) >= quorum && (seeds > 0 || len(n.rounds.declined) > 0)
}

// hearDisk records the announcement of another blank disk and names the others,
// as the sender may know none of them.
func (n *Node) hearDisk(r balsampier.Replica) {
	recordTime(n.rounds.heardAt, r, n.now)
	n.learnReplicas(r.Instance)
	n.send(Message{Kind: MessagePeers, To: r, Peers: slices.Clone(n.knownReplicas)})
}

// recordDisk adds a disk and removes an earlier disk of the same instance.
func recordDisk(rs map[balsampier.Replica]bool, r balsampier.Replica) {
	for o := range rs {
		if o.Instance == r.Instance {
			delete(rs, o)
		}
	}
	rs[r] = true
}

// recordTime is recordDisk for times, bounded by maxReplicas.
func recordTime(at map[balsampier.Replica]time.Time, r balsampier.Replica, t time.Time) {
	oldest := r
	for o := range at {
		if o.Instance == r.Instance {
			delete(at, o)
		}
	}
	for o, x := range at {
		if oldest == r || x.Before(at[oldest]) {
			oldest = o
		}
	}
	if len(at) >= maxReplicas {
		delete(at, oldest)
	}
	at[r] = t
}

func firstSnapshot(s balsampier.ReplicaSet) balsampier.Snapshot {
	return balsampier.Snapshot{Index: firstIndex, Term: firstTerm, Set: s}
}

func sortedReplicas(rs map[balsampier.Replica]bool) []balsampier.Replica {
	var out []balsampier.Replica
	for r := range rs {
		out = append(out, r)
	}
	sortReplicas(out)
	return out
}
