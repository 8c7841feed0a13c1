package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	dialTimeout        = 2 * time.Second
	maxIdleConnections = 64
)

type (
	// Attempt is one try to run a request at the backend server.
	Attempt struct {
		// BeforeSend is asked right before the first byte; an error keeps the
		// request from running.
		BeforeSend func() error
		// NoRetry keeps the HTTP library from sending the request twice.
		NoRetry bool
		// started is set before the first byte goes to the backend server.
		started atomic.Bool
	}

	// Proxy forwards requests to one backend server.
	Proxy struct {
		addr netip.AddrPort
		// keepAliveTransport keeps connections open; its library may repeat idempotent
		// requests on a connection that turns out closed.
		keepAliveTransport *http.Transport
		// singleUseTransport opens a connection for every request and never repeats one.
		singleUseTransport *http.Transport
		// Observe is called when a request is sent, and what it returns with
		// the outcome; nil for none. It is set before the first use.
		Observe func() func(Outcome)
	}

	attemptKey struct{}

	// beforeSendConn asks the gate before its first write.
	beforeSendConn struct {
		net.Conn
		attempt *Attempt
	}
)

// recoveringServer stands for the server that recoveringServer from panics.
var recoveringServer = new(http.Server)

// NewProxy returns a proxy to the backend server at a.
func NewProxy(a netip.AddrPort) *Proxy {
	p := &Proxy{addr: a}
	d := net.Dialer{Timeout: dialTimeout}
	dial := func(c context.Context, network, _ string) (net.Conn, error) {
		n, err := d.DialContext(c, network, a.String())
		if err != nil {
			return nil, err
		}
		if t, ok := c.Value(attemptKey{}).(*Attempt); ok && t.NoRetry {
			return &beforeSendConn{Conn: n, attempt: t}, nil
		}
		return n, nil
	}
	p.keepAliveTransport = &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	p.singleUseTransport = &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return p
}

// Forward runs r once and streams the answer to w. An error of KindNotRun
// means that no byte went to the backend server; after another error the
// answer may have been sent in part.
func (p *Proxy) Forward(w http.ResponseWriter, r *http.Request, a *Attempt) error {
	var failed error
	t := p.keepAliveTransport
	if a.NoRetry {
		t = p.singleUseTransport
	} else {
		if err := a.BeforeSend(); err != nil {
			return err
		}
	}
	status, whole := 0, false
	if p.Observe != nil {
		done := p.Observe()
		// The reverse proxy panics when an answer breaks off.
		defer func() { done(classifyOutcome(r.Context(), status, failed, whole)) }()
	}
	v := &httputil.ReverseProxy{
		Rewrite: func(q *httputil.ProxyRequest) {
			q.SetURL(&url.URL{Scheme: "http", Host: p.addr.String()})
			q.SetXForwarded()
		},
		Transport:     t,
		FlushInterval: -1,
		ModifyResponse: func(a *http.Response) error {
			status = a.StatusCode
			return nil
		},
		ErrorHandler: func(_ http.ResponseWriter, _ *http.Request, err error) {
			failed = a.classify(err)
		},
	}
	c := context.WithValue(r.Context(), attemptKey{}, a)
	// The reverse proxy ends a broken answer as if it were whole unless it
	// knows a server that recovers from its panic. HTTP/3 does, and resets the
	// stream, but names its server by another key.
	c = context.WithValue(c, http.ServerContextKey, recoveringServer)
	v.ServeHTTP(w, r.WithContext(c))
	whole = true
	return failed
}

// Close closes idle connections.
func (p *Proxy) Close() {
	p.keepAliveTransport.CloseIdleConnections()
	p.singleUseTransport.CloseIdleConnections()
}

// Started reports whether a byte may have gone to the backend server.
func (a *Attempt) Started() bool { return a.started.Load() }

func (a *Attempt) classify(err error) error {
	var d *net.OpError
	dial := errors.As(err, &d) && d.Op == "dial"
	if dial || a.NoRetry && !a.started.Load() {
		return balsampier.NewError(balsampier.KindNotRun, "reach the backend server", "send the request again", err)
	}
	return balsampier.NewError(balsampier.KindUnknown, "get the answer of the backend server",
		"ask for the outcome before sending the request again", err)
}

// Write implements net.Conn.
func (g *beforeSendConn) Write(b []byte) (int, error) {
	if !g.attempt.started.Load() {
		if err := g.attempt.BeforeSend(); err != nil {
			return 0, err
		}
		g.attempt.started.Store(true)
	}
	return g.Conn.Write(b)
}
