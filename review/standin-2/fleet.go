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
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of every machine, as `fleetbench wire` shows them.
const (
	packetPort   = 8172
	readyPort    = 8167
	controlPort  = 8166
	appPort      = 8165
	outboundPort = 8162
	internalPort = 7720
)

var errTimeout = errors.New("the system did not get ready")

// fleet is a deployment on loopback addresses: the project's programs, one
// address a machine, and the stand-ins around them.
type fleet struct {
	rec    *record
	root   string
	folder string
	subnet int
	// tolerance is fault_tolerance.machines, linkMbps limits.link_mbps.
	tolerance int
	linkMbps  float64
	zone      string
	router    *router
	balancers []string
	controls  []string
	processes []*process
	mu        sync.Mutex
	spawn     chan func()
}

// process is one program on one machine and its present run.
type process struct {
	f        *fleet
	role, ip string
	service  string
	settings string
	args     []string
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	// asked is true once the test has signalled the present run to end.
	asked bool
	// endedByItself counts runs that ended without being asked.
	endedByItself int
}

func newFleet(rec *record) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, root: root, folder: folder, tolerance: 1, linkMbps: 1000, zone: "coast-a", spawn: make(chan func())}
	f.router = &router{f: f, missed: make(map[string]int)}
	if f.subnet, err = freeSubnet(); err != nil {
		return nil, err
	}
	// Children end with the thread that started them, so that none is left if
	// this process is killed.
	go func() {
		runtime.LockOSThread()
		for s := range f.spawn {
			s()
		}
	}()
	return f, nil
}

// freeSubnet returns the second byte of a loopback range whose ports are free.
func freeSubnet() (int, error) {
	for i := range 120 {
		n := 64 + (os.Getpid()+i)%120
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", n, controlPort))
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", fmt.Sprintf("127.%d.3.1:%d", n, packetPort))
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return n, nil
	}
	return 0, errors.New("no free loopback range")
}

func (f *fleet) frontIP(i int) string  { return fmt.Sprintf("127.%d.1.%d", f.subnet, i+1) }
func (f *fleet) sideIP(i int) string   { return fmt.Sprintf("127.%d.2.%d", f.subnet, i+1) }
func (f *fleet) clientIP(i int) string { return fmt.Sprintf("127.%d.3.%d", f.subnet, i+1) }

// route returns the address of a route; no socket is bound to it.
func (f *fleet) route(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.%d.9.%d:8443", f.subnet, i+1))
}

// add adds a process; start starts it.
func (f *fleet) add(role, ip, service string) *process {
	p := &process{f: f, role: role, ip: ip, service: service, settings: filepath.Join(f.folder, role+"-"+ip+".yaml")}
	f.processes = append(f.processes, p)
	return p
}

