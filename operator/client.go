package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

const (
	// attemptTimeout bounds one call, so that a frozen instance delays little.
	attemptTimeout = 5 * time.Second
	// retryDelay stands between two rounds over all instances.
	retryDelay       = 250 * time.Millisecond
	maxResponseBytes = 64 << 20
)

type (
	// Client speaks to the operators' port of processes. It is not safe for
	// use by several threads.
	Client struct {
		// urls are tried in turn until one answers.
		urls []string
		// currentIndex is the index of the instance that answered last.
		currentIndex int
		key          string
		clock        balsampier.Clock
		httpClient   http.Client
	}

	// RefusedError is an error answer with the faults of a rule file.
	RefusedError struct {
		// Err is never nil.
		Err *balsampier.Error
		// Problems is empty unless a rule file was refused.
		Problems []balsampier.Problem
	}
)

// NewClient returns a client for instances with the given base URLs.
func NewClient(urls []string, key []byte, k balsampier.Clock) *Client {
	l := &Client{key: string(key), clock: k, httpClient: http.Client{Timeout: attemptTimeout}}
	for _, u := range urls {
		l.urls = append(l.urls, strings.TrimRight(u, "/"))
	}
	return l
}

// Submit sends a submission; sending it again has no further effect.
func (l *Client) Submit(c context.Context, b SubmitBody) (SubmitResponse, error) {
	var a SubmitResponse
	err := l.do(c, http.MethodPost, pathRules, b, &a)
	return a, err
}

// Rules returns the accepted rule file.
func (l *Client) Rules(c context.Context) (RulesResponse, error) {
	var a RulesResponse
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
	_, err := l.tryEach(c, http.MethodGet, "/dump", nil, &a)
	return a, err
}

// do asks the instances in turn until one answers for the system or c ends.
// Every call is idempotent.
func (l *Client) do(c context.Context, method, path string, in, out any) error {
	var last error
	for {
		retry, err := l.tryEach(c, method, path, in, out)
		if retry && c.Err() != nil && last != nil {
			// What the instances said tells more than that c ended.
			return last
		}
		if !retry || !l.waitRetryDelay(c) {
			return err
		}
		last = err
	}
}

// tryEach asks each instance at most once. Where none answers for the system,
// the error of one that was reached is preferred.
func (l *Client) tryEach(c context.Context, method, path string, in, out any) (retry bool, err error) {
	for range l.urls {
		r, e := l.sendRequest(c, method, l.urls[l.currentIndex]+path, in, out)
		if !r {
			return false, e
		}
		if !isRefused(err) || isRefused(e) {
			err = e
		}
		if c.Err() != nil {
			break
		}
		l.currentIndex = (l.currentIndex + 1) % len(l.urls)
	}
	return true, err
}

func isRefused(err error) bool {
	var r *RefusedError
	return errors.As(err, &r)
}

// waitRetryDelay reports whether there is time for another round.
func (l *Client) waitRetryDelay(c context.Context) bool {
	t := l.clock.NewTimer(retryDelay)
	defer t.Stop()
	select {
	case <-t.C():
		return c.Err() == nil
	case <-c.Done():
		return false
	}
}

func (l *Client) sendRequest(c context.Context, method, url string, in, out any) (retry bool, err error) {
	b, err := json.Marshal(in)
	if err != nil {
		return false, trace.Wrap(err)
	}
	r, err := http.NewRequestWithContext(c, method, url, bytes.NewReader(b))
	if err != nil {
		return false, trace.Wrap(err)
	}
	r.Header.Set("Authorization", bearerPrefix+l.key)
	a, err := l.httpClient.Do(r)
	if err != nil {
		return true, balsampier.NewError(balsampier.KindUnavailable, "reach "+url, "check the address and that the process runs; it is safe to try again", err)
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxResponseBytes))
	if err != nil {
		return true, balsampier.NewError(balsampier.KindUnavailable, "read the answer of "+url, "it is safe to try again", err)
	}
	if a.StatusCode == http.StatusOK || (a.StatusCode == http.StatusConflict && !isErrorBody(body)) {
		return false, trace.Wrap(json.Unmarshal(body, out), "decode the answer of %s", url)
	}
	err = decodeError(body, url)
	return retriable(balsampier.KindOf(err)), err
}

// isErrorBody tells an error from an answer that reports a lost race.
func isErrorBody(body []byte) bool {
	var e ErrorBody
	return json.Unmarshal(body, &e) == nil && e.Kind != ""
}

// retriable reports whether another instance, or the same one later, may know
// better.
func retriable(k balsampier.Kind) bool {
	switch k {
	case balsampier.KindUnavailable, balsampier.KindNotLeader, balsampier.KindUnknown, balsampier.KindFull, balsampier.KindClosed:
		return true
	default:
		return false
	}
}

func decodeError(body []byte, url string) error {
	var e ErrorBody
	if err := json.Unmarshal(body, &e); err != nil || balsampier.ParseKind(e.Kind) == 0 {
		return balsampier.NewError(balsampier.KindUnavailable, "ask "+url, "check that the address is an operator address", err)
	}
	return &RefusedError{
		Err:      balsampier.NewError(balsampier.ParseKind(e.Kind), "ask "+url, "see the message", errors.New(e.Message)),
		Problems: decodeProblems(e.Problems),
	}
}

// Error returns the message of the process that refused.
func (r *RefusedError) Error() string { return r.Err.Err.Error() }

// Unwrap lets KindOf find the kind.
func (r *RefusedError) Unwrap() error { return r.Err }
