package process

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/duty"
	"github.com/balsampier/balsampier/settings"
)

// settingsPollInterval is the interval at which the settings file is checked for
// changes that no signal announces.
const settingsPollInterval = 2 * time.Second

// NewReloader returns a thread that loads the settings at path and calls apply
// after each change of the file and immediately on SIGHUP. Invalid settings are
// logged, and the current settings stay in force.
func NewReloader[S any, P interface {
	*S
	settings.Checker
}](path string, k balsampier.Clock, l *log.Logger, apply func(S),
) transport.Server {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return duty.New("reload settings", func(c context.Context) error {
		defer signal.Stop(signals)
		last, _ := os.ReadFile(path)
		for {
			t := k.NewTimer(settingsPollInterval)
			signalled := false
			select {
			case <-c.Done():
			case <-t.C():
			case <-signals:
				signalled = true
			}
			t.Stop()
			if c.Err() != nil {
				return c.Err()
			}
			b, err := os.ReadFile(path)
			if err == nil && !signalled && bytes.Equal(b, last) {
				continue
			}
			last = b
			var s S
			if err := settings.Load(path, P(&s)); err != nil {
				l.Error().Err(err).Msg("settings not reloaded")
				continue
			}
			apply(s)
			l.Info().Bool("signal", signalled).Msg("settings reloaded")
		}
	})
}
