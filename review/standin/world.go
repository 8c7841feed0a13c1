package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the platform; they are the same on all machines.
const (
	portHost      = 8165
	portOutbound  = 8162
	portControl   = 8166
	portReady     = 8167
	portPackets   = 8172
	portInternal  = 7720
	routePort     = 8443
	graceTimeout  = 6 * time.Second
	heartbeatTime = 1200 * time.Millisecond
)

// Kinds of addresses: the third byte of a loopback address.
const (
	atFront = iota + 1
	atSide
	atClient
	atRoute
)

type (
	// world is one deployment on loopback: processes of the system, and
	// stand-ins of routers, hosts, clients and the operator.
	world struct {
		root, folder string
		subnet       int
		start        time.Time

		recordMu sync.Mutex
		record   *os.File

		processes []*process
		router    *router
		hosts     []*host
		// seeds are the control addresses in the settings files.
		seeds []string
	}

	// process is one program of the system on one machine.
	process struct {
		w        *world
		name     string
		program  string
		settings string
		fields   map[string]any
		log      *os.File

		mu     sync.Mutex
		cmd    *exec.Cmd
		exited chan struct{}
		// stopping is true once the stand-in has sent a signal that ends it.
		stopping bool
		// exits counts ends that nobody asked for.
		exits int
	}
)

func newWorld(root string) (*world, error) {
	f, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	w := &world{root: root, folder: f, start: time.Now(), record: r}
	for w.subnet = 20 + os.Getpid()%200; ; w.subnet++ {
		if w.subnet > 250 {
			return nil, errors.New("no free loopback subnet")
		}
		if w.subnetIsFree() {
			break
		}
	}
	w.router = &router{w: w}
	return w, nil
}

// subnetIsFree reports whether nothing listens at the first front machine.
func (w *world) subnetIsFree() bool {
	for _, p := range []int{portControl, portReady, portInternal} {
		l, err := net.Listen("tcp", w.addr(atFront, 0, p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (w *world) ip(kind, i int) string { return fmt.Sprintf("127.%d.%d.%d", w.subnet, kind, i+1) }

func (w *world) addr(kind, i, port int) string { return fmt.Sprintf("%s:%d", w.ip(kind, i), port) }

func (w *world) addrPort(kind, i, port int) netip.AddrPort {
	return netip.MustParseAddrPort(w.addr(kind, i, port))
}

// log writes one line to record.txt.
func (w *world) logf(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// close kills all processes and removes the temporary folder.
func (w *world) close() {
	for _, p := range w.processes {
		p.end(syscall.SIGKILL)
		_ = p.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
	_ = w.record.Close()
}

// newProcess writes the settings of a process from its template in deploy/.
func (w *world) newProcess(program, kind string, at, i int, more map[string]any) (*process, error) {
	v := map[string]any{
		"node_name": fmt.Sprintf("%s-%d", kind, i+1), "ip": w.ip(at, i), "zone": fmt.Sprintf("zone-%d", i%3),
		"listen": map[string]any{
			"ready": w.addr(at, i, portReady), "control": w.addr(at, i, portControl),
			"packet_addr": w.addr(at, i, portPackets), "outbound": w.addr(at, i, portOutbound),
		},
		"internal_ports":  []int{portInternal, portInternal + 15},
		"fault_tolerance": map[string]any{"machines": 1},
		"limits":          map[string]any{"link_mbps": "1000.0"},
		"seeds":           w.seeds,
		"bootstrap":       true,
	}
	for k, x := range more {
		v[k] = x
	}
	p := &process{w: w, name: program + "-" + v["node_name"].(string), program: program, fields: v}
	p.settings = filepath.Join(w.folder, p.name+".yaml")
	var err error
	if p.log, err = os.Create(filepath.Join(w.folder, p.name+".out")); err != nil {
		return nil, err
	}
	w.processes = append(w.processes, p)
	return p, p.configure()
}

// configure writes the settings file.
func (p *process) configure() error {
	t, err := os.ReadFile(filepath.Join(p.w.root, "deploy", p.program+".yaml.tmpl"))
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, []byte(render(string(t), p.fields)), 0o600)
}

// run starts the process with the command of the deploy file, in the root of the
// repository.
func (p *process) run() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := exec.Command(filepath.Join(p.w.root, "target", p.program), "run", "--config", p.settings)
	c.Dir, c.Stdout, c.Stderr = p.w.root, p.log, p.log
	if err := c.Start(); err != nil {
		return err
	}
	e := make(chan struct{})
	p.cmd, p.exited, p.stopping = c, e, false
	p.w.logf("platform: start %s", p.name)
	go func() {
		err := c.Wait()
		p.mu.Lock()
		if !p.stopping {
			p.exits++
			p.w.logf("platform: %s ended by itself: %v", p.name, err)
		}
		p.mu.Unlock()
		close(e)
	}()
	return nil
}

// end sends a signal and waits until the process has ended; after graceTimeout
// it is killed.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	e := p.exited
	if e == nil {
		p.mu.Unlock()
		return
	}
	p.stopping = true
	_ = p.cmd.Process.Signal(s)
	p.mu.Unlock()
	p.w.logf("platform: signal %v to %s", s, p.name)
	select {
	case <-e:
	case <-time.After(graceTimeout):
		_ = p.cmd.Process.Kill()
		<-e
	}
}

// restart ends the process and starts it again after a pause, as one that joins a
// running system.
func (p *process) restart(s syscall.Signal, pause time.Duration) error {
	p.end(s)
	time.Sleep(pause)
	p.fields["bootstrap"] = false
	if err := p.configure(); err != nil {
		return err
	}
	return p.run()
}

// The operator.

// putConfig sends a configuration until it is acknowledged, to one daemon after
// the other, and returns when it was. It gives up after the limit.
func (w *world) putConfig(version int, services []string, limit time.Duration) bool {
	var ss []map[string]any
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "health_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": false})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "hostname": w.ip(atRoute, 0), "path_prefix": fmt.Sprintf("/%d/", routePort), "type": "unsafe",
			"timeout_ms": 2500, "target_latency_ms": 250, "priority": 1, "service": services[0], "attempts": 2,
		}},
		"services": ss,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	h := http.Client{Timeout: time.Second}
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		r, err := h.Post("http://"+w.seeds[i%len(w.seeds)]+"/Config.Put", "application/json", bytes.NewReader(b))
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				w.logf("operator: configuration %d acknowledged by %s", version, w.seeds[i%len(w.seeds)])
				return true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.logf("operator: configuration %d was not acknowledged within %v", version, limit)
	return false
}
