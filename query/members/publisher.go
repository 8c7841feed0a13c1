package members

import (
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// DefaultBudget is what one watch stream may send in a second, in bytes.
	DefaultBudget = 14_000

	// HeartbeatInterval is the time between messages when nothing changes.
	HeartbeatInterval = 500 * time.Millisecond

	// budgetDivisor is how many parts of equal length fit a second's budget. One
	// of them is kept for the burst at its start, so that no second exceeds
	// the budget.
	budgetDivisor = 8
)

type (
	// Source is what a control instance knows when it publishes.
	Source struct {
		// Rules is the newest rule file.
		Rules balsampier.RuleFile
		// Earlier are some rule files before Rules, for deltas.
		Earlier []balsampier.RuleFile
		// History holds the newest view.
		History *History
		// Active is the newest active epoch.
		Active balsampier.Epoch
		// Confirmed tells that a quorum confirmed Rules and History after the
		// stream began.
		Confirmed bool
	}

	// Publisher decides what to send next to one watcher: of rules and view
	// the one with less left to send, so that neither a long rule file nor a
	// snapshot holds up a short delta; heartbeats otherwise.
	Publisher struct {
		interest Interest
		sizes    Sizes
		// budget is in bytes a second.
		budget int
		// tokens may be sent at time filled; at most part().
		tokens int
		refilledAt time.Time
		// lastSentAt is when the newest message was lastSentAt.
		lastSentAt time.Time
		// confirmationSent is true once a message said that the state is confirmed.
		confirmationSent bool
		// position is what the watcher has after all that was sent.
		position Position
		// base is the rule file of position; zero when it is not known.
		base balsampier.RuleFile
		// rules and view are what is being sent; nil when nothing is.
		rules *RulesDelta
		view  *Delta
	}
)

// NewPublisher returns the publisher of a stream that begins at time t.
func NewPublisher(i Interest, z Sizes, budget int, p Position, t time.Time) *Publisher {
	b := &Publisher{interest: i, sizes: z, budget: budget, position: p, refilledAt: t}
	b.tokens = b.maxMessageSize()
	return b
}

// Next returns the message to send at time t; without one it returns how long
// to wait unless the source changes.
func (p *Publisher) Next(s Source, t time.Time) (m Message, wait time.Duration, ok bool) {
	p.refillTokens(t)
	p.startDeltas(s)
	m = Message{
		Confirmed: s.Confirmed, Revision: s.Rules.Revision, Epoch: s.History.View().Epoch, Active: s.Active,
	}
	n := p.sizes.Message
	idle := p.rules == nil && p.view == nil
	switch {
	case idle && (t.Sub(p.lastSentAt) >= HeartbeatInterval || s.Confirmed && !p.confirmationSent):
	case idle:
		return m, HeartbeatInterval - t.Sub(p.lastSentAt), false
	case p.tokens < p.maxMessageSize():
		return m, p.refillDelay(p.maxMessageSize() - p.tokens), false
	case p.view == nil || p.rules != nil && p.pendingRulesSize() <= p.pendingViewSize():
		n += p.addRulesPart(&m)
	default:
		n += p.addViewPart(&m)
	}
	p.tokens -= n
	p.lastSentAt, p.confirmationSent = t, s.Confirmed
	return m, 0, true
}

// maxMessageSize is the bound of a message's length.
func (p *Publisher) maxMessageSize() int { return p.budget / budgetDivisor }

func (p *Publisher) rate() int { return p.budget - p.maxMessageSize() }

func (p *Publisher) refillTokens(t time.Time) {
	if n := int(t.Sub(p.refilledAt) * time.Duration(p.rate()) / time.Second); n > 0 {
		p.tokens = min(p.maxMessageSize(), p.tokens+n)
		p.refilledAt = t
	}
}

func (p *Publisher) refillDelay(n int) time.Duration {
	return (time.Duration(n)*time.Second + time.Duration(p.rate()) - 1) / time.Duration(p.rate())
}

// startDeltas starts to send what the watcher lacks. What is being sent is sent to
// its end first, so that a stream of changes cannot keep it from ending.
func (p *Publisher) startDeltas(s Source) {
	if p.rules == nil && s.Rules.Revision > p.position.Revision {
		d := NewRulesDelta(p.watcherRules(s), s.Rules)
		p.rules, p.position.Revision, p.base = &d, s.Rules.Revision, s.Rules
	}
	if e := s.History.View().Epoch; p.view == nil && e > p.position.Epoch {
		d := s.History.Delta(p.position.Epoch, p.interest)
		p.view, p.position.Epoch = &d, e
	}
}

func (p *Publisher) watcherRules(s Source) balsampier.RuleFile {
	if p.base.Revision == p.position.Revision {
		return p.base
	}
	for _, f := range s.Earlier {
		if f.Revision == p.position.Revision {
			return f
		}
	}
	return balsampier.RuleFile{}
}
