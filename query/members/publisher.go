package members

import (
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// DefaultBudget limits the bytes per second that one watch stream sends.
	DefaultBudget = 14_000

	// HeartbeatInterval is the time between messages if nothing changes.
	HeartbeatInterval = 500 * time.Millisecond

	// budgetDivisor divides the budget of a second into messages of equal
	// maximum size. One of them is reserved for the burst at the beginning, so
	// that no second exceeds the budget.
	budgetDivisor = 8
)

type (
	// Source is the state that a control instance publishes.
	Source struct {
		// Rules is the newest rule file.
		Rules balsampier.RuleFile
		// Earlier holds some of the previous rule files, as bases for deltas.
		Earlier []balsampier.RuleFile
		// History holds the newest view.
		History *History
		// Active is the newest active epoch.
		Active balsampier.Epoch
		// Confirmed is true if a quorum confirmed Rules and History after the
		// stream began.
		Confirmed bool
	}

	// Publisher decides which message to send next to one watcher. Of the
	// pending rules and view it sends the one with fewer bytes left, so that
	// neither a long rule file nor a snapshot delays a short delta. If nothing
	// is pending, it sends heartbeats.
	Publisher struct {
		interest Interest
		sizes    Sizes
		// budget is in bytes per second.
		budget int
		// tokens is how many bytes may be sent as of refilledAt; at most
		// maxMessageSize.
		tokens     int
		refilledAt time.Time
		// lastSentAt is when the last message was sent.
		lastSentAt time.Time
		// confirmationSent is true if the last message had Confirmed set.
		confirmationSent bool
		// position is the state of the watcher after all sent and pending
		// deltas.
		position Position
		// base is the rule file at position.Revision; zero if unknown.
		base balsampier.RuleFile
		// rules and view are the pending deltas; nil if there are none.
		rules *RulesDelta
		view  *Delta
	}
)

// NewPublisher returns a publisher for a stream that begins at time t, to a
// watcher at position p. The budget is in bytes per second.
func NewPublisher(i Interest, z Sizes, budget int, p Position, t time.Time) *Publisher {
	b := &Publisher{interest: i, sizes: z, budget: budget, position: p, refilledAt: t}
	b.tokens = b.maxMessageSize()
	return b
}

// Next returns the message to send at time t. If there is none, ok is false and
// wait is the time until the next one, unless the source changes earlier.
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

// maxMessageSize returns the size in bytes into which deltas are split. A
// message can exceed it if a single member, or a rule file's zone tables, do;
// tokens are then negative until refilled.
func (p *Publisher) maxMessageSize() int { return p.budget / budgetDivisor }

// rate returns how many tokens are refilled per second.
func (p *Publisher) rate() int { return p.budget - p.maxMessageSize() }

func (p *Publisher) refillTokens(t time.Time) {
	if n := int(t.Sub(p.refilledAt) * time.Duration(p.rate()) / time.Second); n > 0 {
		p.tokens = min(p.maxMessageSize(), p.tokens+n)
		p.refilledAt = t
	}
}

// refillDelay returns how long it takes to refill n tokens.
func (p *Publisher) refillDelay(n int) time.Duration {
	return (time.Duration(n)*time.Second + time.Duration(p.rate()) - 1) / time.Duration(p.rate())
}

// startDeltas computes the deltas that the watcher lacks. A pending delta is
// sent completely before the next one of its kind is computed, so that
// continuous changes cannot keep it from completing.
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

// watcherRules returns the rule file that the watcher has; zero if unknown.
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
