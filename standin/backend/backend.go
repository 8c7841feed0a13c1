// Package backend plays a backend server.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	ourbackend "github.com/balsampier/balsampier/backend"
	ourcaller "github.com/balsampier/balsampier/caller"
	"github.com/balsampier/balsampier/process"
)

const (
	announcePeriod = 500 * time.Millisecond
	linePeriod     = 100 * time.Millisecond
	filePerm       = 0o644

	healthPath = "/healthz"
	loadPath   = "/load"

	// HeaderServer names the backend server that answered.
	HeaderServer = "Backend-Server"
	// HeaderService names its service.
	HeaderService = "Backend-Service"
)

type (
	// Options say what the server is.
	Options struct {
		Name, Service string
		// Addr is where it serves; Agent is where it announces itself.
		Addr, Agent        netip.AddrPort
		Slots, Connections int
		// Work is how long each request takes.
		Work time.Duration
		// Ledger names the file that records what ran; empty for none.
		Ledger string
		Clock  balsampier.Clock
	}

	server struct {
		o  Options
		mu sync.Mutex
		// ledger is nil without a file.
		ledger *os.File
		// draining is announced to the agent.
		draining bool
		// running counts requests.
		running atomic.Int64
	}
)

// Run serves until c ends; then it drains through its agent.
func Run(c context.Context, o Options) error {
	s := &server{o: o}
	if o.Ledger != "" {
		f, err := os.OpenFile(o.Ledger, os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePerm)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		s.ledger = f
	}
	l, err := process.Listen("--address", o.Addr)
	if err != nil {
		return err
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /stream", s.stream)
	m.HandleFunc("POST /drain", s.drain)
	m.HandleFunc("GET "+healthPath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("GET "+loadPath, s.load)
	m.HandleFunc("/", s.answer)
	h := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	go s.announce(c)
	context.AfterFunc(c, func() { _ = h.Close() })
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// answer names the server and echoes the request, after the time of work.
func (s *server) answer(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.record(r, b)
	s.running.Add(1)
	defer s.running.Add(-1)
	t := s.o.Clock.NewTimer(s.o.Work)
	defer t.Stop()
	select {
	case <-t.C():
	case <-r.Context().Done():
		return
	}
	s.sign(w)
	_, _ = fmt.Fprintf(w, "%s %s %s %s\n", s.o.Service, r.Method, r.URL.RequestURI(), b)
}

// stream writes numbered lines; the query says how many.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	s.record(r, nil)
	n, err := strconv.Atoi(r.URL.Query().Get("lines"))
	if err != nil || n <= 0 {
		http.Error(w, "give ?lines=N", http.StatusBadRequest)
		return
	}
	s.sign(w)
	f := http.NewResponseController(w)
	for i := range n {
		if _, err := fmt.Fprintf(w, "%s line %d\n", s.o.Service, i+1); err != nil {
			return
		}
		_ = f.Flush()
		t := s.o.Clock.NewTimer(linePeriod)
		select {
		case <-t.C():
		case <-r.Context().Done():
			return
		}
	}
}

// load tells the server's own account of its load.
func (s *server) load(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]int64{"running": s.running.Load(), "slots": int64(s.o.Slots)})
}

// sign names the server in the answer.
func (s *server) sign(w http.ResponseWriter) {
	w.Header().Set(HeaderServer, s.o.Name)
	w.Header().Set(HeaderService, s.o.Service)
}

// drain announces a drain, or its end with ?end=1.
func (s *server) drain(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = r.URL.Query().Get("end") == ""
	w.WriteHeader(http.StatusNoContent)
}

// record notes one line for each request that ran.
func (s *server) record(r *http.Request, body []byte) {
	if s.ledger == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.ledger, "%s %s %s %s %.40q %s\n", s.o.Name, s.o.Service, r.Method, orDash(r.Header.Get(ourcaller.HeaderKey)), body, r.URL.Path)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (s *server) announce(c context.Context) {
	for c.Err() == nil {
		s.announceOnce(c)
		t := s.o.Clock.NewTimer(announcePeriod)
		select {
		case <-t.C():
		case <-c.Done():
		}
	}
}

func (s *server) announceOnce(c context.Context) {
	s.mu.Lock()
	a := ourbackend.Announcement{
		Service: balsampier.ServiceName(s.o.Service), Addr: s.o.Addr, Slots: s.o.Slots, Connections: s.o.Connections, Draining: s.draining,
		HealthPath: healthPath, LoadPath: loadPath,
	}
	s.mu.Unlock()
	b, err := json.Marshal(a)
	if err != nil {
		return
	}
	r, err := http.NewRequestWithContext(c, http.MethodPut, "http://"+s.o.Agent.String()+ourbackend.PathAnnounce, bytes.NewReader(b))
	if err != nil {
		return
	}
	v, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	_ = v.Body.Close()
}
