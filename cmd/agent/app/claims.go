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
	// claimTickInterval is how often claims are retried while runs are pending
	// or the group is not active. claimIdleInterval is how often the thread
	// ticks otherwise, and how often expired claims and answers are removed.
	claimTickInterval = 20 * time.Millisecond
	claimIdleInterval = time.Second
	// While the newest group is not active, copies are requested and the lease
	// is renewed every renewInterval, so that the agent receives the activation
	// of the group soon after control decides it. The renewals end renewWindow
	// after the group was adopted.
	renewInterval = 200 * time.Millisecond
	renewWindow   = 10 * time.Second
)

type (
	// claims is the thread that owns the claims, the runners and the kept
	// answers of an agent.
	claims struct {
		self     balsampier.Holder
		clock    balsampier.Clock
		messages *ring.Ring[claimMessage]
		// calls leads to the thread that calls other agents. A call that finds
		// the ring full is retried at the next tick.
		calls *ring.Ring[claimCall]
		// renewNow requests an immediate renewal of the lease; the response
		// carries the current claim state from control.
		renewNow func()
		// complete is the newest complete epoch; any thread may read it.
		complete atomic.Uint64
		// adopted is the epoch of the newest adopted group; any thread may read
		// it.
		adopted atomic.Uint64

		// The fields below belong to the claims thread.

		epochs   *claim.Epochs
		holder   *claim.Holder
		answers  *answer.Table
		attempts claim.Attempts
		// runs holds the requests that were opened here and have no outcome
		// yet.
		runs    map[runID]*keyedRun
		lastRun runID
		// waiters holds the resends that wait for the outcome of a run. Each
		// channel has a capacity of one.
		waiters    map[answer.WaiterID]chan answer.Result
		lastWaiter answer.WaiterID
		// lastCopy is when copies were last requested, lastRenewal when a
		// renewal was, and lastExpiry when expired claims were last removed.
		lastCopy, lastRenewal, lastExpiry time.Time
		// adoptedAt is when the newest group was adopted.
		adoptedAt time.Time
	}

	// claimMessage is one message to the claims thread.
	claimMessage interface {
		handle(k *claims, t time.Time)
	}

	// runID identifies a run of a keyed request within the agent.
	runID uint64

	// keyedRun is a keyed request from its claim to its outcome.
	keyedRun struct {
		id     runID
		key    balsampier.RequestKey
		entry  answer.RunID
		runner *claim.Runner
		// waiter receives the next verdict and has a capacity of one; nil while
		// no handler waits.
		waiter chan verdict
		// wantsBegin is true when the request is ready to send its first byte.
		wantsBegin bool
		// claimInFlight is true while a claim is in flight to another agent.
		claimInFlight bool
		// waitDeadline is when the handler stops waiting for the verdict.
		waitDeadline time.Time
	}

	// verdict tells the handler of a request how to continue; kind says which
	// of the fields are set.
	verdict struct {
		kind verdictKind
		id   runID
		// other is set for verdictHeld.
		other balsampier.Holder
		// result is set for verdictKnown.
		result answer.Result
		// pending is set for verdictPending; it receives the result.
		pending chan answer.Result
		waiter  answer.WaiterID
		err     error
	}

	// verdictKind is the kind of a verdict.
	verdictKind uint8
)

const (
	// verdictGranted lets the request be admitted.
	verdictGranted verdictKind = iota + 1
	// verdictBegun lets the request send its first byte now.
	verdictBegun
	// verdictHeld means that another run holds the claim.
	verdictHeld
	// verdictKnown means that the outcome is known at this agent.
	verdictKnown
	// verdictPending means that another run is pending at this agent.
	verdictPending
	// verdictEnd means that the run must end before it begins.
	verdictEnd
	// verdictFailed means that the request could not be opened.
	verdictFailed
)

func newClaims(self balsampier.Holder, s claim.Settings, w answer.Settings, k balsampier.Clock, depth int, renewNow func()) *claims {
	e := claim.NewEpochs(self)
	return &claims{
		self: self, clock: k, renewNow: renewNow,
		messages: ring.New[claimMessage]("claims", depth, ring.Block),
		calls:    ring.New[claimCall]("claim calls", depth, ring.Reject),
		epochs:   e, holder: claim.NewHolder(self, s, e), answers: answer.New(w),
		runs: make(map[runID]*keyedRun), waiters: make(map[answer.WaiterID]chan answer.Result),
	}
}

