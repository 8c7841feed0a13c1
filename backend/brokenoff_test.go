package backend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier/backend"
)

// TestBrokenOffResponse checks that a response that ends early, or of which
// nobody can tell whether it did, never looks complete to the caller.
func TestBrokenOffResponse(t *testing.T) {
	for _, p := range []struct {
		name, response string
		// isComplete is true for a response that is whole.
		isComplete bool
	}{
		{name: "whole", response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", isComplete: true},
		{name: "whole chunks", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", isComplete: true},
		{name: "no body", response: "HTTP/1.1 204 No Content\r\n\r\n", isComplete: true},
		{name: "shorter than its length", response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"},
		{name: "without the last chunk", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
		{name: "in a chunk", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody"},
		{name: "without a length", response: "HTTP/1.1 200 OK\r\n\r\nbody"},
		{name: "without a length, closing", response: "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nbody"},
	} {
		t.Run(p.name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = l.Close() }()
			go func() {
				n, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(n))
				_, _ = io.WriteString(n, p.response)
				_ = n.Close()
			}()
			x := backend.NewProxy(l.Addr().(*net.TCPAddr).AddrPort())
			defer x.Close()
			aborted := true
			func() {
				defer func() { _ = recover() }()
				err = x.Forward(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil), &backend.Attempt{BeforeSend: func() error { return nil }})
				aborted = err != nil
			}()
			c.Assert(aborted, qt.Equals, !p.isComplete)
		})
	}
}
