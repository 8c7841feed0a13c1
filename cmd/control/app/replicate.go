package app

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/replicate"
)

const (
	// tickPeriod is how often the time of the replicated log moves on.
	tickPeriod = 20 * time.Millisecond
	// stepTimeout bounds one call to another control instance.
	stepTimeout = time.Second
	// maxStepMessages bounds the messages in one call.
	maxStepMessages = 64
)

const (
	inputMessage inputKind = iota
	inputProposal
	inputRead
	inputDiskDone
	inputCompact
	inputTransfer
	inputOpened
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
		// read takes the answer to a read; it has room for it.
		read chan readAnswer
		// seq is the disk work that is done.
		seq uint64
		// index is that of data in inputCompact.
		index balsampier.Index
		// opening is the opening of the disk that seq belongs to.
		opening uint64
		opened  *opened
		// seeds are set in inputSeeds only.
		seeds []balsampier.InstanceID
	}

	// outcome is the fate of a proposal.
	outcome struct {
		answer balsampier.SubmissionAnswer
		err    error
	}

	readAnswer struct {
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
		// n is nil while the disk is not open.
		n *replicate.Node
		// opening numbers the opening of the disk that n started from.
		opening uint64
		// proposals are those that this instance made and that are neither
		// committed nor lost, by index.
		proposals map[balsampier.Index]proposal
		// reads are waiting for a quorum.
		reads     map[replicate.ReadToken]chan readAnswer
		nextToken replicate.ReadToken
	}
)

func newReplica() replica {
	return replica{
		proposals: make(map[balsampier.Index]proposal),
		reads:     make(map[replicate.ReadToken]chan readAnswer),
	}
}

// replicate owns the replicated log.
func (t *Control) replicate(c context.Context) error {
	var is [batchSize]input
	for {
		if err := t.handOn(c); err != nil {
			return err
		}
		k := t.clock.NewTimer(tickPeriod)
		n, err := t.inputs.PopUntil(c, is[:], k.C())
		k.Stop()
		if err != nil {
			return err
		}
		if t.replica.n != nil {
			t.replica.n.Tick(t.clock.Now())
		}
		for i := range is[:n] {
			if err := t.take(c, is[i]); err != nil {
				return err
			}
			is[i] = input{}
		}
	}
}

func (t *Control) take(c context.Context, i input) error {
	r := &t.replica
	switch {
	case i.kind == inputOpened:
		return t.open(c, i.opened)
	case i.kind == inputDiskLost:
		t.closeReplica()
	case i.kind == inputSeeds:
		t.config.Peers = i.seeds
		if r.n != nil {
			r.n.SetSeeds(i.seeds)
		}
	case r.n == nil:
		refuseInput(i)
	default:
		t.takeOpen(i)
	}
	return nil
}

// refuseInput answers what came while there is no replica.
func refuseInput(i input) {
	switch i.kind {
	case inputProposal:
		i.outcome <- outcome{err: errNotLeader()}
	case inputRead:
		i.read <- readAnswer{err: errNotLeader()}
	}
}

// takeOpen takes an input in at the replica.
func (t *Control) takeOpen(i input) {
	r := &t.replica
	switch i.kind {
	case inputMessage:
		r.n.Step(i.message)
	case inputProposal:
		t.takeProposal(i)
	case inputRead:
		r.nextToken++
		if err := r.n.Read(r.nextToken); err != nil {
			i.read <- readAnswer{err: err}
			return
		}
		r.reads[r.nextToken] = i.read
	case inputDiskDone:
		if i.opening == r.opening {
			r.n.ConfirmSave(i.seq)
		}
	case inputCompact:
		r.n.Compact(i.index, i.data)
	case inputTransfer:
		if err := r.n.TransferLeadership(); err != nil {
			t.log.Warn().Err(err).Msg("leadership not handed over")
		}
	}
}