func (k *claims) run(c context.Context) error {
	var ms [batchSize]claimMessage
	for {
		d := claimIdleInterval
		if len(k.runs) > 0 || !k.isGroupActive() {
			d = claimTickInterval
		}
		w := k.clock.NewTimer(d)
		n, err := k.messages.PopUntil(c, ms[:], w.C())
		w.Stop()
		if err != nil {
			return err
		}
		for i := range ms[:n] {
			ms[i].handle(k, k.clock.Now())
			ms[i] = nil
		}
		k.tick(k.clock.Now())
	}
}

// isGroupActive reports whether the newest group is active.
func (k *claims) isGroupActive() bool {
	e := k.epochs.Group().Epoch
	return e == 0 || k.epochs.Active() == e
}

// tick ends waits whose deadline has passed, retries runs, requests copies and
// renewals while the group is not active, and removes expired claims and
// answers.
func (k *claims) tick(t time.Time) {
	for _, r := range k.runs {
		if r.waiter != nil && t.After(r.waitDeadline) {
			r.sendVerdict(verdict{kind: verdictEnd, id: r.id})
			continue
		}
		k.advance(r, t)
	}
	if t.Sub(k.lastCopy) >= renewInterval && !k.isGroupActive() {
		k.requestCopies(t)
	}
	if !k.isGroupActive() && t.Sub(k.lastRenewal) >= renewInterval && t.Sub(k.adoptedAt) < renewWindow {
		k.lastRenewal = t
		k.renewNow()
	}
	if t.Sub(k.lastExpiry) >= claimIdleInterval {
		k.lastExpiry = t
		k.holder.RemoveExpired(t)
		k.answers.Expire(t)
	}
}

// requestCopies requests the claims that are missing in a sealed epoch from
// their holders.
func (k *claims) requestCopies(t time.Time) {
	k.lastCopy = t
	q, to := k.holder.NextCopy(t)
	for _, h := range to {
		k.enqueueCall(claimCall{to: h, copy: &q})
	}
	k.publishCompleteEpoch()
}

// publishCompleteEpoch publishes a newly complete epoch, and renews the lease
// so that control learns of it at once.
func (k *claims) publishCompleteEpoch() {
	if e := uint64(k.holder.CompleteEpoch()); e > k.complete.Load() {
		k.complete.Store(e)
		k.renewNow()
	}
}

// advance advances a run until it waits for another agent, or has a verdict for
// its handler.
func (k *claims) advance(r *keyedRun, t time.Time) {
	for r.waiter != nil && !r.claimInFlight {
		switch r.runner.Phase() {
		case claim.PhaseHeld:
			r.sendVerdict(verdict{kind: verdictHeld, id: r.id, other: r.runner.OtherRunner()})
			return
		case claim.PhaseRefused:
			r.sendVerdict(verdict{kind: verdictEnd, id: r.id})
			return
		case claim.PhaseGranted:
			if !r.wantsBegin {
				r.sendVerdict(verdict{kind: verdictGranted, id: r.id})
				return
			}
			if r.runner.Begin(k.epochs, t) {
				r.sendVerdict(verdict{kind: verdictBegun, id: r.id})
				return
			}
		default:
		}
		m, to, ok := r.runner.NextClaim(k.epochs, t)
		if !ok {
			return
		}
		if to != k.self {
			r.claimInFlight = k.enqueueCall(claimCall{to: to, run: r.id, claim: &m})
			return
		}
		p := k.holder.Claim(m, t)
		r.runner.HandleReply(p)
		if p.Decision == claim.DecisionNotReady {
			return
		}
	}
}

// sendVerdict sends the verdict to the waiting handler.
func (r *keyedRun) sendVerdict(v verdict) {
	r.waiter <- v
	r.waiter = nil
}

// enqueueCall enqueues a call and reports whether the ring had room for it.
func (k *claims) enqueueCall(m claimCall) bool {
	return k.calls.Push(context.Background(), m) == nil
}

// notifyWaiters sends the outcome to the resends that wait for it.
func (k *claims) notifyWaiters(ws []answer.WaiterID, r answer.Result) {
	for _, w := range ws {
		if c, ok := k.waiters[w]; ok {
			c <- r
			delete(k.waiters, w)
		}
	}
}
