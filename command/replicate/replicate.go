// Package replicate is the replicated log of control as a pure state machine:
// messages, times and finished disk work go in; messages, disk work and
// committed entries come out.
//
// Bootstrap: a blank replica neither votes nor stands for election. The
// configured instance with the lowest ID asks every configured instance to
// agree to a first replica set; each agrees once in the life of its disk and
// only while it is blank. Only when all agreed does the set exist, made of
// their disk incarnations. A single instance that holds entries, or that is
// away, thus keeps a second log from being founded. Later on a blank disk is
// a learner until the leader has removed the old incarnation, has brought the
// new one up to date and has committed it as a voter.
//
// Where the first instance loses its disk in the middle of the bootstrap, the
// agreements given to it stand and the bootstrap does not end. Nothing was
// accepted by then; the operator clears the data folders of all instances that
// report a pledge and are blank.
package replicate

import (
	"fmt"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// RoleFollower follows a leader or waits for one.
	RoleFollower Role = iota
	// RolePreCandidate asks whether it could win an election.
	RolePreCandidate
	// RoleCandidate stands for election.
	RoleCandidate
	// RoleLeader orders entries.
	RoleLeader
)

const (
	// maxReplicas bounds the voters and learners of a log, as the brief does.
	maxReplicas = 9
	// defaultReplicaTimeout is longer than two elections, so that a change of
	// leaders makes no voter count as lost.
	defaultReplicaTimeout = 2500 * time.Millisecond
	// minVoters is the size that a set of voters is not shrunk below: with
	// three the log survives the loss of one.
	minVoters = 3
)

type (
	// Role is the part that a node plays in its term.
	Role uint8

	// Config sets up a node; zero limits take the defaults.
	Config struct {
		// Instance is the own one, and one of Peers.
		Instance balsampier.InstanceID
		// Peers are the instances of the first replica set, in any order,
		// the same at all of them. Where Open is true they are the seeds, and
		// the own instance need not be one of them.
		Peers []balsampier.InstanceID
		// OpenMembership lets instances join that are not in Peers, and replaces lost
		// voters by them.
		OpenMembership bool
		// JoinOnly keeps an open node from founding a log: it only joins one.
		JoinOnly bool
		// MinVoters is the size below which no lost voter is taken out.
		MinVoters int
		// ReplicaTimeout is how long a voter of an open node is silent until it
		// counts as lost.
		ReplicaTimeout time.Duration
		// ElectionTimeout is the shortest election timeout and the leader's lease.
		ElectionTimeout time.Duration
		// HeartbeatInterval is well below Election.
		HeartbeatInterval time.Duration
		// Random spreads election timeouts.
		Random balsampier.Random
		// MaxUncommitted bounds the entries that are proposed and not yet
		// committed.
		MaxUncommitted int
		// MaxInflight bounds the unacknowledged entries sent to a replica.
		MaxInflight int
		// MaxBatchEntries and MaxBatchBytes (bytes) bound one append.
		MaxBatchEntries, MaxBatchBytes int
		// MaxEntryBytes (bytes) bounds one entry.
		MaxEntryBytes int
		// MaxPendingReads bounds the reads that wait for confirmation.
		MaxPendingReads int
		// SnapshotThreshold is the number of applied entries after which a
		// snapshot is asked for.
		SnapshotThreshold int
		// RetainedEntries is how many entries below a snapshot stay in memory.
		RetainedEntries int
	}

	// Node is one replica. It is not safe for concurrent use.
	Node struct {
		g  Config
		id balsampier.Replica
		// knownVoters are the instances that others named as replicas.
		knownVoters []balsampier.InstanceID
		// now only grows; it is the time of the last tick.
		now  time.Time
		hard balsampier.HardState
		role Role
		// leader is zero where none is known in the term.
		leader balsampier.Replica
		log    entryLog
		// set is the newest in the log, committed or not.
		set balsampier.ReplicaSet
		// setIndex is where set stands in the log.
		setIndex balsampier.Index
		// commit only grows; applied never passes it.
		commit, applied balsampier.Index

		// electionDue is when the election timeout ends.
		electionDue time.Time
		// leaderHeard is when the leader was last leaderHeard from.
		leaderHeard time.Time
		// heartbeatDue is when the next heartbeat is due.
		heartbeatDue time.Time
		// votes holds the granted votes of the current candidacy.
		votes map[balsampier.Replica]bool
		// peers holds the progress of the others, for leaders only.
		peers map[balsampier.Replica]*progress
		// durableIndex is the own synced index, for leaders only.
		durableIndex balsampier.Index

		transfer leaderTransfer
		reads    pendingReads
		out      outbox
	}

	// Status tells what a node knows of itself and of the log.
	Status struct {
		Self   balsampier.Replica
		Role   Role
		Term   balsampier.Term
		Leader balsampier.Replica
		// Blank is true until the node has been given a replica set.
		Blank bool
		// BootstrapVote is whose bootstrap a blank node agreed to; zero without one.
		BootstrapVote   balsampier.Replica
		Set             balsampier.ReplicaSet
		Last            balsampier.Index
		Commit, Applied balsampier.Index
		Snapshot        balsampier.Index
	}
)

