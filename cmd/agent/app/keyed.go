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
	// claimTimeout is how long a request whose caller set no deadline may wait
	// for its claim. It is longer than the lease of a holder that died, after
	// which the others take over.
	claimTimeout = 10 * time.Second
	// outcomeRetryDelay is the delay before the outcome is queried again from
	// an agent that could not be reached.
	outcomeRetryDelay = 100 * time.Millisecond
	// keyedRunTimeout is how long a keyed request may run. The run continues
	// when its caller disconnects, so that a resend gets the answer.
	keyedRunTimeout = 10 * time.Minute
)

// keyedRequest is a request with a key, which runs at most once.
type keyedRequest struct {
	agent       *Agent
	w           http.ResponseWriter
	r           *http.Request
	server      *announcedServer
	request     balsampier.Request
	fingerprint answer.Fingerprint
}

// serveKeyed runs a request with a key, or answers a resend of it.
func (a *Agent) serveKeyed(w http.ResponseWriter, r *http.Request, v *announcedServer, q balsampier.Request) error {
	b, err := io.ReadAll(io.LimitReader(r.Body, int64(a.settings.MaxBodyBytes)+1))
	if err != nil {
		return newRefusal(reasonCallerGone, 0, balsampier.NewError(balsampier.KindNotRun, "read request", "send it again", err))
	}
	if len(b) > a.settings.MaxBodyBytes {
		return newRefusal(reasonBodyTooLarge, 0, balsampier.NewError(balsampier.KindInvalid, "read request",
			"send a shorter body, or no "+caller.HeaderKey, nil))
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(b)), int64(len(b))
	k := &keyedRequest{agent: a, w: w, r: r, server: v, request: q, fingerprint: fingerprint(r, b)}
	return k.serve()
}

