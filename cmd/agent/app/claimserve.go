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

// outcomeTimeout is how long another agent waits for the answer to a request
// that is still running here. It is shorter than the time-out of a call.
const outcomeTimeout = 2 * time.Second

type (
	// claimRequestMessage claims a key for another agent.
	claimRequestMessage struct {
		claim claim.Claim
		reply chan claim.Reply
	}

	// releaseMessage releases a claim of another agent.
	releaseMessage struct{ release claim.Release }

	// copyRequestMessage asks for the claims of an epoch.
	copyRequestMessage struct {
		request claim.CopyRequest
		// reply is closed without a value when the epoch has not been adopted
		// yet.
		reply chan claim.CopyReply
	}

	// lookupMessage asks for the outcome of a request.
	lookupMessage struct {
		key         balsampier.RequestKey
		fingerprint answer.Fingerprint
		reply       chan lookupResult
	}

	// lookupResult is the result of a lookupMessage.
	lookupResult struct {
		result answer.Result
		// pending receives the outcome of a request that is still running; nil
		// for all others.
		pending chan answer.Result
		waiter  answer.WaiterID
	}

	// removeWaiterMessage removes a resend that no longer waits for an outcome.
	removeWaiterMessage struct {
		key    balsampier.RequestKey
		waiter answer.WaiterID
	}
)

var _ peer.ClaimHandler = (*claims)(nil)

// dumpMessage asks for the state that operators see.
type dumpMessage struct{ answer chan ClaimsDump }

// dump returns the zero value when the thread does not reply in time.
func (k *claims) dump(c context.Context) ClaimsDump {
	a := make(chan ClaimsDump, 1)
	if k.push(c, k.self, dumpMessage{answer: a}) != nil {
		return ClaimsDump{}
	}
	d, _ := await(c, a)
	return d
}

func (m dumpMessage) handle(k *claims, t time.Time) {
	m.answer <- ClaimsDump{
		Leased: k.epochs.Leased(t), Group: k.epochs.Acknowledged(), Active: k.epochs.Active(),
		Complete: k.holder.CompleteEpoch(), Holders: len(k.epochs.Group().Holders), Claims: k.holder.Len(),
		Runs: len(k.runs), Answers: k.answers.Len(), Bytes: k.answers.Bytes(),
	}
}

// Claim implements peer.ClaimHandler.
func (k *claims) Claim(c context.Context, to balsampier.Holder, m claim.Claim) (claim.Reply, error) {
	a := make(chan claim.Reply, 1)
	if err := k.push(c, to, claimRequestMessage{claim: m, reply: a}); err != nil {
		return claim.Reply{}, err
	}
	return await(c, a)
}

// Release implements peer.ClaimHandler.
func (k *claims) Release(c context.Context, to balsampier.Holder, r claim.Release) error {
	return k.push(c, to, releaseMessage{release: r})
}

// Copy implements peer.ClaimHandler.
func (k *claims) Copy(c context.Context, to balsampier.Holder, q claim.CopyRequest) (claim.CopyReply, error) {
	a := make(chan claim.CopyReply, 1)
	if err := k.push(c, to, copyRequestMessage{request: q, reply: a}); err != nil {
		return claim.CopyReply{}, err
	}
	p, err := await(c, a)
	if err == nil && p.Epoch == 0 {
		err = balsampier.NewError(balsampier.KindUnavailable, "copy claims", "retry; this agent has not adopted the epoch", nil)
	}
	return p, err
}

// Outcome implements peer.ClaimHandler.
func (k *claims) Outcome(c context.Context, to balsampier.Holder, key balsampier.RequestKey, p answer.Fingerprint) (answer.Result, error) {
	a := make(chan lookupResult, 1)
	if err := k.push(c, to, lookupMessage{key: key, fingerprint: p, reply: a}); err != nil {
		return answer.Result{}, err
	}
	l, err := await(c, a)
	if err != nil || l.pending == nil {
		return l.result, err
	}
	w := k.clock.NewTimer(outcomeTimeout)
	defer w.Stop()
	select {
	case r := <-l.pending:
		return r, nil
	case <-w.C():
	case <-c.Done():
	}
	k.post(removeWaiterMessage{key: key, waiter: l.waiter})
	return l.result, nil
}

// push enqueues a message of another agent. It returns an error if the message
// is for another incarnation of this agent, or if the ring is full.
func (k *claims) push(c context.Context, to balsampier.Holder, m claimMessage) error {
	if to != k.self {
		return balsampier.NewError(balsampier.KindUnavailable, "find holder", "the agent has restarted; the state of that incarnation is lost", nil)
	}
	return k.messages.PushWith(c, m, ring.Reject)
}

// post enqueues a message that must not get lost. It blocks while the ring is
// full.
func (k *claims) post(m claimMessage) { _ = k.messages.Push(context.Background(), m) }

// await returns the value from the channel, or the error of c when that ends
// first.
func await[T any](c context.Context, a chan T) (T, error) {
	select {
	case v := <-a:
		return v, nil
	case <-c.Done():
		var v T
		return v, c.Err()
	}
}

func (m claimRequestMessage) handle(k *claims, t time.Time) { m.reply <- k.holder.Claim(m.claim, t) }

func (m releaseMessage) handle(k *claims, _ time.Time) { k.holder.Release(m.release) }

func (m copyRequestMessage) handle(k *claims, _ time.Time) {
	if p, ok := k.holder.ServeCopy(m.request); ok {
		m.reply <- p
	}
	close(m.reply)
}

func (m lookupMessage) handle(k *claims, t time.Time) {
	k.lastWaiter++
	l := lookupResult{waiter: k.lastWaiter, result: k.answers.Lookup(m.key, m.fingerprint, k.lastWaiter, t)}
	if l.result.State == answer.StatePending {
		l.pending = make(chan answer.Result, 1)
		k.waiters[l.waiter] = l.pending
	}
	m.reply <- l
}

func (m removeWaiterMessage) handle(k *claims, _ time.Time) {
	k.answers.RemoveWaiter(m.key, m.waiter)
	delete(k.waiters, m.waiter)
}