func (t *Control) takeProposal(i input) {
	r := &t.replica
	if i.term != 0 && i.term != r.n.Status().Term {
		i.outcome <- outcome{err: errNotLeader()}
		return
	}
	x, term, err := r.n.Propose(i.data)
	if err != nil {
		i.outcome <- outcome{err: err}
		return
	}
	if p, ok := r.proposals[x]; ok {
		// The log was cut below x since then.
		p.outcome <- outcome{err: errLost()}
	}
	r.proposals[x] = proposal{term: term, outcome: i.outcome}
}

// handOn distributes what the log wants done.
func (t *Control) handOn(c context.Context) error {
	if t.replica.n == nil {
		return nil
	}
	o := t.replica.n.DrainOutput()
	for _, m := range o.Messages {
		if p, ok := t.links.get(m.To.Instance); ok {
			_ = p.out.Push(c, m)
		}
	}
	if o.DiskBatch != nil {
		if err := t.work.Push(c, batch{opening: t.replica.opening, work: *o.DiskBatch}); err != nil {
			return err
		}
	}
	t.answerReads(o.Reads)
	if o.Restore != nil {
		t.loseProposals(o.Restore.Index)
		if err := t.committed.Push(c, committed{restore: o.Restore}); err != nil {
			return err
		}
	}
	for i, e := range o.Committed {
		m := committed{entry: e, outcome: t.waiterOf(e), snapshot: o.SnapshotDue && i == len(o.Committed)-1}
		if err := t.committed.Push(c, m); err != nil {
			return err
		}
	}
	t.publishStatus()
	return nil
}

// waiterOf returns who waits for the entry, and tells who lost its index.
func (t *Control) waiterOf(e balsampier.Entry) chan outcome {
	p, ok := t.replica.proposals[e.Index]
	if !ok {
		return nil
	}
	delete(t.replica.proposals, e.Index)
	if p.term == e.Term {
		return p.outcome
	}
	p.outcome <- outcome{err: errLost()}
	return nil
}

// loseProposals answers those that a snapshot took the place of.
func (t *Control) loseProposals(i balsampier.Index) {
	for x, p := range t.replica.proposals {
		if x <= i {
			p.outcome <- outcome{err: balsampier.NewError(balsampier.KindUnknown, "propose", "ask again with the same ID", nil)}
			delete(t.replica.proposals, x)
		}
	}
}

func (t *Control) answerReads(as []replicate.ReadResponse) {
	for _, a := range as {
		if c, ok := t.replica.reads[a.Token]; ok {
			delete(t.replica.reads, a.Token)
			if a.Refused {
				c <- readAnswer{err: errNotLeader()}
				continue
			}
			c <- readAnswer{index: a.Index}
		}
	}
}

func (t *Control) publishStatus() {
	s, old := t.replica.n.Status(), t.status.Load()
	if s.Role != old.Role || s.Term != old.Term || s.Leader != old.Leader {
		t.log.Info().Uint64("term", uint64(s.Term)).Str("role", s.Role.String()).Str("leader", t.nameOf(s.Leader.Instance)).Msg("replica")
		t.askConfirmation()
	}
	t.status.Store(&s)
}

func (t *Control) nameOf(i balsampier.InstanceID) string {
	if i == t.self {
		return t.s.Name
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

// readLocal returns an index that covers all that was committed before the
// call, if this instance leads.
func (t *Control) readLocal(c context.Context) (balsampier.Index, error) {
	i := input{kind: inputRead, read: make(chan readAnswer, 1)}
	if err := t.inputs.Push(c, i); err != nil {
		return 0, err
	}
	select {
	case a := <-i.read:
		return a.index, a.err
	case <-c.Done():
		return 0, c.Err()
	}
}

func errNotLeader() error {
	return balsampier.NewError(balsampier.KindNotLeader, "lead", "ask another control instance", nil)
}

func errLost() error {
	return balsampier.NewError(balsampier.KindNotLeader, "propose", "ask again with the same ID", nil)
}