// fingerprint returns a hash that distinguishes requests with the same key.
func fingerprint(r *http.Request, body []byte) answer.Fingerprint {
	d := xxhash.New()
	for _, s := range []string{r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type")} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return answer.Fingerprint(d.Sum64())
}

// serve opens the request, again after each pending run that turns out not to
// have run it, and writes the outcome or runs the request.
func (k *keyedRequest) serve() error {
	for {
		c := make(chan verdict, 1)
		draining := k.server.Draining || k.agent.stopping.Load()
		m := openMessage{key: k.request.Key, fingerprint: k.fingerprint, probe: draining, deadline: k.waitDeadline(), reply: c}
		if err := k.agent.claims.messages.PushWith(k.r.Context(), m, ring.Reject); err != nil {
			return newRefusal(reasonAgentBusy, retryAfter, errUnknown(err))
		}
		v := <-c
		switch v.kind {
		case verdictKnown:
			return k.writeOutcome(v.result)
		case verdictFailed:
			return newRefusal(reasonClaimsFull, retryAfter, balsampier.NewError(balsampier.KindUnknown, "open request", "send it again with the same key", v.err))
		case verdictPending:
			r, err := k.awaitPending(v)
			if err != nil {
				return err
			}
			if r.State != answer.StateNotRun {
				return k.writeOutcome(r)
			}
		default:
			return k.completeRun(v)
		}
	}
}

// waitDeadline returns when waiting for a claim ends.
func (k *keyedRequest) waitDeadline() time.Time {
	t := k.agent.clock.Now().Add(claimTimeout)
	if d := k.request.Deadline; !d.IsZero() && d.Before(t) {
		return d
	}
	return t
}

// awaitPending waits for the outcome of a run that is pending at this agent.
func (k *keyedRequest) awaitPending(v verdict) (answer.Result, error) {
	r, err := await(k.r.Context(), v.pending)
	if err != nil {
		k.agent.claims.post(removeWaiterMessage{key: k.request.Key, waiter: v.waiter})
		return r, newRefusal(reasonStillRunning, retryAfter, errUnknown(err))
	}
	return r, nil
}

// completeRun continues a run from its first verdict to its end.
func (k *keyedRequest) completeRun(v verdict) error {
	for v.kind == verdictHeld {
		r := k.queryOutcome(v.other)
		if r.State != answer.StateNotRun {
			k.refuseRun(v.id, r.Answer)
			return k.writeOutcome(r)
		}
		v = k.awaitVerdict(waitMessage{id: v.id, resume: true})
	}
	if v.kind != verdictGranted {
		return k.refusalError(k.refuseRun(v.id, nil), "", nil)
	}
	return k.forward(v.id)
}

// awaitVerdict returns the next verdict of a run. The claims thread always
// sends one, at the latest at the deadline.
func (k *keyedRequest) awaitVerdict(m waitMessage) verdict {
	m.deadline, m.reply = k.waitDeadline(), make(chan verdict, 1)
	k.agent.claims.post(m)
	return <-m.reply
}

// refuseRun ends a run that did not begin.
func (k *keyedRequest) refuseRun(id runID, known *answer.Answer) refuseResult {
	c := make(chan refuseResult, 1)
	k.agent.claims.post(refuseMessage{id: id, known: known, reply: c})
	return <-c
}

// queryOutcome queries the run that holds the claim for its outcome, until it
// is known, the deadline passes without a reply, or the caller disconnects.
func (k *keyedRequest) queryOutcome(h balsampier.Holder) answer.Result {
	c, until := k.r.Context(), k.waitDeadline()
	if h == k.agent.claims.self {
		return answer.Result{State: answer.StateUnknown}
	}
	for {
		l, err := k.agent.peerClients.client(h)
		if err != nil {
			return answer.Result{State: answer.StateAbsent}
		}
		r, err := l.Outcome(c, h, k.request.Key, k.fingerprint)
		switch {
		case err == nil && r.State != answer.StatePending:
			return r
		case c.Err() != nil:
			return answer.Result{State: answer.StatePending}
		case err == nil:
			// The other run replies, so only the caller bounds the wait.
			until = k.waitDeadline()
			continue
		case k.agent.clock.Now().After(until):
			return answer.Result{State: answer.StateUnknown}
		}
		t := k.agent.clock.NewTimer(outcomeRetryDelay)
		select {
		case <-t.C():
		case <-c.Done():
		}
		t.Stop()
	}
}

// writeOutcome writes the answer to an earlier send of the request, or returns
// a refusal.
func (k *keyedRequest) writeOutcome(r answer.Result) error {
	switch r.State {
	case answer.StateAnswered:
		writeAnswer(k.w, r.Answer)
		return nil
	case answer.StateKeyReused:
		return newRefusal(reasonKeyOfOtherRequest, 0, balsampier.NewError(balsampier.KindInvalid, "look up "+caller.HeaderKey,
			"use a new key for a new request", nil))
	case answer.StatePending, answer.StateWaitersFull:
		return newRefusal(reasonStillRunning, retryAfter, errUnknown(nil))
	default:
		return newRefusal(reasonAnswerNotKept, 0, balsampier.NewError(balsampier.KindUnknown, "look up the answer",
			"ask the service for the outcome of the request; it will not run again under this key", nil))
	}
}

// forward runs a request whose claim was granted.
func (k *keyedRequest) forward(id runID) error {
	s, err := k.agent.admission.admit(k.r.Context(), k.request)
	if err != nil {
		return k.refusalError(k.refuseRun(id, nil), reasonOf(err), err)
	}
	o := &recorder{ResponseWriter: k.w, maxBytes: k.agent.settings.MaxAnswerBytes}
	var whole *answer.Answer
	var began atomic.Bool
	defer func() {
		s.release(o.shed())
		if began.Load() {
			k.agent.claims.post(finishMessage{id: id, answer: whole})
		}
	}()
	gone := callerGate(k.r)
	c, cancel := context.WithTimeout(context.WithoutCancel(k.r.Context()), keyedRunTimeout)
	defer cancel()
	err = k.server.proxy.Forward(o, k.r.WithContext(c), &backend.Attempt{BeforeSend: func() error {
		if err := gone(); err != nil {
			return err
		}
		if k.awaitVerdict(waitMessage{id: id, begin: true}).kind != verdictBegun {
			return balsampier.NewError(balsampier.KindNotRun, "start request", "send it again", nil)
		}
		began.Store(true)
		return nil
	}})
	switch {
	case !began.Load():
		return k.refusalError(k.refuseRun(id, nil), reasonOf(err), err)
	case err == nil:
		whole, _ = o.answer()
	}
	return err
}

// refusalError returns the refusal of a request that this run did not run. Its
// kind is KindNotRun only if no other run can have run the request, and
// KindUnknown otherwise.
func (k *keyedRequest) refusalError(p refuseResult, reason string, cause error) error {
	switch p.reason {
	case claim.DecisionFull:
		reason = reasonClaimsFull
	case claim.DecisionUnknown:
		reason = reasonKeyExpired
	case claim.DecisionKeyFromFuture:
		reason = reasonKeyFromFuture
	case claim.DecisionAbsent:
		reason = reasonDraining
	default:
		if reason == "" {
			reason = reasonClaims
		}
	}
	if p.kind != balsampier.KindNotRun {
		return newRefusal(reason, retryAfter, errUnknown(cause))
	}
	return newRefusal(reason, retryAfterOf(cause), balsampier.NewError(balsampier.KindNotRun, "run request", "send it again with the same key", cause))
}

// errUnknown returns the error for a request of which it is unknown whether it
// ran.
func errUnknown(err error) error {
	return balsampier.NewError(balsampier.KindUnknown, "run request at most once",
		"send it again with the same key; it runs at most once", err)
}
