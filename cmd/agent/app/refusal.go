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
	reasonInvalid     = "invalid"
	reasonDraining    = "draining"
	reasonConnections = "connections"
	reasonRingFull    = "agentBusy"
	reasonCallerGone  = "callerGone"
	reasonBackend     = "backendServer"
	reasonOtherUse    = "keyOfOtherRequest"
	reasonTooLarge    = "bodyTooLarge"
	reasonClaims      = "claims"
	reasonClaimsFull  = "claimsFull"
	reasonKeyExpired  = "keyExpired"
	reasonKeyEarly    = "keyFromFuture"
	reasonAnswer      = "answerNotKept"
	reasonPending     = "stillRunning"
)

// refusal is an error with what a caller needs to decide on a resend.
type refusal struct {
	error
	// reason is one of the names in docs/REQUESTS.md.
	reason string
	// after is when to send the request again; zero for no advice.
	after time.Duration
}

func refuse(reason string, after time.Duration, err error) error {
	return &refusal{error: err, reason: reason, after: after}
}

// Unwrap returns the typed error.
func (r *refusal) Unwrap() error { return r.error }

// refuse answers a request with an error and counts it.
func (a *Agent) refuse(w http.ResponseWriter, q balsampier.Request, err error) {
	var r *refusal
	if !errors.As(err, &r) {
		r = &refusal{error: err, reason: reasonBackend, after: retryAfter}
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_agent_refused_total{kind=%q,reason=%q,class=%q}",
		balsampier.KindOf(err), r.reason, q.Class)).Inc()
	caller.WriteRefusal(w, err, r.reason, r.after)
}

// reasonOf returns the reason of a refusal, or that of a server that could not
// be reached.
func reasonOf(err error) string {
	var r *refusal
	if errors.As(err, &r) {
		return r.reason
	}
	return reasonBackend
}

func retryAfterOf(err error) time.Duration {
	var r *refusal
	if errors.As(err, &r) {
		return r.after
	}
	return retryAfter
}
