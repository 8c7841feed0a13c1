package app

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/answer"
	"github.com/balsampier/balsampier/command/claim"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/ring"
)

// outcomeWait is how long another agent waits for the answer to a request
// that is under way here; it is below the time limit of a call.
const outcomeWait = 2 * time.Second

type (
	heldMessage struct {
		claim  claim.Claim
		answer chan claim.Reply
	}

	releasedMessage struct{ release claim.Release }

	copyMessage struct {
		request claim.CopyRequest
		// answer is closed without a reply when there is none yet.
		answer chan claim.CopyReply
	}

	// lookupMessage asks what is known of a request; a pending one has the
	// answer come later.
	lookupMessage struct {
		key    balsampier.RequestKey
		print  answer.Fingerprint
		answer chan lookedUp
	}

	lookedUp struct {
		result answer.Result
		// later is set for pending requests.
		later  chan answer.Result
		waiter answer.WaiterID
	}

	// forgetMessage withdraws a resend that waits.
	forgetMessage struct {
		key    balsampier.RequestKey
		waiter answer.WaiterID
	}
)

var _ peer.ClaimHandler = (*claims)(nil)

// dumpMessage asks for the state for operators.
type dumpMessage struct{ answer chan ClaimsDump }

// dump returns the zero value when the thread does not answer in time.
func (k *claims) dump(c context.Context) ClaimsDump {
	a := make(chan ClaimsDump, 1)
	if k.push(c, k.self, dumpMessage{answer: a}) != nil {
		return ClaimsDump{}
	}
	d, _ := await(c, a)
	return d
}

func (m dumpMessage) take(k *claims, t time.Time) {
	m.answer <- ClaimsDump{
		Leased: k.epochs.Leased(t), Group: k.epochs.Acknowledged(), Active: k.epochs.Active(),
		Complete: k.holder.CompleteEpoch(), Holders: len(k.epochs.Group().Holders), Claims: k.holder.Len(),
		Runs: len(k.runs), Answers: k.answers.Len(), Bytes: k.answers.Bytes(),
	}
}

// Claim implements peer.ClaimHandler.
func (k *claims) Claim(c context.Context, to balsampier.Holder, m claim.Claim) (claim.Reply, error) {
	a := make(chan claim.Reply, 1)
	if err := k.push(c, to, heldMessage{claim: m, answer: a}); err != nil {
		return claim.Reply{}, err
	}
	return await(c, a)
}

// Release implements peer.ClaimHandler.
func (k *claims) Release(c context.Context, to balsampier.Holder, r claim.Release) error {
	return k.push(c, to, releasedMessage{release: r})
}

// Copy implements peer.ClaimHandler.
func (k *claims) Copy(c context.Context, to balsampier.Holder, q claim.CopyRequest) (claim.CopyReply, error) {
	a := make(chan claim.CopyReply, 1)
	if err := k.push(c, to, copyMessage{request: q, answer: a}); err != nil {
		return claim.CopyReply{}, err
	}
	p, err := await(c, a)
	if err == nil && p.Epoch == 0 {
		err = balsampier.NewError(balsampier.KindUnavailable, "copy claims", "ask again; this agent has not adopted the epoch", nil)
	}
	return p, err
}

// Outcome implements peer.ClaimHandler.
func (k *claims) Outcome(c context.Context, to balsampier.Holder, key balsampier.RequestKey, p answer.Fingerprint) (answer.Result, error) {
	a := make(chan lookedUp, 1)
	if err := k.push(c, to, lookupMessage{key: key, print: p, answer: a}); err != nil {
		return answer.Result{}, err
	}
	l, err := await(c, a)
	if err != nil || l.later == nil {
		return l.result, err
	}
	w := k.clock.NewTimer(outcomeWait)
	defer w.Stop()
	select {
	case r := <-l.later:
		return r, nil
	case <-w.C():
	case <-c.Done():
	}
	k.post(forgetMessage{key: key, waiter: l.waiter})
	return l.result, nil
}

// push refuses what is meant for another run of the agent, and what finds the
// ring full.
func (k *claims) push(c context.Context, to balsampier.Holder, m claimMessage) error {
	if to != k.self {
		return balsampier.NewError(balsampier.KindUnavailable, "find holder", "the agent has restarted; what that run knew is gone", nil)
	}
	return k.messages.PushWith(c, m, ring.Reject)
}

// post must not lose the message; the thread always takes it.
func (k *claims) post(m claimMessage) { _ = k.messages.Push(context.Background(), m) }

func await[T any](c context.Context, a chan T) (T, error) {
	select {
	case v := <-a:
		return v, nil
	case <-c.Done():
		var v T
		return v, c.Err()
	}
}

func (m heldMessage) take(k *claims, t time.Time) { m.answer <- k.holder.Claim(m.claim, t) }

func (m releasedMessage) take(k *claims, _ time.Time) { k.holder.Release(m.release) }

func (m copyMessage) take(k *claims, _ time.Time) {
	if p, ok := k.holder.ServeCopy(m.request); ok {
		m.answer <- p
	}
	close(m.answer)
}

func (m lookupMessage) take(k *claims, t time.Time) {
	k.lastWaiter++
	l := lookedUp{waiter: k.lastWaiter, result: k.answers.Lookup(m.key, m.print, k.lastWaiter, t)}
	if l.result.State == answer.StatePending {
		l.later = make(chan answer.Result, 1)
		k.waiters[l.waiter] = l.later
	}
	m.answer <- l
}

func (m forgetMessage) take(k *claims, _ time.Time) {
	k.answers.RemoveWaiter(m.key, m.waiter)
	delete(k.waiters, m.waiter)
}
