package app

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/query/members"
)

const (
	// confirmInterval is how often a quorum is queried whether the state is the
	// newest.
	confirmInterval = 500 * time.Millisecond
	// confirmRetryDelay is the wait after a failed query, such as during an
	// election; it is short because starting members wait for a confirmation.
	confirmRetryDelay = 50 * time.Millisecond
	// confirmAttemptTimeout bounds one query: several round trips between
	// regions.
	confirmAttemptTimeout = 500 * time.Millisecond
	// confirmationTTL is how long a confirmation is reported to watchers.
	confirmationTTL = time.Second
)

type (
	// confirmations holds the newest confirmation of the state by a quorum.
	confirmations struct {
		newest atomic.Pointer[stateConfirmation]
	}

	// stateConfirmation is a confirmation that the state was the newest at a
	// time.
	stateConfirmation struct {
		// at is when the confirmation was requested; zero before the first one.
		at time.Time
		// superseded is closed when a newer confirmation is published.
		superseded chan struct{}
	}
)

func newConfirmations() *confirmations {
	f := new(confirmations)
	f.newest.Store(&stateConfirmation{superseded: make(chan struct{})})
	return f
}

func (f *confirmations) load() *stateConfirmation { return f.newest.Load() }

// publish replaces the newest confirmation. Only one thread may call it.
func (f *confirmations) publish(at time.Time) {
	old := f.newest.Swap(&stateConfirmation{at: at, superseded: make(chan struct{})})
	close(old.superseded)
}

// requestConfirmation makes the confirm thread query a quorum at once.
func (t *Control) requestConfirmation() {
	select {
	case t.confirmNow <- struct{}{}:
	default:
	}
}

// refreshConfirmation is the thread that regularly queries a quorum whether the
// state is the newest.
func (t *Control) refreshConfirmation(c context.Context) error {
	for c.Err() == nil {
		requestedAt, d := t.clock.Now(), confirmRetryDelay
		x, cancel := context.WithTimeout(c, confirmAttemptTimeout)
		if _, err := t.confirmedState(x); err == nil {
			t.confirmations.publish(requestedAt)
			d = confirmInterval
		}
		cancel()
		k := t.clock.NewTimer(d)
		select {
		case <-k.C():
		case <-t.confirmNow:
		case <-c.Done():
		}
		k.Stop()
	}
	return c.Err()
}

// Watch implements peer.ControlHandler. An instance without a log refuses at once,
// because it cannot tell when it will have one.
func (t *Control) Watch(c context.Context, w balsampier.WatchRequest, send func(balsampier.WatchMessage) error) error {
	if t.status.Load().Blank {
		return errNoLeader()
	}
	startedAt := t.clock.Now()
	t.requestConfirmation()
	b := members.NewPublisher(members.InterestOf(w.Member, t.instanceSettings.LocalAgents), peer.Sizes(), t.instanceSettings.WatchBudget, w.Position, startedAt)
	for {
		p, confirmed := t.published.Load(), t.confirmations.load()
		m, wait, ok := t.nextMessage(b, p, startedAt)
		if ok {
			if err := send(m); err != nil {
				return err
			}
			continue
		}
		k := t.clock.NewTimer(wait)
		select {
		case <-p.changed:
		case <-confirmed.superseded:
		case <-k.C():
		case <-c.Done():
			k.Stop()
			return c.Err()
		}
		k.Stop()
	}
}

// nextMessage returns the next message of a stream that started at startedAt.
// If there is none yet, it returns false and how long to wait at most.
func (t *Control) nextMessage(b *members.Publisher, p *publishedState, startedAt time.Time) (balsampier.WatchMessage, time.Duration, bool) {
	now := t.clock.Now()
	// Load the confirmation before the state: a state loaded later covers it.
	at := t.confirmations.load().at
	p = t.newestPublished(p)
	t.historyMu.RLock()
	defer t.historyMu.RUnlock()
	return b.Next(members.Source{
		Rules: p.rules, Earlier: p.earlier, History: t.history, Active: balsampier.Epoch(t.activeEpoch.Load()),
		Confirmed: at.After(startedAt) && now.Sub(at) < confirmationTTL,
	}, now)
}

// newestPublished returns p or the published state, whichever is newer.
func (t *Control) newestPublished(p *publishedState) *publishedState {
	if n := t.published.Load(); n.applied > p.applied {
		return n
	}
	return p
}
