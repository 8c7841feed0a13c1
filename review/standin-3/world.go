package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	portPacket   = 8172
	portReady    = 8167
	portControl  = 8166
	portOutbound = 8168
	portPeer     = 7720
	portApp      = 9080

	// disks is how many front machines have a disk, one in each zone.
	disks = 3

	heartbeatEvery = 1200 * time.Millisecond
)

// world is one small deployment: front machines that run control and a balancer
// each, side machines that run an agent beside a host, and clients.
type world struct {
	rec            *record
	folder         string
	subnet         int
	fronts, sides  int
	services       []string // by side machine
	router         *router
	procs          []*proc
	over           atomic.Bool
	nextID         atomic.Uint64
	seedsOf        func() []string
	faultTolerance int
}

// proc is one program of the project.
type proc struct {
	w        *world
	name     string
	program  string
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
}

func newWorld(rec *record, fronts int, services []string) (*world, error) {
	f, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, folder: f, fronts: fronts, sides: len(services), services: services, faultTolerance: 1}
	for range 50 {
		w.subnet = 64 + rand.IntN(180)
		l, err := net.Listen("tcp", w.frontAddr(0, portControl).String())
		if err == nil {
			_ = l.Close()
			break
		}
	}
	w.router = &router{w: w, missed: make([]int, fronts)}
	w.seedsOf = func() []string {
		var s []string
		for i := range disks {
			s = append(s, fmt.Sprintf("%q", w.frontAddr(i, portControl).String()))
		}
		return s
	}
	for i := range fronts {
		w.procs = append(w.procs, w.newProc(fmt.Sprintf("control-%d", i), "control"), w.newProc(fmt.Sprintf("balancer-%d", i), "balancer"))
	}
	for i := range w.sides {
		w.procs = append(w.procs, w.newProc(fmt.Sprintf("agent-%d", i), "agent"))
	}
	return w, nil
}

func (w *world) addr(kind, i, port int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.%d.%d.%d:%d", w.subnet, kind, i+1, port))
}
func (w *world) frontAddr(i, port int) netip.AddrPort { return w.addr(1, i, port) }
func (w *world) sideAddr(i, port int) netip.AddrPort  { return w.addr(2, i, port) }
func (w *world) clientAddr(i int) netip.AddrPort      { return w.addr(3, i, portPacket) }
func (w *world) serviceOf(side int) string            { return w.services[side] }
func zoneOf(i int) string                             { return fmt.Sprintf("zone-%d", i%3) }

func (w *world) proc(name string) *proc {
	for _, p := range w.procs {
		if p.name == name {
			return p
		}
	}
	panic(name)
}

func (w *world) newProc(name, program string) *proc {
	return &proc{w: w, name: name, program: program, settings: filepath.Join(w.folder, name+".yaml")}
}

// configure writes the settings that the templates of the deploy file give.
func (p *proc) configure(bootstrap bool) error {
	var i int
	_, _ = fmt.Sscanf(p.name[strings.LastIndex(p.name, "-")+1:], "%d", &i)
	at := p.w.frontAddr
	if p.program == "agent" {
		at = p.w.sideAddr
	}
	b := &strings.Builder{}
	line := func(format string, args ...any) { fmt.Fprintf(b, format+"\n", args...) }
	seeds := "[" + strings.Join(p.w.seedsOf(), ", ") + "]"
	line("name: %q\ndataCentre: %q", p.program+"-machine-"+p.name, zoneOf(i))
	line("operatorKeyFile: deploy/operator.key\npeerKeyFile: deploy/peer.key")
	switch p.program {
	case "control":
		// The machines after the first ones of the zones have no disk.
		data := ""
		if i < disks {
			data = filepath.Join(p.w.folder, p.name)
			if err := os.MkdirAll(data, 0o700); err != nil {
				return err
			}
		}
		line("operatorAddress: %q\npeerAddress: %q\ndataFolder: %q", at(i, portControl), at(i, portPeer), data)
		line("documents: true\njoining: %v\ntolerance: %d\nelectionTimeout: 500ms\nwatchBudget: 4000000\nseeds: %s", !bootstrap, p.w.faultTolerance, seeds)
	case "balancer":
		line("operatorAddress: %q\npeerAddress: %q", at(i, portReady), at(i, portPeer))
		line("datagram:\n  clientAddress: %q\n  controlPort: %d\n  linkMegabitsPerSecond: 1000\n  seeds: %s", at(i, portPacket), portPeer, seeds)
	case "agent":
		line("operatorAddress: %q\npeerAddress: %q\nbackendAddress: %q", at(i, portReady), at(i, portPacket), at(i, portControl))
		line("datagram:\n  service: %q\n  serverAddress: %q\n  outboundAddress: %q", p.w.serviceOf(i), at(i, portApp), at(i, portOutbound))
		line("  joining: %v\n  controlPort: %d\n  seeds: %s", !bootstrap, portPeer, seeds)
	}
	return os.WriteFile(p.settings, []byte(b.String()), 0o600)
}

