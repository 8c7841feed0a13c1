package replicate

import "github.com/balsampier/balsampier"

const (
	// MessageJoin announces the sender's disk to an instance, so that a leader
	// whose replica set lacks it can add it.
	MessageJoin MessageKind = iota + 1
	// MessageBootstrapVote asks a blank replica to agree to the first replica
	// set.
	MessageBootstrapVote
	// MessageBootstrapVoteResponse grants a MessageBootstrapVote.
	MessageBootstrapVoteResponse
	// MessageBootstrapSet carries the first replica set after all instances
	// have agreed to it.
	MessageBootstrapSet
	// MessagePreVote asks whether the receiver would grant a vote in Term.
	MessagePreVote
	// MessagePreVoteResponse replies to MessagePreVote.
	MessagePreVoteResponse
	// MessageVote requests a vote in Term.
	MessageVote
	// MessageVoteResponse replies to MessageVote.
	MessageVoteResponse
	// MessageAppend carries log entries; without entries it is a heartbeat.
	MessageAppend
	// MessageAppendResponse replies to MessageAppend and
	// MessageInstallSnapshot.
	MessageAppendResponse
	// MessageInstallSnapshot carries a snapshot.
	MessageInstallSnapshot
	// MessageTransfer asks the receiver to start an election immediately.
	MessageTransfer
	// MessagePeers replies to MessageJoin with the instances of the voters, or
	// from an instance without a disk with the replicas that it knows.
	MessagePeers
	// MessageDecline reports that the sender has no disk and will not become a
	// replica.
	MessageDecline
	// MessageRoundVote asks a blank disk to promise the bootstrap round Term.
	MessageRoundVote
	// MessageRoundVoteResponse replies to MessageRoundVote. A promise carries
	// the set accepted in the round LogTerm, if any.
	MessageRoundVoteResponse
	// MessageRoundAccept proposes the first replica set in the round Term.
	MessageRoundAccept
	// MessageRoundAcceptResponse reports that the set was accepted.
	MessageRoundAcceptResponse
)

type (
	// MessageKind is the type of a Message.
	MessageKind uint8

	// Message is a message between two replicas.
	Message struct {
		Kind MessageKind
		// From is never zero.
		From balsampier.Replica
		// To has a zero Disk if the sender does not know the receiver's disk.
		To balsampier.Replica
		// Term is the sender's term, or in vote requests and granted pre-votes
		// the term of the vote.
		Term balsampier.Term
		// Index is the last log index of a candidate, the index before Entries,
		// or in a response the index that is acknowledged or rejected.
		Index balsampier.Index
		// LogTerm is the term of the entry at Index, or in a rejection of the
		// entry at Hint.
		LogTerm balsampier.Term
		// Commit is the sender's commit index.
		Commit balsampier.Index
		// Hint is the highest index at which the log of a rejecting replica may
		// match the leader's.
		Hint balsampier.Index
		// Reject is true in negative responses.
		Reject bool
		// Transfer marks a vote request caused by MessageTransfer. Receivers
		// consider it even while their leader is alive.
		Transfer bool
		// ReadSeq is the sequence number of the newest read that the message
		// confirms; responses echo it.
		ReadSeq uint64
		// Peers holds the configured instances in MessageBootstrapVote and
		// MessageRoundVote, and known replicas in MessagePeers.
		Peers []balsampier.InstanceID
		// Entries start at Index+1, without gaps.
		Entries []balsampier.Entry
		// Snapshot is set only in MessageInstallSnapshot, MessageBootstrapSet and
		// in bootstrap rounds.
		Snapshot balsampier.Snapshot
	}
)
