// Package caller plays callers over HTTP/3.
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
	resendPause = 200 * time.Millisecond
	filePerm    = 0o644
)

type (
	// Options say what to call and how.
	Options struct {
		URL, CAFile, Method, Body string
		// Count is the number of requests of each of the Callers.
		Count, Callers int
		// For ends the run instead of Count where it is positive. Refusals are
		// then recorded; only wrong answers make the run fail.
		For time.Duration
		// Every is the time between the starts of one caller's requests, which
		// slow answers do not stretch; zero for one right after the other.
		Every time.Duration
		// Overlap is how many requests one caller may have under way; one
		// more waits for an answer. At least 1.
		Overlap int
		// Keyed requests carry an idempotency key and are sent again when
		// refused as not run or not answered, at most Resends times.
		Keyed bool
		// Key is the idempotency key of a request sent once; empty for none.
		Key     string
		Resends int
		// Pad is how many bytes are added to each body.
		Pad int
		// Service is the one that must answer; empty for any.
		Service string
		// Stream reads numbered lines until the stream ends.
		Stream bool
		// Ledger names the file that records outcomes; empty for none.
		Ledger  string
		Timeout time.Duration
		Out     io.Writer
		Clock   balsampier.Clock
	}

	// run is shared by the callers.
	run struct {
		Options
		tls *tls.Config
		mu  sync.Mutex
		// ledger is nil without a file.
		ledger *os.File
		failed []error
		// end is zero unless the run ends by the clock.
		end time.Time
	}

	// answer is the whole answer to a request.
	answer struct {
		status int
		// refusal is empty for answers of the backend server.
		refusal string
		// reason is the reason of the refusal.
		reason string
		body   string
		// server is empty for refusals.
		server string
	}

	// one is one caller with a connection of its own.
	one struct {
		*run
		h *http.Client
	}
)

// Run makes the calls and returns an error when any answer was not whole.
func Run(c context.Context, o Options) error {
	r := &run{Options: o}
	p, err := os.ReadFile(o.CAFile)
	if err != nil {
		return balsampier.NewError(balsampier.KindInvalid, "read --ca", "give the certificate of the service", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(p) {
		return balsampier.NewError(balsampier.KindInvalid, "read --ca", "give a PEM file", nil)
	}
	r.tls = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	if o.Ledger != "" {
		if r.ledger, err = os.OpenFile(o.Ledger, os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePerm); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	if o.For > 0 {
		r.end = o.Clock.Now().Add(o.For)
	}
	var w sync.WaitGroup
	for i := range o.Callers {
		w.Go(func() { r.caller(c, i) })
	}
	w.Wait()
	return errors.Join(r.failed...)
}

func (r *run) caller(c context.Context, n int) {
	t := &http3.Transport{TLSClientConfig: r.tls}
	defer func() { _ = t.Close() }()
	v := &one{run: r, h: &http.Client{Transport: t}}
	// Callers start one after the other within the first interval.
	next := r.Clock.Now().Add(r.Every * time.Duration(n) / time.Duration(r.Callers))
	var w sync.WaitGroup
	room := make(chan struct{}, max(r.Overlap, 1))
	for i := 0; r.goesOn(c, i); i++ {
		if r.Every > 0 {
			r.wait(c, next.Sub(r.Clock.Now()))
			next = next.Add(r.Every)
		}
		room <- struct{}{}
		w.Go(func() {
			defer func() { <-room }()
			v.attempt(c, fmt.Sprintf("%d-%d", n, i))
		})
	}
	w.Wait()
}

// attempt makes one request and notes its failure.
func (v *one) attempt(c context.Context, id string) {
	err := v.once(c, id)
	if err == nil {
		return
	}
	v.mu.Lock()
	v.failed = append(v.failed, err)
	v.mu.Unlock()
	v.pause(c)
}

// goesOn reports whether the i-th request is still to be made.
func (r *run) goesOn(c context.Context, i int) bool {
	if c.Err() != nil {
		return false
	}
	if r.end.IsZero() {
		return i < r.Count
	}
	return r.Clock.Now().Before(r.end)
}

func (r *run) pause(c context.Context) { r.wait(c, resendPause) }

func (r *run) wait(c context.Context, d time.Duration) {
	t := r.Clock.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-t.C():
	case <-c.Done():
	}
}

// once makes one request, which id tells from the others of the run.
func (v *one) once(c context.Context, id string) error {
	body := v.Body
	if v.Keyed {
		body += id
	}
	if v.Pad > 0 {
		body += " " + strings.Repeat("x", v.Pad)
	}
	switch {
	case v.Stream:
		return v.stream(c)
	case v.Keyed:
		return v.keyed(c, body)
	default:
		return v.plain(c, body)
	}
}

func (v *one) plain(c context.Context, body string) error {
	a, err := v.do(c, body, v.Key)
	v.record(outcomeOf(a, err), "-", body, a.server)
	switch {
	case err != nil:
		return v.tolerate(c, err)
	case a.status == http.StatusOK:
		v.print(a.body)
		return v.check(a.body, body)
	}
	return v.tolerate(c, balsampier.NewError(balsampier.KindNotRun, "call "+v.URL, "see the answer", fmt.Errorf("%d: %s", a.status, a.body)))
}

// keyed sends one request until it is answered or its outcome is unknown.
func (v *one) keyed(c context.Context, body string) error {
	k, err := uuid.NewV7()
	if err != nil {
		return err
	}
	lost := false
	for i := 0; ; i++ {
		a, o := v.try(c, body, k.String())
		// A lost answer may still be on its way; the same key makes it safe to
		// ask again.
		lost = lost || o == outcomeLost
		if o == outcomeAnswered {
			v.record(o, k.String(), body, a.server)
			return v.check(a.body, body)
		}
		if o == outcomeUnknown || i >= v.Resends || c.Err() != nil {
			if lost {
				o = outcomeUnknown
			}
			v.record(o, k.String(), body, a.reason)
			return nil
		}
		v.pause(c)
	}
}

// try makes one attempt and tells how it ended.
func (v *one) try(c context.Context, body, key string) (answer, outcome) {
	a, err := v.do(c, body, key)
	return a, outcomeOf(a, err)
}

// do makes one attempt; the end of c does not end it, its timeout does.
func (v *one) do(c context.Context, body, key string) (answer, error) {
	c, cancel := context.WithTimeout(context.WithoutCancel(c), v.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(c, v.Method, v.URL, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	if key != "" {
		r.Header.Set(ourcaller.HeaderKey, key)
	}
	a, err := v.h.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return answer{
		status: a.StatusCode, refusal: a.Header.Get(ourcaller.HeaderRefusal), reason: a.Header.Get(ourcaller.HeaderReason),
		body: string(b), server: a.Header.Get(backend.HeaderServer),
	}, err
}

// check finds answers to requests of others.
func (v *one) check(answer, body string) error {
	u, err := url.Parse(v.URL)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(answer, v.Service) {
		v.record(outcomeWrong, "-", body, "")
		return balsampier.NewError(balsampier.KindCorrupt, "check answer", "another service answered", fmt.Errorf("got %q", answer))
	}
	if want := fmt.Sprintf("%s %s %s\n", v.Method, u.RequestURI(), body); !strings.HasSuffix(answer, want) {
		v.record(outcomeWrong, "-", body, "")
		return balsampier.NewError(balsampier.KindCorrupt, "check answer", "the answer is to another request", fmt.Errorf("got %q, want the end %q", answer, want))
	}
	return nil
}

func (v *one) print(s string) {
	if !v.end.IsZero() {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	_, _ = io.WriteString(v.Out, s)
}
