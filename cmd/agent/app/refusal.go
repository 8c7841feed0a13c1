package app

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/caller"
)

// The reasons of refusals that are not decided by admission.
const (
	reasonInvalid           = "invalid"
	reasonDraining          = "draining"
	reasonConnections       = "connections"
	reasonAgentBusy         = "agentBusy"
	reasonCallerGone        = "callerGone"
	reasonBackend           = "backendServer"
	reasonKeyOfOtherRequest = "keyOfOtherRequest"
	reasonBodyTooLarge      = "bodyTooLarge"
	reasonClaims            = "claims"
	reasonClaimsFull        = "claimsFull"
	reasonKeyExpired        = "keyExpired"
	reasonKeyFromFuture     = "keyFromFuture"
	reasonAnswerNotKept     = "answerNotKept"
	reasonStillRunning      = "stillRunning"
)

// refusal is an error with what a caller needs to decide whether to retry.
type refusal struct {
	error
	// reason is one of the names in docs/REQUESTS.md.
	reason string
	// retryAfter is the suggested delay before a retry; zero for none.
	retryAfter time.Duration
}

func newRefusal(reason string, after time.Duration, err error) error {
	return &refusal{error: err, reason: reason, retryAfter: after}
}

// Unwrap returns the typed error.
func (r *refusal) Unwrap() error { return r.error }

// writeRefusal answers a request with an error and counts it.
func (a *Agent) writeRefusal(w http.ResponseWriter, q balsampier.Request, err error) {
	var r *refusal
	if !errors.As(err, &r) {
		r = &refusal{error: err, reason: reasonBackend, retryAfter: retryAfter}
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_agent_refused_total{kind=%q,reason=%q,class=%q}",
		balsampier.KindOf(err), r.reason, q.Class)).Inc()
	caller.WriteRefusal(w, err, r.reason, r.retryAfter)
}

// reasonOf returns the reason of a refusal, or reasonBackend for any other
// error.
func reasonOf(err error) string {
	var r *refusal
	if errors.As(err, &r) {
		return r.reason
	}
	return reasonBackend
}

// retryAfterOf returns the suggested delay of a refusal, or the default for any
// other error.
func retryAfterOf(err error) time.Duration {
	var r *refusal
	if errors.As(err, &r) {
		return r.retryAfter
	}
	return retryAfter
}
