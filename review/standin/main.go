// Command standin plays the platform around the programs of the repository, for
// the scripts of the review: machines, routers, hosts, clients and the operator,
// all on loopback. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
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
	flowCount = 240
	flowPause = 2 * time.Second
	// seedFronts front machines have a disk, and as many have none.
	seedFronts = 3
	seedWait   = 60 * time.Second
	// clockStep is the largest in the site files, but for one of 2.6 s.
	clockStep = 2400 * time.Millisecond
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
	broken, err := f(w, os.Getenv("TROUBLE") != "0")
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

// deployment holds the parts of a small deployment.
type deployment struct {
	fronts              int
	controls, balancers []*process
	agents              []*process
	callers             []*client
}

// startProcesses starts n front machines with control and a balancer each, of which
// the first have a disk, and m side machines with an agent.
func (w *world) startProcesses(n, disks, m int) (*deployment, error) {
	d := &deployment{fronts: n}
	for i := range n {
		var more map[string]any
		if i < disks {
			more = map[string]any{"data_dir": fmt.Sprintf("%s/data-%d", w.folder, i)}
		}
		c, err := w.newProcess("control", "frontend", atFront, i, more)
		if err != nil {
			return nil, err
		}
		b, err := w.newProcess("balancer", "frontend", atFront, i, nil)
		if err != nil {
			return nil, err
		}
		d.controls, d.balancers = append(d.controls, c), append(d.balancers, b)
	}
	for i := range m {
		a, err := w.newProcess("agent", "side", atSide, i, map[string]any{"service": "svc-a", "app": w.addr(atSide, i, portHost)})
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

// startHosts starts m hosts, by start unless it is nil.
func (w *world) startHosts(m int, start func(h *host) error) error {
	if start == nil {
		start = func(h *host) error { return h.startRun(time.Now()) }
	}
	for i := range m {
		h := w.newHost(i, "svc-a")
		w.hosts = append(w.hosts, h)
		if err := start(h); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) startClients(d *deployment, n int) error {
	for i := range n {
		c, err := w.newClient(i)
		if err != nil {
			return err
		}
		d.callers = append(d.callers, c)
	}
	return nil
}

// startDeployment starts n front machines with disks, m side machines with hosts,
// and clients, and waits until the balancers are ready.
func (w *world) startDeployment(n, m, clients int, startHost func(h *host) error) (*deployment, error) {
	for i := range n {
		w.seeds = append(w.seeds, w.addr(atFront, i, portControl))
	}
	d, err := w.startProcesses(n, n, m)
	if err != nil {
		return nil, err
	}
	if err := w.startHosts(m, startHost); err != nil {
		return nil, err
	}
	if err := w.startClients(d, clients); err != nil {
		return nil, err
	}
	w.router.probe(n, make(chan struct{}))
	if !w.putConfig(1, []string{"svc-a"}, startTime) {
		return nil, errors.New("no configuration was acknowledged")
	}
	for end := time.Now().Add(startTime); w.router.ready() < n; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, errors.New("the balancers did not get ready")
		}
	}
	return d, nil
}

// openFlows opens n flows, spread over the clients, and serves one request on each.
func (d *deployment) openFlows(n int) ([]*flow, error) {
	var fs []*flow
	for i, end := 0, time.Now().Add(startTime); len(fs) < n; i++ {
		if time.Now().After(end) {
			return nil, fmt.Errorf("only %d of %d flows could be opened", len(fs), n)
		}
		if f := d.callers[i%len(d.callers)].open(); f != nil && f.request() {
			fs = append(fs, f)
			continue
		}
		time.Sleep(50 * time.Millisecond)
	}
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
	d, err := w.startDeployment(3, 3, 4, func(h *host) error {
		born := time.Now()
		if h.i == 0 {
			born = born.Add(step)
			w.logf("platform: the clock of side-1 is ahead by %v", step)
		}
		return h.startRun(born)
	})
	if err != nil {
		return false, err
	}
	h := w.hosts[0]
	h.mu.Lock()
	started := h.born.Add(-step)
	h.mu.Unlock()
	time.Sleep(time.Until(started.Add(clockStep - 1500*time.Millisecond)))
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
	d, err := w.startDeployment(3, 3, 4, nil)
	if err != nil {
		return false, err
	}
	fs, err := d.openFlows(flowCount)
	if err != nil {
		return false, err
	}
	w.logf("clients: %d flows are open", len(fs))
	used := make(chan struct{})
	end := time.Now().Add(14 * time.Second)
	go func() {
		defer close(used)
		keepUsing(fs, flowPause, end)
	}()
	time.Sleep(4500 * time.Millisecond)
	d.moveFlows()
	if trouble {
		w.hosts[0].waitForBeat()
		for range 2 {
			if err := d.agents[0].restart(syscall.SIGTERM, 500*time.Millisecond); err != nil {
				return false, err
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	<-used
	return brokenFlows(w, fs) > 0, nil
}

// moveFlows stops balancer 1 for good and waits until the router sends its flows
// to the others.
func (d *deployment) moveFlows() {
	b := d.balancers[0]
	go b.end(syscall.SIGTERM)
	for b.w.router.ready() == d.fronts {
		time.Sleep(10 * time.Millisecond)
	}
}

// agentStoppedBesideDrainingHost: a host drains; its agent is stopped and started
// at once, while a balancer is stopped too. The host serves on meanwhile.
func agentStoppedBesideDrainingHost(w *world, trouble bool) (bool, error) {
	d, err := w.startDeployment(3, 4, 4, nil)
	if err != nil {
		return false, err
	}
	fs, err := d.openFlows(flowCount)
	if err != nil {
		return false, err
	}
	w.logf("clients: %d flows are open", len(fs))
	used := make(chan struct{})
	end := time.Now().Add(14 * time.Second)
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
// a disk. Three others have one.
func seedsAreRelays(w *world, trouble bool) (bool, error) {
	first := 0
	if trouble {
		first = seedFronts
	}
	for i := range seedFronts {
		w.seeds = append(w.seeds, w.addr(atFront, first+i, portControl))
	}
	d, err := w.startProcesses(2*seedFronts, seedFronts, 3)
	if err != nil {
		return false, err
	}
	if err := w.startHosts(3, nil); err != nil {
		return false, err
	}
	if err := w.startClients(d, 4); err != nil {
		return false, err
	}
	w.router.probe(2*seedFronts, make(chan struct{}))
	if !w.putConfig(1, []string{"svc-a"}, seedWait) {
		w.logf("judge: no configuration is acknowledged and %d balancers are ready after %v", w.router.ready(), seedWait)
		return true, nil
	}
	fs, err := d.openFlows(20)
	w.logf("judge: %d flows are served", len(fs))
	return false, err
}
