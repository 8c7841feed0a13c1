package app

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/backend"
	"github.com/balsampier/balsampier/caller"
	"github.com/balsampier/balsampier/command/answer"
	"github.com/balsampier/balsampier/command/claim"
	"github.com/balsampier/balsampier/ring"
)

const (
	// claimTimeout is how long a request may wait for its claim when its
	// caller named no deadline: longer than the lease of a holder that died,
	// after which the others take over.
	claimTimeout = 10 * time.Second
	// askPause is the pause before another agent is asked again that could
	// not be reached.
	askPause = 100 * time.Millisecond
	// maxKeyedRun is how long a keyed request may run. It goes on when its
	// caller goes away, so that a resend gets the answer.
	maxKeyedRun = 10 * time.Minute
)

// keyedRequest is a request that runs at most once.
type keyedRequest struct {
	a     *Agent
	w     http.ResponseWriter
	r     *http.Request
	v     *announced
	q     balsampier.Request
	print answer.Fingerprint
}

// keyed runs a request with a key, or answers a resend of it.
func (a *Agent) keyed(w http.ResponseWriter, r *http.Request, v *announced, q balsampier.Request) error {
	b, err := io.ReadAll(io.LimitReader(r.Body, int64(a.s.MaxBodyBytes)+1))
	if err != nil {
		return refuse(reasonCallerGone, 0, balsampier.NewError(balsampier.KindNotRun, "read request", "send it again", err))
	}
	if len(b) > a.s.MaxBodyBytes {
		return refuse(reasonTooLarge, 0, balsampier.NewError(balsampier.KindInvalid, "read request",
			"send a shorter body, or no "+caller.HeaderKey, nil))
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(b)), int64(len(b))
	k := &keyedRequest{a: a, w: w, r: r, v: v, q: q, print: fingerprint(r, b)}
	return k.serve()
}

