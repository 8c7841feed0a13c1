package app

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/answer"
	"github.com/balsampier/balsampier/command/claim"
)

type (
	// openMessage opens a run of a request, or returns the known outcome.
	openMessage struct {
		key         balsampier.RequestKey
		fingerprint answer.Fingerprint
		// probe is true for a run that only asks whether the request ran.
		probe    bool
		deadline time.Time
		reply    chan verdict
	}

	// waitMessage waits for the next verdict of a run.
	waitMessage struct {
		id runID
		// begin asks for permission to send the first byte. resume claims again
		// after the holder of the claim replied that it did not run the
		// request.
		begin, resume bool
		deadline      time.Time
		reply         chan verdict
	}

	// refuseMessage ends a run that did not begin.
	refuseMessage struct {
		id runID
		// known is the answer that another run received; nil without one.
		known *answer.Answer
		// reply receives the kind of the refusal and the holder's reason.
		reply chan refuseResult
	}

	// refuseResult is the result of a refuseMessage.
	refuseResult struct {
		kind   balsampier.Kind
		reason claim.Decision
		// leased is false when control has not renewed the lease in time.
		leased bool
	}

	// finishMessage ends a run that began. answer is nil if the answer was lost
	// or not kept.
	finishMessage struct {
		id     runID
		answer *answer.Answer
	}

	// leaseMessage carries the lease from the response to a renewal.
	leaseMessage struct {
		sentAt time.Time
		lease  balsampier.Lease
		done   chan struct{}
	}

	// leaveMessage gives up the lease.
	leaveMessage struct{ done chan struct{} }

	// claimReplyMessage carries the reply to a claim; ok is false when the
	// holder could not be reached.
	claimReplyMessage struct {
		run   runID
		reply claim.Reply
		ok    bool
	}

	// copyReplyMessage carries the claims of another holder.
	copyReplyMessage struct{ reply claim.CopyReply }
)

// reportedEpochs returns the claim epochs to report to control: the newest
// complete one, and that of the newest adopted group.
func (k *claims) reportedEpochs() (complete, group balsampier.Epoch) {
	return balsampier.Epoch(k.complete.Load()), balsampier.Epoch(k.adopted.Load())
}

// onLease passes a renewed lease to the claims thread and returns once its
// group has been adopted. t is when the renewal was sent.
func (k *claims) onLease(c context.Context, t time.Time, l balsampier.Lease) (balsampier.Epoch, error) {
	m := leaseMessage{sentAt: t, lease: l, done: make(chan struct{})}
	if err := k.messages.Push(c, m); err != nil {
		return 0, err
	}
	_, err := await(c, m.done)
	return l.Claims.AsOf, err
}

// leave gives up the lease for good: nothing is granted or begun afterwards.
func (k *claims) leave() {
	m := leaveMessage{done: make(chan struct{})}
	k.post(m)
	<-m.done
}

func (m openMessage) handle(k *claims, t time.Time) {
	k.lastWaiter++
	w := k.lastWaiter
	switch r := k.answers.Lookup(m.key, m.fingerprint, w, t); r.State {
	case answer.StateAbsent, answer.StateNotRun:
	case answer.StatePending:
		c := make(chan answer.Result, 1)
		k.waiters[w] = c
		m.reply <- verdict{kind: verdictPending, pending: c, waiter: w}
		return
	default:
		m.reply <- verdict{kind: verdictKnown, result: r}
		return
	}
	e, err := k.answers.Open(m.key, m.fingerprint, t)
	if err != nil {
		m.reply <- verdict{kind: verdictFailed, err: err}
		return
	}
	k.lastRun++
	r := &keyedRun{
		id: k.lastRun, key: m.key, entry: e, waiter: m.reply, waitDeadline: m.deadline,
		runner: claim.NewRunner(m.key, k.self, &k.attempts),
	}
	if m.probe {
		r.runner.ProbeOnly()
	}
	k.runs[r.id] = r
	k.advance(r, t)
}

func (m waitMessage) handle(k *claims, t time.Time) {
	r, ok := k.runs[m.id]
	if !ok {
		m.reply <- verdict{kind: verdictEnd, id: m.id}
		return
	}
	if m.resume {
		r.runner.Resume()
	}
	r.waiter, r.wantsBegin, r.waitDeadline = m.reply, m.begin, m.deadline
	k.advance(r, t)
}

func (m refuseMessage) handle(k *claims, t time.Time) {
	p := refuseResult{kind: balsampier.KindUnknown, leased: k.epochs.Leased(t)}
	if r, ok := k.runs[m.id]; ok {
		p.reason = r.runner.Reason()
		p.kind = k.refuse(r, m.known, t)
	}
	m.reply <- p
}

// refuse ends a run before it began, as if it had never been opened: a resend
// to this agent claims again and runs only if it is granted the claim.
func (k *claims) refuse(r *keyedRun, known *answer.Answer, t time.Time) balsampier.Kind {
	f := r.runner.Refuse(k.epochs, t)
	for _, h := range f.To {
		if h == k.self {
			k.holder.Release(f.Release)
		} else {
			k.enqueueCall(claimCall{to: h, release: &f.Release})
		}
	}
	delete(k.runs, r.id)
	if known != nil {
		k.notifyWaiters(k.answers.Store(r.key, r.entry, known, t), answer.Result{State: answer.StateAnswered, Answer: known})
	} else {
		k.notifyWaiters(k.answers.RecordNotRun(r.key, r.entry, t), answer.Result{State: answer.StateNotRun})
	}
	return f.Kind
}

func (m finishMessage) handle(k *claims, t time.Time) {
	r, ok := k.runs[m.id]
	if !ok {
		return
	}
	delete(k.runs, m.id)
	if m.answer == nil {
		k.notifyWaiters(k.answers.RecordUnknown(r.key, r.entry, t), answer.Result{State: answer.StateUnknown})
		return
	}
	k.notifyWaiters(k.answers.Store(r.key, r.entry, m.answer, t), answer.Result{State: answer.StateAnswered, Answer: m.answer})
}

func (m leaseMessage) handle(k *claims, t time.Time) {
	e := k.epochs.Acknowledged()
	k.epochs.ApplyLease(m.sentAt, m.lease)
	if k.epochs.Acknowledged() != e {
		k.adoptedAt = t
		k.adopted.Store(uint64(k.epochs.Acknowledged()))
	}
	k.requestCopies(t)
	close(m.done)
}

func (m leaveMessage) handle(k *claims, _ time.Time) {
	k.epochs.Leave()
	close(m.done)
}

func (m claimReplyMessage) handle(k *claims, t time.Time) {
	r, ok := k.runs[m.run]
	if !ok {
		return
	}
	r.claimInFlight = false
	if !m.ok {
		return
	}
	r.runner.HandleReply(m.reply)
	if m.reply.Decision != claim.DecisionNotReady {
		k.advance(r, t)
	}
}

func (m copyReplyMessage) handle(k *claims, t time.Time) {
	k.holder.MergeCopy(m.reply, t)
	k.publishCompleteEpoch()
}
