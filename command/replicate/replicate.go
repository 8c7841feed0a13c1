// Package replicate implements the replicated log of the control instances as a
// deterministic state machine. Its inputs are messages, times and confirmed
// disk writes; its outputs are messages, batches to write and committed
// entries.
//
// Bootstrap: a blank replica neither votes nor starts elections. The configured
// instance with the lowest ID, the coordinator, asks every configured instance
// to agree to the first replica set. Each instance agrees at most once per
// disk, and only while it is blank. The set is created only after all have
// agreed, and consists of their disk incarnations. One instance that holds
// entries or is unreachable is therefore enough to prevent a second log. After
// the bootstrap, a blank disk joins as a learner: the leader removes the old
// incarnation, brings the new one up to date and commits it as a voter.
//
// If the coordinator loses its disk during the bootstrap, the votes granted to
// the old disk remain and the bootstrap never completes. No entry has been
// accepted by then; the operator must clear the data folders of all instances
// that are blank and report a bootstrap vote (a "pledge" in their status).
//
// With a BootstrapQuorum the seeds need not have disks. Blank disks find each
// other through the seeds and agree in rounds, as in single-decree Paxos: a disk
// that collects the promises of a quorum proposes the set that one of them has
// accepted before, or else those disks, and creates the log once a quorum has
// accepted. Promises and accepted sets are durable, so that a restart or the
// loss of the proposer changes nothing. A disk takes part only if it was blank at
// the first start of the whole system. Instances without a disk never decide
// anything: they name the others, and their word that they have no disk is final.
package replicate

import (
	"fmt"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// RoleFollower replicates the log of a leader or waits for one.
	RoleFollower Role = iota
	// RolePreCandidate asks whether it could win an election.
	RolePreCandidate
	// RoleCandidate requests votes in its own term.
	RoleCandidate
	// RoleLeader appends entries and replicates them.
	RoleLeader
)

const (
	// maxReplicas bounds the voters and learners of a log; the specification
	// sets the same bound.
	maxReplicas = 9
	// defaultReplicaTimeout is longer than two elections, so that a change of
	// leader does not make a voter count as lost.
	defaultReplicaTimeout = 2500 * time.Millisecond
	// minVoters is the smallest size that removing lost voters may leave: with
	// three voters the log survives the loss of one.
	minVoters = 3
)

