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
	// initialPacketBytes leaves room for the envelope in an Ethernet frame.
	initialPacketBytes = 1200

	// maxHalfOpenHandshakes is how many unvalidated handshakes an endpoint
	// takes on before it asks callers to prove their address.
	maxHalfOpenHandshakes = 256

	handshakeTimeout = 5 * time.Second
	idleTimeout      = 30 * time.Second
	keepAlivePeriod  = 10 * time.Second
	maxStreams       = 100

	endpointRingDepth = 4096
)

type (
	// Options are what an endpoint is made of.
	Options struct {
		// ServiceAddr is what callers dial.
		ServiceAddr netip.AddrPort
		// Holder is the own run.
		Holder balsampier.Holder
		// Codec and Key are shared by all processes.
		Codec *IDCodec
		Key   []byte
		// TLS is nil for endpoints that refuse every connection.
		TLS *tls.Config
		// Accept returns an error to refuse a connection of the caller.
		Accept func(caller netip.AddrPort) error
		// Handler answers requests; nil for endpoints that refuse.
		Handler http.Handler
		// Send hands an answer to a balancer or to the fabric.
		Send func(p []byte, to netip.AddrPort) error
		// IDCounter makes connection IDs unique across the endpoints of a run.
		IDCounter *atomic.Uint32
		// Clock tells how long connections are idle.
		Clock balsampier.Clock
	}

	// Endpoint terminates the connections to one service address.
	Endpoint struct {
		conn      *packetConn
		transport *quic.Transport
		listener  *quic.EarlyListener
		handler   http.Handler
		clock     balsampier.Clock

		mu sync.Mutex
		// current takes new connections.
		current *generation
		// draining are earlier generations that still have connections.
		draining map[*generation]struct{}
		// stopped is true once no generation follows.
		stopped bool
	}
)

// NewEndpoint returns an endpoint that waits for Deliver.
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
		return nil, trace.Wrap(err, "listen for callers of %s", o.ServiceAddr)
	}
	e.listener = l
	return e, nil
}

// Deliver hands a caller's datagram to the endpoint, which keeps the payload.
func (e *Endpoint) Deliver(c context.Context, payload []byte, from netip.AddrPort) error {
	return e.conn.deliver(c, payload, from)
}

// Serve answers connections until Close.
func (e *Endpoint) Serve() error {
	for {
		q, err := e.listener.Accept(context.Background())
		if errors.Is(err, quic.ErrServerClosed) || errors.Is(err, quic.ErrTransportClosed) {
			return nil
		}
		if err != nil {
			return trace.Wrap(err, "serve callers")
		}
		go e.serve(q)
	}
}

// serve answers the requests of a connection in the generation that takes new
// ones.
func (e *Endpoint) serve(q *quic.Conn) {
	for {
		e.mu.Lock()
		g, ended := e.current, e.stopped
		e.mu.Unlock()
		// A generation that is left has a successor unless the endpoint ended.
		if g.serve(q) {
			return
		}
		if ended {
			_ = q.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), closeReason)
			return
		}
	}
}

// DrainConnections asks the callers of all connections to go away. Running requests
// go on until c ends; connections without any are closed. Later connections
// are served as before.
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
		_ = g.drain(c)
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.draining, g)
	}()
}

// Shutdown asks callers to go away and waits for running requests.
func (e *Endpoint) Shutdown(c context.Context) error {
	var w sync.WaitGroup
	gs := e.stop()
	errs := make([]error, len(gs))
	for i, g := range gs {
		w.Go(func() { errs[i] = g.drain(c) })
	}
	w.Wait()
	return trace.Wrap(errors.Join(errs...))
}

// Connections counts the open connections.
func (e *Endpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.current.connectionCount()
	for g := range e.draining {
		n += g.connectionCount()
	}
	return n
}

// Close ends the endpoint at once.
func (e *Endpoint) Close() error {
	for _, g := range e.stop() {
		g.close()
	}
	_ = e.transport.Close()
	return e.conn.Close()
}

// stop keeps further generations from coming and returns all there are.
func (e *Endpoint) stop() []*generation {
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

// verifyWhenBusy asks for address validation once many handshakes began
// within one handshake timeout of each other.
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
