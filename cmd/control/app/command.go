package app

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/operator/rulefile"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/query/zonetable"
)

// leaseTick is how often membership changes are batched into the log.
const leaseTick = 100 * time.Millisecond

type (
	// command is one message to the command thread; one field is set.
	command struct {
		renew  *renewal
		submit *record
		// rollouts takes the roll-out; it has room for it.
		rollouts chan []lease.Rollout
	}

	renewal struct {
		member  balsampier.Member
		applied balsampier.Revision
		// done is closed once the lease is renewed.
		done chan struct{}
	}
)

// Renew implements peer.ControlHandler.
func (t *Control) Renew(c context.Context, m balsampier.Member, r balsampier.Revision) (balsampier.Lease, error) {
	n := &renewal{member: m, applied: r, done: make(chan struct{})}
	if err := t.commands.Push(c, command{renew: n}); err != nil {
		return balsampier.Lease{}, err
	}
	select {
	case <-n.done:
	case <-c.Done():
		return balsampier.Lease{}, c.Err()
	}
	p := t.published.Load()
	return balsampier.Lease{Term: t.s.LeaseTerm, Epoch: p.view.Epoch, Revision: p.rules.Revision}, nil
}

// Submit implements operator.RuleCommands.
func (t *Control) Submit(c context.Context, b balsampier.Submission) (balsampier.SubmissionAnswer, []balsampier.Problem, error) {
	var none balsampier.SubmissionAnswer
	f, ps := rulefile.Parse(b.Text)
	if rulefile.Failed(ps) {
		return none, ps, balsampier.NewError(balsampier.KindInvalid, "read rule file", "correct the lines named and submit again", nil)
	}
	b.At = t.clock.Now()
	z, err := zonetable.Compile(f.Rules, f.Clocks, b.At)
	if err != nil {
		return none, ps, err
	}
	b.Zones = z
	e, err := peer.EncodeSubmission(b)
	if err != nil {
		return none, ps, err
	}
	r := &record{b: e, submission: &b, answer: make(chan balsampier.SubmissionAnswer, 1)}
	if err := t.commands.Push(c, command{submit: r}); err != nil {
		return none, ps, err
	}
	select {
	case a := <-r.answer:
		return a, ps, nil
	case <-c.Done():
		return none, ps, balsampier.NewError(balsampier.KindUnknown, "submit rules", "submit again with the same ID", c.Err())
	}
}

// takeCommands owns the leases.
func (t *Control) takeCommands(c context.Context) error {
	var cs [batchSize]command
	for {
		k := t.clock.NewTimer(leaseTick)
		n, err := t.commands.PopUntil(c, cs[:], k.C())
		k.Stop()
		if err != nil {
			return err
		}
		for _, m := range cs[:n] {
			if err := t.take(c, m); err != nil {
				return err
			}
		}
		if err := t.logMembership(c); err != nil {
			return err
		}
	}
}

func (t *Control) take(c context.Context, m command) error {
	switch {
	case m.renew != nil:
		t.leases.Renew(m.renew.member, m.renew.applied, t.clock.Now())
		close(m.renew.done)
	case m.submit != nil:
		return t.records.Push(c, *m.submit)
	case m.rollouts != nil:
		m.rollouts <- t.leases.Rollouts()
	}
	return nil
}

func (t *Control) logMembership(c context.Context) error {
	m, ok := t.leases.Changes(t.clock.Now())
	if !ok {
		return nil
	}
	b, err := peer.EncodeMembership(m)
	if err != nil {
		return err
	}
	return t.records.Push(c, record{b: b, membership: &m})
}
