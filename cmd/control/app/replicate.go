package app

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/replicate"
)

const (
	// tickInterval is how often the time of the replicated log moves on.
	tickInterval = 20 * time.Millisecond
	// stepTimeout bounds one call to another control instance.
	stepTimeout = time.Second
	// maxStepMessages bounds the messages in one call.
	maxStepMessages = 64
)

const (
	inputMessage inputKind = iota
	inputProposal
	inputRead
	inputSaveDone
	inputCompact
	inputTransfer
	inputDiskOpened
	inputDiskLost
	inputSeeds
)

type (
	inputKind uint8

	// input is one message to the replicate thread.
	input struct {
		kind    inputKind
		message replicate.Message
		data    []byte
		// term is the one that a proposal was decided in; zero where it may be
		// proposed in any.
		term balsampier.Term
		// outcome takes the fate of a proposal; it has room for it.
		outcome chan outcome
		// readResult takes the answer to a readResult; it has room for it.
		readResult chan readResult
		// seq is the disk work that is done.
		seq uint64
		// index is that of data in inputCompact.
		index balsampier.Index
		// generation is the generation of the disk that seq belongs to.
		generation  uint64
		openedStore *openedStore
		// seeds are set in inputSeeds only.
		seeds []balsampier.InstanceID
	}

	// outcome is the fate of a proposal.
	outcome struct {
		answer balsampier.SubmissionAnswer
		err    error
	}

	readResult struct {
		index balsampier.Index
		err   error
	}

	// proposal is an entry whose fate someone waits for.
	proposal struct {
		term    balsampier.Term
		outcome chan outcome
	}

	// replica is owned by the replicate thread.
	replica struct {
		// node is nil while the disk is not open.
		node *replicate.Node
		// generation numbers the generation of the disk that n started from.
		generation uint64
		// proposals are those that this instance made and that are neither
		// committed nor lost, by index.
		proposals map[balsampier.Index]proposal
		// reads are waiting for a quorum.
		reads     map[replicate.ReadToken]chan readResult
		nextToken replicate.ReadToken
	}
)

func newReplica() replica {
	return replica{
		proposals: make(map[balsampier.Index]proposal),
		reads:     make(map[replicate.ReadToken]chan readResult),
	}
}

// replicate owns the replicated log.
func (t *Control) replicate(c context.Context) error {
	var is [batchSize]input
	for {
		if err := t.dispatchOutput(c); err != nil {
			return err
		}
		k := t.clock.NewTimer(tickInterval)
		n, err := t.inputs.PopUntil(c, is[:], k.C())
		k.Stop()
		if err != nil {
			return err
		}
		if t.replica.node != nil {
			t.replica.node.Tick(t.clock.Now())
		}
		for i := range is[:n] {
			if err := t.handleInput(c, is[i]); err != nil {
				return err
			}
			is[i] = input{}
		}
	}
}

func (t *Control) handleInput(c context.Context, i input) error {
	r := &t.replica
	switch {
	case i.kind == inputDiskOpened:
		return t.openReplica(c, i.openedStore)
	case i.kind == inputDiskLost:
		t.closeReplica()
	case i.kind == inputSeeds:
		t.config.Peers = i.seeds
		if r.node != nil {
			r.node.SetSeeds(i.seeds)
		}
	case r.node == nil:
		refuseInput(i)
	default:
		t.handleReplicaInput(i)
	}
	return nil
}

// refuseInput answers what came while there is no replica.
func refuseInput(i input) {
	switch i.kind {
	case inputProposal:
		i.outcome <- outcome{err: errNotLeader()}
	case inputRead:
		i.readResult <- readResult{err: errNotLeader()}
	}
}

// handleReplicaInput takes an input in at the replica.
func (t *Control) handleReplicaInput(i input) {
	r := &t.replica
	switch i.kind {
	case inputMessage:
		r.node.Step(i.message)
	case inputProposal:
		t.handleProposal(i)
	case inputRead:
		r.nextToken++
		if err := r.node.Read(r.nextToken); err != nil {
			i.readResult <- readResult{err: err}
			return
		}
		r.reads[r.nextToken] = i.readResult
	case inputSaveDone:
		if i.generation == r.generation {
			r.node.ConfirmSave(i.seq)
		}
	case inputCompact:
		r.node.Compact(i.index, i.data)
	case inputTransfer:
		if err := r.node.TransferLeadership(); err != nil {
			t.log.Warn().Err(err).Msg("leadership not handed over")
		}
	}
}

