package app

import (
	"context"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/ring"
)

// maxCompletions bounds the claim completions in one log entry.
const maxCompletions = 2000

// uncommittedCompletion returns the claim epoch that the member reports as
// complete, or zero if the committed state already has it or does not expect
// it.
func (t *Control) uncommittedCompletion(r balsampier.Renewal) balsampier.Epoch {
	a := t.published.Load().claims[r.Member.Service]
	if a.Awaits(r.Member.Holder(), r.CompleteEpoch) {
		return r.CompleteEpoch
	}
	return 0
}

// claimState returns the committed claim state of the member's service. It may
// be older than the state of the leader, but never newer than what is
// committed. The group is omitted if the member already has it.
func (t *Control) claimState(r balsampier.Renewal) balsampier.ClaimState {
	p := t.published.Load()
	a := p.claims[r.Member.Service]
	s := a.State(p.view.Epoch)
	if s.Group.Epoch == r.GroupEpoch {
		s.Group = balsampier.ClaimGroup{Epoch: r.GroupEpoch}
	}
	return s
}

// addCompletions queues the completions of a digest at the leader. Completions
// above maxCompletions are dropped; their members report them again with the
// next renewal.
func (t *Control) addCompletions(cs []apply.Completion) {
	m := &t.leases
	m.completions = append(m.completions, cs[:min(len(cs), maxCompletions-len(m.completions))]...)
}

// proposeCompletions proposes the queued completions, one batch at a time. If a
// batch is lost, its members report the completions again.
func (t *Control) proposeCompletions(c context.Context) {
	m := &t.leases
	if m.table == nil || m.proposingCompletions || len(m.completions) == 0 {
		return
	}
	cs, n := m.completions, m.term
	m.completions, m.proposingCompletions = nil, true
	go func() {
		x, cancel := context.WithTimeout(c, confirmTimeout)
		defer cancel()
		b, err := peer.EncodeCompletions(cs)
		if err == nil {
			_, err = t.propose(x, b, n)
		}
		if err != nil && c.Err() == nil {
			t.log.Warn().Err(err).Int("holders", len(cs)).Msg("claim completions not committed; the holders report them again")
		}
		_ = t.commands.PushWith(c, leaseCommand{completionsDone: true}, ring.Block)
	}()
}
