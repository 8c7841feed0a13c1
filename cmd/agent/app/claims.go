package app

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/answer"
	"github.com/balsampier/balsampier/command/claim"
	"github.com/balsampier/balsampier/ring"
)

const (
	// claimTick is how often late claims are sent again, and claims copied,
	// while there is something to do; claimIdle how often old claims are
	// forgotten otherwise.
	claimTick = 20 * time.Millisecond
	claimIdle = time.Second
	// nudgePeriod is how often control is asked for news while the group is
	// not active, for no longer than nudgeFor after it was published.
	nudgePeriod = 200 * time.Millisecond
	nudgeFor    = 10 * time.Second
)

type (
	// claims is the thread that owns the claims, the runners and the kept
	// answers of an agent.
	claims struct {
		self     balsampier.Holder
		clock    balsampier.Clock
		messages *ring.Ring[claimMessage]
		// calls leads to the thread that calls other agents. A call that finds
		// no room is made again by the next tick.
		calls *ring.Ring[claimCall]
		// nudge asks control for news.
		nudge func()
		// complete is the newest complete epoch, for other threads.
		complete atomic.Uint64
		// adopted is the newest adopted group, for other threads.
		adopted atomic.Uint64

		// The rest belongs to the thread.

		epochs   *claim.Epochs
		holder   *claim.Holder
		answers  *answer.Table
		attempts claim.Attempts
		// runs are the requests that were opened here and have no outcome.
		runs map[runID]*keyedRun
		last runID
		// waiters has the resends that wait for a run; each channel has room.
		waiters    map[answer.WaiterID]chan answer.Result
		lastWaiter answer.WaiterID
		// copied is when the claims were last asked for, nudged when control
		// was, forgot when old claims were dropped.
		copied, nudged, forgot time.Time
		// changed is when the newest group was adopted.
		changed time.Time
	}

	// claimMessage is one message to the thread.
	claimMessage interface {
		take(k *claims, t time.Time)
	}

	// runID identifies a run of a keyed request within the agent.
	runID uint64

	// keyedRun is a keyed request from its claim to its outcome.
	keyedRun struct {
		id     runID
		key    balsampier.RequestKey
		entry  answer.RunID
		runner *claim.Runner
		// wait takes the next verdict; nil while nobody waits. It has room.
		wait chan verdict
		// begin is true when the request waits to send its first byte.
		begin bool
		// calling is true while a claim is under way.
		calling bool
		// until is when waiting for the verdict ends.
		until time.Time
	}

	// verdict is what the handler of a request is told; kind says which of the
	// fields are set.
	verdict struct {
		kind verdictKind
		id   runID
		// other is set for verdictHeld.
		other balsampier.Holder
		// result is set for verdictKnown.
		result answer.Result
		// pending is set for verdictPending; it takes the result.
		pending chan answer.Result
		waiter  answer.WaiterID
		err     error
	}

	verdictKind uint8
)

const (
	// verdictGranted requests may be admitted.
	verdictGranted verdictKind = iota + 1
	// verdictBegun requests send their first byte now.
	verdictBegun
	// verdictHeld requests belong to another run.
	verdictHeld
	// verdictKnown requests have an outcome here.
	verdictKnown
	// verdictPending requests are under way here.
	verdictPending
	// verdictEnd requests end without a run.
	verdictEnd
	// verdictFailed requests could not be opened.
	verdictFailed
)

func newClaims(self balsampier.Holder, s claim.Settings, w answer.Settings, k balsampier.Clock, depth int, nudge func()) *claims {
	e := claim.NewEpochs(self)
	return &claims{
		self: self, clock: k, nudge: nudge,
		messages: ring.New[claimMessage]("claims", depth, ring.Block),
		calls:    ring.New[claimCall]("claim calls", depth, ring.Reject),
		epochs:   e, holder: claim.NewHolder(self, s, e), answers: answer.New(w),
		runs: make(map[runID]*keyedRun), waiters: make(map[answer.WaiterID]chan answer.Result),
	}
}

func (k *claims) run(c context.Context) error {
	var ms [batchSize]claimMessage
	for {
		d := claimIdle
		if len(k.runs) > 0 || !k.settled() {
			d = claimTick
		}
		w := k.clock.NewTimer(d)
		n, err := k.messages.PopUntil(c, ms[:], w.C())
		w.Stop()
		if err != nil {
			return err
		}
		for i := range ms[:n] {
			ms[i].take(k, k.clock.Now())
			ms[i] = nil
		}
		k.tick(k.clock.Now())
	}
}

// settled reports whether the newest group is active.
func (k *claims) settled() bool {
	e := k.epochs.Group().Epoch
	return e == 0 || k.epochs.Active() == e
}

// tick does what time brings.
func (k *claims) tick(t time.Time) {
	for _, r := range k.runs {
		if r.wait != nil && t.After(r.until) {
			r.tell(verdict{kind: verdictEnd, id: r.id})
			continue
		}
		k.step(r, t)
	}
	if t.Sub(k.copied) >= nudgePeriod && !k.settled() {
		k.copy(t)
	}
	if !k.settled() && t.Sub(k.nudged) >= nudgePeriod && t.Sub(k.changed) < nudgeFor {
		k.nudged = t
		k.nudge()
	}
	if t.Sub(k.forgot) >= claimIdle {
		k.forgot = t
		k.holder.RemoveExpired(t)
		k.answers.Expire(t)
	}
}

// copy asks for the claims that are missing in a sealed epoch.
func (k *claims) copy(t time.Time) {
	k.copied = t
	q, to := k.holder.NextCopy(t)
	for _, h := range to {
		k.call(claimCall{to: h, copy: &q})
	}
	k.completed()
}

// completed lets control know at once.
func (k *claims) completed() {
	if e := uint64(k.holder.CompleteEpoch()); e > k.complete.Load() {
		k.complete.Store(e)
		k.nudge()
	}
}

// step takes a run as far as it gets without an answer of others.
func (k *claims) step(r *keyedRun, t time.Time) {
	for r.wait != nil && !r.calling {
		switch r.runner.Phase() {
		case claim.PhaseHeld:
			r.tell(verdict{kind: verdictHeld, id: r.id, other: r.runner.OtherRunner()})
			return
		case claim.PhaseRefused:
			r.tell(verdict{kind: verdictEnd, id: r.id})
			return
		case claim.PhaseGranted:
			if !r.begin {
				r.tell(verdict{kind: verdictGranted, id: r.id})
				return
			}
			if r.runner.Begin(k.epochs, t) {
				r.tell(verdict{kind: verdictBegun, id: r.id})
				return
			}
		default:
		}
		m, to, ok := r.runner.NextClaim(k.epochs, t)
		if !ok {
			return
		}
		if to != k.self {
			r.calling = k.call(claimCall{to: to, run: r.id, claim: &m})
			return
		}
		p := k.holder.Claim(m, t)
		r.runner.HandleReply(p)
		if p.Decision == claim.DecisionNotReady {
			return
		}
	}
}

// tell hands the verdict to the handler that waits.
func (r *keyedRun) tell(v verdict) {
	r.wait <- v
	r.wait = nil
}

// call passes a call on and reports whether there was room for it.
func (k *claims) call(m claimCall) bool {
	return k.calls.Push(context.Background(), m) == nil
}

// hand gives the outcome to the resends that wait for it.
func (k *claims) hand(ws []answer.WaiterID, r answer.Result) {
	for _, w := range ws {
		if c, ok := k.waiters[w]; ok {
			c <- r
			delete(k.waiters, w)
		}
	}
}
