package process

import (
	"context"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsampier/balsampier/ring"
)

const (
	// linesDepth is how many log lines may wait for standard output, at about
	// 300 bytes each 300 KB.
	linesDepth = 1024
	// flushTimeout bounds the wait for the last lines.
	flushTimeout = 500 * time.Millisecond
)

// lines passes log lines to a thread that writes them, and drops those that
// find no room, so that a slow reader holds up nobody.
type lines struct {
	ring    *ring.Ring[[]byte]
	done    chan struct{}
	dropped *metrics.Counter
}

// newLines starts the thread, which ends with close.
func newLines(w io.Writer) *lines {
	l := &lines{
		ring: ring.New[[]byte]("log lines", linesDepth, ring.Reject), done: make(chan struct{}),
		dropped: metrics.GetOrCreateCounter("balsampier_log_lines_dropped_total"),
	}
	go l.write(w)
	return l
}

// Write implements io.Writer.
func (l *lines) Write(b []byte) (int, error) {
	if err := l.ring.Push(context.Background(), append([]byte(nil), b...)); err != nil {
		l.dropped.Inc()
	}
	return len(b), nil
}

func (l *lines) write(w io.Writer) {
	defer close(l.done)
	var bs [64][]byte
	for {
		n, err := l.ring.Pop(context.Background(), bs[:])
		if err != nil {
			return
		}
		for i, b := range bs[:n] {
			// There is nowhere to tell that standard output is gone.
			_, _ = w.Write(b)
			bs[i] = nil
		}
	}
}

// close writes what waits; later lines are dropped.
func (l *lines) close() {
	l.ring.Close()
	c, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	select {
	case <-l.done:
	case <-c.Done():
	}
}
