package connections

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"golang.org/x/sync/errgroup"

	"github.com/balsampier/balsampier/cmd/bench/local"
	"github.com/balsampier/balsampier/fabric"
)

const (
	// maxConcurrentDials limits concurrent handshakes, requests and stream
	// openings.
	maxConcurrentDials = 16
	idleTimeout        = time.Minute
)

type (
	// Options holds the address of the endpoint, the file of the certificate
	// to trust, and the number of connections.
	Options struct {
		Addr, CAFile string
		Count        int
	}

	// callerPool holds the connections of all callers to one endpoint.
	callerPool struct {
		serverAddr netip.AddrPort
		transport  *quic.Transport
		tls        *tls.Config
		// conns holds one entry for each connection, nil before it is open.
		conns []*http3.ClientConn
		// streams holds the response bodies that stay open until close.
		streams []io.ReadCloser
	}
)

// Call runs the commands that it reads from in, one a line, and confirms each
// on out with commandDone. It returns the first error, also of an unknown
// command, or nil at the end of in.
func Call(c context.Context, o Options, in io.Reader, out io.Writer) error {
	l, err := newCallerPool(o)
	if err != nil {
		return err
	}
	defer l.close()
	s := bufio.NewScanner(in)
	for s.Scan() {
		if err := l.runCommand(c, command(s.Text())); err != nil {
			return trace.Wrap(err, "%s", s.Text())
		}
		if _, err := fmt.Fprintln(out, commandDone); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(s.Err())
}

func newCallerPool(o Options) (*callerPool, error) {
	a, err := netip.ParseAddrPort(o.Addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p, err := os.ReadFile(o.CAFile)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(p) {
		return nil, trace.BadParameter("%s contains no PEM certificate", o.CAFile)
	}
	u, err := fabric.ListenUDP(local.Addr)
	if err != nil {
		return nil, err
	}
	return &callerPool{
		serverAddr: a, transport: &quic.Transport{Conn: u}, conns: make([]*http3.ClientConn, o.Count),
		tls: &tls.Config{
			RootCAs: pool, ServerName: a.Addr().String(), MinVersion: tls.VersionTLS13, NextProtos: []string{http3.NextProtoH3},
		},
	}, nil
}

func (l *callerPool) close() {
	for _, s := range l.streams {
		if s != nil {
			_ = s.Close()
		}
	}
	_ = l.transport.Close()
}

func (l *callerPool) runCommand(c context.Context, m command) error {
	switch m {
	case commandOpen:
		return l.forEachConnection(c, l.openConnection)
	case commandRequest:
		return l.forEachConnection(c, func(c context.Context, i int) error {
			for range requestsPerConnection {
				if err := l.sendRequest(c, i); err != nil {
					return err
				}
			}
			return nil
		})
	case commandStream:
		l.streams = make([]io.ReadCloser, len(l.conns))
		return l.forEachConnection(c, l.openStream)
	}
	return trace.BadParameter("unknown command %q", m)
}

// forEachConnection calls f with the index of every connection, with at most
// maxConcurrentDials calls in flight, and returns the first error.
func (l *callerPool) forEachConnection(c context.Context, f func(context.Context, int) error) error {
	var g errgroup.Group
	g.SetLimit(maxConcurrentDials)
	for i := range l.conns {
		g.Go(func() error { return f(c, i) })
	}
	return trace.Wrap(g.Wait())
}

func (l *callerPool) openConnection(c context.Context, i int) error {
	q, err := l.transport.Dial(c, net.UDPAddrFromAddrPort(l.serverAddr), l.tls, &quic.Config{MaxIdleTimeout: idleTimeout})
	if err != nil {
		return trace.Wrap(err)
	}
	l.conns[i] = (&http3.Transport{}).NewClientConn(q)
	return l.sendRequest(c, i)
}

func (l *callerPool) sendRequest(c context.Context, i int) error {
	b, err := l.sendGet(c, i, "/")
	if err != nil {
		return err
	}
	defer func() { _ = b.Close() }()
	n, err := io.Copy(io.Discard, b)
	if err == nil && n != responseBytes {
		return trace.BadParameter("unexpected response length of %d bytes", n)
	}
	return trace.Wrap(err)
}

func (l *callerPool) openStream(c context.Context, i int) error {
	b, err := l.sendGet(c, i, streamPath)
	if err != nil {
		return err
	}
	l.streams[i] = b
	_, err = io.ReadFull(b, make([]byte, responseBytes))
	return trace.Wrap(err)
}

// sendGet sends a GET request on connection i and returns the response body,
// which the caller must close.
func (l *callerPool) sendGet(c context.Context, i int, path string) (io.ReadCloser, error) {
	q, err := http.NewRequestWithContext(c, http.MethodGet, "https://"+l.serverAddr.String()+path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r, err := l.conns[i].RoundTrip(q)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return r.Body, nil
}
