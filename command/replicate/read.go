package replicate

import "github.com/balsampier/balsampier"

type (
	// ReadToken identifies a read to its caller.
	ReadToken uint64

	// ReadResponse allows a read once Index is applied, or refuses it.
	ReadResponse struct {
		Token ReadToken
		// Index covers all entries committed before the read began.
		Index balsampier.Index
		// Refused is true if the node lost its leadership; the caller must
		// retry at the next leader.
		Refused bool
	}

	// pendingReads holds the linearizable reads that are not answered yet.
	pendingReads struct {
		// seq is the sequence number of the newest read; it never decreases.
		seq uint64
		// unsent is true until seq has been sent to the other replicas.
		unsent bool
		// awaitingCommit holds reads that wait for the first commit of the
		// term.
		awaitingCommit []ReadToken
		// awaitingQuorum holds reads that wait for a quorum, in order of seq.
		awaitingQuorum []pendingRead
	}

	pendingRead struct {
		token ReadToken
		seq   uint64
		index balsampier.Index
	}
)

// Read requests a linearizable read. Its response is output once a quorum has
// confirmed, after this call, that the node still leads. Errors are of
// KindNotLeader or KindFull.
func (n *Node) Read(k ReadToken) error {
	switch {
	case n.role != RoleLeader:
		return balsampier.NewError(balsampier.KindNotLeader, "read", "retry at the leader", nil)
	case len(n.reads.awaitingCommit)+len(n.reads.awaitingQuorum) >= n.g.MaxPendingReads:
		return balsampier.NewError(balsampier.KindFull, "read", "retry later", nil)
	}
	n.reads.awaitingCommit = append(n.reads.awaitingCommit, k)
	n.startReads()
	return nil
}

// startReads assigns the commit index to new reads, once the leader has
// committed an entry of its own term. Before that it does not know which
// entries are committed.
func (n *Node) startReads() {
	if len(n.reads.awaitingCommit) == 0 || !n.hasCommittedInTerm() {
		return
	}
	n.reads.seq++
	n.reads.unsent = true
	for _, k := range n.reads.awaitingCommit {
		n.reads.awaitingQuorum = append(n.reads.awaitingQuorum, pendingRead{token: k, seq: n.reads.seq, index: n.commit})
	}
	n.reads.awaitingCommit = nil
	n.confirmReads()
}

// confirmReads answers the reads that a quorum has confirmed.
func (n *Node) confirmReads() {
	for len(n.reads.awaitingQuorum) > 0 {
		w := n.reads.awaitingQuorum[0]
		k := 0
		for _, r := range n.set.Voters {
			if p, ok := n.peers[r]; r == n.id || (ok && p.confirmedRead >= w.seq) {
				k++
			}
		}
		if k < n.set.Quorum() {
			return
		}
		n.out.reads = append(n.out.reads, ReadResponse{Token: w.token, Index: w.index})
		n.reads.awaitingQuorum = n.reads.awaitingQuorum[1:]
	}
}

// failReads refuses all pending reads.
func (n *Node) failReads() {
	for _, w := range n.reads.awaitingQuorum {
		n.out.reads = append(n.out.reads, ReadResponse{Token: w.token, Refused: true})
	}
	for _, k := range n.reads.awaitingCommit {
		n.out.reads = append(n.out.reads, ReadResponse{Token: k, Refused: true})
	}
	n.reads = pendingReads{seq: n.reads.seq}
}
