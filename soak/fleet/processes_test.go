package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	controls = 3
	// relays are control instances without a data folder.
	relays    = 3
	balancers = 3
	agents    = 5
	clients   = 8

	peerPort     = 7000
	operatorPort = 7100
	backendPort  = 7101
	packetPort   = 7200
	serverPort   = 9000
	outboundPort = 9001

	// stopTimeout is the limit of a graceful stop: the programs guarantee one
	// within 6 s.
	stopTimeout = 6 * time.Second
)

// Kinds of addresses. Each kind has its own subnet of the loopback range.
const (
	atControl = iota + 1
	atRelay
	atBalancer
	atAgent
	atClient
	atSeedProxy
	atOperatorProxy
	atBackendProxy
)

type (
	// processes is the set of real programs of one fleet.
	processes struct {
		*qt.C
		// subnet is the second byte of all addresses. It depends on the PID, so
		// that concurrent test runs rarely share addresses.
		subnet int
		bin    string
		folder string
		// all has the control instances first, then the relays.
		all []*process

		seedsMu sync.Mutex
		// relaySeeds is true if settings written from now on name the relays as
		// seeds instead of the control instances.
		relaySeeds bool
	}

	// process is one program of the fleet and its current run.
	process struct {
		// program is control, relay, balancer or agent; number counts from 0.
		program string
		number  int
		// settings is the path of the settings file. data is the folder of the
		// stored state, empty if the program stores none.
		settings, data string
		log            *os.File

		// faultMu is held while a fault affects the process.
		faultMu sync.Mutex

		mu  sync.Mutex
		cmd *exec.Cmd
		// exited is closed when the current run has exited.
		exited chan struct{}
		// stopRequested is true once the current run got SIGTERM or SIGKILL.
		stopRequested bool
		// lastFaultAt is the time of the last start or signal.
		lastFaultAt time.Time
	}
)

// buildPrograms builds the programs once and returns their folder.
var buildPrograms = sync.OnceValues(func() (string, error) {
	f, err := os.MkdirTemp("", "balsampier-soak-")
	if err != nil {
		return "", err
	}
	for _, m := range []string{"control", "balancer", "agent"} {
		c := exec.Command("go", "build", "-o", f+"/", ".")
		c.Dir = filepath.Join("..", "..", "cmd", m)
		if o, err := c.CombinedOutput(); err != nil {
			return "", fmt.Errorf("build %s: %w: %s", m, err, o)
		}
	}
	return f, nil
})

// TestMain deletes the built programs after the tests.
func TestMain(m *testing.M) {
	n := m.Run()
	if f, err := buildPrograms(); err == nil {
		_ = os.RemoveAll(f)
	}
	os.Exit(n)
}

// newProcesses writes the settings of all processes. They are killed at the end
// of the test; logs and data are kept if it failed.
func newProcesses(c *qt.C) *processes {
	bin, err := buildPrograms()
	c.Assert(err, qt.IsNil)
	f, err := os.MkdirTemp("", "balsampier-fleet-")
	c.Assert(err, qt.IsNil)
	p := &processes{C: c, subnet: 64 + os.Getpid()%150, bin: bin, folder: f}
	c.Cleanup(func() {
		p.killAll()
		if c.Failed() {
			c.Logf("logs and data are kept in %s", f)
			return
		}
		_ = os.RemoveAll(f)
	})
	c.Assert(os.WriteFile(filepath.Join(f, "key"), []byte("a key for the peers of one fleet"), 0o600), qt.IsNil)
	for i := range controls {
		p.addProcess("control", i)
	}
	for i := range relays {
		p.addProcess("relay", i)
	}
	for i := range balancers {
		p.addProcess("balancer", i)
	}
	for i := range agents {
		p.addProcess("agent", i)
	}
	return p
}

// ip returns the address of item i of a kind.
func (p *processes) ip(kind, i int) string { return fmt.Sprintf("127.%d.%d.%d", p.subnet, kind, i+1) }

// addr returns the address and port of item i of a kind.
func (p *processes) addr(kind, i, port int) string { return fmt.Sprintf("%s:%d", p.ip(kind, i), port) }

// addProcess adds process i of a program, with its settings and log file.
func (p *processes) addProcess(program string, i int) {
	x := &process{program: program, number: i, settings: filepath.Join(p.folder, fmt.Sprintf("%s-%d.yaml", program, i))}
	if program == "control" {
		x.data = filepath.Join(p.folder, fmt.Sprintf("data-%d", i))
	}
	var err error
	x.log, err = os.Create(strings.TrimSuffix(x.settings, "yaml") + "out")
	p.Assert(err, qt.IsNil)
	p.all = append(p.all, x)
	p.configure(x, false)
}

