// Package process runs the threads of a program under kratos.
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

	stopTimeout = 10 * time.Second
)

type (
	// Program is what a process runs.
	Program struct {
		// Name stands in the logs.
		Name string
		// Servers are the threads and listeners.
		Servers []transport.Server
		// Drain runs before the servers are stopped.
		Drain func(context.Context) error
		// DrainTimeout bounds Drain.
		DrainTimeout time.Duration
		// Logger takes the log.
		Logger *log.Logger
	}

	kratosLogger struct{ l *log.Logger }
)

// NewLogger returns a logger that writes JSON lines to standard output. It
// never waits: lines that find no room are dropped.
func NewLogger(program, instance string, v log.Level) *log.Logger {
	return &log.Logger{
		Level:   v,
		Context: log.NewContext(nil).Str("program", program).Str("instance", instance).Value(),
		Writer:  &log.IOWriter{Writer: newLines(os.Stdout)},
	}
}

// Run runs the program until a signal; a second signal ends it at once.
func Run(p Program) error {
	// Sockets of the QUIC library are fed from rings, which have no kernel
	// buffers to enlarge.
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
	// Kratos listens for signals only once all servers were started; one that
	// comes earlier must not get lost.
	defer onSignals(func() { _ = a.Stop() }, func() { os.Exit(ExitForced) })()
	p.Logger.Info().Str("version", Version()).Msg("started")
	err := a.Run()
	p.Logger.Info().Err(err).Msg("stopped")
	if w, ok := p.Logger.Writer.(*log.IOWriter); ok {
		if l, ok := w.Writer.(*lines); ok {
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

// Listen binds the TCP address of the setting called key.
func Listen(key string, a netip.AddrPort) (net.Listener, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", a.String())
	if err != nil {
		return nil, balsampier.NewError(balsampier.KindInvalid, "bind "+key, "stop what uses the address or change it in the settings", err)
	}
	return l, nil
}

// Exit ends the process with the exit code that fits err.
func Exit(err error) {
	if err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(ExitCode(err))
	}
}

// ExitCode returns the exit code that fits err.
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

// onSignals calls first at the first signal and second at the second, until
// stop is called.
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

// Log implements the logger of kratos.
func (k kratosLogger) Log(v klog.Level, kv ...any) error {
	e := k.l.WithLevel(level(v))
	for i := 0; i+1 < len(kv); i += 2 {
		if s, ok := kv[i].(string); ok {
			e = e.Any(s, kv[i+1])
		}
	}
	e.Msg("kratos")
	return nil
}

func level(v klog.Level) log.Level {
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
