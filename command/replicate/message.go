package replicate

import "github.com/balsampier/balsampier"

const (
	// MessageJoin announces a replica that knows no leader.
	MessageJoin MessageKind = iota + 1
	// MessageBootstrapVote asks a blank replica to agree to a first set.
	MessageBootstrapVote
	// MessageBootstrapVoteResponse agrees to a bootstrap by the receiver.
	MessageBootstrapVoteResponse
	// MessageBootstrapSet hands over the first set that all agreed to.
	MessageBootstrapSet
	// MessagePreVote asks whether a vote in Term would be granted.
	MessagePreVote
	// MessagePreVoteResponse answers MessagePreVote.
	MessagePreVoteResponse
	// MessageVote asks for the vote in Term.
	MessageVote
	// MessageVoteResponse answers MessageVote.
	MessageVoteResponse
	// MessageAppend carries entries; without any it is a heartbeat.
	MessageAppend
	// MessageAppendResponse answers MessageAppend and MessageInstall.
	MessageAppendResponse
	// MessageInstallSnapshot carries a snapshot.
	MessageInstallSnapshot
	// MessageTransfer asks the receiver to stand for election at once.
	MessageTransfer
	// MessagePeers answers MessageJoin with the instances of the voters.
	MessagePeers
	// MessageDecline says that the sender has no disk and is no replica.
	MessageDecline
)

type (
	// MessageKind tells the kinds of messages apart.
	MessageKind uint8

	// Message is what replicas tell each other.
	Message struct {
		Kind MessageKind
		// From is never zero.
		From balsampier.Replica
		// To has a zero Disk where the sender does not know it.
		To balsampier.Replica
		// Term is the sender's, or the one a vote is asked for.
		Term balsampier.Term
		// Index is the last index of a candidate, the index before Entries,
		// or the index that an answer acknowledges or rejects.
		Index balsampier.Index
		// LogTerm is the term of the entry at Index, or of Hint in an answer.
		LogTerm balsampier.Term
		// Commit is the sender's commit index.
		Commit balsampier.Index
		// Hint is the highest index at which a rejecting replica may match.
		Hint balsampier.Index
		// Reject is true in negative answers.
		Reject bool
		// Transfer marks a vote that the leader itself asked for.
		Transfer bool
		// ReadSeq numbers the newest read that an append confirms; answers echo
		// it.
		ReadSeq uint64
		// Peers are the configured instances in bootstrap votes, and the
		// voters in MessagePeers.
		Peers []balsampier.InstanceID
		// Entries follow Index without a gap.
		Entries []balsampier.Entry
		// Snapshot is set in MessageInstall and MessageBootstrapSet only.
		Snapshot balsampier.Snapshot
	}
)
