package app

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/replicate"
)

const (
	// tickInterval is the longest time between two ticks of the replicated log.
	tickInterval = 20 * time.Millisecond
	// stepTimeout bounds one call to another control instance.
	stepTimeout = time.Second
	// maxStepMessages bounds the number of messages in one call.
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
	// inputKind identifies the event or request that an input carries.
	inputKind uint8

	// input is one message to the replicate thread.
	input struct {
		kind    inputKind
		message replicate.Message
		data    []byte
		// term is the term that a proposal is valid in; zero if it may be
		// proposed in any term.
		term balsampier.Term
		// outcome receives the result of a proposal; it has a buffer of one.
		outcome chan outcome
		// readResult receives the result of a read; it has a buffer of one.
		readResult chan readResult
		// seq is the sequence number of the log batch that was saved.
		seq uint64
		// index is the log index of the snapshot in data, for inputCompact.
		index balsampier.Index
		// generation identifies the opening of the data folder that seq
		// belongs to.
		generation  uint64
		openedStore *openedStore
		// seeds is set for inputSeeds only.
		seeds []balsampier.InstanceID
	}

	// outcome is the result of a proposal.
	outcome struct {
		answer balsampier.SubmissionAnswer
		err    error
	}

	// readResult is the result of a read: the index that it must wait for.
	readResult struct {
		index balsampier.Index
		err   error
	}

	// proposal is a pending entry: it waits to be committed or lost.
	proposal struct {
		term    balsampier.Term
		outcome chan outcome
	}

	// replica is owned by the replicate thread.
	replica struct {
		// node is nil while the data folder is not open.
		node *replicate.Node
		// generation identifies the opening of the data folder that node
		// started from.
		generation uint64
		// proposals holds the pending proposals of this instance by log index.
		proposals map[balsampier.Index]proposal
		// reads holds the reads that wait for a quorum.
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

// replicate is the thread that owns the replicated log.
func (t *Control) replicate(c context.Context) error {
	var is [batchSize]input
	defer t.stopReplicate()
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

// stopReplicate ends the calls that wait for the replicate thread, which has
// stopped.
func (t *Control) stopReplicate() {
	t.failPending()
	t.inputs.Close()
	var is [batchSize]input
	for {
		n, err := t.inputs.Pop(context.Background(), is[:])
		if err != nil {
			return
		}
		for _, i := range is[:n] {
			refuseInput(i)
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

// refuseInput fails a proposal or read that arrives while there is no replica.
// Other inputs are dropped.
func refuseInput(i input) {
	switch i.kind {
	case inputProposal:
		i.outcome <- outcome{err: errNotLeader()}
	case inputRead:
		i.readResult <- readResult{err: errNotLeader()}
	}
}

// handleReplicaInput passes an input to the replica. The data folder is open.
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
			t.log.Warn().Err(err).Msg("leadership transfer failed")
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
		// The log was truncated below x since the older proposal.
		p.outcome <- outcome{err: errProposalLost()}
	}
	r.proposals[x] = proposal{term: term, outcome: i.outcome}
}

// dispatchOutput passes the output of the replica on: messages to the links,
// log batches to the save thread, read results to their callers, and committed
// entries to the apply thread.
func (t *Control) dispatchOutput(c context.Context) error {
	if t.replica.node == nil {
		return nil
	}
	o := t.replica.node.DrainOutput()
	for _, m := range o.Messages {
		if p, ok := t.links.getOrCreate(m.To.Instance); ok {
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

// popProposal removes the pending proposal at the index of e and returns its
// outcome channel. It returns nil if there is none, or if e has another term:
// the proposal is then lost and fails.
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

// failProposals fails the pending proposals up to i, which a restored snapshot
// covers. Their result is unknown.
func (t *Control) failProposals(i balsampier.Index) {
	for x, p := range t.replica.proposals {
		if x <= i {
			p.outcome <- outcome{err: balsampier.NewError(balsampier.KindUnknown, "propose", "retry with the same ID", nil)}
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
	if s.Bootstrap.Promised != old.Bootstrap.Promised || s.Bootstrap.Accepted != old.Bootstrap.Accepted {
		t.log.Info().Uint64("round", uint64(s.Bootstrap.Promised)).Uint64("accepted", uint64(s.Bootstrap.Accepted)).Msg("bootstrap round")
	}
	t.status.Store(&s)
}

func (t *Control) nameOf(i balsampier.InstanceID) string {
	if i == t.self {
		return t.instanceSettings.Name
	}
	if p, ok := t.links.getOrCreate(i); ok {
		return p.name
	}
	return ""
}

// propose appends an entry to the log and waits until it is committed or lost.
// A term n other than zero is the only one in which the entry may be appended.
// If c ends first, the error is KindUnknown: the entry may still be committed.
func (t *Control) propose(c context.Context, data []byte, n balsampier.Term) (balsampier.SubmissionAnswer, error) {
	i := input{kind: inputProposal, data: data, term: n, outcome: make(chan outcome, 1)}
	if err := t.inputs.Push(c, i); err != nil {
		return balsampier.SubmissionAnswer{}, err
	}
	select {
	case o := <-i.outcome:
		return o.answer, o.err
	case <-c.Done():
		return balsampier.SubmissionAnswer{}, balsampier.NewError(balsampier.KindUnknown, "propose", "retry with the same ID", c.Err())
	}
}

// readLeaderIndex returns an index that covers everything committed before the
// call. It fails with KindNotLeader unless this instance is the leader.
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
	return balsampier.NewError(balsampier.KindNotLeader, "propose", "retry with the same ID", nil)
}
