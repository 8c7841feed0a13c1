package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/balsampier/balsampier"
)

// dialTimeout bounds the connection to the backend server, which runs nearby.
const dialTimeout = 2 * time.Second

type (
	// Attempt is one attempt to run a request at the backend server.
	Attempt struct {
		// BeforeSend is called right before the first byte is sent. An error
		// keeps the request from being sent.
		BeforeSend func() error
		// started is set right before the first byte is sent.
		started atomic.Bool
	}

	// Proxy forwards requests to one backend server.
	Proxy struct {
		addr netip.AddrPort
		// transport opens a connection for each request. Then the HTTP library
		// never retries one, and a second copy of a response that a server sends
		// late cannot be taken for the response to the next request.
		transport *http.Transport
		// Observe is called when a request is sent, and the function that it
		// returns with the outcome of the request. It may be nil, and must not
		// change after the first use of the proxy.
		Observe func() func(Outcome)
	}

	attemptKey struct{}

	// endlessBody is the body of a response of which only the end of the
	// connection tells the end.
	endlessBody struct{ io.ReadCloser }

	// beforeSendConn calls BeforeSend of the attempt before its first write.
	beforeSendConn struct {
		net.Conn
		attempt *Attempt
	}
)

// recoveringServer is a placeholder for the HTTP server that recovers from the
// panic of the reverse proxy.
var recoveringServer = new(http.Server)

// NewProxy returns a proxy to the backend server at the address a.
func NewProxy(a netip.AddrPort) *Proxy {
	p := &Proxy{addr: a}
	d := net.Dialer{Timeout: dialTimeout}
	dial := func(c context.Context, network, _ string) (net.Conn, error) {
		n, err := d.DialContext(c, network, a.String())
		if err != nil {
			return nil, err
		}
		if t, ok := c.Value(attemptKey{}).(*Attempt); ok {
			return &beforeSendConn{Conn: n, attempt: t}, nil
		}
		return n, nil
	}
	p.transport = &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return p
}

// Forward sends r to the backend server and streams the response to w. After an
// error of KindNotRun, no byte was sent to the backend server. After any other
// error the request may have run, and part of the response may have been sent.
func (p *Proxy) Forward(w http.ResponseWriter, r *http.Request, a *Attempt) error {
	var failed error
	status, isComplete := 0, false
	if p.Observe != nil {
		done := p.Observe()
		// Deferred because the reverse proxy panics if the response is aborted.
		defer func() { done(classifyOutcome(r.Context(), status, failed, isComplete)) }()
	}
	v := &httputil.ReverseProxy{
		Rewrite: func(q *httputil.ProxyRequest) {
			q.SetURL(&url.URL{Scheme: "http", Host: p.addr.String()})
			q.SetXForwarded()
		},
		Transport:     p.transport,
		FlushInterval: -1,
		ModifyResponse: func(a *http.Response) error {
			status = a.StatusCode
			if hasUnknownEnd(a) {
				a.Body = endlessBody{a.Body}
			}
			return nil
		},
		ErrorHandler: func(_ http.ResponseWriter, _ *http.Request, err error) {
			failed = a.classify(err)
		},
	}
	c := context.WithValue(r.Context(), attemptKey{}, a)
	// The reverse proxy panics on an aborted response only if the context has
	// an HTTP server, which recovers from the panic; otherwise the response
	// would end as if it were complete. The HTTP/3 server recovers too and
	// resets the stream, but is in the context under another key.
	c = context.WithValue(c, http.ServerContextKey, recoveringServer)
	v.ServeHTTP(w, r.WithContext(c))
	isComplete = true
	return failed
}

// hasUnknownEnd reports whether the response has a body without a length, so that
// one that was broken off looks like a whole one.
func hasUnknownEnd(a *http.Response) bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0 && a.StatusCode != http.StatusSwitchingProtocols
}

// Read implements io.Reader. The end of the connection is an error.
func (b endlessBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = balsampier.NewError(balsampier.KindUnknown, "read the response of the backend server",
			"let the server send Content-Length or chunks", io.ErrUnexpectedEOF)
	}
	return n, err
}

// Close closes idle connections.
func (p *Proxy) Close() { p.transport.CloseIdleConnections() }

func (a *Attempt) classify(err error) error {
	var d *net.OpError
	dial := errors.As(err, &d) && d.Op == "dial"
	if dial || !a.started.Load() {
		return balsampier.NewError(balsampier.KindNotRun, "reach the backend server", "send the request again", err)
	}
	return balsampier.NewError(balsampier.KindUnknown, "read the response of the backend server",
		"query the outcome before sending the request again", err)
}

// Write implements net.Conn. It calls BeforeSend before the first write.
func (g *beforeSendConn) Write(b []byte) (int, error) {
	if !g.attempt.started.Load() {
		if err := g.attempt.BeforeSend(); err != nil {
			return 0, err
		}
		g.attempt.started.Store(true)
	}
	return g.Conn.Write(b)
}
