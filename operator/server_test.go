package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator"
	"github.com/balsampier/balsampier/operator/rulefile"
)

const (
	key = "0123456789abcdef0123456789abcdef"
	id  = `"0190a6f0-0000-7000-8000-000000000001"`
)

// fakeRules records submissions and returns the outcome that their text names;
// any other text is accepted.
type fakeRules struct{ submissions []balsampier.Submission }

func (s *fakeRules) Submit(_ context.Context, b balsampier.Submission) (balsampier.SubmissionAnswer, []balsampier.Problem, error) {
	s.submissions = append(s.submissions, b)
	switch b.Text {
	case "invalid":
		ps := make([]balsampier.Problem, 5000)
		return balsampier.SubmissionAnswer{}, ps, balsampier.NewError(balsampier.KindInvalid, "read", "mend", nil)
	case "unknown":
		return balsampier.SubmissionAnswer{}, nil, balsampier.NewError(balsampier.KindUnknown, "propose", "try again", nil)
	case "conflict":
		return balsampier.SubmissionAnswer{ID: b.ID, Revision: 9}, nil, nil
	case "broken":
		return balsampier.SubmissionAnswer{}, nil, errors.New("broken")
	}
	return balsampier.SubmissionAnswer{ID: b.ID, Accepted: true, Revision: b.Base + 1}, nil, nil
}

func (s *fakeRules) Rules(context.Context) (balsampier.RuleFile, error) {
	return balsampier.RuleFile{Revision: 3, Text: "text"}, nil
}

func (s *fakeRules) Status(context.Context) (operator.Status, error) {
	return operator.Status{}, balsampier.NewError(balsampier.KindNotLeader, "lead", "try another instance", nil)
}

func newServer(l net.Listener, q *fakeRules, g *log.Logger) *operator.Server {
	s := operator.NewServer(l, []byte(key), func() any { return "state" }, func() error {
		return balsampier.NewError(balsampier.KindUnavailable, "check readiness", "wait", nil)
	})
	s.AddRules(q, q)
	return s.AddLogLevel(g)
}