// addFronts adds n frontend machines with a balancer; the first with a disk run
// a control instance too.
func (f *fleet) addFronts(n, withDisk int) {
	for i := range n {
		f.balancers = append(f.balancers, f.frontIP(i))
		if i < withDisk {
			f.controls = append(f.controls, f.frontIP(i))
		}
	}
	for i := range n {
		if i < withDisk {
			f.add("control", f.frontIP(i), "")
		}
		f.add("balancer", f.frontIP(i), "")
	}
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in a template of the project as DEPLOY.md tells.
func (p *process) render(bootstrap bool) error {
	b, err := os.ReadFile(filepath.Join(p.f.root, "deploy", p.role+".yaml.tmpl"))
	if err != nil {
		return err
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }
	v := map[string]string{
		"node_name": "m-" + p.ip, "zone": p.f.zone, "ip": p.ip, "internal_ports.0": fmt.Sprint(internalPort),
		"listen.ready": at(readyPort), "listen.control": at(controlPort), "listen.packet_addr": at(packetPort),
		"listen.outbound": at(outboundPort), "app": at(appPort), "service": p.service,
		"data_dir": filepath.Join(p.f.folder, "data-"+p.ip), "limits.link_mbps": fmt.Sprint(p.f.linkMbps),
		"fault_tolerance.machines": fmt.Sprint(p.f.tolerance),
	}
	text := sectionPattern.ReplaceAllStringFunc(string(b), func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		on := m[2] == "bootstrap" && bootstrap || v[m[2]] != ""
		if m[2] == "seeds" {
			var ss []string
			for _, c := range p.f.controls[:min(3, len(p.f.controls))] {
				ss = append(ss, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", c, controlPort)))
			}
			return strings.Join(ss, ", ")
		}
		if on == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	text = valuePattern.ReplaceAllStringFunc(text, func(s string) string { return v[strings.Trim(s, "{}")] })
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (p *process) start(bootstrap bool) error {
	if err := p.render(bootstrap); err != nil {
		return err
	}
	out, err := os.OpenFile(strings.TrimSuffix(p.settings, "yaml")+"log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(p.f.root, "target", p.role), "run", "--config", p.settings)
	c.Dir, c.Stdout, c.Stderr = p.f.root, out, out
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.f.folder, "BALSAMPIER_BOOT=" + p.settings}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	p.f.spawn <- func() { started <- c.Start() }
	if err := <-started; err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.asked = c, done, false
	p.mu.Unlock()
	go func() {
		err := c.Wait()
		_ = out.Close()
		p.mu.Lock()
		if !p.asked {
			p.endedByItself++
			p.f.rec.say("%s on %s ended by itself: %v", p.role, p.ip, err)
		}
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// end sends a signal that ends the run and waits up to the grace time of 6 s,
// after which it kills.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	c, done := p.cmd, p.done
	p.asked = true
	p.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(s)
	select {
	case <-done:
	case <-time.After(6 * time.Second):
		_ = c.Process.Kill()
		<-done
	}
}

// signal sends a signal that does not end the run.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (f *fleet) find(role, ip string) *process {
	for _, p := range f.processes {
		if p.role == role && p.ip == ip {
			return p
		}
	}
	return nil
}

func (f *fleet) startAll() error {
	for _, p := range f.processes {
		if err := p.start(true); err != nil {
			return err
		}
	}
	go f.router.probe()
	return nil
}

func (f *fleet) stopAll() {
	var w sync.WaitGroup
	for _, p := range f.processes {
		w.Go(func() { p.end(syscall.SIGKILL) })
	}
	w.Wait()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are kept in", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

// isReady reports whether the ready address of a machine answers 200.
func isReady(ip string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get(fmt.Sprintf("http://%s:%d/ready", ip, readyPort))
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// waitReady waits until all balancers and the agents at the addresses are ready.
func (f *fleet) waitReady(d time.Duration, agents ...string) error {
	end := time.Now().Add(d)
	for _, ip := range append(append([]string(nil), f.balancers...), agents...) {
		for !isReady(ip) {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s", errTimeout, ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// target is a service of a route and its weight.
type target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// routeEntry returns a route of a configuration.
func routeEntry(name string, to netip.AddrPort, timeoutMS int, split ...target) map[string]any {
	return map[string]any{
		"name": name, "hostname": to.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", to.Port()), "type": "safe",
		"timeout_ms": timeoutMS, "target_latency_ms": 200, "priority": 2, "traffic_split": split, "attempts": 2,
	}
}

// configuration returns a complete configuration.
func configuration(version int, services []string, routes ...map[string]any) []byte {
	var ss []map[string]any
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "health_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": false})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": ss,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return b
}

// putOnce sends a configuration to one machine that serves control, with up to
// two redirects, and returns the status, 0 without one.
func (f *fleet) putOnce(ip string, b []byte) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	r, err := c.Post(fmt.Sprintf("http://%s:%d/Config.Put", ip, controlPort), "application/json", bytes.NewReader(b))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode
}

// put sends a configuration to one machine after the other until it gets a clear
// response, and returns its status and when it came.
func (f *fleet) put(b []byte, d time.Duration) (int, time.Time) {
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		s := f.putOnce(f.controls[i%len(f.controls)], b)
		f.rec.logf("operator: put %.60s... at %s: status %d", b, f.controls[i%len(f.controls)], s)
		if s == 200 || s == 400 || s == 409 || s == 412 || s == 413 || s == 422 {
			return s, time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, time.Now()
}

// get reads the configuration from one machine after the other.
func (f *fleet) get(d time.Duration) string {
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		r, err := c.Get(fmt.Sprintf("http://%s:%d/Config.Get", f.controls[i%len(f.controls)], controlPort))
		if err == nil {
			b, _ := io.ReadAll(r.Body)
			_ = r.Body.Close()
			if r.StatusCode == 200 {
				return string(b)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}
