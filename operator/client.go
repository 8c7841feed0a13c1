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
	// attemptTimeout limits one HTTP request, so that an instance that hangs
	// does not hold up the attempt with the next one for long.
	attemptTimeout = 5 * time.Second
	// retryDelay is the delay after every instance was tried without success.
	retryDelay = 250 * time.Millisecond
	// maxResponseBytes is the limit at which a response body is cut off.
	maxResponseBytes = 64 << 20
)

type (
	// Client calls the HTTP API for operators of one or more instances. It is
	// not safe for concurrent use.
	Client struct {
		// urls are the base URLs of the instances, without a trailing slash;
		// they are tried in turn until one gives a final response.
		urls []string
		// currentIndex is the index in urls of the instance to try first: the
		// one that gave the last final response, initially the first one.
		currentIndex int
		key          string
		clock        balsampier.Clock
		httpClient   http.Client
	}

	// RefusedError is an error response of a process.
	RefusedError struct {
		// Err carries the kind and the message of the response; never nil.
		Err *balsampier.Error
		// Problems are the problems of a refused rule file; empty otherwise.
		Problems []balsampier.Problem
	}
)

// NewClient returns a client for the instances at the given base URLs, which
// authenticates with key.
func NewClient(urls []string, key []byte, k balsampier.Clock) *Client {
	l := &Client{key: string(key), clock: k, httpClient: http.Client{
		Timeout: attemptTimeout, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	for _, u := range urls {
		l.urls = append(l.urls, strings.TrimRight(u, "/"))
	}
	return l
}

// Submit submits a rule file. It is idempotent by the ID of the submission.
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

// Status returns the roll-out status of the accepted rule file.
func (l *Client) Status(c context.Context) (Status, error) {
	var a Status
	err := l.do(c, http.MethodGet, pathStatus, nil, &a)
	return a, err
}

// Dump returns the internal state of the process as JSON. It tries each
// instance at most once.
func (l *Client) Dump(c context.Context) (json.RawMessage, error) {
	var a json.RawMessage
	_, err := l.tryEach(c, http.MethodGet, "/dump", nil, &a)
	return a, err
}

// do sends a request to the instances in turn, and retries until one of them
// gives a final response or c ends. Every request must be idempotent.
func (l *Client) do(c context.Context, method, path string, in, out any) error {
	var lastErr error
	for {
		retry, err := l.tryEach(c, method, path, in, out)
		if retry && c.Err() != nil && lastErr != nil {
			// The earlier error says more than that the context ended.
			return lastErr
		}
		if !retry || !l.waitRetryDelay(c) {
			return err
		}
		lastErr = err
	}
}

// tryEach sends a request to each instance at most once, until one gives a
// final response. If none does, it sets retry and returns the last error,
// preferably one of an instance that responded over a connection error.
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

// isRefused reports whether an instance responded with an error.
func isRefused(err error) bool {
	var r *RefusedError
	return errors.As(err, &r)
}

// waitRetryDelay waits for retryDelay. It reports false if c ended.
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

// sendRequest sends one request and decodes the response into out. It sets
// retry if the error may not occur at another instance or later.
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
		return true, balsampier.NewError(balsampier.KindUnavailable, "read the response of "+url, "it is safe to try again", err)
	}
	if a.StatusCode == http.StatusOK || (a.StatusCode == http.StatusConflict && !isErrorBody(body)) {
		return false, trace.Wrap(json.Unmarshal(body, out), "decode the response of %s", url)
	}
	err = decodeErrorResponse(body, url)
	return retriable(balsampier.KindOf(err)), err
}

// isErrorBody reports whether a response with status 409 is an error. Without
// a kind it is the SubmitResponse to a submission that was not accepted.
func isErrorBody(body []byte) bool {
	var e ErrorBody
	return json.Unmarshal(body, &e) == nil && e.Kind != ""
}

// retriable reports whether another instance, or the same one later, may give
// a different response.
func retriable(k balsampier.Kind) bool {
	switch k {
	case balsampier.KindUnavailable, balsampier.KindNotLeader, balsampier.KindUnknown, balsampier.KindFull, balsampier.KindClosed:
		return true
	default:
		return false
	}
}

// decodeErrorResponse returns the error in a response body, or one of kind
// unavailable if the body is not an ErrorBody.
func decodeErrorResponse(body []byte, url string) error {
	var e ErrorBody
	if err := json.Unmarshal(body, &e); err != nil || balsampier.ParseKind(e.Kind) == 0 {
		return balsampier.NewError(balsampier.KindUnavailable, "call "+url, "check that the address is an operator address", err)
	}
	return &RefusedError{
		Err:      balsampier.NewError(balsampier.ParseKind(e.Kind), "call "+url, "see the message", errors.New(e.Message)),
		Problems: decodeProblems(e.Problems),
	}
}

// Error returns the message of the response.
func (r *RefusedError) Error() string { return r.Err.Err.Error() }

// Unwrap returns Err, so that balsampier.KindOf finds the kind.
func (r *RefusedError) Unwrap() error { return r.Err }
