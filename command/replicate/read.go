package replicate

import "github.com/balsampier/balsampier"

type (
	// ReadToken identifies a read for its caller.
	ReadToken uint64

	// ReadResponse allows a read once Index is applied, or refuses it.
	ReadResponse struct {
		Token ReadToken
		// Index covers all that was committed before the read began.
		Index balsampier.Index
		// Refused is true when leadership was lost; ask the next leader.
		Refused bool
	}

	// reads are the linearizable reads that wait for a quorum.
	reads struct {
		// seq numbers reads; it only grows.
		seq uint64
		// due is true while seq was not sent to the others.
		due bool
		// early wait for the first commit of the term.
		early []ReadToken
		// waiting are in order of seq.
		waiting []waitingRead
	}

	waitingRead struct {
		token ReadToken
		seq   uint64
		index balsampier.Index
	}
)

// Read asks for a linearizable read. Its answer comes out once a quorum
// confirmed, after this call, that the node still leads.
func (n *Node) Read(k ReadToken) error {
	switch {
	case n.role != RoleLeader:
		return balsampier.NewError(balsampier.KindNotLeader, "read", "ask the leader", nil)
	case len(n.reads.early)+len(n.reads.waiting) >= n.g.MaxPendingReads:
		return balsampier.NewError(balsampier.KindFull, "read", "retry later", nil)
	}
	n.reads.early = append(n.reads.early, k)
	n.startReads()
	return nil
}

// startReads fixes the index of reads as soon as the leader knows what is
// committed.
func (n *Node) startReads() {
	if len(n.reads.early) == 0 || !n.committedOwn() {
		return
	}
	n.reads.seq++
	n.reads.due = true
	for _, k := range n.reads.early {
		n.reads.waiting = append(n.reads.waiting, waitingRead{token: k, seq: n.reads.seq, index: n.commit})
	}
	n.reads.early = nil
	n.confirmReads()
}

func (n *Node) confirmReads() {
	for len(n.reads.waiting) > 0 {
		w := n.reads.waiting[0]
		k := 0
		for _, r := range n.set.Voters {
			if p, ok := n.peers[r]; r == n.id || (ok && p.read >= w.seq) {
				k++
			}
		}
		if k < n.set.Quorum() {
			return
		}
		n.out.reads = append(n.out.reads, ReadResponse{Token: w.token, Index: w.index})
		n.reads.waiting = n.reads.waiting[1:]
	}
}

func (n *Node) failReads() {
	for _, w := range n.reads.waiting {
		n.out.reads = append(n.out.reads, ReadResponse{Token: w.token, Refused: true})
	}
	for _, k := range n.reads.early {
		n.out.reads = append(n.out.reads, ReadResponse{Token: k, Refused: true})
	}
	n.reads = reads{seq: n.reads.seq}
}