type (
	// Role is the role of a node in its current term.
	Role uint8

	// Config configures a node. Zero limits are replaced by defaults.
	Config struct {
		// Instance is this node's own instance. It must be one of Peers unless
		// OpenMembership is true.
		Instance balsampier.InstanceID
		// Peers are the instances of the first replica set, in any order, and
		// must be the same on all of them. With OpenMembership they are the
		// seeds.
		Peers []balsampier.InstanceID
		// OpenMembership lets instances that are not in Peers join, and removes
		// replicas that are silent for ReplicaTimeout, so that new instances
		// replace lost ones.
		OpenMembership bool
		// JoinOnly keeps a node with OpenMembership from bootstrapping a log:
		// it only joins an existing one.
		JoinOnly bool
		// BootstrapQuorum is the number of disks that bootstrap a log with
		// OpenMembership if not all seeds have a disk. At the first start fewer
		// than twice as many instances have one, so that two quorums share a
		// disk. Zero requires all seeds that have a disk.
		BootstrapQuorum int
		// MinVoters is the number of responsive voters, including the leader,
		// that is needed to remove a lost voter.
		MinVoters int
		// ReplicaTimeout is how long a replica must be silent to count as lost.
		// Used only with OpenMembership.
		ReplicaTimeout time.Duration
		// ElectionTimeout is the shortest election timeout, and the duration of
		// the leader's lease.
		ElectionTimeout time.Duration
		// HeartbeatInterval is at most a third of ElectionTimeout.
		HeartbeatInterval time.Duration
		// Random randomizes election timeouts.
		Random balsampier.Random
		// MaxUncommitted bounds the entries that are proposed but not yet
		// committed.
		MaxUncommitted int
		// MaxInflight bounds the unacknowledged entries in flight to each
		// replica.
		MaxInflight int
		// MaxBatchEntries and MaxBatchBytes bound one append message.
		MaxBatchEntries, MaxBatchBytes int
		// MaxEntryBytes bounds the data of one entry.
		MaxEntryBytes int
		// MaxPendingReads bounds the reads that wait for a commit or a quorum.
		MaxPendingReads int
		// SnapshotThreshold is the number of entries applied since the last
		// snapshot after which a new one is requested.
		SnapshotThreshold int
		// RetainedEntries is the number of entries covered by the snapshot that
		// stay in memory for lagging followers.
		RetainedEntries int
	}

	// Node is one replica of the log. It is not safe for concurrent use.
	Node struct {
		g  Config
		id balsampier.Replica
		// knownReplicas are instances reported as replicas by a MessagePeers, or
		// whose messages show that they have a disk; newest first, at most
		// maxReplicas, without this one.
		knownReplicas []balsampier.InstanceID
		// now is the latest time passed to Tick and never decreases.
		now  time.Time
		hard balsampier.HardState
		role Role
		// leader is the leader of the current term; zero if unknown.
		leader balsampier.Replica
		log    entryLog
		// set is the newest replica set in the log, committed or not.
		set balsampier.ReplicaSet
		// setIndex is the index of the entry or snapshot that holds set.
		setIndex balsampier.Index
		// commit never decreases, and applied never exceeds it.
		commit, applied balsampier.Index

		// electionDue is when the election timeout expires.
		electionDue time.Time
		// leaderHeard is when the last message of a leader arrived, which was
		// lastLeader.
		leaderHeard time.Time
		lastLeader  balsampier.Replica
		// heartbeatDue is when the next heartbeat, or a blank node's next
		// announcement, must be sent.
		heartbeatDue time.Time
		// votes holds the votes granted in the current election, pre-vote or
		// bootstrap.
		votes map[balsampier.Replica]bool
		// peers holds the replication progress of the other replicas; set on
		// leaders only.
		peers map[balsampier.Replica]*progress
		// durableIndex is the last index on this node's own disk; set on
		// leaders only.
		durableIndex balsampier.Index

		rounds   bootstrapRounds
		transfer leaderTransfer
		reads    pendingReads
		out      outbox
	}

	// Status describes the state of a node and its log.
	Status struct {
		Self   balsampier.Replica
		Role   Role
		Term   balsampier.Term
		Leader balsampier.Replica
		// Blank is true until the node has received a replica set.
		Blank bool
		// Bootstrap is the part of this disk in bootstrap rounds; zero if it has
		// none.
		Bootstrap balsampier.BootstrapState
		// BootstrapVote is the replica whose bootstrap a blank node agreed to;
		// zero if there is none.
		BootstrapVote   balsampier.Replica
		Set             balsampier.ReplicaSet
		Last            balsampier.Index
		Commit, Applied balsampier.Index
		Snapshot        balsampier.Index
	}
)

