package app

import (
	"context"
	"slices"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/ring"
)

type (
	// applyInput is one message to the apply thread.
	applyInput struct {
		// restore is a snapshot that replaces the state; nil for entries.
		restore *balsampier.Snapshot
		// reset clears the state, which is then rebuilt from the log.
		reset bool
		entry balsampier.Entry
		// outcome receives the result of the entry; nil if no caller waits.
		outcome chan outcome
		// snapshotDue requests a snapshot after the entry.
		snapshotDue bool
		// lookup requests the recorded answer to a submission instead of
		// applying an entry; zero for entries.
		lookup balsampier.SubmissionID
	}

	// state is owned by the apply thread.
	state struct {
		machine *apply.State
		applied balsampier.Index
	}
)

// apply is the thread that applies committed entries to the state machine and
// publishes the result.
func (t *Control) apply(c context.Context) error {
	var ms [batchSize]applyInput
	for {
		n, err := t.committed.Pop(c, ms[:])
		if err != nil {
			return err
		}
		for i := range ms[:n] {
			if err := t.handleApplyInput(c, ms[i]); err != nil {
				return err
			}
			ms[i] = applyInput{}
		}
		t.publish()
	}
}

func (t *Control) handleApplyInput(c context.Context, m applyInput) error {
	if m.reset {
		t.state = state{machine: new(apply.State)}
		return nil
	}
	if m.restore != nil {
		return t.restore(*m.restore)
	}
	if m.lookup != (balsampier.SubmissionID{}) {
		a, _ := t.state.machine.Answer(m.lookup)
		m.outcome <- outcome{answer: a}
		return nil
	}
	o, err := t.applyEntry(m.entry)
	if err != nil {
		return err
	}
	t.state.applied = m.entry.Index
	if m.outcome != nil {
		// Publish first, so that the caller can read the state that its answer
		// refers to.
		t.publish()
		m.outcome <- o
	}
	if !m.snapshotDue {
		return nil
	}
	b, err := peer.EncodeSnapshot(t.state.machine.Snapshot())
	if err != nil {
		return err
	}
	// A full ring drops the snapshot; the log requests it again.
	return t.inputs.PushWith(c, input{kind: inputCompact, index: m.entry.Index, data: b}, ring.DropNewest)
}

func (t *Control) applyEntry(e balsampier.Entry) (outcome, error) {
	if e.Kind != balsampier.EntryCommand {
		return outcome{}, nil
	}
	s, m, cs, err := peer.DecodeEntry(e.Data)
	switch {
	case err != nil:
		return outcome{}, err
	case m != nil:
		t.state.machine.ChangeMembers(*m)
		return outcome{}, nil
	case s != nil:
		return outcome{answer: t.state.machine.Submit(*s)}, nil
	}
	t.state.machine.RecordCompletions(cs)
	return outcome{}, nil
}

func (t *Control) restore(s balsampier.Snapshot) error {
	t.state.applied = s.Index
	if len(s.Data) == 0 {
		return nil
	}
	p, err := peer.DecodeSnapshot(s.Data)
	if err != nil {
		return err
	}
	t.state.machine, err = apply.Restore(p)
	return err
}

func (t *Control) publish() {
	old := t.published.Load()
	if old.applied >= t.state.applied {
		// While the state is rebuilt, keep the last complete one published.
		return
	}
	n := &publishedState{
		rules: t.state.machine.Rules, earlier: old.earlier, view: t.state.machine.View, claims: t.state.machine.Claims, applied: t.state.applied,
		changed: make(chan struct{}),
	}
	if n.rules.Revision != old.rules.Revision {
		n.earlier = append(slices.Clone(old.earlier), old.rules)
		n.earlier = n.earlier[max(0, len(n.earlier)-maxEarlierRules):]
	}
	t.historyMu.Lock()
	t.history.Add(n.view)
	t.historyMu.Unlock()
	t.published.Store(n)
	close(old.changed)
}

// waitApplied waits until the entry at i is applied and returns the state.
func (t *Control) waitApplied(c context.Context, i balsampier.Index) (*publishedState, error) {
	for {
		p := t.published.Load()
		if p.applied >= i {
			return p, nil
		}
		select {
		case <-p.changed:
		case <-c.Done():
			return nil, c.Err()
		}
	}
}

// confirmedState returns a state that covers everything committed before the
// call, after a quorum has confirmed the leader.
func (t *Control) confirmedState(c context.Context) (*publishedState, error) {
	i, err := t.readIndex(c)
	if err != nil {
		return nil, err
	}
	return t.waitApplied(c, i)
}

// readIndex queries the leader, which may be this instance, for an index that
// covers everything committed before the call.
func (t *Control) readIndex(c context.Context) (balsampier.Index, error) {
	l := t.status.Load().Leader.Instance
	if l == t.self {
		return t.readLeaderIndex(c)
	}
	p, ok := t.links.getOrCreate(l)
	if !ok {
		return 0, errNoLeader()
	}
	return p.caller.ReadIndex(c)
}

func errNoLeader() error {
	return balsampier.NewError(balsampier.KindUnavailable, "find the leader",
		"try another control instance; check that a majority of them runs", nil)
}
