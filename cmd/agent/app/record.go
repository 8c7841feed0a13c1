package app

import (
	"net/http"

	"github.com/balsampier/balsampier/caller"
	"github.com/balsampier/balsampier/command/answer"
)

// recorder passes an answer on and keeps what admission and resends need.
type recorder struct {
	http.ResponseWriter
	// room is how many bytes of the body may be kept; zero keeps none.
	room int
	// status is zero until the final header.
	status int
	header http.Header
	body   []byte
	// over is true when the body did not fit.
	over bool
	// gone is true when the caller could not be reached any more.
	gone bool
}

// Unwrap lets the HTTP library flush.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(n int) {
	if n >= http.StatusOK && r.status == 0 {
		r.status = n
		if r.room > 0 {
			r.header = r.Header().Clone()
		}
	}
	r.ResponseWriter.WriteHeader(n)
}

// Write implements http.ResponseWriter. An answer that is kept is recorded to
// its end also when the caller has gone.
func (r *recorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if r.room == 0 {
		return r.ResponseWriter.Write(b)
	}
	r.keep(b)
	if r.gone && !r.over {
		return len(b), nil
	}
	n, err := r.ResponseWriter.Write(b)
	if err != nil && !r.over {
		r.gone = true
		return len(b), nil
	}
	return n, err
}

func (r *recorder) keep(b []byte) {
	if r.over || len(r.body)+len(b) > r.room {
		r.over, r.body = true, nil
		return
	}
	r.body = append(r.body, b...)
}

// shed reports whether the backend server refused for lack of capacity.
func (r *recorder) shed() bool { return r.status == http.StatusServiceUnavailable }

// answer returns the whole answer; ok is false when it was not kept.
func (r *recorder) answer() (*answer.Answer, bool) {
	if r.status == 0 || r.over {
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

// writeAnswer sends a kept answer.
func writeAnswer(w http.ResponseWriter, a *answer.Answer) {
	h := w.Header()
	for _, f := range a.Fields {
		h.Add(f.Name, f.Value)
	}
	h.Set(caller.HeaderStored, "true")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
