package caller

import (
	"fmt"
	"net/http"

	"github.com/balsampier/balsampier"
)

const (
	// outcomeAnswered is a complete response with status 200.
	outcomeAnswered outcome = "answered"
	// outcomeNotRun is a refusal which states that the request did not run.
	outcomeNotRun outcome = "notRun"
	// outcomeUnknown is a request that may or may not have run: a refusal says
	// so, or a response was lost and no retry was answered.
	outcomeUnknown outcome = "unknown"
	// outcomeRefused is any other refusal.
	outcomeRefused outcome = "refused"
	// outcomeLost is a request without a complete response.
	outcomeLost outcome = "lost"
	// outcomeWrong is a response of another service or to another request.
	outcomeWrong outcome = "wrong"
	// outcomeWhole is a stream that was read to its regular end.
	outcomeWhole outcome = "whole"
	// outcomeCut is a stream that broke after its response began.
	outcomeCut outcome = "cut"
)

// outcome is how a request ended, as written to the ledger.
type outcome string

// outcomeOf returns the outcome of one attempt.
func outcomeOf(a response, err error) outcome {
	switch {
	case err != nil:
		return outcomeLost
	case a.status == http.StatusOK:
		return outcomeAnswered
	case a.refusal == balsampier.KindNotRun.String():
		return outcomeNotRun
	case a.refusal == balsampier.KindUnknown.String():
		return outcomeUnknown
	default:
		return outcomeRefused
	}
}

// recordOutcome appends a line to the ledger: outcome, key, backend server or
// reason of the refusal, URL, and the first 40 characters of the body. For a
// stream the body is its number of lines and its start and end in Unix seconds.
func (v *callerClient) recordOutcome(o outcome, key, body, server string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if server == "" {
		server = "-"
	}
	if v.ledgerFile != nil {
		_, _ = fmt.Fprintf(v.ledgerFile, "%s %s %s %s %.40q\n", o, key, server, v.URL, body)
	}
}
