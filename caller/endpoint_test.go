package caller_test

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/caller"
	"github.com/balsampier/balsampier/clock"
)

// testTimeout ends a test that hangs. It is not a limit on performance.
const testTimeout = 20 * time.Second

type testSite struct {
	*caller.Endpoint
	conn *net.UDPConn
	dir  string
	pool *x509.CertPool
	// streamLines holds the lines that /stream writes; closing it ends the
	// response.
	streamLines chan string
}

// newTestSite returns an endpoint that serves over a UDP socket of its own, without
// fabric and balancer.
func newTestSite(c *qt.C, k balsampier.Clock) *testSite {
	s := &testSite{dir: c.TempDir(), pool: x509.NewCertPool(), streamLines: make(chan string)}
	s.writeCertificate(c, 1, time.Unix(1, 0))
	cert, err := caller.LoadCertificate(filepath.Join(s.dir, "cert.pem"), filepath.Join(s.dir, "key.pem"), k)
	c.Assert(err, qt.IsNil)
	s.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	c.Assert(err, qt.IsNil)
	codec, err := caller.NewIDCodec([]byte("a key for tests"))
	c.Assert(err, qt.IsNil)
	m := http.NewServeMux()
	m.HandleFunc("/stream", func(w http.ResponseWriter, r *http.Request) {
		for {
			_ = http.NewResponseController(w).Flush()
			select {
			case l, ok := <-s.streamLines:
				if !ok {
					return
				}
				_, _ = fmt.Fprintln(w, l)
			case <-r.Context().Done():
				return
			}
		}
	})
	m.HandleFunc("/broken", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	m.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	s.Endpoint, err = caller.NewEndpoint(caller.Options{
		ServiceAddr: s.addr(), Holder: balsampier.Holder{Instance: 1, Incarnation: 1}, Codec: codec, Key: []byte("a key for tests"),
		TLS: cert.Config(), Accept: func(netip.AddrPort) error { return nil }, Handler: m, IDCounter: new(atomic.Uint32), Clock: clock.System{},
		Send: func(p []byte, to netip.AddrPort) error {
			_, err := s.conn.WriteToUDPAddrPort(p, to)
			return err
		},
	})
	c.Assert(err, qt.IsNil)
	go func() { _ = s.Serve() }()
	go func() {
		for {
			b := make([]byte, 2048)
			n, a, err := s.conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			_ = s.Deliver(context.Background(), b[:n], a)
		}
	}()
	c.Cleanup(func() { _, _ = s.Close(), s.conn.Close() })
	return s
}

func (s *testSite) addr() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// writeCertificate writes a new certificate and key, with the modification time t.
func (s *testSite) writeCertificate(c *qt.C, serial int64, t time.Time) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	v := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"}, DNSNames: []string{"service"},
		NotBefore: time.Unix(0, 0), NotAfter: time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC), IsCA: true, BasicConstraintsValid: true,
	}
	d, err := x509.CreateCertificate(rand.Reader, v, v, &k.PublicKey, k)
	c.Assert(err, qt.IsNil)
	p, err := x509.MarshalPKCS8PrivateKey(k)
	c.Assert(err, qt.IsNil)
	s.pool.AppendCertsFromPEM(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: d}))
	for name, b := range map[string]*pem.Block{"cert.pem": {Type: "CERTIFICATE", Bytes: d}, "key.pem": {Type: "PRIVATE KEY", Bytes: p}} {
		f := filepath.Join(s.dir, name)
		c.Assert(os.WriteFile(f, pem.EncodeToMemory(b), 0o600), qt.IsNil)
		c.Assert(os.Chtimes(f, t, t), qt.IsNil)
	}
}

// dial opens a QUIC connection without an HTTP/3 client, so that it ignores
// GOAWAY.
func (s *testSite) dial(c *qt.C) *quic.Conn {
	q, err := quic.DialAddr(context.Background(), s.addr().String(), &tls.Config{
		RootCAs: s.pool, ServerName: "service", NextProtos: []string{http3.NextProtoH3}, MinVersion: tls.VersionTLS13,
	}, &quic.Config{InitialPacketSize: 1200})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = q.CloseWithError(0, "") })
	return q
}

// newClient returns a client with a connection of its own. ended is closed when
// the connection ends.
func (s *testSite) newClient(c *qt.C) (h *http.Client, ended <-chan struct{}) {
	q := s.dial(c)
	return &http.Client{Transport: (&http3.Transport{}).NewClientConn(q)}, q.Context().Done()
}

