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
	// confirmInterval is how often a quorum is asked whether the state is the
	// newest.
	confirmInterval = 500 * time.Millisecond
	// confirmRetryDelay is how soon it is asked again after a failure, such as
	// while a leader is elected; members that start wait for it.
	confirmRetryDelay = 50 * time.Millisecond
	// confirmAttemptTimeout bounds one try: several round trips between regions.
	confirmAttemptTimeout = 500 * time.Millisecond
	// confirmationTTL is how long a confirmation is passed on.
	confirmationTTL = time.Second
)

type (
	// confirmations holds the newest confirmation by a quorum.
	confirmations struct {
		newest atomic.Pointer[stateConfirmation]
	}

	stateConfirmation struct {
		// at is when the confirmation was asked for; zero before the first.
		at time.Time
		// superseded is closed when there is a superseded one.
		superseded chan struct{}
	}
)

func newConfirmations() *confirmations {
	f := new(confirmations)
	f.newest.Store(&stateConfirmation{superseded: make(chan struct{})})
	return f
}

func (f *confirmations) load() *stateConfirmation { return f.newest.Load() }

// publish is called by one thread.
func (f *confirmations) publish(at time.Time) {
	old := f.newest.Swap(&stateConfirmation{at: at, superseded: make(chan struct{})})
	close(old.superseded)
}

// requestConfirmation lets the thread that confirms ask at once.
func (t *Control) requestConfirmation() {
	select {
	case t.confirmNow <- struct{}{}:
	default:
	}
}

// refreshConfirmation asks a quorum again and again whether the state is the newest.
func (t *Control) refreshConfirmation(c context.Context) error {
	for c.Err() == nil {
		asked, d := t.clock.Now(), confirmRetryDelay
		x, cancel := context.WithTimeout(c, confirmAttemptTimeout)
		if _, err := t.confirmedState(x); err == nil {
			t.confirmations.publish(asked)
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

// Watch implements peer.ControlHandler.
func (t *Control) Watch(c context.Context, w balsampier.WatchRequest, send func(balsampier.WatchMessage) error) error {
	began := t.clock.Now()
	t.requestConfirmation()
	b := members.NewPublisher(members.InterestOf(w.Member, t.instanceSettings.LocalAgents), peer.Sizes(), t.instanceSettings.WatchBudget, w.Position, began)
	for {
		p, confirmed := t.published.Load(), t.confirmations.load()
		m, wait, ok := t.nextMessage(b, p, began)
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

// nextMessage returns the nextMessage message of a stream that began at the given time.
func (t *Control) nextMessage(b *members.Publisher, p *publishedState, began time.Time) (balsampier.WatchMessage, time.Duration, bool) {
	now := t.clock.Now()
	// The confirmation is read first: what is published by now covers it.
	at := t.confirmations.load().at
	p = t.newestPublished(p)
	t.historyMu.RLock()
	defer t.historyMu.RUnlock()
	return b.Next(members.Source{
		Rules: p.rules, Earlier: p.earlier, History: t.history, Active: balsampier.Epoch(t.activeEpoch.Load()),
		Confirmed: at.After(began) && now.Sub(at) < confirmationTTL,
	}, now)
}

func (t *Control) newestPublished(p *publishedState) *publishedState {
	if n := t.published.Load(); n.applied > p.applied {
		return n
	}
	return p
}
