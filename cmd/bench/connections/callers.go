package connections

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/bench/measure"
	"github.com/balsampier/balsampier/process"
)

// CallersCommand is the name of the subcommand that runs the callers.
const CallersCommand = "callers"

const (
	// commandOpen opens all connections and sends one request on each.
	commandOpen command = "open"
	// commandRequest sends requestsPerConnection requests on each connection.
	commandRequest command = "request"
	// commandStream opens a stream on each connection.
	commandStream command = "stream"
	// commandDone is the reply to a command that succeeded.
	commandDone = "done"
)

type (
	// command is a line that the benchmark sends to the callers' process.
	command string

	// callersClient is the benchmark's connection to the callers' process.
	callersClient struct {
		conn net.Conn
		out  *bufio.Reader
	}
)

// Serve accepts benchmarks at a, one connection at a time, and runs callers for
// each until c ends. An error of one of them is written to its connection.
func Serve(c context.Context, a netip.AddrPort) error {
	l, err := process.Listen("--listen", a)
	if err != nil {
		return err
	}
	context.AfterFunc(c, func() { _ = l.Close() })
	for c.Err() == nil {
		n, err := l.Accept()
		if err != nil && c.Err() == nil {
			return trace.Wrap(err)
		}
		if n == nil {
			continue
		}
		if err := serveConnection(c, n); err != nil {
			_, _ = fmt.Fprintln(n, err)
		}
		_ = n.Close()
	}
	return nil
}

// serveConnection reads Options as JSON from the first line and commands from
// the following ones.
func serveConnection(c context.Context, n net.Conn) error {
	r := bufio.NewReader(n)
	b, err := r.ReadBytes('\n')
	if err != nil {
		return trace.Wrap(err)
	}
	var o Options
	if err := json.Unmarshal(b, &o); err != nil {
		return trace.Wrap(err)
	}
	return Call(c, o, r, n)
}

func dialCallers(c context.Context, a netip.AddrPort, o Options) (*callersClient, error) {
	n, err := new(net.Dialer).DialContext(c, "tcp", a.String())
	if err != nil {
		return nil, balsampier.NewError(balsampier.KindUnavailable, "connect to the callers at "+a.String(),
			"run bench callers --listen "+a.String()+" beside this one, as make bench does", err)
	}
	return &callersClient{conn: n, out: bufio.NewReader(n)}, trace.Wrap(json.NewEncoder(n).Encode(o))
}

// measureCommand sends m to the callers and returns the processor time that
// this process used until they confirmed it.
func (l *callersClient) measureCommand(m command) (time.Duration, error) {
	before, err := measure.ProcessorTime()
	if err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintln(l.conn, m); err != nil {
		return 0, trace.Wrap(err)
	}
	s, err := l.out.ReadString('\n')
	if err != nil {
		return 0, trace.Wrap(err, "wait for the callers to run command %s", m)
	}
	if strings.TrimSpace(s) != commandDone {
		return 0, trace.BadParameter("callers replied %q", s)
	}
	after, err := measure.ProcessorTime()
	return after - before, err
}

func (l *callersClient) disconnect() { _ = l.conn.Close() }
