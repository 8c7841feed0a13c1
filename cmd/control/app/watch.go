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
	// confirmPeriod is how often a quorum is asked whether the state is the
	// newest.
	confirmPeriod = 500 * time.Millisecond
	// confirmRetry is how soon it is asked again after a failure, such as
	// while a leader is elected; members that start wait for it.
	confirmRetry = 50 * time.Millisecond
	// confirmWait bounds one try: several round trips between regions.
	confirmWait = 500 * time.Millisecond
	// confirmValid is how long a confirmation is passed on.
	confirmValid = time.Second
)

type (
	// confirmations holds the newest confirmation by a quorum.
	confirmations struct {
		newest atomic.Pointer[confirmedState]
	}

	confirmedState struct {
		// at is when the confirmation was asked for; zero before the first.
		at time.Time
		// newer is closed when there is a newer one.
		newer chan struct{}
	}
)

func newConfirmations() *confirmations {
	f := new(confirmations)
	f.newest.Store(&confirmedState{newer: make(chan struct{})})
	return f
}

func (f *confirmations) load() *confirmedState { return f.newest.Load() }

// publish is called by one thread.
func (f *confirmations) publish(at time.Time) {
	old := f.newest.Swap(&confirmedState{at: at, newer: make(chan struct{})})
	close(old.newer)
}

// askConfirmation lets the thread that confirms ask at once.
func (t *Control) askConfirmation() {
	select {
	case t.unconfirmed <- struct{}{}:
	default:
	}
}

// keepConfirmed asks a quorum again and again whether the state is the newest.
func (t *Control) keepConfirmed(c context.Context) error {
	for c.Err() == nil {
		asked, d := t.clock.Now(), confirmRetry
		x, cancel := context.WithTimeout(c, confirmWait)
		if _, err := t.confirmed(x); err == nil {
			t.confirm.publish(asked)
			d = confirmPeriod
		}
		cancel()
		k := t.clock.NewTimer(d)
		select {
		case <-k.C():
		case <-t.unconfirmed:
		case <-c.Done():
		}
		k.Stop()
	}
	return c.Err()
}

// Watch implements peer.ControlHandler.
func (t *Control) Watch(c context.Context, w balsampier.WatchRequest, send func(balsampier.WatchMessage) error) error {
	began := t.clock.Now()
	t.askConfirmation()
	b := members.NewPublisher(members.InterestOf(w.Member, t.s.LocalAgents), peer.Sizes(), t.s.WatchBudget, w.Position, began)
	for {
		p, confirmed := t.published.Load(), t.confirm.load()
		m, wait, ok := t.next(b, p, began)
		if ok {
			if err := send(m); err != nil {
				return err
			}
			continue
		}
		k := t.clock.NewTimer(wait)
		select {
		case <-p.changed:
		case <-confirmed.newer:
		case <-k.C():
		case <-c.Done():
			k.Stop()
			return c.Err()
		}
		k.Stop()
	}
}

// next returns the next message of a stream that began at the given time.
func (t *Control) next(b *members.Publisher, p *published, began time.Time) (balsampier.WatchMessage, time.Duration, bool) {
	now := t.clock.Now()
	// The confirmation is read first: what is published by now covers it.
	at := t.confirm.load().at
	p = t.newer(p)
	t.historyMu.RLock()
	defer t.historyMu.RUnlock()
	return b.Next(members.Source{
		Rules: p.rules, Earlier: p.earlier, History: t.history, Active: balsampier.Epoch(t.active.Load()),
		Confirmed: at.After(began) && now.Sub(at) < confirmValid,
	}, now)
}

func (t *Control) newer(p *published) *published {
	if n := t.published.Load(); n.applied > p.applied {
		return n
	}
	return p
}
