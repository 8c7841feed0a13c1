// Package caller implements test callers over HTTP/3 that check and record what
// the service answers.
package caller

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go/http3"

	"github.com/balsampier/balsampier"
	ourcaller "github.com/balsampier/balsampier/caller"
	"github.com/balsampier/balsampier/standin/backend"
)

const (
	retryDelay = 200 * time.Millisecond
	filePerm   = 0o644
)

type (
	// Options configures the callers of a run.
	Options struct {
		URL, CAFile, Method, Body string
		// Count is the number of requests of each caller, and Callers the
		// number of callers.
		Count, Callers int
		// Duration, if positive, limits the run in place of Count. Refusals and
		// lost responses are then only recorded; a wrong response is still an
		// error of the run.
		Duration time.Duration
		// Interval is the time between the starts of one caller's requests.
		// Slow responses do not extend it. Zero starts the next request as soon
		// as MaxInFlight allows.
		Interval time.Duration
		// MaxInFlight limits the requests that one caller has in flight; a
		// further one waits until one of them ends. A value below 1 counts as
		// 1.
		MaxInFlight int
		// Keyed sends each request with an idempotency key of its own, and
		// retries it at most MaxRetries times, unless the service answers it or
		// says that its outcome is unknown.
		Keyed bool
		// Key is the idempotency key of all requests when Keyed is not set;
		// empty for none. Such requests are not retried.
		Key        string
		MaxRetries int
		// PadBytes is the number of bytes that are added to each body.
		PadBytes int
		// Service is the service that must answer; empty for any.
		Service string
		// Stream makes each request read numbered lines until the response
		// ends.
		Stream bool
		// LedgerPath is the file to which outcomes are appended; empty for
		// none.
		LedgerPath     string
		RequestTimeout time.Duration
		Out            io.Writer
		Clock          balsampier.Clock
	}

	// callRun is the state that all callers of a run share. mu guards
	// ledgerFile, requestErrors and writes to Out.
	callRun struct {
		Options
		tlsConfig *tls.Config
		mu        sync.Mutex
		// ledgerFile is nil if LedgerPath is empty.
		ledgerFile    *os.File
		requestErrors []error
		// deadline is when a run with a Duration ends; zero for other runs.
		deadline time.Time
	}

	// response is a complete response to a request.
	response struct {
		status int
		// refusal is the kind of the refusal; empty if a backend server
		// answered.
		refusal string
		// reason is the reason of the refusal; empty if a backend server
		// answered.
		reason string
		body   string
		// server is the name of the backend server; empty for refusals.
		server string
	}

	// callerClient is one caller with an HTTP/3 transport of its own.
	callerClient struct {
		*callRun
		httpClient *http.Client
	}
)

