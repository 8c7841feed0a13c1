package caller

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/balsampier/balsampier"
)

const (
	// initialPacketBytes leaves room for the envelope within the MTU of
	// Ethernet.
	initialPacketBytes = 1200

	// maxHalfOpenHandshakes is how many handshakes an endpoint accepts
	// without address validation within one handshakeTimeout. Beyond it,
	// callers have to validate their address.
	maxHalfOpenHandshakes = 256

	handshakeTimeout = 5 * time.Second
	idleTimeout      = 30 * time.Second
	keepAlivePeriod  = 10 * time.Second
	maxStreams       = 100

	endpointRingDepth = 4096
)

type (
	// Options configure NewEndpoint.
	Options struct {
		// ServiceAddr is the address that callers connect to.
		ServiceAddr netip.AddrPort
		// Holder is the instance and incarnation of this process. It is encoded
		// in the connection IDs.
		Holder balsampier.Holder
		// Codec and Key are shared by all processes.
		Codec *IDCodec
		Key   []byte
		// TLS is nil for an endpoint that refuses every connection.
		TLS *tls.Config
		// Accept is called for each new connection. An error refuses it.
		Accept func(caller netip.AddrPort) error
		// Handler serves requests. It is nil for an endpoint that refuses every
		// connection.
		Handler http.Handler
		// Send sends a packet to a caller, through a balancer or the fabric.
		Send func(p []byte, to netip.AddrPort) error
		// IDCounter numbers connection IDs. The endpoints of a process share
		// it, so that IDs are unique.
		IDCounter *atomic.Uint32
		// Clock measures how long connections are idle.
		Clock balsampier.Clock
	}

	// Endpoint terminates the QUIC connections to one service address.
	Endpoint struct {
		conn      *packetConn
		transport *quic.Transport
		listener  *quic.EarlyListener
		handler   http.Handler
		clock     balsampier.Clock

		mu sync.Mutex
		// current serves new connections.
		current *generation
		// draining holds earlier generations that still have connections.
		draining map[*generation]struct{}
		// stopped is true once the endpoint shuts down: no further generation
		// is created.
		stopped bool
	}
)

// NewEndpoint returns an endpoint that reads the packets given to Deliver. Serve
// has to run to accept connections.
func NewEndpoint(o Options) (*Endpoint, error) {
	e := &Endpoint{
		conn: newPacketConn(o.ServiceAddr, endpointRingDepth, o.Send), handler: o.Handler, clock: o.Clock,
		draining: make(map[*generation]struct{}),
	}
	e.current = newGeneration(e.handler, e.clock)
	reset := quic.StatelessResetKey(sha256.Sum256(append([]byte("balsampier stateless reset "), o.Key...)))
	e.transport = &quic.Transport{
		Conn:                  e.conn,
		ConnectionIDGenerator: &idGenerator{codec: o.Codec, holder: o.Holder, counter: o.IDCounter},
		StatelessResetKey:     &reset,
		VerifySourceAddress:   verifyWhenBusy(maxHalfOpenHandshakes),
	}
	t := o.TLS
	if t == nil {
		t = &tls.Config{MinVersion: tls.VersionTLS13}
	}
	l, err := e.transport.ListenEarly(http3.ConfigureTLSConfig(t), quicConfig(o.Accept))
	if err != nil {
		return nil, trace.Wrap(err, "listen for connections to %s", o.ServiceAddr)
	}
	e.listener = l
	return e, nil
}

// Deliver enqueues a caller's datagram. The endpoint keeps the payload. A
// datagram is dropped while the queue is full.
func (e *Endpoint) Deliver(c context.Context, payload []byte, from netip.AddrPort) error {
	return e.conn.deliver(c, payload, from)
}

// Serve accepts and serves connections until Close.
func (e *Endpoint) Serve() error {
	for {
		q, err := e.listener.Accept(context.Background())
		if errors.Is(err, quic.ErrServerClosed) || errors.Is(err, quic.ErrTransportClosed) {
			return nil
		}
		if err != nil {
			return trace.Wrap(err, "accept connection")
		}
		go e.serve(q)
	}
}

// serve serves the requests of a connection in the current generation.
func (e *Endpoint) serve(q *quic.Conn) {
	for {
		e.mu.Lock()
		g, stopped := e.current, e.stopped
		e.mu.Unlock()
		// A draining generation has a successor unless the endpoint is stopped.
		if g.serve(q) {
			return
		}
		if stopped {
			_ = q.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), closeReason)
			return
		}
	}
}

// DrainConnections sends GOAWAY on all connections, so that callers connect again,
// perhaps to another server. Requests in flight run until c ends, and idle
// connections are closed. New connections are served as before.
func (e *Endpoint) DrainConnections(c context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped || e.current.connectionCount() == 0 {
		return
	}
	g := e.current
	e.draining[g] = struct{}{}
	e.current = newGeneration(e.handler, e.clock)
	go func() {
		_ = g.drainAndWait(c)
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.draining, g)
	}()
}

// Shutdown sends GOAWAY on all connections and waits for requests in flight,
// until c ends.
func (e *Endpoint) Shutdown(c context.Context) error {
	var w sync.WaitGroup
	gs := e.stopGenerations()
	errs := make([]error, len(gs))
	for i, g := range gs {
		w.Go(func() { errs[i] = g.drainAndWait(c) })
	}
	w.Wait()
	return trace.Wrap(errors.Join(errs...))
}

// Connections returns the number of open connections.
func (e *Endpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.current.connectionCount()
	for g := range e.draining {
		n += g.connectionCount()
	}
	return n
}

// Close closes the endpoint and all connections at once.
func (e *Endpoint) Close() error {
	for _, g := range e.stopGenerations() {
		g.close()
	}
	_ = e.transport.Close()
	return e.conn.Close()
}

// stopGenerations marks the endpoint as stopped and returns all generations.
func (e *Endpoint) stopGenerations() []*generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	return append(slices.Collect(maps.Keys(e.draining)), e.current)
}

func quicConfig(accept func(netip.AddrPort) error) *quic.Config {
	q := &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAlivePeriod,
		MaxIncomingStreams:      maxStreams,
		InitialPacketSize:       initialPacketBytes,
		DisablePathMTUDiscovery: true,
		Allow0RTT:               false,
	}
	base := q.Clone()
	q.GetConfigForClient = func(i *quic.ClientInfo) (*quic.Config, error) {
		a, err := callerAddr(i.RemoteAddr)
		if err != nil {
			return nil, err
		}
		if err := accept(a); err != nil {
			return nil, err
		}
		return base, nil
	}
	return q
}

func callerAddr(a net.Addr) (netip.AddrPort, error) {
	if u, ok := a.(*net.UDPAddr); ok {
		return u.AddrPort(), nil
	}
	return netip.AddrPort{}, balsampier.NewError(balsampier.KindInvalid, "read caller address", "use a UDP address", nil)
}

// verifyWhenBusy returns a function that requires address validation once more
// than limit handshakes began within one handshakeTimeout.
func verifyWhenBusy(limit int64) func(net.Addr) bool {
	var n atomic.Int64
	return func(net.Addr) bool {
		if n.Add(1) > limit {
			n.Add(-1)
			return true
		}
		time.AfterFunc(handshakeTimeout, func() { n.Add(-1) })
		return false
	}
}
