package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

const (
	clientTimeout  = 10 * time.Second
	maxAnswerBytes = 64 << 20
)

type (
	// Client speaks to the operators' port of processes.
	Client struct {
		// urls are tried in turn until one answers.
		urls []string
		key  string
		h    http.Client
	}

	// Refused is an error answer with the faults of a rule file.
	Refused struct {
		// Err is never nil.
		Err *balsampier.Error
		// Problems is empty unless a rule file was refused.
		Problems []balsampier.Problem
	}
)

// NewClient returns a client for instances with the given base URLs.
func NewClient(urls []string, key []byte) *Client {
	return &Client{urls: urls, key: string(key), h: http.Client{Timeout: clientTimeout}}
}

// Submit sends a submission; sending it again has no further effect.
func (l *Client) Submit(c context.Context, b SubmitBody) (SubmitAnswer, error) {
	var a SubmitAnswer
	err := l.do(c, http.MethodPost, pathRules, b, &a)
	return a, err
}

// Rules returns the accepted rule file.
func (l *Client) Rules(c context.Context) (RulesAnswer, error) {
	var a RulesAnswer
	err := l.do(c, http.MethodGet, pathRules, nil, &a)
	return a, err
}

// Status returns the roll-out.
func (l *Client) Status(c context.Context) (Status, error) {
	var a Status
	err := l.do(c, http.MethodGet, pathStatus, nil, &a)
	return a, err
}

// Dump returns the state of the process as JSON.
func (l *Client) Dump(c context.Context) (json.RawMessage, error) {
	var a json.RawMessage
	err := l.do(c, http.MethodGet, "/dump", nil, &a)
	return a, err
}

// do asks one instance after the other until one answers for the system.
func (l *Client) do(c context.Context, method, path string, in, out any) error {
	var last error
	for _, u := range l.urls {
		retry, err := l.once(c, method, u+path, in, out)
		if !retry {
			return err
		}
		last = err
	}
	return trace.Wrap(last)
}

func (l *Client) once(c context.Context, method, url string, in, out any) (retry bool, err error) {
	b, err := json.Marshal(in)
	if err != nil {
		return false, trace.Wrap(err)
	}
	r, err := http.NewRequestWithContext(c, method, url, bytes.NewReader(b))
	if err != nil {
		return false, trace.Wrap(err)
	}
	r.Header.Set("Authorization", bearer+l.key)
	a, err := l.h.Do(r)
	if err != nil {
		return true, balsampier.NewError(balsampier.KindUnavailable, "reach "+url, "check the address and that the process runs; it is safe to try again", err)
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return true, balsampier.NewError(balsampier.KindUnavailable, "read the answer of "+url, "it is safe to try again", err)
	}
	if a.StatusCode == http.StatusOK || a.StatusCode == http.StatusConflict {
		return false, trace.Wrap(json.Unmarshal(body, out), "decode the answer of %s", url)
	}
	return a.StatusCode == http.StatusServiceUnavailable, refusal(body, url)
}

func refusal(body []byte, url string) error {
	var e ErrorBody
	if err := json.Unmarshal(body, &e); err != nil || balsampier.ParseKind(e.Kind) == 0 {
		return balsampier.NewError(balsampier.KindUnavailable, "ask "+url, "check that the address is an operator address", err)
	}
	return &Refused{
		Err:      balsampier.NewError(balsampier.ParseKind(e.Kind), "ask "+url, "see the message", errors.New(e.Message)),
		Problems: e.Problems,
	}
}

// Error returns the message of the process that refused.
func (r *Refused) Error() string { return r.Err.Err.Error() }

// Unwrap lets KindOf find the kind.
func (r *Refused) Unwrap() error { return r.Err }
