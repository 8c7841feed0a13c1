package balsampier

const (
	// EntryCommand entries carry opaque data to apply.
	EntryCommand EntryKind = iota
	// EntryEmpty entries open the term of a leader and apply as nothing.
	EntryEmpty
	// EntryMembership entries carry a new replica set.
	EntryMembership
)

type (
	// Term numbers the reigns of leaders of the replicated log; zero is the
	// term of a log that was never bootstrapped.
	Term uint64

	// Index numbers the entries of the replicated log from 1.
	Index uint64

	// DiskIncarnation tells the disk of an instance from one that replaced
	// it. Zero means not known.
	DiskIncarnation uint64

	// Replica is a voter or learner: an instance with a particular disk.
	Replica struct {
		Instance InstanceID
		Disk     DiskIncarnation
	}

	// ReplicaSet is a configuration of the replicated log.
	ReplicaSet struct {
		// Voters count for quorums; at most one per instance.
		Voters []Replica
		// Learners receive entries only; no instance is voter and learner.
		Learners []Replica
	}

	// EntryKind tells what an entry carries.
	EntryKind uint8

	// Entry is one entry of the replicated log.
	Entry struct {
		Term  Term
		Index Index
		Kind  EntryKind
		// Data is set for EntryCommand only.
		Data []byte
		// Set is set for EntryMembership only.
		Set ReplicaSet
	}

	// HardState must last before any message that depends on it leaves.
	HardState struct {
		// Term never falls.
		Term Term
		// Vote is the replica voted for in Term; zero without a vote. In term
		// zero it is the replica whose bootstrap was agreed to.
		Vote Replica
	}

	// Snapshot stands for all entries up to Index.
	Snapshot struct {
		// Index is zero only for a log that was never bootstrapped.
		Index Index
		Term  Term
		// Set is the replica set as of Index.
		Set ReplicaSet
		// Data is the applied state; empty right after bootstrap.
		Data []byte
	}

	// StoredLog is what a replica finds on its disk.
	StoredLog struct {
		// Disk is never zero.
		Disk     DiskIncarnation
		Hard     HardState
		Snapshot Snapshot
		// Entries follow Snapshot without a gap.
		Entries []Entry
	}

	// LogBatch is one batch of changes to a StoredLog; all of it lasts or the
	// part that lasts is a prefix in the order Snapshot, then the rest.
	LogBatch struct {
		// Seq grows by one with each batch.
		Seq uint64
		// Hard replaces the hard state; nil when it did not change.
		Hard *HardState
		// Snapshot replaces the older one; nil when there is no new one.
		Snapshot *Snapshot
		// Reset drops all stored entries before Entries are added.
		Reset bool
		// Entries replace all stored entries from the first one's index on.
		Entries []Entry
	}
)

// IsZero reports whether r names no replica.
func (r Replica) IsZero() bool { return r == Replica{} }

// HasVoter reports whether r is a voter with this very disk.
func (s ReplicaSet) HasVoter(r Replica) bool { return hasReplica(s.Voters, r) }

// Has reports whether r is a voter or learner with this very disk.
func (s ReplicaSet) Has(r Replica) bool { return s.HasVoter(r) || hasReplica(s.Learners, r) }

// Quorum returns how many voters are a majority.
func (s ReplicaSet) Quorum() int { return len(s.Voters)/2 + 1 }

func hasReplica(rs []Replica, r Replica) bool {
	for _, x := range rs {
		if x == r {
			return true
		}
	}
	return false
}
