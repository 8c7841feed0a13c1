package caller

import (
	"fmt"
	"net/http"

	"github.com/balsampier/balsampier"
)

const (
	// outcomeAnswered is a whole answer of the backend server.
	outcomeAnswered outcome = "answered"
	// outcomeNotRun is a refusal that says that the request did not run.
	outcomeNotRun outcome = "notRun"
	// outcomeUnknown is a refusal that leaves the outcome open.
	outcomeUnknown outcome = "unknown"
	// outcomeRefused is any other refusal.
	outcomeRefused outcome = "refused"
	// outcomeLost means that no whole answer came.
	outcomeLost outcome = "lost"
	// outcomeWrong is an answer to another request.
	outcomeWrong outcome = "wrong"
	// outcomeWhole is a stream that was read to its end.
	outcomeWhole outcome = "whole"
	// outcomeCut is an established stream that broke.
	outcomeCut outcome = "cut"
)

// outcome tells in the ledger how a request ended.
type outcome string

func outcomeOf(a answer, err error) outcome {
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

// record notes one line: outcome, key, backend server, URL, start of the body.
func (v *one) record(o outcome, key, body, server string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if server == "" {
		server = "-"
	}
	if v.ledger != nil {
		_, _ = fmt.Fprintf(v.ledger, "%s %s %s %s %.40q\n", o, key, server, v.URL, body)
	}
}
