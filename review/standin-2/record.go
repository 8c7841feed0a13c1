package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the
// start, to a file.
type record struct {
	mu    sync.Mutex
	start time.Time
	w     *bufio.Writer
	f     *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), w: bufio.NewWriter(f), f: f}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// say records a line and prints it.
func (r *record) say(format string, args ...any) {
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
	r.logf(format, args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
