package process

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsampier/balsampier"
)

const (
	// logLinesPerSecond and logLineBurst bound the rate and the burst of log
	// lines about decisions. A line costs about 10 µs, so logging at most 200
	// lines per second takes at most 1% of a core.
	logLinesPerSecond = 200
	logLineBurst      = 400
)

// LogLimiter is a token bucket that limits the log lines about decisions. It is
// not safe for concurrent use.
type LogLimiter struct {
	clock      balsampier.Clock
	tokens     float64
	refilledAt time.Time
	dropped    *metrics.Counter
}

// NewLogLimiter returns a limiter with a full bucket.
func NewLogLimiter(k balsampier.Clock) *LogLimiter {
	return &LogLimiter{
		clock: k, tokens: logLineBurst, refilledAt: k.Now(),
		dropped: metrics.GetOrCreateCounter("balsampier_log_lines_dropped_total"),
	}
}

// Allow reports whether a line may be written now. It counts each line that may
// not be written as dropped.
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
