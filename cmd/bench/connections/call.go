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
	// maxDials bounds the handshakes at a time.
	maxDials    = 16
	idleTimeout = time.Minute
)

type (
	// Options say what the callers call.
	Options struct {
		Addr, CAFile string
		Count        int
	}

	// calling is the callers' process.
	calling struct {
		to        netip.AddrPort
		transport *quic.Transport
		tls       *tls.Config
		// conns has an entry for each open connection.
		conns []*http3.ClientConn
		// streams stay open until the process ends.
		streams []io.ReadCloser
	}
)

// Call follows the commands on in and answers each of them on out.
func Call(c context.Context, o Options, in io.Reader, out io.Writer) error {
	l, err := newCalling(o)
	if err != nil {
		return err
	}
	defer l.close()
	s := bufio.NewScanner(in)
	for s.Scan() {
		if err := l.follow(c, command(s.Text())); err != nil {
			return trace.Wrap(err, "%s", s.Text())
		}
		if _, err := fmt.Fprintln(out, done); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(s.Err())
}

func newCalling(o Options) (*calling, error) {
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
		return nil, trace.BadParameter("%s holds no certificate", o.CAFile)
	}
	u, err := fabric.ListenUDP(local.Addr)
	if err != nil {
		return nil, err
	}
	return &calling{
		to: a, transport: &quic.Transport{Conn: u}, conns: make([]*http3.ClientConn, o.Count),
		tls: &tls.Config{
			RootCAs: pool, ServerName: a.Addr().String(), MinVersion: tls.VersionTLS13, NextProtos: []string{http3.NextProtoH3},
		},
	}, nil
}

func (l *calling) close() {
	for _, s := range l.streams {
		if s != nil {
			_ = s.Close()
		}
	}
	_ = l.transport.Close()
}

func (l *calling) follow(c context.Context, m command) error {
	switch m {
	case commandOpen:
		return l.each(c, l.open)
	case commandRequest:
		return l.each(c, func(c context.Context, i int) error {
			for range requestsPerConnection {
				if err := l.request(c, i); err != nil {
					return err
				}
			}
			return nil
		})
	case commandStream:
		l.streams = make([]io.ReadCloser, len(l.conns))
		return l.each(c, l.stream)
	}
	return trace.BadParameter("command %q is not known", m)
}

// each calls f for every connection, for at most maxDials at a time.
func (l *calling) each(c context.Context, f func(context.Context, int) error) error {
	var g errgroup.Group
	g.SetLimit(maxDials)
	for i := range l.conns {
		g.Go(func() error { return f(c, i) })
	}
	return trace.Wrap(g.Wait())
}

func (l *calling) open(c context.Context, i int) error {
	q, err := l.transport.Dial(c, net.UDPAddrFromAddrPort(l.to), l.tls, &quic.Config{MaxIdleTimeout: idleTimeout})
	if err != nil {
		return trace.Wrap(err)
	}
	l.conns[i] = (&http3.Transport{}).NewClientConn(q)
	return l.request(c, i)
}

func (l *calling) request(c context.Context, i int) error {
	b, err := l.get(c, i, "/")
	if err != nil {
		return err
	}
	defer func() { _ = b.Close() }()
	n, err := io.Copy(io.Discard, b)
	if err == nil && n != answerBytes {
		return trace.BadParameter("an answer has %d bytes", n)
	}
	return trace.Wrap(err)
}

func (l *calling) stream(c context.Context, i int) error {
	b, err := l.get(c, i, streamPath)
	if err != nil {
		return err
	}
	l.streams[i] = b
	_, err = io.ReadFull(b, make([]byte, answerBytes))
	return trace.Wrap(err)
}

// get returns the body of an answer, which the caller closes.
func (l *calling) get(c context.Context, i int, path string) (io.ReadCloser, error) {
	q, err := http.NewRequestWithContext(c, http.MethodGet, "https://"+l.to.String()+path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r, err := l.conns[i].RoundTrip(q)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return r.Body, nil
}