// TestEndpoints checks the status, the error kind and the effect of requests to
// all endpoints, that the key is required, and that no response contains it.
func TestEndpoints(t *testing.T) {
	authorization := "Bearer " + key
	submission := func(text string) string { return `{"id":` + id + `,"base":1,"text":"` + text + `"}` }
	var validBodies []string
	for _, t := range []string{"x", "conflict", "unknown", "broken", "invalid"} {
		validBodies = append(validBodies, submission(t))
	}
	for _, x := range []struct {
		name, method, path, authorization, body string
		status                                  int
		kind                                    balsampier.Kind
	}{
		{"health needs no key", "GET", "/healthz", "", "", 200, 0},
		{"not ready", "GET", "/readyz", "", "", 503, balsampier.KindUnavailable},
		{"metrics need no key", "GET", "/metrics", "", "", 200, 0},
		{"metrics are read only", "POST", "/metrics", "", "", 405, balsampier.KindInvalid},
		{"dump", "GET", "/dump", authorization, "", 200, 0},
		{"dump without a key", "GET", "/dump", "", "", 401, balsampier.KindUnauthenticated},
		{"dump with an empty key", "GET", "/dump", "Bearer ", "", 401, balsampier.KindUnauthenticated},
		{"dump with a bare key", "GET", "/dump", key, "", 401, balsampier.KindUnauthenticated},
		{"dump with a prefix of the key", "GET", "/dump", authorization[:len(authorization)-1], "", 401, balsampier.KindUnauthenticated},
		{"dump with a longer key", "GET", "/dump", authorization + "0", "", 401, balsampier.KindUnauthenticated},
		{"dump with another key", "GET", "/dump", "Bearer " + strings.Repeat("0", len(key)), "", 401, balsampier.KindUnauthenticated},
		{"strangers learn no method", "PUT", "/dump", "", "", 401, balsampier.KindUnauthenticated},
		{"dump by post", "POST", "/dump", authorization, "", 405, balsampier.KindInvalid},
		{"rules without a key", "GET", "/v1/rules", "", "", 401, balsampier.KindUnauthenticated},
		{"submit without a key", "POST", "/v1/rules", "", submission("x"), 401, balsampier.KindUnauthenticated},
		{"status without a key", "GET", "/v1/status", "", "", 401, balsampier.KindUnauthenticated},
		{"level without a key", "PUT", "/v1/logLevel", "", `{"level":"debug"}`, 401, balsampier.KindUnauthenticated},
		{"rules", "GET", "/v1/rules", authorization, "", 200, 0},
		{"delete rules", "DELETE", "/v1/rules", authorization, "", 405, balsampier.KindInvalid},
		{"not leading", "GET", "/v1/status", authorization, "", 503, balsampier.KindNotLeader},
		{"submit", "POST", "/v1/rules", authorization, submission("x"), 200, 0},
		{"lost race", "POST", "/v1/rules", authorization, submission("conflict"), 409, 0},
		{"outcome unknown", "POST", "/v1/rules", authorization, submission("unknown"), 504, balsampier.KindUnknown},
		{"failure without a kind", "POST", "/v1/rules", authorization, submission("broken"), 500, 0},
		{"refused file", "POST", "/v1/rules", authorization, submission("invalid"), 422, balsampier.KindInvalid},
		{"empty body", "POST", "/v1/rules", authorization, "", 422, balsampier.KindInvalid},
		{"no JSON", "POST", "/v1/rules", authorization, "rule", 422, balsampier.KindInvalid},
		{"cut JSON", "POST", "/v1/rules", authorization, `{"id":` + id, 422, balsampier.KindInvalid},
		{"two values", "POST", "/v1/rules", authorization, submission("x") + submission("x"), 422, balsampier.KindInvalid},
		{"unknown field", "POST", "/v1/rules", authorization, `{"id":` + id + `,"text":"x","force":true}`, 422, balsampier.KindInvalid},
		{"negative base", "POST", "/v1/rules", authorization, `{"id":` + id + `,"base":-1,"text":"x"}`, 422, balsampier.KindInvalid},
		{"no id", "POST", "/v1/rules", authorization, `{"base":1,"text":"x"}`, 422, balsampier.KindInvalid},
		{"broken id", "POST", "/v1/rules", authorization, `{"id":"1","base":1,"text":"x"}`, 422, balsampier.KindInvalid},
		{"oversize", "POST", "/v1/rules", authorization, submission(strings.Repeat("x", 7*rulefile.MaxBytes)), 422, balsampier.KindInvalid},
		{"level", "PUT", "/v1/logLevel", authorization, `{"level":"debug"}`, 200, 0},
		{"unknown level", "PUT", "/v1/logLevel", authorization, `{"level":"loud"}`, 422, balsampier.KindInvalid},
		{"oversize level", "PUT", "/v1/logLevel", authorization, `{"level":"` + strings.Repeat("x", 5000) + `"}`, 422, balsampier.KindInvalid},
		{"unknown path", "GET", "/debug/pprof/", authorization, "", 404, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			var q fakeRules
			g := log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: io.Discard}}
			r := httptest.NewRequest(x.method, x.path, strings.NewReader(x.body))
			if x.authorization != "" {
				r.Header.Set("Authorization", x.authorization)
			}
			w := httptest.NewRecorder()
			newServer(nil, &q, &g).ServeHTTP(w, r)
			c.Assert(w.Code, qt.Equals, x.status, qt.Commentf("%s", w.Body))
			if w.Code >= 400 {
				var e operator.ErrorBody
				_ = json.Unmarshal(w.Body.Bytes(), &e)
				c.Assert(balsampier.ParseKind(e.Kind), qt.Equals, x.kind)
				c.Assert(len(e.Problems) <= 1000, qt.IsTrue)
			}
			c.Assert(w.Body.String(), qt.Not(qt.Contains), key)
			wantSubmitted := x.authorization == authorization && slices.Contains(validBodies, x.body)
			c.Assert(len(q.submissions) > 0, qt.Equals, wantSubmitted)
			c.Assert(g.Level == log.DebugLevel, qt.Equals, x.name == "level")
		})
	}
}

// TestSlowClient checks that the server limits the time for headers, requests
// and idle connections and the size of headers, and that it closes a connection
// whose headers never end.
func TestSlowClient(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := newServer(l, &fakeRules{}, &log.Logger{})
	for _, d := range []time.Duration{s.ReadHeaderTimeout, s.ReadTimeout, s.IdleTimeout} {
		c.Assert(d > 0 && d <= 2*time.Minute, qt.IsTrue)
	}
	c.Assert(s.MaxHeaderBytes > 0 && s.MaxHeaderBytes <= 64<<10, qt.IsTrue)
	s.ReadHeaderTimeout = 50 * time.Millisecond
	go func() { _ = s.Start(context.Background()) }()
	defer func() { _ = s.Stop(context.Background()) }()
	k, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = k.Close() }()
	_, err = io.WriteString(k, "GET /dump HTTP/1.1\r\nHost: x\r\nX-")
	c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(k)
	c.Assert(err, qt.IsNil)
}