// configure writes the settings of a process. joining is true for one that joins
// a running fleet.
func (p *processes) configure(x *process, joining bool) {
	kind := map[string]int{"control": atControl, "relay": atRelay, "balancer": atBalancer, "agent": atAgent}[x.program]
	var ss []string
	for i := range controls {
		ss = append(ss, fmt.Sprintf("%q", p.addr(p.seedKind(x), i, operatorPort)))
	}
	b := &strings.Builder{}
	line := func(format string, args ...any) { fmt.Fprintf(b, format+"\n", args...) }
	line("name: %s-%d\ndataCentre: zone-%d", x.program, x.number, x.number%2)
	line("operatorAddress: %q\noperatorKeyFile: %s\npeerKeyFile: %s", p.addr(kind, x.number, operatorPort), p.folder+"/key", p.folder+"/key")
	list := "[" + strings.Join(ss, ", ") + "]"
	switch x.program {
	case "control", "relay":
		line("peerAddress: %q\ndataFolder: %q\ndocuments: true\njoining: %v\ntolerance: 1", p.addr(kind, x.number, peerPort), x.data, joining)
		line("electionTimeout: 500ms\nwatchBudget: 4000000\nseeds: %s", list)
	case "balancer":
		line("peerAddress: %q\ndatagram:\n  clientAddress: %q", p.addr(kind, x.number, peerPort), p.addr(kind, x.number, packetPort))
		line("  controlPort: %d\n  seeds: %s", peerPort, list)
	case "agent":
		line("peerAddress: %q\nbackendAddress: %q", p.addr(kind, x.number, packetPort), p.addr(kind, x.number, backendPort))
		line("datagram:\n  service: %s\n  serverAddress: %q", serviceOf(x.number), p.addr(kind, x.number, serverPort))
		line("  outboundAddress: %q\n  joining: %v", p.addr(kind, x.number, outboundPort), joining)
		line("  controlPort: %d\n  seeds: %s", peerPort, list)
	}
	p.Assert(os.WriteFile(x.settings, []byte(b.String()), 0o600), qt.IsNil)
}

// seedKind returns the kind of the addresses that a process gets as seeds.
// Members reach control instances through proxies.
func (p *processes) seedKind(x *process) int {
	p.seedsMu.Lock()
	defer p.seedsMu.Unlock()
	switch {
	case p.relaySeeds:
		return atRelay
	case x.data != "":
		return atControl
	}
	return atSeedProxy
}

// setRelaySeeds selects the seeds that are written to settings from now on.
func (p *processes) setRelaySeeds(on bool) {
	p.seedsMu.Lock()
	defer p.seedsMu.Unlock()
	p.relaySeeds = on
}

// binary returns the name of the program file. A relay is a control instance.
func (x *process) binary() string {
	if x.program == "relay" {
		return "control"
	}
	return x.program
}

// start starts a process unless it runs.
func (p *processes) start(x *process) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.running() {
		return
	}
	if x.data != "" {
		p.Check(os.MkdirAll(x.data, 0o700), qt.IsNil)
	}
	c := exec.Command(filepath.Join(p.bin, x.binary()), "run", "--config", x.settings)
	c.Stdout, c.Stderr = x.log, x.log
	if err := c.Start(); err != nil {
		p.Errorf("start %s %d: %v", x.program, x.number, err)
		return
	}
	e := make(chan struct{})
	x.cmd, x.exited, x.stopRequested, x.lastFaultAt = c, e, false, time.Now()
	go func() {
		err := c.Wait()
		x.mu.Lock()
		requested := x.stopRequested
		x.mu.Unlock()
		if !requested {
			p.Errorf("%s %d exited unexpectedly: %v", x.program, x.number, err)
		}
		close(e)
	}()
}

// running reports whether the current run has not exited.
func (x *process) running() bool {
	if x.exited == nil {
		return false
	}
	select {
	case <-x.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process if it runs.
func (x *process) signal(s syscall.Signal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastFaultAt = time.Now()
	if !x.running() {
		return
	}
	x.stopRequested = x.stopRequested || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = x.cmd.Process.Signal(s)
}

// terminate sends a signal to a process and waits for its exit. It kills the
// process after stopTimeout, which is an error if the signal was SIGTERM.
func (p *processes) terminate(x *process, s syscall.Signal) {
	x.mu.Lock()
	e := x.exited
	x.mu.Unlock()
	if e == nil {
		return
	}
	x.signal(s)
	c, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	select {
	case <-e:
	case <-c.Done():
		if s == syscall.SIGTERM {
			p.Errorf("%s %d did not stop within %v", x.program, x.number, stopTimeout)
		}
		x.signal(syscall.SIGKILL)
		<-e
	}
}

// clearLastFault makes sinceLastFault ignore the start of the process.
func (x *process) clearLastFault() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastFaultAt = time.Time{}
}

// sinceLastFault returns the time since the last start or signal.
func (x *process) sinceLastFault() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Since(x.lastFaultAt)
}

// killAll kills all processes and closes their logs.
func (p *processes) killAll() {
	for _, x := range p.all {
		x.signal(syscall.SIGCONT)
		p.terminate(x, syscall.SIGKILL)
		_ = x.log.Close()
	}
}

// wipeData deletes the data of a control instance that does not run, and
// configures it to join the fleet.
func (p *processes) wipeData(x *process) {
	p.Check(os.RemoveAll(x.data), qt.IsNil)
	p.configure(x, true)
}

// appendTornRecord appends bytes that are no valid record to the log of a control
// instance, as a power failure can leave them after the last sync.
func (p *processes) appendTornRecord(x *process, b []byte) {
	fs, err := filepath.Glob(filepath.Join(x.data, "*log*"))
	if err != nil || len(fs) == 0 {
		return
	}
	f, err := os.OpenFile(fs[len(fs)-1], os.O_APPEND|os.O_WRONLY, 0)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	p.Check(err, qt.IsNil)
	_, err = f.Write(b)
	p.Check(err, qt.IsNil)
	p.Check(f.Close(), qt.IsNil)
}
