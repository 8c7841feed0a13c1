package process

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsampier/balsampier"
)

const (
	// lineRate and lineBurst bound the lines on decisions in a second and at
	// once: a line costs some 10 µs, so that they take 1% of a core at most.
	lineRate  = 200
	lineBurst = 400
)

// LineLimit bounds the log lines on decisions. It is used by one thread.
type LineLimit struct {
	clock   balsampier.Clock
	tokens  float64
	filled  time.Time
	dropped *metrics.Counter
}

// NewLineLimit returns a limit that allows a burst at first.
func NewLineLimit(k balsampier.Clock) *LineLimit {
	return &LineLimit{
		clock: k, tokens: lineBurst, filled: k.Now(),
		dropped: metrics.GetOrCreateCounter("balsampier_log_lines_dropped_total"),
	}
}

// Allow reports whether a line may be written now, and counts those that may
// not.
func (l *LineLimit) Allow() bool {
	t := l.clock.Now()
	l.tokens = min(lineBurst, l.tokens+t.Sub(l.filled).Seconds()*lineRate)
	l.filled = t
	if l.tokens < 1 {
		l.dropped.Inc()
		return false
	}
	l.tokens--
	return true
}
