package process

import (
	"context"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsampier/balsampier/ring"
)

const (
	// maxPendingLines is how many log lines may wait for standard output. At
	// about 300 bytes per line they take 300 KB.
	maxPendingLines = 1024
	// flushTimeout bounds how long close waits for pending lines.
	flushTimeout = 500 * time.Millisecond
)

// asyncWriter queues log lines for a thread that writes them. It drops lines while
// the queue is full, so that a slow reader of the output blocks no other thread.
type asyncWriter struct {
	ring    *ring.Ring[[]byte]
	done    chan struct{}
	dropped *metrics.Counter
}

// newAsyncWriter returns a writer and starts its thread, which runs until close.
func newAsyncWriter(w io.Writer) *asyncWriter {
	l := &asyncWriter{
		ring: ring.New[[]byte]("log lines", maxPendingLines, ring.Reject), done: make(chan struct{}),
		dropped: metrics.GetOrCreateCounter("balsampier_log_lines_dropped_total"),
	}
	go l.writeQueued(w)
	return l
}

// Write enqueues a copy of b. It never blocks or fails.
func (l *asyncWriter) Write(b []byte) (int, error) {
	if err := l.ring.Push(context.Background(), append([]byte(nil), b...)); err != nil {
		l.dropped.Inc()
	}
	return len(b), nil
}

func (l *asyncWriter) writeQueued(w io.Writer) {
	defer close(l.done)
	var bs [64][]byte
	for {
		n, err := l.ring.Pop(context.Background(), bs[:])
		if err != nil {
			return
		}
		for i, b := range bs[:n] {
			// If standard output has failed, there is nowhere to report it.
			_, _ = w.Write(b)
			bs[i] = nil
		}
	}
}

// close waits up to flushTimeout until pending lines are written. Lines that are
// written after close are dropped.
func (l *asyncWriter) close() {
	l.ring.Close()
	c, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	select {
	case <-l.done:
	case <-c.Done():
	}
}
