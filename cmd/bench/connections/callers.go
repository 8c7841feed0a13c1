package connections

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier/bench/measure"
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

	// callers is a process that plays callers until its input ends.
	callers struct {
		process *exec.Cmd
		in      io.WriteCloser
		out     *bufio.Reader
	}
)

func startCallers(c context.Context, to netip.AddrPort, ca string, count int) (*callers, error) {
	p, err := os.Executable()
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	l := &callers{process: exec.CommandContext(c, p, CallersCommand, "--to", to.String(), "--ca", ca, "--count", fmt.Sprint(count))}
	l.process.Stderr = os.Stderr
	if l.in, err = l.process.StdinPipe(); err != nil {
		return nil, trace.Wrap(err)
	}
	o, err := l.process.StdoutPipe()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l.out = bufio.NewReader(o)
	return l, trace.Wrap(l.process.Start())
}

// processor returns the processor time that this process used while the
// callers did what they were told.
func (l *callers) processor(m command) (time.Duration, error) {
	before, err := measure.Processor()
	if err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintln(l.in, m); err != nil {
		return 0, trace.Wrap(err)
	}
	s, err := l.out.ReadString('\n')
	if err != nil {
		return 0, trace.Wrap(err, "wait for callers to %s", m)
	}
	if strings.TrimSpace(s) != done {
		return 0, trace.BadParameter("callers answered %q", s)
	}
	after, err := measure.Processor()
	return after - before, err
}

func (l *callers) stop() {
	_ = l.in.Close()
	_ = l.process.Wait()
}
