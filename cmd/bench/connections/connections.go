// Package connections benchmarks the processor time and memory that open QUIC
// connections, streams and requests cost the process that terminates them. The
// callers run in another process, so that their cost is not included.
package connections

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/bench/measure"
	"github.com/balsampier/balsampier/caller"
	"github.com/balsampier/balsampier/cmd/bench/local"
	"github.com/balsampier/balsampier/fabric"
)

const (
	// idleWindow is long enough for one keep-alive packet on each connection.
	idleWindow = 10 * time.Second
	// requestsPerConnection is the number of requests that each caller sends
	// sequentially.
	requestsPerConnection = 20
	responseBytes         = 200
	streamPath            = "/stream"
)

var (
	connectionCounts = []int{100, 300, 1_000}
	key              = []byte("a key for the connection benchmark only")
)

// Run measures an agent's endpoint with each of connectionCounts. The callers
// run in the process that listens at from.
func Run(c context.Context, w io.Writer, k balsampier.Clock, from netip.AddrPort) error {
	d, err := os.MkdirTemp("", "balsampier-bench-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(d) }()
	p := certificateFiles{cert: filepath.Join(d, "cert.pem"), key: filepath.Join(d, "key.pem")}
	if err := p.write(k.Now()); err != nil {
		return err
	}
	r := measure.New(w)
	for _, n := range connectionCounts {
		if err := measureConnections(c, r, k, p, from, n); err != nil {
			return trace.Wrap(err, "open %d connections", n)
		}
	}
	r.PrintSlopes("Connection")
	return r.Err()
}

// measureConnections measures a new endpoint with n connections.
func measureConnections(c context.Context, r *measure.Report, k balsampier.Clock, p certificateFiles, from netip.AddrPort, n int) error {
	before := measure.MemoryBytes()
	a, stop, err := startEndpoint(c, k, p)
	if err != nil {
		return err
	}
	defer stop()
	l, err := dialCallers(c, from, Options{Addr: a.String(), CAFile: p.cert, Count: n})
	if err != nil {
		return err
	}
	defer l.disconnect()
	used, err := l.measureCommand(commandOpen)
	if err != nil {
		return err
	}
	r.Sized("connections.handshakes.processorSeconds", n, used.Seconds())
	r.Sized("connections.memory.bytes", n, measure.MemoryBytes()-before)
	start, err := measure.ProcessorTime()
	if err != nil {
		return err
	}
	measure.Wait(k, idleWindow)
	end, err := measure.ProcessorTime()
	if err != nil {
		return err
	}
	r.Sized("connections.idle.processorShare", n, (end-start).Seconds()/idleWindow.Seconds())
	if used, err = l.measureCommand(commandRequest); err != nil {
		return err
	}
	r.Sized("connections.requests.processorSeconds", n, used.Seconds())
	r.Figure(fmt.Sprintf("connections.requests.processorSecondsEach.%d", n), used.Seconds()/float64(n*requestsPerConnection))
	if _, err = l.measureCommand(commandStream); err != nil {
		return err
	}
	r.Sized("connections.withStream.memory.bytes", n, measure.MemoryBytes()-before)
	return nil
}

// startEndpoint starts an endpoint on a UDP socket of its own and returns its
// address and a function that stops it.
func startEndpoint(c context.Context, k balsampier.Clock, p certificateFiles) (netip.AddrPort, func(), error) {
	c, cancel := context.WithCancel(c)
	u, err := fabric.ListenUDP(local.Addr)
	if err != nil {
		cancel()
		return netip.AddrPort{}, nil, err
	}
	e, a, err := newEndpoint(k, p, u.WriteToUDPAddrPort, u.LocalAddr().String())
	if err != nil {
		cancel()
		return a, nil, err
	}
	go func() { _ = e.Serve() }()
	go func() {
		b := make([]byte, fabric.MaxDatagramBytes)
		for {
			n, from, err := u.ReadFromUDPAddrPort(b)
			if err != nil || e.Deliver(c, append([]byte(nil), b[:n]...), from) != nil {
				return
			}
		}
	}()
	return a, func() {
		cancel()
		_ = e.Close()
		_ = u.Close()
	}, nil
}

func newEndpoint(k balsampier.Clock, p certificateFiles, write func([]byte, netip.AddrPort) (int, error), addr string) (*caller.Endpoint, netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, a, trace.Wrap(err)
	}
	codec, err := caller.NewIDCodec(key)
	if err != nil {
		return nil, a, err
	}
	t, err := caller.LoadCertificate(p.cert, p.key, k)
	if err != nil {
		return nil, a, err
	}
	e, err := caller.NewEndpoint(caller.Options{
		ServiceAddr: a, Holder: balsampier.Holder{Instance: 1, Incarnation: 1}, Codec: codec, Key: key, TLS: t.Config(),
		Accept:  func(netip.AddrPort) error { return nil },
		Handler: http.HandlerFunc(respond),
		Send: func(b []byte, to netip.AddrPort) error {
			_, err := write(b, to)
			return trace.Wrap(err)
		},
		IDCounter: new(atomic.Uint32), Clock: k,
	})
	return e, a, err
}

// respond writes responseBytes bytes. At streamPath it keeps the response open
// until the caller ends the request.
func respond(w http.ResponseWriter, r *http.Request) {
	_, _ = w.Write(make([]byte, responseBytes))
	if r.URL.Path != streamPath {
		return
	}
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}
