package backend_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/backend"
	"github.com/balsampier/balsampier/clock"
)

// TestOutcome checks the outcome of requests: failures of the server count as
// such, but neither a cancelled request nor a refusal by the agent does.
func TestOutcome(t *testing.T) {
	none, cancelled := func() error { return nil }, context.Canceled
	status := func(s int) http.HandlerFunc { return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(s) } }
	abortResponse := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("half"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	tests := []struct {
		name       string
		h          http.HandlerFunc
		beforeSend func() error
		// callerLeaves is true for a caller that cancels while the request runs.
		callerLeaves bool
		want         backend.Outcome
	}{
		{"served", status(http.StatusOK), none, false, backend.OutcomeServed},
		{"notFound", status(http.StatusNotFound), none, false, backend.OutcomeServed},
		{"shed", status(http.StatusServiceUnavailable), none, false, backend.OutcomeServed},
		{"fault", status(http.StatusInternalServerError), none, false, backend.OutcomeFailed},
		{"brokenOff", abortResponse, none, false, backend.OutcomeFailed},
		{"brokenOffEarly", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, none, false, backend.OutcomeFailed},
		{"left", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, none, true, backend.OutcomeNone},
		{"gate", status(http.StatusOK), func() error {
			return balsampier.NewError(balsampier.KindNotRun, "start request", "send it again", cancelled)
		}, false, backend.OutcomeNone},
		{"refused", nil, none, false, backend.OutcomeRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, cancel := context.WithCancel(context.Background())
			defer cancel()
			v := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if tt.callerLeaves {
					cancel()
				}
				tt.h(w, r)
			}))
			defer v.Close()
			if tt.h == nil {
				v.Close()
			}
			p := backend.NewProxy(v.Listener.Addr().(*net.TCPAddr).AddrPort())
			var got []backend.Outcome
			p.Observe = func() func(backend.Outcome) { return func(o backend.Outcome) { got = append(got, o) } }
			func() {
				defer func() { _ = recover() }()
				r := httptest.NewRequestWithContext(c, http.MethodPost, "/", nil)
				_ = p.Forward(httptest.NewRecorder(), r, &backend.Attempt{BeforeSend: tt.beforeSend})
			}()
			qt.Assert(t, got, qt.DeepEquals, []backend.Outcome{tt.want})
		})
	}
}

// TestHints checks which load and health responses of a server are accepted.
func TestHints(t *testing.T) {
	tests := []struct {
		name, body string
		status     int
		ok         bool
		running    int
	}{
		{"good", `{"running": 3, "slots": 5}`, http.StatusOK, true, 3},
		{"negative", `{"running": -3}`, http.StatusOK, false, 0},
		{"garbage", `running`, http.StatusOK, false, 0},
		{"status", `{"running": 3}`, http.StatusTeapot, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			v := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer v.Close()
			a, err := netip.ParseAddrPort(v.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			s := backend.NewServer(backend.Announcement{Addr: a, LoadPath: "/load", HealthPath: "/healthz"}, clock.System{})
			l, err := s.Load(context.Background())
			c.Assert(err == nil, qt.Equals, tt.ok)
			c.Assert(l.Running, qt.Equals, tt.running)
			c.Assert(s.Healthy(context.Background()) == nil, qt.Equals, tt.status == http.StatusOK)
			c.Assert(s.Reach(context.Background()), qt.IsNil)
		})
	}
}
