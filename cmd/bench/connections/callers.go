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

// CallersCommand is the command of this program that plays the callers.
const CallersCommand = "callers"

const (
	// commandOpen opens the connections, with one request each.
	commandOpen command = "open"
	// commandRequest sends the requests of all connections.
	commandRequest command = "request"
	// commandStream opens a stream on each connection.
	commandStream command = "stream"
	// done answers a command.
	done = "done"
)

type (
	// command is a line to the callers' process.
	command string

	// callers leads to the process that plays the callers.
	callers struct {
		conn net.Conn
		out  *bufio.Reader
	}
)

// Serve plays callers for one connection after the other, until c ends.
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
		if err := serveOne(c, n); err != nil {
			_, _ = fmt.Fprintln(n, err)
		}
		_ = n.Close()
	}
	return nil
}

// serveOne reads what to call from the first line, and commands from the rest.
func serveOne(c context.Context, n net.Conn) error {
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

func dialCallers(c context.Context, a netip.AddrPort, o Options) (*callers, error) {
	n, err := new(net.Dialer).DialContext(c, "tcp", a.String())
	if err != nil {
		return nil, balsampier.NewError(balsampier.KindUnavailable, "reach the callers at "+a.String(),
			"run bench callers --listen "+a.String()+" beside this one, as make bench does", err)
	}
	return &callers{conn: n, out: bufio.NewReader(n)}, trace.Wrap(json.NewEncoder(n).Encode(o))
}

// processor returns the processor time that this process used while the
// callers did what they were told.
func (l *callers) processor(m command) (time.Duration, error) {
	before, err := measure.ProcessorTime()
	if err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintln(l.conn, m); err != nil {
		return 0, trace.Wrap(err)
	}
	s, err := l.out.ReadString('\n')
	if err != nil {
		return 0, trace.Wrap(err, "wait for callers to %s", m)
	}
	if strings.TrimSpace(s) != done {
		return 0, trace.BadParameter("callers answered %q", s)
	}
	after, err := measure.ProcessorTime()
	return after - before, err
}

func (l *callers) stop() { _ = l.conn.Close() }