// New returns the node that continues from s.
func New(g Config, s balsampier.StoredLog, t time.Time) (*Node, error) {
	if err := g.Check(); err != nil {
		return nil, err
	}
	if s.Disk == 0 {
		return nil, invalid("start replica", "store a non-zero disk incarnation first")
	}
	n := &Node{
		g: g, id: balsampier.Replica{Instance: g.Instance, Disk: s.Disk}, now: t,
		hard: s.Hard, log: newEntryLog(s),
		commit: s.Snapshot.Index, applied: s.Snapshot.Index,
		votes: make(map[balsampier.Replica]bool),
	}
	if t := n.log.lastTerm(); t > n.hard.Term {
		// The snapshot lasts, but the hard state saved with it does not.
		n.setHardState(balsampier.HardState{Term: t})
	}
	n.out.firstUnsaved = n.log.lastIndex() + 1
	n.out.restorePending = s.Snapshot.Index > 1
	n.updateSet()
	// A replica that starts asks early: where there is a leader, the others
	// refuse the pre-vote.
	n.electionDue = t.Add(g.ElectionTimeout/4 + time.Duration(g.Random.Uint64()%uint64(g.ElectionTimeout))/2)
	return n, nil
}

func (g *Config) setDefaults() {
	defaults := []struct {
		p *int
		v int
	}{
		{&g.MaxUncommitted, 4096},
		{&g.MaxInflight, 1024},
		{&g.MaxBatchEntries, 256},
		{&g.MaxBatchBytes, 1 << 20},
		{&g.MaxEntryBytes, 8 << 20},
		{&g.MaxPendingReads, 4096},
		{&g.SnapshotThreshold, 128},
		{&g.RetainedEntries, 256},
	}
	for _, d := range defaults {
		if *d.p == 0 {
			*d.p = d.v
		}
	}
	if g.ElectionTimeout == 0 {
		g.ElectionTimeout = time.Second
	}
	g.MinVoters = max(g.MinVoters, minVoters)
	if g.ReplicaTimeout == 0 {
		g.ReplicaTimeout = defaultReplicaTimeout
	}
	if g.HeartbeatInterval == 0 {
		g.HeartbeatInterval = g.ElectionTimeout / 10
	}
	g.Peers = slices.Compact(slices.Sorted(slices.Values(g.Peers)))
}

// Check fills defaults and returns an error for what is wrong.
func (g *Config) Check() error {
	g.setDefaults()
	const op = "check replica settings"
	switch {
	case len(g.Peers) < 1 || len(g.Peers) > maxReplicas:
		return invalid(op, "name at most 9 control instances, and 3 or more to survive a failure")
	case !g.OpenMembership && !slices.Contains(g.Peers, g.Instance):
		return invalid(op, "list the own instance among the control instances")
	case g.HeartbeatInterval <= 0 || g.HeartbeatInterval*3 > g.ElectionTimeout:
		return invalid(op, "set the heartbeat to a third of the election timeout or less")
	case g.Random == nil:
		return invalid(op, "pass a source of randomness")
	}
	return nil
}

