// Package caller plays callers over HTTP/3.
package caller

import (
	"bufio"
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
)

const (
	resendPause = 200 * time.Millisecond
	maxResends  = 100
	filePerm    = 0o644

	outcomeAnswered = "answered"
	outcomeUnknown  = "unknown"
)

type (
	// Options say what to call and how.
	Options struct {
		URL, CAFile, Method, Body string
		// Count is the number of requests of each of the Callers.
		Count, Callers int
		// Keyed requests carry an idempotency key and are sent again when
		// refused as not run.
		Keyed bool
		// Key is the idempotency key of a request sent once; empty for none.
		Key string
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
	}

	// answer is the whole answer to a request.
	answer struct {
		status int
		// refusal is empty for answers of the backend server.
		refusal string
		// reason is the reason of the refusal.
		reason string
		body   string
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
	for i := range r.Count {
		if c.Err() != nil {
			return
		}
		var err error
		switch {
		case r.Stream:
			err = v.stream(c)
		case r.Keyed:
			err = v.keyed(c, fmt.Sprintf("%s%d-%d", r.Body, n, i))
		default:
			err = v.plain(c, r.Body)
		}
		if err != nil {
			r.mu.Lock()
			r.failed = append(r.failed, err)
			r.mu.Unlock()
		}
	}
}

func (v *one) plain(c context.Context, body string) error {
	a, err := v.do(c, body, v.Key)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return balsampier.NewError(balsampier.KindNotRun, "call "+v.URL, "see the answer", fmt.Errorf("%d: %s", a.status, a.body))
	}
	v.print(a.body)
	return v.check(a.body, body)
}

// keyed sends one request until it is answered or its outcome is unknown.
func (v *one) keyed(c context.Context, body string) error {
	k, err := uuid.NewV7()
	if err != nil {
		return err
	}
	for range maxResends {
		a, err := v.do(c, body, k.String())
		switch {
		case c.Err() != nil:
			return c.Err()
		case err != nil:
			// The answer was lost; the same key makes it safe to ask again.
		case a.status == http.StatusOK:
			v.record(outcomeAnswered, k, body, "")
			return v.check(a.body, body)
		case a.refusal != balsampier.KindNotRun.String():
			v.record(outcomeUnknown, k, body, a.reason)
			return nil
		}
		t := v.Clock.NewTimer(resendPause)
		select {
		case <-t.C():
		case <-c.Done():
			return c.Err()
		}
	}
	v.record(balsampier.KindNotRun.String(), k, body, "")
	return nil
}

func (v *one) do(c context.Context, body, key string) (answer, error) {
	c, cancel := context.WithTimeout(c, v.Timeout)
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
	return answer{status: a.StatusCode, refusal: a.Header.Get(ourcaller.HeaderRefusal), reason: a.Header.Get(ourcaller.HeaderReason), body: string(b)}, err
}

// check finds answers to requests of others.
func (v *one) check(answer, body string) error {
	u, err := url.Parse(v.URL)
	if err != nil {
		return err
	}
	if want := fmt.Sprintf("%s %s %s\n", v.Method, u.RequestURI(), body); !strings.HasSuffix(answer, want) {
		return balsampier.NewError(balsampier.KindCorrupt, "check answer", "the answer is to another request", fmt.Errorf("got %q, want the end %q", answer, want))
	}
	return nil
}

func (v *one) stream(c context.Context) error {
	r, err := http.NewRequestWithContext(c, http.MethodGet, v.URL, nil)
	if err != nil {
		return err
	}
	a, err := v.h.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	n := 0
	s := bufio.NewScanner(a.Body)
	for s.Scan() {
		n++
		if !strings.HasSuffix(s.Text(), fmt.Sprintf(" line %d", n)) {
			return balsampier.NewError(balsampier.KindCorrupt, "read stream", "a line is missing", fmt.Errorf("line %d is %q", n, s.Text()))
		}
	}
	if err := s.Err(); err != nil {
		return trace.Wrap(err, "the stream broke after %d lines", n)
	}
	if a.StatusCode != http.StatusOK {
		return balsampier.NewError(balsampier.KindNotRun, "read stream", "see the status", errors.New(a.Status))
	}
	v.print(fmt.Sprintf("stream whole: %d lines\n", n))
	return nil
}

func (v *one) print(s string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, _ = io.WriteString(v.Out, s)
}

func (v *one) record(outcome string, k uuid.UUID, body, reason string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ledger != nil {
		_, _ = fmt.Fprintf(v.ledger, "%s %s %q %s\n", outcome, k, body, reason)
	}
}