func (t *Control) handleProposal(i input) {
	r := &t.replica
	if i.term != 0 && i.term != r.node.Status().Term {
		i.outcome <- outcome{err: errNotLeader()}
		return
	}
	x, term, err := r.node.Propose(i.data)
	if err != nil {
		i.outcome <- outcome{err: err}
		return
	}
	if p, ok := r.proposals[x]; ok {
		// The log was cut below x since then.
		p.outcome <- outcome{err: errProposalLost()}
	}
	r.proposals[x] = proposal{term: term, outcome: i.outcome}
}

// dispatchOutput distributes what the log wants done.
func (t *Control) dispatchOutput(c context.Context) error {
	if t.replica.node == nil {
		return nil
	}
	o := t.replica.node.DrainOutput()
	for _, m := range o.Messages {
		if p, ok := t.links.get(m.To.Instance); ok {
			_ = p.out.Push(c, m)
		}
	}
	if o.DiskBatch != nil {
		if err := t.work.Push(c, saveBatch{generation: t.replica.generation, logBatch: *o.DiskBatch}); err != nil {
			return err
		}
	}
	t.completeReads(o.Reads)
	if o.Restore != nil {
		t.failProposals(o.Restore.Index)
		if err := t.committed.Push(c, applyInput{restore: o.Restore}); err != nil {
			return err
		}
	}
	for i, e := range o.Committed {
		m := applyInput{entry: e, outcome: t.popProposal(e), snapshotDue: o.SnapshotDue && i == len(o.Committed)-1}
		if err := t.committed.Push(c, m); err != nil {
			return err
		}
	}
	t.publishStatus()
	return nil
}

// popProposal returns who waits for the entry, and tells who lost its index.
func (t *Control) popProposal(e balsampier.Entry) chan outcome {
	p, ok := t.replica.proposals[e.Index]
	if !ok {
		return nil
	}
	delete(t.replica.proposals, e.Index)
	if p.term == e.Term {
		return p.outcome
	}
	p.outcome <- outcome{err: errProposalLost()}
	return nil
}

// failProposals answers those that a snapshot took the place of.
func (t *Control) failProposals(i balsampier.Index) {
	for x, p := range t.replica.proposals {
		if x <= i {
			p.outcome <- outcome{err: balsampier.NewError(balsampier.KindUnknown, "propose", "ask again with the same ID", nil)}
			delete(t.replica.proposals, x)
		}
	}
}

func (t *Control) completeReads(as []replicate.ReadResponse) {
	for _, a := range as {
		if c, ok := t.replica.reads[a.Token]; ok {
			delete(t.replica.reads, a.Token)
			if a.Refused {
				c <- readResult{err: errNotLeader()}
				continue
			}
			c <- readResult{index: a.Index}
		}
	}
}

func (t *Control) publishStatus() {
	s, old := t.replica.node.Status(), t.status.Load()
	if s.Role != old.Role || s.Term != old.Term || s.Leader != old.Leader {
		t.log.Info().Uint64("term", uint64(s.Term)).Str("role", s.Role.String()).Str("leader", t.nameOf(s.Leader.Instance)).Msg("replica")
		t.requestConfirmation()
	}
	t.status.Store(&s)
}

func (t *Control) nameOf(i balsampier.InstanceID) string {
	if i == t.self {
		return t.instanceSettings.Name
	}
	if p, ok := t.links.get(i); ok {
		return p.name
	}
	return ""
}

// propose orders an entry and waits for its fate. An entry that was decided in
// a term is not ordered in another one.
func (t *Control) propose(c context.Context, data []byte, n balsampier.Term) (balsampier.SubmissionAnswer, error) {
	i := input{kind: inputProposal, data: data, term: n, outcome: make(chan outcome, 1)}
	if err := t.inputs.Push(c, i); err != nil {
		return balsampier.SubmissionAnswer{}, err
	}
	select {
	case o := <-i.outcome:
		return o.answer, o.err
	case <-c.Done():
		return balsampier.SubmissionAnswer{}, balsampier.NewError(balsampier.KindUnknown, "propose", "ask again with the same ID", c.Err())
	}
}

// readLeaderIndex returns an index that covers all that was committed before the
// call, if this instance leads.
func (t *Control) readLeaderIndex(c context.Context) (balsampier.Index, error) {
	i := input{kind: inputRead, readResult: make(chan readResult, 1)}
	if err := t.inputs.Push(c, i); err != nil {
		return 0, err
	}
	select {
	case a := <-i.readResult:
		return a.index, a.err
	case <-c.Done():
		return 0, c.Err()
	}
}

func errNotLeader() error {
	return balsampier.NewError(balsampier.KindNotLeader, "lead", "ask another control instance", nil)
}

func errProposalLost() error {
	return balsampier.NewError(balsampier.KindNotLeader, "propose", "ask again with the same ID", nil)
}
