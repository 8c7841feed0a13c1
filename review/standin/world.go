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
	"sync/atomic"
	"syscall"
	"time"
)

const (
	graceTimeout  = 6 * time.Second
	heartbeatTime = 1200 * time.Millisecond
	routePort     = 8443
)

// Ports of the platform; they are the same on all machines of a run.
var portHost, portOutbound, portControl, portReady, portPackets, portInternal int

func setPorts(offset int) {
	portOutbound, portHost, portControl = 8162+offset, 8165+offset, 8166+offset
	portReady, portPackets, portInternal = 8167+offset, 8172+offset, 7720+offset
}

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
		// closed is true once no process may be started any more.
		closed atomic.Bool

		recordMu sync.Mutex
		record   *os.File

		processes []*process
		router    *router
		hosts     []*host
		// seeds are the control addresses in the settings files, controls those
		// of all machines that serve control: the operator's list.
		seeds, controls []string
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
	w.subnet = 20 + os.Getpid()%200
	for offset := 0; ; offset += 1000 {
		if offset > 40_000 {
			return nil, errors.New("no free ports")
		}
		if setPorts(offset); w.portsAreFree() {
			break
		}
	}
	w.router = &router{w: w}
	return w, nil
}

// portsAreFree reports whether the ports can be bound at the first machine of each
// kind.
func (w *world) portsAreFree() bool {
	for _, p := range []int{portOutbound, portHost, portControl, portReady, portPackets, portInternal} {
		for _, k := range []int{atFront, atSide, atClient} {
			l, err := net.Listen("tcp", w.addr(k, 0, p))
			if err != nil {
				return false
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp", w.addr(k, 0, p))
			if err != nil {
				return false
			}
			_ = u.Close()
		}
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
	w.closed.Store(true)
	var ended sync.WaitGroup
	for _, p := range w.processes {
		ended.Go(func() {
			p.end(syscall.SIGKILL)
			_ = p.log.Close()
		})
	}
	ended.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
	_ = w.record.Close()
}

// newProcess writes the settings of a process from its template in deploy/.
func (w *world) newProcess(program, kind string, at, i int, more map[string]any) (*process, error) {
	v := map[string]any{
		"node_name": fmt.Sprintf("%s-%d", kind, i+1), "ip": w.ip(at, i), "zone": zoneOf(at, i),
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
	if p.w.closed.Load() {
		return errors.New("the run has ended")
	}
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
	var ss, rs []map[string]any
	for i, s := range services {
		ss = append(ss, map[string]any{"name": s, "health_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": false})
		rs = append(rs, map[string]any{
			"name": fmt.Sprintf("r-%d", i+1), "hostname": w.ip(atRoute, i), "path_prefix": fmt.Sprintf("/%d/", routePort), "type": "unsafe",
			"timeout_ms": 2500, "target_latency_ms": 250, "priority": 1, "service": s, "attempts": 2,
		})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	// Callers follow a 307 twice.
	h := http.Client{Timeout: time.Second, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		r, err := h.Post("http://"+w.controls[i%len(w.controls)]+"/Config.Put", "application/json", bytes.NewReader(b))
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				w.logf("operator: configuration %d acknowledged by %s", version, w.controls[i%len(w.controls)])
				return true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.logf("operator: configuration %d was not acknowledged within %v", version, limit)
	return false
}
