package app

import (
	"context"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/ring"
)

// maxCompletions bounds one log record of completions.
const maxCompletions = 2000

// uncommittedCompletion returns the claim epoch that the member says it completed, if
// the committed state does not have that yet.
func (t *Control) uncommittedCompletion(r balsampier.Renewal) balsampier.Epoch {
	a := t.published.Load().claims[r.Member.Service]
	if a.Awaits(r.Member.Holder(), r.CompleteEpoch) {
		return r.CompleteEpoch
	}
	return 0
}

// claimState returns what was committed about the claims of the member's
// service. It may be older than what the leader knows, never newer than what
// was committed. The group is left out where the member has it.
func (t *Control) claimState(r balsampier.Renewal) balsampier.ClaimState {
	p := t.published.Load()
	a := p.claims[r.Member.Service]
	s := a.State(p.view.Epoch)
	if s.Group.Epoch == r.GroupEpoch {
		s.Group = balsampier.ClaimGroup{Epoch: r.GroupEpoch}
	}
	return s
}

// addCompletions notes at the leader what a digest brought. What finds no
// room is said again with the next renewal.
func (t *Control) addCompletions(cs []apply.Completion) {
	m := &t.leases
	m.completions = append(m.completions, cs[:min(len(cs), maxCompletions-len(m.completions))]...)
}

// proposeCompletions logs them, one batch at a time. A batch that is lost is
// said again by its members.
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
			t.log.Warn().Err(err).Int("holders", len(cs)).Msg("completed claims not logged; the holders say it again")
		}
		_ = t.commands.PushWith(c, leaseCommand{completionsDone: true}, ring.Block)
	}()
}
