package process

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsampier/balsampier"
)

const (
	// logLinesPerSecond and lineBurst bound the lines on decisions in a second and at
	// once: a line costs some 10 µs, so that they take 1% of a core at most.
	logLinesPerSecond  = 200
	logLineBurst = 400
)

// LogLimiter bounds the log lines on decisions. It is used by one thread.
type LogLimiter struct {
	clock   balsampier.Clock
	tokens  float64
	refilledAt  time.Time
	dropped *metrics.Counter
}

// NewLogLimiter returns a limit that allows a burst at first.
func NewLogLimiter(k balsampier.Clock) *LogLimiter {
	return &LogLimiter{
		clock: k, tokens: logLineBurst, refilledAt: k.Now(),
		dropped: metrics.GetOrCreateCounter("balsampier_log_lines_dropped_total"),
	}
}

// Allow reports whether a line may be written now, and counts those that may
// not.
func (l *LogLimiter) Allow() bool {
	t := l.clock.Now()
	l.tokens = min(logLineBurst, l.tokens+t.Sub(l.refilledAt).Seconds()*logLinesPerSecond)
	l.refilledAt = t
	if l.tokens < 1 {
		l.dropped.Inc()
		return false
	}
	l.tokens--
	return true
}