// get returns the body of the response and the serial number of the server's
// certificate.
func get(c *qt.C, h *http.Client, path string) (body io.Reader, serial int64) {
	x, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.Cleanup(cancel)
	r, err := http.NewRequestWithContext(x, http.MethodGet, "https://service"+path, nil)
	c.Assert(err, qt.IsNil)
	a, err := h.Do(r)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = a.Body.Close() })
	return a.Body, a.TLS.PeerCertificates[0].SerialNumber.Int64()
}

func getBody(c *qt.C, h *http.Client) (body string, serial int64) {
	r, serial := get(c, h, "/")
	b, err := io.ReadAll(r)
	c.Assert(err, qt.IsNil)
	return string(b), serial
}

// fetch returns nil if the response was complete.
func fetch(h *http.Client, path string) error {
	a, err := h.Get("https://service" + path)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.ReadAll(a.Body)
	return err
}

func waitFor(c *qt.C, done <-chan struct{}, what string) {
	select {
	case <-done:
	case <-time.After(testTimeout):
		c.Fatal(what)
	}
}

// TestDrainConnections checks that DrainConnections closes idle connections, also
// those of callers that ignore GOAWAY, and refuses new requests on old
// connections, while responses in flight complete and new connections are
// served. Shutdown has to wait for the requests in flight.
func TestDrainConnections(t *testing.T) {
	c := qt.New(t)
	s := newTestSite(c, clock.System{})
	idle, idleEnded := s.newClient(c)
	_, _ = getBody(c, idle)
	unresponsive := s.dial(c)
	busy, busyEnded := s.newClient(c)
	stream, _ := get(c, busy, "/stream")
	lines := bufio.NewScanner(stream)
	checkLine := func(l string) {
		select {
		case s.streamLines <- l:
		case <-time.After(testTimeout):
			c.Fatalf("the stream ended before line %q", l)
		}
		c.Assert(lines.Scan(), qt.IsTrue)
		c.Assert(lines.Text(), qt.Equals, l)
	}
	checkLine("before")
	c.Assert(fetch(busy, "/broken"), qt.IsNotNil, qt.Commentf("an aborted response seems complete"))
	s.DrainConnections(context.Background())
	waitFor(c, idleEnded, "the idle connection was not closed")
	waitFor(c, unresponsive.Context().Done(), "the connection of a caller that ignores GOAWAY was not closed")
	checkLine("while")

	late, _ := s.newClient(c)
	body, _ := getBody(c, late)
	c.Assert(body, qt.Equals, "whole")
	c.Assert(fetch(busy, "/"), qt.IsNotNil, qt.Commentf("a draining connection accepted a request"))
	checkLine("after")
	c.Assert(s.Connections(), qt.Equals, 2)

	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		_ = s.Shutdown(context.Background())
	}()
	checkLine("in the shutdown")
	select {
	case <-shutdownDone:
		c.Fatal("the shutdown did not wait for the stream")
	default:
	}
	close(s.streamLines)
	c.Assert(lines.Scan(), qt.IsFalse)
	c.Assert(lines.Err(), qt.IsNil)
	waitFor(c, busyEnded, "the connection was not closed after its last response")
	waitFor(c, shutdownDone, "the shutdown did not return")
	c.Assert(s.Connections(), qt.Equals, 0)
}

// TestCertificate checks that new connections get a replaced certificate while old
// connections keep working, and that replacing only one of the two files has no
// effect.
func TestCertificate(t *testing.T) {
	c := qt.New(t)
	k := clock.NewFake(time.Unix(1000, 0))
	s := newTestSite(c, k)
	old, _ := s.newClient(c)
	_, serial := getBody(c, old)
	c.Assert(serial, qt.Equals, int64(1))

	oldKey, err := os.ReadFile(filepath.Join(s.dir, "key.pem"))
	c.Assert(err, qt.IsNil)
	s.writeCertificate(c, 2, time.Unix(2, 0))
	newKey, err := os.ReadFile(filepath.Join(s.dir, "key.pem"))
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(s.dir, "key.pem"), oldKey, 0o600), qt.IsNil)
	k.Advance(time.Minute)
	halfReplaced, _ := s.newClient(c)
	_, serial = getBody(c, halfReplaced)
	c.Assert(serial, qt.Equals, int64(1))

	c.Assert(os.WriteFile(filepath.Join(s.dir, "key.pem"), newKey, 0o600), qt.IsNil)
	k.Advance(time.Minute)
	fresh, _ := s.newClient(c)
	_, serial = getBody(c, fresh)
	c.Assert(serial, qt.Equals, int64(2))
	body, serial := getBody(c, old)
	c.Assert(body, qt.Equals, "whole")
	c.Assert(serial, qt.Equals, int64(1))
}