// New returns a node that continues from the stored log s at time t. An error
// of KindInvalid reports a bad configuration or an unset disk incarnation.
func New(g Config, s balsampier.StoredLog, t time.Time) (*Node, error) {
	if err := g.Check(); err != nil {
		return nil, err
	}
	if s.Disk == 0 {
		return nil, newInvalidError("start replica", "store a non-zero disk incarnation before the start")
	}
	n := &Node{
		g: g, id: balsampier.Replica{Instance: g.Instance, Disk: s.Disk}, now: t,
		hard: s.Hard, log: newEntryLog(s),
		commit: s.Snapshot.Index, applied: s.Snapshot.Index,
		votes: make(map[balsampier.Replica]bool), rounds: newBootstrapRounds(s.Bootstrap),
	}
	if t := n.log.lastTerm(); t > n.hard.Term {
		// A crash during a save can leave the new snapshot without the hard
		// state saved with it.
		n.setHardState(balsampier.HardState{Term: t})
	}
	n.out.firstUnsaved = n.log.lastIndex() + 1
	n.out.restorePending = s.Snapshot.Index > 1
	n.updateSet()
	// The first election timeout is shorter than the later ones. This disturbs
	// no live leader: the other replicas would refuse the pre-vote.
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

// Check fills in defaults and returns an error of KindInvalid for the first
// invalid setting.
func (g *Config) Check() error {
	g.setDefaults()
	const op = "check replica settings"
	switch {
	case len(g.Peers) < 1 || len(g.Peers) > maxReplicas:
		return newInvalidError(op, "list 1 to 9 control instances; 3 or more survive the loss of one")
	case !g.OpenMembership && !slices.Contains(g.Peers, g.Instance):
		return newInvalidError(op, "include this instance in the control instances")
	case g.HeartbeatInterval <= 0 || g.HeartbeatInterval*3 > g.ElectionTimeout:
		return newInvalidError(op, "set the heartbeat interval to at most a third of the election timeout")
	case g.Random == nil:
		return newInvalidError(op, "set a source of randomness")
	}
	return nil
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	var pledge balsampier.Replica
	if n.isBlank() && n.hard.Term == 0 {
		pledge = n.hard.Vote
	}
	return Status{
		BootstrapVote: pledge, Bootstrap: n.rounds.state,
		Self: n.id, Role: n.role, Term: n.hard.Term, Leader: n.leader, Blank: n.isBlank(),
		Set: n.set, Last: n.log.lastIndex(), Commit: n.commit, Applied: n.applied,
		Snapshot: n.log.snapshot.Index,
	}
}

// Propose appends an entry to the leader's log and returns its index and term.
// The entry is committed once an entry with that index and term appears in
// Output.Committed; if the entry committed at that index has another term, the
// proposal is lost. Errors are of KindInvalid, KindNotLeader, KindUnavailable
// or KindFull.
func (n *Node) Propose(data []byte) (balsampier.Index, balsampier.Term, error) {
	const op = "propose entry"
	if len(data) > n.g.MaxEntryBytes {
		return 0, 0, newInvalidError(op, fmt.Sprintf("limit the entry to %d bytes", n.g.MaxEntryBytes))
	}
	if err := n.checkPropose(op); err != nil {
		return 0, 0, err
	}
	return n.appendEntry(balsampier.Entry{Kind: balsampier.EntryCommand, Data: data}), n.hard.Term, nil
}

// Tick advances the node's clock to t and runs the timers that expired.
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

// Step handles a received message. It drops messages that are addressed to
// another instance or to another disk of this instance.
func (n *Node) Step(m Message) {
	if m.To.Instance != n.id.Instance || m.From.IsZero() {
		return
	}
	if m.To.Disk != 0 && m.To.Disk != n.id.Disk {
		// The sender's replica set has an earlier disk of this instance: it can
		// admit the new one even if no seed knows a replica.
		if n.isBlank() {
			n.learnReplicas(m.From.Instance)
		}
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
		return balsampier.NewError(balsampier.KindNotLeader, op, "retry at the leader", nil)
	case !n.transfer.to.IsZero():
		return balsampier.NewError(balsampier.KindUnavailable, op, "retry after the leadership transfer", nil)
	case n.log.lastIndex()-n.commit >= balsampier.Index(n.g.MaxUncommitted):
		return balsampier.NewError(balsampier.KindFull, op, "retry later", nil)
	}
	return nil
}

func (n *Node) updateSet() { n.set, n.setIndex = n.log.replicaSetAt(n.log.lastIndex()) }

// isBlank reports whether the node has never received a replica set.
func (n *Node) isBlank() bool { return n.log.lastIndex() == 0 }

func newInvalidError(op, remedy string) error {
	return balsampier.NewError(balsampier.KindInvalid, op, remedy, nil)
}

// String returns the name of the role as shown in dumps.
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