// Status returns the current state.
func (n *Node) Status() Status {
	var pledge balsampier.Replica
	if n.isBlank() && n.hard.Term == 0 {
		pledge = n.hard.Vote
	}
	return Status{
		BootstrapVote: pledge,
		Self:          n.id, Role: n.role, Term: n.hard.Term, Leader: n.leader, Blank: n.isBlank(),
		Set: n.set, Last: n.log.lastIndex(), Commit: n.commit, Applied: n.applied,
		Snapshot: n.log.snapshot.Index,
	}
}

// Propose adds an entry. It is committed once an entry with the returned
// index and term comes out; another term at that index means that it is lost.
func (n *Node) Propose(data []byte) (balsampier.Index, balsampier.Term, error) {
	const op = "propose entry"
	if len(data) > n.g.MaxEntryBytes {
		return 0, 0, invalid(op, fmt.Sprintf("keep entries under %d bytes", n.g.MaxEntryBytes))
	}
	if err := n.checkPropose(op); err != nil {
		return 0, 0, err
	}
	return n.appendEntry(balsampier.Entry{Kind: balsampier.EntryCommand, Data: data}), n.hard.Term, nil
}

// Tick moves the time on.
func (n *Node) Tick(t time.Time) {
	if t.After(n.now) {
		n.now = t
	}
	switch {
	case n.isBlank():
		n.tickBlank()
	case n.role == RoleLeader:
		n.tickLeader()
	case !n.now.Before(n.electionDue):
		n.startPreVote()
	}
}

// Step takes a message in. Messages that were meant for another disk of this
// instance are dropped.
func (n *Node) Step(m Message) {
	if m.To.Instance != n.id.Instance || (m.To.Disk != 0 && m.To.Disk != n.id.Disk) || m.From.IsZero() {
		return
	}
	if n.stepBootstrap(m) {
		return
	}
	switch {
	case m.Term > n.hard.Term:
		if !n.handleHigherTerm(m) {
			return
		}
	case m.Term < n.hard.Term:
		n.rejectStaleTerm(m)
		return
	}
	switch m.Kind {
	case MessagePreVote, MessageVote:
		n.handleVoteRequest(m)
	case MessagePreVoteResponse, MessageVoteResponse:
		n.countVote(m)
	case MessageAppend, MessageInstallSnapshot:
		n.handleAppend(m)
	case MessageAppendResponse:
		n.handleAppendResponse(m)
	case MessageTransfer:
		n.handleTransfer()
	}
}

func (n *Node) appendEntry(e balsampier.Entry) balsampier.Index {
	e.Term, e.Index = n.hard.Term, n.log.lastIndex()+1
	n.log.appendEntry(e)
	n.out.markEntriesChanged(e.Index)
	if e.Kind == balsampier.EntryMembership {
		n.updateSet()
		n.updatePeers()
	}
	n.send(Message{Kind: MessageAppendResponse, To: n.id, Index: e.Index})
	return e.Index
}

func (n *Node) checkPropose(op string) error {
	switch {
	case n.role != RoleLeader:
		return balsampier.NewError(balsampier.KindNotLeader, op, "ask the leader", nil)
	case !n.transfer.to.IsZero():
		return balsampier.NewError(balsampier.KindUnavailable, op, "retry at the next leader", nil)
	case n.log.lastIndex()-n.commit >= balsampier.Index(n.g.MaxUncommitted):
		return balsampier.NewError(balsampier.KindFull, op, "retry later", nil)
	}
	return nil
}

func (n *Node) updateSet() { n.set, n.setIndex = n.log.replicaSetAt(n.log.lastIndex()) }

// isBlank reports whether the node was never given a replica set.
func (n *Node) isBlank() bool { return n.log.lastIndex() == 0 }

func invalid(op, remedy string) error {
	return balsampier.NewError(balsampier.KindInvalid, op, remedy, nil)
}

// String returns the name of the role as it stands in dumps.
func (r Role) String() string {
	switch r {
	case RoleFollower:
		return "follower"
	case RolePreCandidate:
		return "preCandidate"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	default:
		return "unknown"
	}
}
