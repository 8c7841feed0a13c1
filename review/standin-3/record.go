package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with seconds since the start.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}