// start starts the program with the command of the deploy file.
func (p *proc) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.w.over.Load() {
		return errors.New("the run is over")
	}
	log, err := os.OpenFile(strings.TrimSuffix(p.settings, "yaml")+"out", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command("target/"+p.program, "run", "--config", p.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	e := make(chan struct{})
	p.cmd, p.exited, p.stopped = c, e, false
	p.w.rec.line("%s started", p.name)
	go func() {
		err := c.Wait()
		p.mu.Lock()
		if !p.stopped && !p.w.over.Load() {
			p.w.rec.say("%s ended by itself: %v", p.name, err)
		}
		p.mu.Unlock()
		close(e)
	}()
	return nil
}

func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.stopped = p.stopped || s == syscall.SIGTERM || s == syscall.SIGKILL
		p.w.rec.line("%s gets %v", p.name, s)
		_ = p.cmd.Process.Signal(s)
	}
}

// stop sends a signal and waits for the end, at most for grace_s.
func (p *proc) stop(s syscall.Signal) {
	p.signal(s)
	select {
	case <-p.exited:
	case <-time.After(6 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	p.w.rec.line("%s has ended", p.name)
}

// running reports whether the program has not ended.
func (p *proc) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// startAll starts all programs, as at the first start of the whole system.
func (w *world) startAll() error {
	for _, p := range w.procs {
		if err := p.configure(true); err != nil {
			return err
		}
	}
	for _, p := range w.procs {
		if err := p.start(); err != nil {
			return err
		}
	}
	go w.router.probe()
	return nil
}

// end kills all programs and removes the folder.
func (w *world) end() {
	w.over.Store(true)
	for _, p := range w.procs {
		p.mu.Lock()
		c, e := p.cmd, p.exited
		p.mu.Unlock()
		if c != nil {
			_ = c.Process.Signal(syscall.SIGCONT)
			_ = c.Process.Kill()
			<-e
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept", w.folder)
	}
}

// route is one route of a configuration.
type route struct {
	to       netip.AddrPort
	services []string
}

func (w *world) document(version int, rs []route) []byte {
	var routes, services []any
	seen := make(map[string]bool)
	for i, r := range rs {
		var split []any
		for _, s := range r.services {
			split = append(split, map[string]any{"service": s, "weight": 1})
			if !seen[s] {
				seen[s] = true
				services = append(services, map[string]any{"name": s, "health_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": false})
			}
		}
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "hostname": r.to.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", r.to.Port()), "type": "unsafe",
			"timeout_ms": 2500, "target_latency_ms": 250, "priority": 1, "traffic_split": split, "attempts": 2,
		})
	}
	b, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}})
	return b
}

// operator follows a redirect twice and waits a second for a response.
var operator = http.Client{
	Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	},
}

func (w *world) call(method string, front int, path string, b []byte) (int, []byte) {
	q, err := http.NewRequest(method, "http://"+w.frontAddr(front, portControl).String()+path, bytes.NewReader(b))
	if err != nil {
		return 0, nil
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := operator.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = r.Body.Close() }()
	o, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, nil
	}
	return r.StatusCode, o
}
