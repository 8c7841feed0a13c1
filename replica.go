package balsampier

const (
	// EntryCommand entries carry opaque data to apply to the state machine.
	EntryCommand EntryKind = iota
	// EntryEmpty entries are appended by a new leader at the start of its term
	// and change no state.
	EntryEmpty
	// EntryMembership entries carry a new replica set.
	EntryMembership
)

type (
	// Term numbers the election terms of the replicated log; zero is the term
	// of a log that was never bootstrapped.
	Term uint64

	// Index numbers the entries of the replicated log from 1.
	Index uint64

	// DiskIncarnation identifies the disk of an instance, so that a replaced
	// disk is recognized. Zero means unknown.
	DiskIncarnation uint64

	// Replica is a voter or learner of the replicated log: an instance with a
	// particular disk.
	Replica struct {
		Instance InstanceID
		Disk     DiskIncarnation
	}

	// ReplicaSet is the membership of the replicated log.
	ReplicaSet struct {
		// Voters count towards quorums; at most one per instance.
		Voters []Replica
		// Learners receive entries but do not vote. No instance is both voter
		// and learner.
		Learners []Replica
	}

	// EntryKind is the type of an Entry.
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

	// HardState must be durable before any message that depends on it is sent.
	HardState struct {
		// Term never decreases.
		Term Term
		// Vote is the replica voted for in Term; zero if there was no vote. In
		// term zero it is the replica whose bootstrap request was granted.
		Vote Replica
	}

	// BootstrapState is the part that a disk has in the choice of the first
	// replica set. It must be durable before any message that depends on it is
	// sent.
	BootstrapState struct {
		// Seeds are those of the first start and never change; empty on a disk
		// that has no part in the choice.
		Seeds []InstanceID
		// Promised is the newest round that the disk has seen; it never
		// decreases.
		Promised Term
		// Accepted is the newest round in which the disk accepted Set, at most
		// Promised; zero if it has accepted none.
		Accepted Term
		Set      ReplicaSet
	}

	// Snapshot replaces all entries up to and including Index.
	Snapshot struct {
		// Index is zero only for a log that was never bootstrapped.
		Index Index
		Term  Term
		// Set is the replica set as of Index.
		Set ReplicaSet
		// Data is the applied state; empty right after bootstrap.
		Data []byte
	}

	// StoredLog is the state that a replica loads from its disk.
	StoredLog struct {
		// Disk is never zero.
		Disk DiskIncarnation
		Hard HardState
		// Bootstrap is without meaning once there is a snapshot.
		Bootstrap BootstrapState
		Snapshot  Snapshot
		// Entries directly follow Snapshot.Index, without gaps.
		Entries []Entry
	}

	// LogBatch is one batch of changes to a StoredLog. After a crash either all
	// of it is durable or a prefix, in the order Bootstrap, Snapshot, then the
	// rest.
	LogBatch struct {
		// Seq increases by one with each batch.
		Seq uint64
		// Hard replaces the hard state; nil if it did not change.
		Hard *HardState
		// Bootstrap replaces the state of the bootstrap; nil if it did not
		// change.
		Bootstrap *BootstrapState
		// Snapshot replaces the stored one; nil if there is no new one.
		Snapshot *Snapshot
		// Reset deletes all stored entries before Entries are added.
		Reset bool
		// Entries replace all stored entries from the index of the first of
		// them on.
		Entries []Entry
	}
)

// IsZero reports whether r is unset.
func (r Replica) IsZero() bool { return r == Replica{} }

// HasVoter reports whether r, with the same disk, is a voter.
func (s ReplicaSet) HasVoter(r Replica) bool { return hasReplica(s.Voters, r) }

// Has reports whether r, with the same disk, is a voter or learner.
func (s ReplicaSet) Has(r Replica) bool { return s.HasVoter(r) || hasReplica(s.Learners, r) }

// Quorum returns the number of voters that form a majority.
func (s ReplicaSet) Quorum() int { return len(s.Voters)/2 + 1 }

func hasReplica(rs []Replica, r Replica) bool {
	for _, x := range rs {
		if x == r {
			return true
		}
	}
	return false
}
