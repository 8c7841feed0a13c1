package app

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/answer"
	"github.com/balsampier/balsampier/command/claim"
)

type (
	// openMessage starts a run of a request, or finds out what is known.
	openMessage struct {
		key   balsampier.RequestKey
		print answer.Fingerprint
		// probe runs only ask whether the request ran.
		probe  bool
		until  time.Time
		answer chan verdict
	}

	// waitMessage asks for the next verdict of a run.
	waitMessage struct {
		id runID
		// begin asks to send the first byte; resume claims again after the
		// holder of the claim said that it did not run the request.
		begin, resume bool
		until         time.Time
		answer        chan verdict
	}

	// refuseMessage ends a run that did not begin.
	refuseMessage struct {
		id runID
		// known is the outcome that another run had; nil without one.
		known *answer.Answer
		// answer takes the kind of the refusal and the holder's reason.
		answer chan refused
	}

	refused struct {
		kind   balsampier.Kind
		reason claim.Decision
		// leased is false when control has not renewed the lease in time.
		leased bool
	}

	// finishMessage ends a run that began; a nil answer was lost.
	finishMessage struct {
		id     runID
		answer *answer.Answer
	}

	// toldMessage brings the answer to a renewal.
	toldMessage struct {
		sent  time.Time
		lease balsampier.Lease
		done  chan struct{}
	}

	// leaveMessage gives the lease up.
	leaveMessage struct{ done chan struct{} }

	// repliedMessage brings the answer to a claim; ok is false when the holder
	// was not reached.
	repliedMessage struct {
		run   runID
		reply claim.Reply
		ok    bool
	}

	// copiedMessage brings the claims of another holder.
	copiedMessage struct{ reply claim.CopyReply }
)

// reported returns the claim epochs to report to control: which is complete,
// and whose group was adopted.
func (k *claims) reported() (complete, group balsampier.Epoch) {
	return balsampier.Epoch(k.complete.Load()), balsampier.Epoch(k.adopted.Load())
}

// told hands the answer to a renewal over and returns once its group has been
// adopted.
func (k *claims) told(c context.Context, t time.Time, l balsampier.Lease) (balsampier.Epoch, error) {
	m := toldMessage{sent: t, lease: l, done: make(chan struct{})}
	if err := k.messages.Push(c, m); err != nil {
		return 0, err
	}
	_, err := await(c, m.done)
	return l.Claims.AsOf, err
}

// leave gives the lease up for good; nothing is granted or begun afterwards.
func (k *claims) leave() {
	m := leaveMessage{done: make(chan struct{})}
	k.post(m)
	<-m.done
}

func (m openMessage) take(k *claims, t time.Time) {
	k.lastWaiter++
	w := k.lastWaiter
	switch r := k.answers.Lookup(m.key, m.print, w, t); r.State {
	case answer.StateAbsent, answer.StateNotRun:
	case answer.StatePending:
		c := make(chan answer.Result, 1)
		k.waiters[w] = c
		m.answer <- verdict{kind: verdictPending, pending: c, waiter: w}
		return
	default:
		m.answer <- verdict{kind: verdictKnown, result: r}
		return
	}
	e, err := k.answers.Open(m.key, m.print, t)
	if err != nil {
		m.answer <- verdict{kind: verdictFailed, err: err}
		return
	}
	k.last++
	r := &keyedRun{
		id: k.last, key: m.key, entry: e, wait: m.answer, until: m.until,
		runner: claim.NewRunner(m.key, k.self, &k.attempts),
	}
	if m.probe {
		r.runner.ProbeOnly()
	}
	k.runs[r.id] = r
	k.step(r, t)
}

func (m waitMessage) take(k *claims, t time.Time) {
	r, ok := k.runs[m.id]
	if !ok {
		m.answer <- verdict{kind: verdictEnd, id: m.id}
		return
	}
	if m.resume {
		r.runner.Resume()
	}
	r.wait, r.begin, r.until = m.answer, m.begin, m.until
	k.step(r, t)
}

func (m refuseMessage) take(k *claims, t time.Time) {
	p := refused{kind: balsampier.KindUnknown, leased: k.epochs.Leased(t)}
	if r, ok := k.runs[m.id]; ok {
		p.reason = r.runner.Reason()
		p.kind = k.refuse(r, m.known, t)
	}
	m.answer <- p
}

// refuse ends a run before it began, so that this run is as good as never
// made: a resend here claims again, and only a grant lets it run.
func (k *claims) refuse(r *keyedRun, known *answer.Answer, t time.Time) balsampier.Kind {
	f := r.runner.Refuse(k.epochs, t)
	for _, h := range f.To {
		if h == k.self {
			k.holder.Release(f.Release)
		} else {
			k.call(claimCall{to: h, release: &f.Release})
		}
	}
	delete(k.runs, r.id)
	if known != nil {
		k.hand(k.answers.Store(r.key, r.entry, known, t), answer.Result{State: answer.StateAnswered, Answer: known})
	} else {
		k.hand(k.answers.RecordNotRun(r.key, r.entry, t), answer.Result{State: answer.StateNotRun})
	}
	return f.Kind
}

func (m finishMessage) take(k *claims, t time.Time) {
	r, ok := k.runs[m.id]
	if !ok {
		return
	}
	delete(k.runs, m.id)
	if m.answer == nil {
		k.hand(k.answers.RecordUnknown(r.key, r.entry, t), answer.Result{State: answer.StateUnknown})
		return
	}
	k.hand(k.answers.Store(r.key, r.entry, m.answer, t), answer.Result{State: answer.StateAnswered, Answer: m.answer})
}

func (m toldMessage) take(k *claims, t time.Time) {
	e := k.epochs.Acknowledged()
	k.epochs.ApplyLease(m.sent, m.lease)
	if k.epochs.Acknowledged() != e {
		k.changed = t
		k.adopted.Store(uint64(k.epochs.Acknowledged()))
	}
	k.copy(t)
	close(m.done)
}

func (m leaveMessage) take(k *claims, _ time.Time) {
	k.epochs.Leave()
	close(m.done)
}

func (m repliedMessage) take(k *claims, t time.Time) {
	r, ok := k.runs[m.run]
	if !ok {
		return
	}
	r.calling = false
	if !m.ok {
		return
	}
	r.runner.HandleReply(m.reply)
	if m.reply.Decision != claim.DecisionNotReady {
		k.step(r, t)
	}
}

func (m copiedMessage) take(k *claims, t time.Time) {
	k.holder.MergeCopy(m.reply, t)
	k.completed()
}
