package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier/backend"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/operator"
)

// lateCopyServer answers each request with the number of the request. On a
// connection that is used again it first sends a second copy of the previous
// answer.
type lateCopyServer struct {
	listener net.Listener
	requests atomic.Int64
}

func newLateCopyServer(c *qt.C) *lateCopyServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &lateCopyServer{listener: l}
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(n)
		}
	}()
	return s
}

func (s *lateCopyServer) serve(n net.Conn) {
	defer func() { _ = n.Close() }()
	b := bufio.NewReader(n)
	earlier := ""
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		body := fmt.Sprintf(`{"running": %d}`, s.requests.Add(1))
		v := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(n, earlier+v); err != nil {
			return
		}
		earlier = v
	}
}

func (s *lateCopyServer) addr() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// TestLateCopyOfResponse checks that a second copy of a response, sent when the
// next request is already on its way, is never taken for the response to that
// request.
func TestLateCopyOfResponse(t *testing.T) {
	for _, p := range []struct {
		name string
		// newGet returns a function that sends one request and returns the
		// response.
		newGet func(*qt.C, netip.AddrPort) func() string
	}{
		{name: "requests of callers", newGet: func(c *qt.C, a netip.AddrPort) func() string {
			x := backend.NewProxy(a)
			c.Cleanup(x.Close)
			return func() string {
				w := httptest.NewRecorder()
				err := x.Forward(w, httptest.NewRequest(http.MethodGet, "/", nil), &backend.Attempt{BeforeSend: func() error { return nil }})
				c.Assert(err, qt.IsNil)
				return w.Body.String()
			}
		}},
		{name: "load reports", newGet: func(c *qt.C, a netip.AddrPort) func() string {
			x := backend.NewServer(backend.Announcement{Addr: a, LoadPath: "/load"}, clock.System{})
			return func() string {
				l, err := x.Load(context.Background())
				c.Assert(err, qt.IsNil)
				return fmt.Sprintf(`{"running": %d}`, l.Running)
			}
		}},
		{name: "operators' commands", newGet: func(c *qt.C, a netip.AddrPort) func() string {
			x := operator.NewClient([]string{"http://" + a.String()}, []byte("0123456789abcdef"), clock.System{})
			return func() string {
				b, err := x.Dump(context.Background())
				c.Assert(err, qt.IsNil)
				return string(b)
			}
		}},
	} {
		t.Run(p.name, func(t *testing.T) {
			c := qt.New(t)
			get := p.newGet(c, newLateCopyServer(c).addr())
			for i := range 5 {
				c.Assert(get(), qt.Equals, fmt.Sprintf(`{"running": %d}`, i+1))
			}
		})
	}
}