// Run makes all requests and returns the joined errors of those that failed.
// Refusals and lost responses of keyed requests, and of a run with a Duration,
// are recorded and are no errors.
func Run(c context.Context, o Options) error {
	r := &callRun{Options: o}
	p, err := os.ReadFile(o.CAFile)
	if err != nil {
		return balsampier.NewError(balsampier.KindInvalid, "read --ca", "give the certificate of the service", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(p) {
		return balsampier.NewError(balsampier.KindInvalid, "read --ca", "give a PEM file", nil)
	}
	r.tlsConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	if o.LedgerPath != "" {
		if r.ledgerFile, err = os.OpenFile(o.LedgerPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePerm); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	if o.Duration > 0 {
		r.deadline = o.Clock.Now().Add(o.Duration)
	}
	var w sync.WaitGroup
	for i := range o.Callers {
		w.Go(func() { r.runCaller(c, i) })
	}
	w.Wait()
	return errors.Join(r.requestErrors...)
}

// runCaller makes the requests of the n-th caller and waits until all have
// ended.
func (r *callRun) runCaller(c context.Context, n int) {
	t := &http3.Transport{TLSClientConfig: r.tlsConfig}
	defer func() { _ = t.Close() }()
	v := &callerClient{callRun: r, httpClient: &http.Client{Transport: t}}
	// The starts of the callers are spread over the first interval.
	next := r.Clock.Now().Add(r.Interval * time.Duration(n) / time.Duration(r.Callers))
	var w sync.WaitGroup
	inFlight := make(chan struct{}, max(r.MaxInFlight, 1))
	for i := 0; r.hasNext(c, i); i++ {
		if r.Interval > 0 {
			r.wait(c, next.Sub(r.Clock.Now()))
			next = next.Add(r.Interval)
		}
		inFlight <- struct{}{}
		w.Go(func() {
			defer func() { <-inFlight }()
			v.callAndRecord(c, fmt.Sprintf("%d-%d", n, i))
		})
	}
	w.Wait()
}

// callAndRecord makes one request. If it fails, callAndRecord keeps the error
// and waits for retryDelay.
func (v *callerClient) callAndRecord(c context.Context, id string) {
	err := v.call(c, id)
	if err == nil {
		return
	}
	v.mu.Lock()
	v.requestErrors = append(v.requestErrors, err)
	v.mu.Unlock()
	v.waitRetryDelay(c)
}

// hasNext reports whether the run includes an i-th request of a caller now.
func (r *callRun) hasNext(c context.Context, i int) bool {
	if c.Err() != nil {
		return false
	}
	if r.deadline.IsZero() {
		return i < r.Count
	}
	return r.Clock.Now().Before(r.deadline)
}

func (r *callRun) waitRetryDelay(c context.Context) { r.wait(c, retryDelay) }

func (r *callRun) wait(c context.Context, d time.Duration) {
	t := r.Clock.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-t.C():
	case <-c.Done():
	}
}

// call makes one request. The id is unique in the run and makes the body of a
// keyed request unique.
func (v *callerClient) call(c context.Context, id string) error {
	body := v.Body
	if v.Keyed {
		body += id
	}
	if v.PadBytes > 0 {
		body += " " + strings.Repeat("x", v.PadBytes)
	}
	switch {
	case v.Stream:
		return v.readStream(c)
	case v.Keyed:
		return v.callKeyed(c, body)
	default:
		return v.callUnkeyed(c, body)
	}
}

// callUnkeyed sends one request, with the fixed Key if any, and does not retry
// it.
func (v *callerClient) callUnkeyed(c context.Context, body string) error {
	a, err := v.sendRequest(c, body, v.Key)
	v.recordOutcome(outcomeOf(a, err), "-", body, a.server)
	switch {
	case err != nil:
		return v.ignoreIfTimed(c, err)
	case a.status == http.StatusOK:
		v.print(a.body)
		return v.checkResponse(a.body, body)
	}
	return v.ignoreIfTimed(c, balsampier.NewError(balsampier.KindNotRun, "call "+v.URL, "see the answer", fmt.Errorf("%d: %s", a.status, a.body)))
}

// callKeyed retries one request with the same key until it is answered, its
// outcome is unknown, its retries are used up or c ends.
func (v *callerClient) callKeyed(c context.Context, body string) error {
	k, err := uuid.NewV7()
	if err != nil {
		return err
	}
	responseLost := false
	for i := 0; ; i++ {
		a, o := v.sendKeyed(c, body, k.String())
		// After a lost response the request may have run or may still be in
		// flight; the same key makes a retry safe. If no retry is answered, the
		// outcome stays unknown, whatever the last refusal says.
		responseLost = responseLost || o == outcomeLost
		if o == outcomeAnswered {
			v.recordOutcome(o, k.String(), body, a.server)
			return v.checkResponse(a.body, body)
		}
		if o == outcomeUnknown || i >= v.MaxRetries || c.Err() != nil {
			if responseLost {
				o = outcomeUnknown
			}
			v.recordOutcome(o, k.String(), body, a.reason)
			return nil
		}
		v.waitRetryDelay(c)
	}
}

// sendKeyed sends the request once and returns the response and its outcome.
func (v *callerClient) sendKeyed(c context.Context, body, key string) (response, outcome) {
	a, err := v.sendRequest(c, body, key)
	return a, outcomeOf(a, err)
}

// sendRequest sends the request once. RequestTimeout limits it; the end of c
// does not cancel it, so that its outcome is seen.
func (v *callerClient) sendRequest(c context.Context, body, key string) (response, error) {
	c, cancel := context.WithTimeout(context.WithoutCancel(c), v.RequestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(c, v.Method, v.URL, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	if key != "" {
		r.Header.Set(ourcaller.HeaderKey, key)
	}
	a, err := v.httpClient.Do(r)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return response{
		status: a.StatusCode, refusal: a.Header.Get(ourcaller.HeaderRefusal), reason: a.Header.Get(ourcaller.HeaderReason),
		body: string(b), server: a.Header.Get(backend.HeaderServer),
	}, err
}

// checkResponse returns an error for a response of another service or to
// another request, and records it.
func (v *callerClient) checkResponse(answer, body string) error {
	u, err := url.Parse(v.URL)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(answer, v.Service) {
		v.recordOutcome(outcomeWrong, "-", body, "")
		return balsampier.NewError(balsampier.KindCorrupt, "check answer", "another service answered", fmt.Errorf("got %q", answer))
	}
	if want := fmt.Sprintf("%s %s %s\n", v.Method, u.RequestURI(), body); !strings.HasSuffix(answer, want) {
		v.recordOutcome(outcomeWrong, "-", body, "")
		return balsampier.NewError(balsampier.KindCorrupt, "check answer", "the answer is to another request", fmt.Errorf("got %q, want the end %q", answer, want))
	}
	return nil
}

// print writes s to Out, except in a run with a Duration.
func (v *callerClient) print(s string) {
	if !v.deadline.IsZero() {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	_, _ = io.WriteString(v.Out, s)
}
