package caller

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
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
		// Count makes connection IDs unique across the endpoints of a run.
		Count *atomic.Uint32
	}

	// Endpoint terminates the connections to one service address.
	Endpoint struct {
		conn      *packetConn
		transport *quic.Transport
		listener  *quic.EarlyListener
		server    *http3.Server
	}
)

// NewEndpoint returns an endpoint that waits for Deliver.
func NewEndpoint(o Options) (*Endpoint, error) {
	e := &Endpoint{conn: newPacketConn(o.ServiceAddr, endpointRingDepth, o.Send)}
	reset := quic.StatelessResetKey(sha256.Sum256(append([]byte("balsampier stateless reset "), o.Key...)))
	e.transport = &quic.Transport{
		Conn:                  e.conn,
		ConnectionIDGenerator: &idGenerator{codec: o.Codec, holder: o.Holder, count: o.Count},
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
	e.server = &http3.Server{Handler: o.Handler}
	return e, nil
}

// Deliver hands a caller's datagram to the endpoint, which keeps the payload.
func (e *Endpoint) Deliver(c context.Context, payload []byte, from netip.AddrPort) error {
	return e.conn.deliver(c, payload, from)
}

// Serve answers connections until Shutdown or Close.
func (e *Endpoint) Serve() error {
	err := e.server.ServeListener(e.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, quic.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err, "serve callers")
}

// Shutdown asks callers to go away and waits for running requests.
func (e *Endpoint) Shutdown(c context.Context) error {
	return trace.Wrap(e.server.Shutdown(c))
}

// Close ends the endpoint at once.
func (e *Endpoint) Close() error {
	_ = e.server.Close()
	_ = e.transport.Close()
	return e.conn.Close()
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
		a, err := callerOf(i.RemoteAddr)
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

func callerOf(a net.Addr) (netip.AddrPort, error) {
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
