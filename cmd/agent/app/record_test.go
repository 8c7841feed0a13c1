package app

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// goneWriter fails every write, like the writer of a caller that has
// disconnected.
type goneWriter struct{ *httptest.ResponseRecorder }

func (goneWriter) Write([]byte) (int, error) { return 0, errors.New("stream reset") }

func TestRecorderKeepsWholeAnswersOnly(t *testing.T) {
	tests := []struct {
		name       string
		maxBytes   int
		callerGone bool
		status     int
		parts      []string
		// kept is the body that a resend gets. failed is true when a write must
		// fail.
		kept   string
		ok     bool
		failed bool
		shed   bool
	}{
		{"whole", 8, false, 201, []string{"bench", " 4"}, "bench 4", true, false, false},
		{"callerGone", 8, true, 200, []string{"bench", " 4"}, "bench 4", true, false, false},
		{"tooLong", 6, false, 200, []string{"bench", " 4"}, "", false, false, false},
		{"tooLongAndGone", 6, true, 200, []string{"bench", " 4"}, "", false, true, false},
		{"notKept", 0, true, 200, []string{"bench"}, "", false, true, false},
		{"shed", 8, false, 503, []string{"full"}, "full", true, false, true},
		{"early", 8, false, 103, []string{"bench"}, "bench", true, false, false},
		{"nothing", 8, false, 0, nil, "", false, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var w http.ResponseWriter = httptest.NewRecorder()
			if tt.callerGone {
				w = goneWriter{httptest.NewRecorder()}
			}
			r := &recorder{ResponseWriter: w, maxBytes: tt.maxBytes}
			if tt.status > 0 {
				r.WriteHeader(tt.status)
			}
			failed := false
			for _, p := range tt.parts {
				_, err := r.Write([]byte(p))
				failed = failed || err != nil
			}
			c.Assert(failed, qt.Equals, tt.failed)
			c.Assert(r.shed(), qt.Equals, tt.shed)
			if tt.maxBytes == 0 {
				return
			}
			a, ok := r.answer()
			c.Assert(ok, qt.Equals, tt.ok)
			if ok {
				c.Assert(string(a.Body), qt.Equals, tt.kept)
			}
		})
	}
}
