// Package process provides what the daemons have in common: the command line,
// logging, HTTP servers, and the start and stop of their threads under kratos.
package process

import (
	"context"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
)

const (
	// ExitFailure is the exit code after a failure at run time.
	ExitFailure = 1
	// ExitInvalid is the exit code for bad input or settings.
	ExitInvalid = 2
	// ExitForced is the exit code after a second signal.
	ExitForced = 3

	// stopTimeout bounds how long the servers may take to stop.
	stopTimeout = 10 * time.Second
)

type (
	// Program describes what a process runs.
	Program struct {
		// Name is the name of the kratos application.
		Name string
		// Servers are the threads and listeners that run until the program stops.
		Servers []transport.Server
		// Drain runs once before the servers are stopped; nil if there is nothing
		// to drain.
		Drain func(context.Context) error
		// DrainTimeout bounds Drain.
		DrainTimeout time.Duration
		// Logger receives all log lines of the program.
		Logger *log.Logger
	}

	// kratosLogger adapts a logger to the kratos logging interface.
	kratosLogger struct{ l *log.Logger }
)

// NewLogger returns a logger that writes JSON lines to standard output. It never
// blocks: lines are dropped while its queue is full.
func NewLogger(program, instance string, v log.Level) *log.Logger {
	return &log.Logger{
		Level:   v,
		Context: log.NewContext(nil).Str("program", program).Str("instance", instance).Value(),
		Writer:  &log.IOWriter{Writer: newAsyncWriter(os.Stdout)},
	}
}

// Run runs the program until it receives SIGTERM or SIGINT or a server fails. A
// second signal ends the process at once with ExitForced.
func Run(p Program) error {
	// The QUIC library reads from rings instead of sockets, so there are no
	// kernel receive buffers to enlarge and its warning is pointless.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	var once sync.Once
	a := kratos.New(
		kratos.Name(p.Name),
		kratos.Logger(kratosLogger{p.Logger}),
		kratos.Server(p.Servers...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(stopTimeout),
		kratos.BeforeStop(func(c context.Context) error {
			once.Do(func() { p.drain(c) })
			return nil
		}),
	)
	// Kratos handles signals only after all servers have started. Signals that
	// arrive earlier must not be lost.
	defer onSignals(func() { _ = a.Stop() }, func() { os.Exit(ExitForced) })()
	p.Logger.Info().Str("version", Version()).Msg("started")
	err := a.Run()
	p.Logger.Info().Err(err).Msg("stopped")
	if w, ok := p.Logger.Writer.(*log.IOWriter); ok {
		if l, ok := w.Writer.(*asyncWriter); ok {
			l.close()
		}
	}
	return err
}

func (p *Program) drain(c context.Context) {
	if p.Drain == nil {
		return
	}
	c, cancel := context.WithTimeout(c, p.DrainTimeout)
	defer cancel()
	if err := p.Drain(c); err != nil {
		p.Logger.Warn().Err(err).Msg("drain ended early")
	}
}

// Listen listens on the TCP address of the setting named key. It returns a
// KindInvalid error if the address cannot be bound.
func Listen(key string, a netip.AddrPort) (net.Listener, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", a.String())
	if err != nil {
		return nil, balsampier.NewError(balsampier.KindInvalid, "bind "+key, "stop the process that uses the address, or change it in the settings", err)
	}
	return l, nil
}

// Exit prints err to standard error and ends the process with its exit code. It
// returns if err is nil.
func Exit(err error) {
	if err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(ExitCode(err))
	}
}

// ExitCode returns the exit code for err: zero for nil, ExitInvalid for a
// KindInvalid error and ExitFailure for any other error.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case balsampier.KindOf(err) == balsampier.KindInvalid:
		return ExitInvalid
	default:
		return ExitFailure
	}
}

// onSignals calls first on the first SIGTERM or SIGINT and second on the second
// one, each in a goroutine of its own, until stop is called.
func onSignals(first, second func()) (stop func()) {
	s, done := make(chan os.Signal, 2), make(chan struct{})
	signal.Notify(s, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for _, f := range []func(){first, second} {
			select {
			case <-s:
				go f()
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(s)
		close(done)
	}
}

// Log implements the kratos Logger interface. Pairs whose key is no string are
// skipped.
func (k kratosLogger) Log(v klog.Level, kv ...any) error {
	e := k.l.WithLevel(convertLevel(v))
	for i := 0; i+1 < len(kv); i += 2 {
		if s, ok := kv[i].(string); ok {
			e = e.Any(s, kv[i+1])
		}
	}
	e.Msg("kratos")
	return nil
}

func convertLevel(v klog.Level) log.Level {
	switch v {
	case klog.LevelDebug:
		return log.DebugLevel
	case klog.LevelWarn:
		return log.WarnLevel
	case klog.LevelError, klog.LevelFatal:
		return log.ErrorLevel
	default:
		return log.InfoLevel
	}
}
