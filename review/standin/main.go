// Command standin plays the platform around the programs of the repository, for
// the scripts of the review: machines, routers, hosts, clients and the operator,
// all on loopback. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

const (
	// totalTime bounds a run; a script may take 120 s.
	totalTime = 110 * time.Second
	startTime = 20 * time.Second
	// flowCount long flows carry a request every flowPause each.
	flowCount = 600
	flowPause = 2 * time.Second
	// seedWait is how long requests are sent in vain before none counts as served.
	seedWait     = 45 * time.Second
	seedRequests = 20
	// clockStep is the largest in the site files, but for one of 2.6 s.
	clockStep = 2400 * time.Millisecond
	// rollGap is the shortest gap_s of roll_term in the site files.
	rollGap = time.Second
)

var cases = map[string]func(w *world, trouble bool) (bool, error){
	"drain":         drainAfterClockStep,
	"stop-early":    agentStoppedBeforeHeartbeat,
	"stop-draining": agentStoppedBesideDrainingHost,
	"seeds":         seedsAreRelays,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: RECORD=FILE TROUBLE=0|1 standin CASE, in the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]]))
}

func run(f func(*world, bool) (bool, error)) int {
	root, err := os.Getwd()
	if err != nil {
		return exitNotRun
	}
	w, err := newWorld(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	time.AfterFunc(totalTime, func() {
		w.logf("the case took too long")
		w.close()
		os.Exit(exitNotRun)
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, err := f(w, os.Getenv("TROUBLE") != "0")
	if err == nil {
		err = w.unexpectedExit()
	}
	switch {
	case err != nil:
		w.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		w.logf("RESULT: the rule is broken")
		fmt.Println("broken")
		return exitBroken
	}
	w.logf("RESULT: the rule held")
	fmt.Println("held")
	return exitHeld
}

// unexpectedExit returns an error if a process ended that nobody stopped.
func (w *world) unexpectedExit() error {
	for _, p := range w.processes {
		p.mu.Lock()
		n := p.exits
		p.mu.Unlock()
		if n > 0 {
			return fmt.Errorf("%s ended by itself", p.name)
		}
	}
	return nil
}

// The machines of the sheet of fraser-fold, in the order of their zones: the first
// front machine of each zone has a disk, and the first two run control.
var (
	frontZones = []string{"coast-a", "coast-a", "coast-b", "coast-b", "coast-b", "coast-c", "coast-c", "coast-d", "coast-d"}
	sideZones  = []string{"coast-a", "coast-a", "coast-b", "coast-b", "coast-c", "coast-c", "coast-d", "coast-a", "coast-b", "coast-c", "coast-d"}
	services   = []string{"pleat-status", "pattern-sheets"}
)

const (
	// statusHosts of the side machines, the first ones, have a host of
	// pleat-status, the others one of pattern-sheets.
	statusHosts = 7
	callers     = 8
	// rolledFront is a front machine that runs a balancer only, in the zone of
	// the clients.
	rolledFront = 4
)

func zoneOf(kind, i int) string {
	switch kind {
	case atFront:
		return frontZones[i]
	case atSide:
		return sideZones[i]
	}
	return ""
}

func serviceOf(side int) string {
	if side < statusHosts {
		return services[0]
	}
	return services[1]
}

// placeInZone returns the place of a front machine in the order of its zone.
func placeInZone(i int) int {
	n := 0
	for _, z := range frontZones[:i] {
		if z == frontZones[i] {
			n++
		}
	}
	return n
}

// controlAddrs returns the control addresses of the front machines at one place of
// their zones: 0 for those with a disk, 1 for those without.
func (w *world) controlAddrs(place int) []string {
	var as []string
	for i := range frontZones {
		if placeInZone(i) == place {
			as = append(as, w.addr(atFront, i, portControl))
		}
	}
	return as
}

// deployment holds the parts of a small deployment.
type deployment struct {
	w         *world
	balancers []*process
	agents    []*process
	callers   []*client
}

// startProcesses starts the processes of all machines. The three seeds are at the
// given place of their zones.
func (w *world) startProcesses(seedPlace int) (*deployment, error) {
	w.seeds = w.controlAddrs(seedPlace)[:3]
	w.controls = append(w.controlAddrs(0), w.controlAddrs(1)...)
	d := &deployment{w: w}
	for i := range frontZones {
		if n := placeInZone(i); n < 2 {
			var more map[string]any
			if n == 0 {
				more = map[string]any{"data_dir": fmt.Sprintf("%s/data-%d", w.folder, i)}
			}
			if _, err := w.newProcess("control", "frontend", atFront, i, more); err != nil {
				return nil, err
			}
		}
		b, err := w.newProcess("balancer", "frontend", atFront, i, nil)
		if err != nil {
			return nil, err
		}
		d.balancers = append(d.balancers, b)
	}
	for i := range sideZones {
		a, err := w.newProcess("agent", "side", atSide, i, map[string]any{"service": serviceOf(i), "app": w.addr(atSide, i, portHost)})
		if err != nil {
			return nil, err
		}
		d.agents = append(d.agents, a)
	}
	for _, p := range w.processes {
		if err := p.run(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Second)
	return d, nil
}

// startHostsAndClients starts the hosts, by start unless it is nil, the clients and
// the probes of the router.
func (d *deployment) startHostsAndClients(start func(h *host) error) error {
	if start == nil {
		start = func(h *host) error { return h.startRun(time.Now()) }
	}
	for i := range sideZones {
		h := d.w.newHost(i, serviceOf(i))
		d.w.hosts = append(d.w.hosts, h)
		if err := start(h); err != nil {
			return err
		}
	}
	for i := range callers {
		c, err := d.w.newClient(i)
		if err != nil {
			return err
		}
		d.callers = append(d.callers, c)
	}
	d.w.router.probe(len(frontZones), make(chan struct{}))
	return nil
}

// startDeployment starts everything and waits until the balancers are ready.
func (w *world) startDeployment(startHost func(h *host) error) (*deployment, error) {
	d, err := w.startProcesses(0)
	if err != nil {
		return nil, err
	}
	if err := d.startHostsAndClients(startHost); err != nil {
		return nil, err
	}
	if !w.putConfig(1, services, startTime) {
		return nil, errors.New("no configuration was acknowledged")
	}
	for end := time.Now().Add(startTime); w.router.ready() < len(frontZones); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, errors.New("the balancers did not get ready")
		}
	}
	return d, nil
}

// openFlows opens n flows, the same number by each client, and serves one request
// on each.
func (d *deployment) openFlows(n int) ([]*flow, error) {
	var (
		mu sync.Mutex
		fs []*flow
		g  sync.WaitGroup
	)
	end := time.Now().Add(startTime)
	for _, c := range d.callers {
		g.Go(func() {
			for k := 0; k < n/len(d.callers) && time.Now().Before(end); {
				f := c.open()
				if f == nil || !f.request() {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				k++
				mu.Lock()
				fs = append(fs, f)
				mu.Unlock()
			}
		})
	}
	g.Wait()
	if len(fs) < n {
		return nil, fmt.Errorf("only %d of %d flows could be opened", len(fs), n)
	}
	d.w.logf("clients: %d flows are open", n)
	return fs, nil
}

// keepUsing sends a request on each flow every pause until end, and returns when
// all are done.
func keepUsing(fs []*flow, pause time.Duration, end time.Time) {
	done := make(chan struct{})
	for i, f := range fs {
		go func() {
			time.Sleep(pause * time.Duration(i) / time.Duration(len(fs)))
			for time.Now().Before(end) && !f.isReset && !f.closed && f.request() {
				time.Sleep(pause)
			}
			done <- struct{}{}
		}()
	}
	for range fs {
		<-done
	}
}

// brokenFlows returns how many flows were reset while their host ran and held
// them.
func brokenFlows(w *world, fs []*flow) int {
	n := 0
	for _, f := range fs {
		if f.isReset && f.holder != nil {
			n++
		}
	}
	w.logf("judge: %d of %d flows were reset by the system while their host runs and holds them", n, len(fs))
	return n
}

// drainAfterClockStep: the clock of a side machine is ahead by clockStep when its host
// starts and is set right again; the host then crashes and starts again a second
// later, at a time without traffic. Later it drains.
func drainAfterClockStep(w *world, trouble bool) (bool, error) {
	step := clockStep
	if !trouble {
		step = 0
	}
	d, err := w.startDeployment(func(h *host) error {
		if h.i == 0 {
			return nil
		}
		return h.startRun(time.Now())
	})
	if err != nil {
		return false, err
	}
	h := w.hosts[0]
	w.logf("platform: the clock of side-1 is ahead by %v", step)
	if err := h.startRun(time.Now().Add(step)); err != nil {
		return false, err
	}
	time.Sleep(800 * time.Millisecond)
	w.logf("platform: the clock of side-1 is right again")
	h.crash()
	time.Sleep(time.Second)
	if err := h.startRun(time.Now()); err != nil {
		return false, err
	}
	// More than contact_ms: the machine is in touch again.
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if f := d.callers[i%len(d.callers)].open(); f != nil {
				f.request()
			}
		}
	}()
	time.Sleep(2 * time.Second)
	h.mu.Lock()
	before := h.taken
	h.mu.Unlock()
	h.drain()
	time.Sleep(9 * time.Second)
	close(stop)
	<-done
	h.mu.Lock()
	defer h.mu.Unlock()
	w.logf("judge: host-1 took %d flows before it drained and %d later than %v after the acknowledgement", before, h.late, drainTime)
	if h.drainAckedAt.IsZero() {
		return false, errors.New("the drain was not acknowledged")
	}
	return h.late > 0, nil
}

// agentStoppedBeforeHeartbeat: an agent is stopped and started in turn, and once
// more before the next heartbeat of its host; a balancer is stopped as well, so
// that its flows go through others.
func agentStoppedBeforeHeartbeat(w *world, trouble bool) (bool, error) {
	d, err := w.startDeployment(nil)
	if err != nil {
		return false, err
	}
	fs, err := d.openFlows(flowCount)
	if err != nil {
		return false, err
	}
	used := make(chan struct{})
	end := time.Now().Add(10 * time.Second)
	go func() {
		defer close(used)
		keepUsing(fs, flowPause, end)
	}()
	time.Sleep(4 * time.Second)
	w.hosts[0].waitForBeat()
	second := time.Now().Add(rollGap)
	moved := make(chan struct{})
	go func() {
		defer close(moved)
		d.moveFlows()
	}()
	if trouble {
		for range 2 {
			if err := d.agents[0].restart(syscall.SIGTERM, 500*time.Millisecond); err != nil {
				return false, err
			}
			time.Sleep(time.Until(second))
		}
	}
	<-moved
	<-used
	return brokenFlows(w, fs) > 0, nil
}

// moveFlows stops the balancer of one machine, and starts it again a second after
// it has ended. It returns when the router sends its flows to the others.
func (d *deployment) moveFlows() {
	b := d.balancers[rolledFront]
	go func() { _ = b.restart(syscall.SIGTERM, time.Second) }()
	for d.w.router.ready() == len(frontZones) {
		time.Sleep(10 * time.Millisecond)
	}
}

// agentStoppedBesideDrainingHost: a host drains; its agent is stopped and started
// at once, while a balancer is stopped too. The host serves on meanwhile.
func agentStoppedBesideDrainingHost(w *world, trouble bool) (bool, error) {
	d, err := w.startDeployment(nil)
	if err != nil {
		return false, err
	}
	fs, err := d.openFlows(flowCount)
	if err != nil {
		return false, err
	}
	used := make(chan struct{})
	end := time.Now().Add(10 * time.Second)
	go func() {
		defer close(used)
		keepUsing(fs, flowPause, end)
	}()
	time.Sleep(4 * time.Second)
	d.moveFlows()
	w.hosts[0].drain()
	time.Sleep(200 * time.Millisecond)
	if trouble {
		if err := d.agents[0].restart(syscall.SIGTERM, time.Second); err != nil {
			return false, err
		}
	}
	<-used
	return brokenFlows(w, fs) > 0, nil
}

// seedsAreRelays: the three seeds of the first start are control instances without
// a disk.
func seedsAreRelays(w *world, trouble bool) (bool, error) {
	place := 0
	if trouble {
		place = 1
	}
	d, err := w.startProcesses(place)
	if err != nil {
		return false, err
	}
	if err := d.startHostsAndClients(nil); err != nil {
		return false, err
	}
	go w.putConfig(1, services, seedWait)
	var served, failed atomic.Int64
	var g sync.WaitGroup
	for end, c := time.Now().Add(seedWait), d.callers[0]; time.Now().Before(end) && served.Load() < seedRequests; time.Sleep(100 * time.Millisecond) {
		g.Go(func() {
			if f := c.open(); f != nil && f.request() {
				served.Add(1)
				return
			}
			failed.Add(1)
		})
	}
	g.Wait()
	w.logf("judge: %d requests were served and %d were not", served.Load(), failed.Load())
	return served.Load() == 0, nil
}
