package app

import (
	"net/http"

	"github.com/balsampier/balsampier/caller"
	"github.com/balsampier/balsampier/command/answer"
)

// recorder writes an answer to the caller and records what admission and
// resends need of it.
type recorder struct {
	http.ResponseWriter
	// maxBytes is how many bytes of the body may be kept; zero keeps nothing.
	maxBytes int
	// status is the status of the final header; zero before it.
	status int
	header http.Header
	body   []byte
	// overflowed is true when the body was longer than maxBytes.
	overflowed bool
	// callerGone is true once a write to the caller failed.
	callerGone bool
}

// Unwrap lets http.ResponseController reach the wrapped writer, to flush it.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(n int) {
	if n >= http.StatusOK && r.status == 0 {
		r.status = n
		if r.maxBytes > 0 {
			r.header = r.Header().Clone()
		}
	}
	r.ResponseWriter.WriteHeader(n)
}

// Write implements http.ResponseWriter. An answer that is kept is recorded to
// its end even if the caller has disconnected.
func (r *recorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if r.maxBytes == 0 {
		return r.ResponseWriter.Write(b)
	}
	r.appendBody(b)
	if r.callerGone && !r.overflowed {
		return len(b), nil
	}
	n, err := r.ResponseWriter.Write(b)
	if err != nil && !r.overflowed {
		r.callerGone = true
		return len(b), nil
	}
	return n, err
}

// appendBody keeps b, or discards the body if it becomes longer than maxBytes.
func (r *recorder) appendBody(b []byte) {
	if r.overflowed || len(r.body)+len(b) > r.maxBytes {
		r.overflowed, r.body = true, nil
		return
	}
	r.body = append(r.body, b...)
}

// shed reports whether the backend server refused the request for lack of
// capacity.
func (r *recorder) shed() bool { return r.status == http.StatusServiceUnavailable }

// answer returns the whole answer; ok is false when it was not kept.
func (r *recorder) answer() (*answer.Answer, bool) {
	if r.status == 0 || r.overflowed {
		return nil, false
	}
	a := &answer.Answer{Status: r.status, Body: r.body}
	for n, vs := range r.header {
		for _, v := range vs {
			a.Fields = append(a.Fields, answer.Field{Name: n, Value: v})
		}
	}
	return a, true
}

// writeAnswer writes a kept answer.
func writeAnswer(w http.ResponseWriter, a *answer.Answer) {
	h := w.Header()
	for _, f := range a.Fields {
		h.Add(f.Name, f.Value)
	}
	h.Set(caller.HeaderStored, "true")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