// fingerprint tells apart requests that share a key.
func fingerprint(r *http.Request, body []byte) answer.Fingerprint {
	d := xxhash.New()
	for _, s := range []string{r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type")} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return answer.Fingerprint(d.Sum64())
}

// serve opens the request until it is known what becomes of it.
func (k *keyedRequest) serve() error {
	for {
		c := make(chan verdict, 1)
		draining := k.v.Draining || k.a.stopping.Load()
		m := openMessage{key: k.q.Key, print: k.print, probe: draining, until: k.patience(), answer: c}
		if err := k.a.claims.messages.PushWith(k.r.Context(), m, ring.Reject); err != nil {
			return refuse(reasonRingFull, retryAfter, errUnknown(err))
		}
		v := <-c
		switch v.kind {
		case verdictKnown:
			return k.known(v.result)
		case verdictFailed:
			return refuse(reasonClaimsFull, retryAfter, balsampier.NewError(balsampier.KindUnknown, "open request", "send it again with the same key", v.err))
		case verdictPending:
			r, err := k.wait(v)
			if err != nil {
				return err
			}
			if r.State != answer.StateNotRun {
				return k.known(r)
			}
		default:
			return k.follow(v)
		}
	}
}

// patience is when waiting for a claim ends.
func (k *keyedRequest) patience() time.Time {
	t := k.a.clock.Now().Add(claimTimeout)
	if d := k.q.Deadline; !d.IsZero() && d.Before(t) {
		return d
	}
	return t
}

// wait waits for a run that is under way at this agent.
func (k *keyedRequest) wait(v verdict) (answer.Result, error) {
	r, err := await(k.r.Context(), v.pending)
	if err != nil {
		k.a.claims.post(forgetMessage{key: k.q.Key, waiter: v.waiter})
		return r, refuse(reasonPending, retryAfter, errUnknown(err))
	}
	return r, nil
}

// follow takes a run from its first verdict on.
func (k *keyedRequest) follow(v verdict) error {
	for v.kind == verdictHeld {
		r := k.ask(v.other)
		if r.State != answer.StateNotRun {
			k.end(v.id, r.Answer)
			return k.known(r)
		}
		v = k.next(waitMessage{id: v.id, resume: true})
	}
	if v.kind != verdictGranted {
		return k.refused(k.end(v.id, nil), "", nil)
	}
	return k.forward(v.id)
}

// next waits for the next verdict of a run; it always comes.
func (k *keyedRequest) next(m waitMessage) verdict {
	m.until, m.answer = k.patience(), make(chan verdict, 1)
	k.a.claims.post(m)
	return <-m.answer
}

// end refuses a run that did not begin.
func (k *keyedRequest) end(id runID, known *answer.Answer) refused {
	c := make(chan refused, 1)
	k.a.claims.post(refuseMessage{id: id, known: known, answer: c})
	return <-c
}

// ask asks the run that holds the claim for the outcome, until it is known or
// the caller's patience ends.
func (k *keyedRequest) ask(h balsampier.Holder) answer.Result {
	c, until := k.r.Context(), k.patience()
	if h == k.a.claims.self {
		return answer.Result{State: answer.StateUnknown}
	}
	for {
		l, err := k.a.callers.link(h)
		if err != nil {
			return answer.Result{State: answer.StateAbsent}
		}
		r, err := l.Outcome(c, h, k.q.Key, k.print)
		switch {
		case err == nil && r.State != answer.StatePending:
			return r
		case c.Err() != nil:
			return answer.Result{State: answer.StatePending}
		case err == nil:
			// The run answers; the caller may wait as long as it likes.
			until = k.patience()
			continue
		case k.a.clock.Now().After(until):
			return answer.Result{State: answer.StateUnknown}
		}
		t := k.a.clock.NewTimer(askPause)
		select {
		case <-t.C():
		case <-c.Done():
		}
		t.Stop()
	}
}

// known answers with what an earlier send of the request came to.
func (k *keyedRequest) known(r answer.Result) error {
	switch r.State {
	case answer.StateAnswered:
		writeAnswer(k.w, r.Answer)
		return nil
	case answer.StateKeyReused:
		return refuse(reasonOtherUse, 0, balsampier.NewError(balsampier.KindInvalid, "look up "+caller.HeaderKey,
			"use a new key for a new request", nil))
	case answer.StatePending, answer.StateWaitersFull:
		return refuse(reasonPending, retryAfter, errUnknown(nil))
	default:
		return refuse(reasonAnswer, 0, balsampier.NewError(balsampier.KindUnknown, "look up the answer",
			"ask the service what became of the request; it will not run again under this key", nil))
	}
}

// forward runs a request whose claim was granted.
func (k *keyedRequest) forward(id runID) error {
	s, err := k.a.admission.admit(k.r.Context(), k.q)
	if err != nil {
		return k.refused(k.end(id, nil), reasonOf(err), err)
	}
	o := &recorder{ResponseWriter: k.w, room: k.a.s.MaxAnswerBytes}
	var whole *answer.Answer
	var began atomic.Bool
	defer func() {
		s.leave(o.shed())
		if began.Load() {
			k.a.claims.post(finishMessage{id: id, answer: whole})
		}
	}()
	gone := callerGate(k.r)
	c, cancel := context.WithTimeout(context.WithoutCancel(k.r.Context()), maxKeyedRun)
	defer cancel()
	err = k.v.proxy.Forward(o, k.r.WithContext(c), &backend.Attempt{NoRetry: true, BeforeSend: func() error {
		if err := gone(); err != nil {
			return err
		}
		if k.next(waitMessage{id: id, begin: true}).kind != verdictBegun {
			return balsampier.NewError(balsampier.KindNotRun, "start request", "send it again", nil)
		}
		began.Store(true)
		return nil
	}})
	switch {
	case !began.Load():
		return k.refused(k.end(id, nil), reasonOf(err), err)
	case err == nil:
		whole, _ = o.answer()
	}
	return err
}

// refused says what is sure of a request that this run did not run.
func (k *keyedRequest) refused(p refused, reason string, cause error) error {
	switch p.reason {
	case claim.DecisionFull:
		reason = reasonClaimsFull
	case claim.DecisionUnknown:
		reason = reasonKeyExpired
	case claim.DecisionKeyFromFuture:
		reason = reasonKeyEarly
	case claim.DecisionAbsent:
		reason = reasonDraining
	default:
		if reason == "" {
			reason = reasonClaims
		}
	}
	if p.kind != balsampier.KindNotRun {
		return refuse(reason, retryAfter, errUnknown(cause))
	}
	return refuse(reason, retryAfterOf(cause), balsampier.NewError(balsampier.KindNotRun, "run request", "send it again with the same key", cause))
}

func errUnknown(err error) error {
	return balsampier.NewError(balsampier.KindUnknown, "run request at most once",
		"send it again with the same key; it runs at most once", err)
}
