// Package backend implements a test backend server that announces itself to an
// agent and records the requests that it runs.
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
	announceInterval = 500 * time.Millisecond
	lineInterval     = 100 * time.Millisecond
	filePerm         = 0o644

	healthPath = "/healthz"
	loadPath   = "/load"

	// HeaderServer is the response header with the name of the backend server.
	HeaderServer = "Backend-Server"
	// HeaderService is the response header with the name of the service.
	HeaderService = "Backend-Service"
)

type (
	// Options configures the backend server.
	Options struct {
		Name, Service string
		// Addr is the address to serve at. AgentAddr is the address of the
		// agent that receives the announcements.
		Addr, AgentAddr    netip.AddrPort
		Slots, Connections int
		// WorkDelay is the time that each request takes, except for streams.
		WorkDelay time.Duration
		// LedgerPath is the file to which requests are appended as they start;
		// empty for none.
		LedgerPath string
		Clock      balsampier.Clock
	}

	server struct {
		serverOptions Options
		mu            sync.Mutex
		// ledgerFile is nil if LedgerPath is empty.
		ledgerFile *os.File
		// draining is the announced drain state; mu guards it and ledgerFile.
		draining bool
		// running is the number of requests in progress, without streams.
		running atomic.Int64
	}
)

// Run serves requests and announces the server to its agent until c ends. It
// then closes the server and all its connections without draining.
func Run(c context.Context, o Options) error {
	s := &server{serverOptions: o}
	if o.LedgerPath != "" {
		f, err := os.OpenFile(o.LedgerPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePerm)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		s.ledgerFile = f
	}
	l, err := process.Listen("--address", o.Addr)
	if err != nil {
		return err
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /stream", s.writeLines)
	m.HandleFunc("POST /drain", s.setDraining)
	m.HandleFunc("GET "+healthPath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("GET "+loadPath, s.reportLoad)
	m.HandleFunc("/", s.echoRequest)
	h := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	go s.announcePeriodically(c)
	context.AfterFunc(c, func() { _ = h.Close() })
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// echoRequest waits for WorkDelay and then responds with the service, the
// method, the URI and the body of the request.
func (s *server) echoRequest(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.recordRequest(r, b)
	s.running.Add(1)
	defer s.running.Add(-1)
	t := s.serverOptions.Clock.NewTimer(s.serverOptions.WorkDelay)
	defer t.Stop()
	select {
	case <-t.C():
	case <-r.Context().Done():
		return
	}
	s.setServerHeaders(w)
	_, _ = fmt.Fprintf(w, "%s %s %s %s\n", s.serverOptions.Service, r.Method, r.URL.RequestURI(), b)
}

// writeLines writes numbered lines, one every lineInterval. The query parameter
// lines is their number.
func (s *server) writeLines(w http.ResponseWriter, r *http.Request) {
	s.recordRequest(r, nil)
	n, err := strconv.Atoi(r.URL.Query().Get("lines"))
	if err != nil || n <= 0 {
		http.Error(w, "give ?lines=N", http.StatusBadRequest)
		return
	}
	s.setServerHeaders(w)
	f := http.NewResponseController(w)
	for i := range n {
		if _, err := fmt.Fprintf(w, "%s line %d\n", s.serverOptions.Service, i+1); err != nil {
			return
		}
		_ = f.Flush()
		t := s.serverOptions.Clock.NewTimer(lineInterval)
		select {
		case <-t.C():
		case <-r.Context().Done():
			return
		}
	}
}

// reportLoad responds with the running requests and the slots as JSON.
func (s *server) reportLoad(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]int64{"running": s.running.Load(), "slots": int64(s.serverOptions.Slots)})
}

// setServerHeaders sets HeaderServer and HeaderService.
func (s *server) setServerHeaders(w http.ResponseWriter) {
	w.Header().Set(HeaderServer, s.serverOptions.Name)
	w.Header().Set(HeaderService, s.serverOptions.Service)
}

// setDraining sets the drain state for the next announcement, or clears it if
// the query parameter end is set.
func (s *server) setDraining(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = r.URL.Query().Get("end") == ""
	w.WriteHeader(http.StatusNoContent)
}

// recordRequest appends a line for a request to the ledger: server, service,
// method, idempotency key or "-", the first 40 characters of the body, and
// path.
func (s *server) recordRequest(r *http.Request, body []byte) {
	if s.ledgerFile == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.ledgerFile, "%s %s %s %s %.40q %s\n", s.serverOptions.Name, s.serverOptions.Service, r.Method, orDash(r.Header.Get(ourcaller.HeaderKey)), body, r.URL.Path)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// announcePeriodically announces the server every announceInterval until c
// ends.
func (s *server) announcePeriodically(c context.Context) {
	for c.Err() == nil {
		s.announce(c)
		t := s.serverOptions.Clock.NewTimer(announceInterval)
		select {
		case <-t.C():
		case <-c.Done():
		}
	}
}

// announce sends one announcement to the agent. It ignores errors, as the next
// announcement follows soon.
func (s *server) announce(c context.Context) {
	s.mu.Lock()
	a := ourbackend.Announcement{
		Service: balsampier.ServiceName(s.serverOptions.Service), Addr: s.serverOptions.Addr, Slots: s.serverOptions.Slots, Connections: s.serverOptions.Connections, Draining: s.draining,
		HealthPath: healthPath, LoadPath: loadPath,
	}
	s.mu.Unlock()
	b, err := json.Marshal(a)
	if err != nil {
		return
	}
	r, err := http.NewRequestWithContext(c, http.MethodPut, "http://"+s.serverOptions.AgentAddr.String()+ourbackend.PathAnnounce, bytes.NewReader(b))
	if err != nil {
		return
	}
	v, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	_ = v.Body.Close()
}
