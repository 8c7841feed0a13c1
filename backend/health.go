package backend

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

const (
	// OutcomeNone says nothing about the backend server, for example because
	// the caller cancelled the request.
	OutcomeNone Outcome = iota
	// OutcomeServed means that the server responded.
	OutcomeServed
	// OutcomeFailed means that the server aborted the response, or responded
	// with a 5xx status other than 503.
	OutcomeFailed
	// OutcomeRefused means that the server's address refused the connection.
	OutcomeRefused
)

const (
	// queryTimeout bounds each health or load query and each connection check.
	queryTimeout = time.Second

	maxLoadBytes = 4 << 10
)

type (
	// Outcome is what a forwarded request shows about the backend server.
	Outcome uint8

	// Server queries the health and the load of a backend server.
	Server struct {
		announcement Announcement
		clock        balsampier.Clock
		client       *http.Client
	}

	// loadReport is the load that a server reports.
	loadReport struct {
		Running     int `json:"running"`
		Queued      int `json:"queued"`
		Connections int `json:"connections"`
		Slots       int `json:"slots"`
	}
)

var _ balsampier.BackendServer = (*Server)(nil)

// NewServer returns a Server for the backend server that sent the announcement.
func NewServer(a Announcement, k balsampier.Clock) *Server {
	return &Server{announcement: a, clock: k, client: &http.Client{
		Timeout: queryTimeout, Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// Load returns the load that the server reports. It is a hint only.
func (s *Server) Load(c context.Context) (balsampier.Load, error) {
	var l loadReport
	if err := s.get(c, s.announcement.LoadPath, func(b io.Reader) error { return json.NewDecoder(b).Decode(&l) }); err != nil {
		return balsampier.Load{}, err
	}
	if min(l.Running, l.Queued, l.Connections, l.Slots) < 0 {
		return balsampier.Load{}, newQueryError("report counts that are not negative", nil)
	}
	return balsampier.Load{
		Running: l.Running, Queued: l.Queued, Connections: l.Connections, Slots: l.Slots, At: s.clock.Now(),
	}, nil
}

// Healthy returns an error unless the health check of the server answers 200. It
// is a hint only.
func (s *Server) Healthy(c context.Context) error {
	return s.get(c, s.announcement.HealthPath, func(io.Reader) error { return nil })
}

// Reach returns an error unless the server's address accepts a TCP connection.
func (s *Server) Reach(c context.Context) error {
	d := net.Dialer{Timeout: queryTimeout}
	n, err := d.DialContext(c, "tcp", s.announcement.Addr.String())
	if err != nil {
		return trace.Wrap(err, "connect to the backend server")
	}
	return trace.Wrap(n.Close())
}

func (s *Server) get(c context.Context, path string, read func(io.Reader) error) error {
	r, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+s.announcement.Addr.String()+path, nil)
	if err != nil {
		return newQueryError("announce a path that starts with /", err)
	}
	v, err := s.client.Do(r)
	if err != nil {
		return newQueryError("check that the backend server is running", err)
	}
	defer func() { _ = v.Body.Close() }()
	if v.StatusCode != http.StatusOK {
		return newQueryError("check why the backend server does not answer with 200", nil)
	}
	return read(io.LimitReader(v.Body, maxLoadBytes))
}

// classifyOutcome returns what the end of a request shows about the server. whole
// is false if the response was aborted.
func classifyOutcome(c context.Context, status int, err error, isComplete bool) Outcome {
	switch {
	case c.Err() != nil:
		return OutcomeNone
	case errors.Is(err, syscall.ECONNREFUSED):
		return OutcomeRefused
	case balsampier.KindOf(err) == balsampier.KindNotRun && !isDialError(err):
		return OutcomeNone
	case err != nil || !isComplete:
		return OutcomeFailed
	case status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable:
		return OutcomeFailed
	}
	return OutcomeServed
}

func isDialError(err error) bool {
	var d *net.OpError
	return errors.As(err, &d) && d.Op == "dial"
}

func newQueryError(remedy string, err error) error {
	return balsampier.NewError(balsampier.KindUnavailable, "query the backend server", remedy, err)
}

// validPath reports whether p is empty or the path of a URL.
func validPath(p string) bool { return p == "" || p[0] == '/' }

// validAddr reports whether a is an address with a port.
func validAddr(a netip.AddrPort) bool { return a.IsValid() && a.Port() != 0 }
