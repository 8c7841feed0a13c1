package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
)

const (
	// applyWindow is how long after the acknowledgement of a document an older
	// one may still be read or applied.
	applyWindow = 3 * time.Second
	// quietWindow is how long the agent of a flow must have been without a
	// fault before a reset is an error: leases expire after 5 s, and the agent
	// may have been out of contact before.
	quietWindow = 10 * time.Second
	// recoveryTimeout is how long after the last fault requests may fail.
	recoveryTimeout = 12 * time.Second
)

type (
	// route is a service address and the services that may serve it.
	route struct {
		service  netip.AddrPort
		services []string
	}

	// world is one fleet with the clients, servers and proxies around it. It
	// records what they see and checks it.
	world struct {
		*processes
		random  *rand.Rand
		router  *router
		servers []*server
		routes  []route
		// The proxies are on the connections of members to control, of
		// operators to control, and of servers to their agents.
		seedProxies, operatorProxies, backendProxies []*proxy
		// diskFaultMu is held while one disk is lost: the fleet tolerates one.
		diskFaultMu sync.Mutex

		mu sync.Mutex
		// lastRequestID is the ID of the newest request. runCounts has the
		// number of runs of each request.
		lastRequestID uint64
		runCounts     map[uint64]int
		// succeeded and failed count requests since the last tally.
		succeeded, failed int
		// lastVersion is the newest version sent, acknowledged the newest one
		// that control acknowledged, at acknowledgedAt. sentDocuments has the
		// text of each version sent.
		lastVersion, acknowledged int
		acknowledgedAt            time.Time
		sentDocuments             map[int]string
	}
)

// newWorld creates a fleet that is not started yet.
func newWorld(c *qt.C, seed uint64) *world {
	w := &world{
		processes: newProcesses(c), random: rand.New(rand.NewPCG(seed, 1)), runCounts: make(map[uint64]int), sentDocuments: make(map[int]string),
		routes: []route{
			{netip.MustParseAddrPort("198.18.0.1:443"), []string{"reservas"}},
			{netip.MustParseAddrPort("198.18.0.2:443"), []string{"galeria"}},
			{netip.MustParseAddrPort("198.18.0.3:443"), []string{"reservas", "galeria"}},
		},
	}
	w.router = &router{world: w}
	for i := range controls {
		w.seedProxies = append(w.seedProxies, newProxy(c, w.addr(atSeedProxy, i, peerPort), w.addr(atControl, i, peerPort)))
		w.operatorProxies = append(w.operatorProxies, newProxy(c, w.addr(atOperatorProxy, i, operatorPort), w.addr(atControl, i, operatorPort)))
	}
	for i := range agents {
		w.backendProxies = append(w.backendProxies, newProxy(c, w.addr(atBackendProxy, i, backendPort), w.addr(atAgent, i, backendPort)))
		w.servers = append(w.servers, &server{world: w, agent: i})
	}
	return w
}

// summary returns the numbers of requests and documents sent.
func (w *world) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d requests, %d documents, newest acknowledged version %d", w.lastRequestID, len(w.sentDocuments), w.acknowledged)
}

// nextRequestID returns the ID of a new request.
func (w *world) nextRequestID(*flow) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRequestID++
	return w.lastRequestID
}

// countRequest counts a request that succeeded or failed.
func (w *world) countRequest(ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ok {
		w.succeeded++
		return
	}
	w.failed++
}

// tally returns the numbers of requests that succeeded and failed since the last
// call.
func (w *world) tally() (succeeded, failed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	succeeded, failed = w.succeeded, w.failed
	w.succeeded, w.failed = 0, 0
	return succeeded, failed
}

// checkOpening checks that a new flow at a server matches the routes, and that
// the server has not drained for longer than drainWindow.
func (w *world) checkOpening(s *server, g balsampier.Segment) {
	i := slices.IndexFunc(w.routes, func(r route) bool { return r.service == g.Service })
	if i < 0 || !slices.Contains(w.routes[i].services, serviceOf(s.agent)) {
		w.Errorf("server %s of %s got a flow to %v", s.name(), serviceOf(s.agent), g.Service)
	}
	if !s.drainAckedAt.IsZero() && time.Since(s.drainAckedAt) > drainWindow {
		w.Errorf("server %s got a flow %v after its drain was acknowledged", s.name(), time.Since(s.drainAckedAt))
	}
}

// checkRun checks that the request was sent and runs for the first time.
func (w *world) checkRun(s *server, g balsampier.Segment, id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if id == 0 || id > w.lastRequestID {
		w.Errorf("server %s ran request %d, which no client sent", s.name(), id)
	}
	if w.runCounts[id]++; w.runCounts[id] > 1 {
		w.Errorf("request %d of %v ran again, at %s", id, g.Client, s.name())
	}
}

// checkAnswer checks that an answer matches its request and route, and records
// which server holds the flow.
func (w *world) checkAnswer(f *flow, r route, id uint64, data []byte) {
	a, err := decodeAnswer(data)
	if err != nil || a.ID != id {
		w.Errorf("request %d of %v got the wrong answer %q", id, f.segment.Client, data)
		return
	}
	if !slices.Contains(r.services, a.Service) {
		w.Errorf("request %d to %v was answered by service %s", id, f.segment.Service, a.Service)
	}
	for _, s := range w.servers {
		s.mu.Lock()
		x := s.flows[f.segment.Key]
		if x != nil && x.lastRequest == id {
			f.server, f.run = s, s.run
		}
		s.mu.Unlock()
	}
}

// checkReset checks that no flow is reset while its server is up. A reset is
// allowed if the agent of the server had a fault within quietWindow: it may have
// lost contact with the other members.
func (w *world) checkReset(f *flow) {
	if f.server == nil || !f.server.hasFlow(f.run, f.segment.Key) {
		return
	}
	for _, x := range w.all {
		if x.program == "agent" && x.number == f.server.agent && x.sinceLastFault() < quietWindow {
			return
		}
	}
	w.Errorf("flow of %v was reset although server %s holds it", f.segment.Client, f.server.name())
}

// document returns a complete document with the given version and random
// weights.
func (w *world) document(version int) string {
	type (
		target struct {
			Service string `json:"service"`
			Weight  int    `json:"weight"`
		}
		routeEntry struct {
			Name     string   `json:"name"`
			Hostname string   `json:"hostname"`
			Prefix   string   `json:"path_prefix"`
			Timeout  int      `json:"timeout_ms"`
			Split    []target `json:"traffic_split"`
		}
		service struct {
			Name string `json:"name"`
		}
		limits struct {
			Idle int `json:"idle_timeout_ms"`
		}
	)
	var rs []routeEntry
	for i, r := range w.routes {
		x := routeEntry{Name: fmt.Sprint("r-", i), Hostname: r.service.Addr().String(), Prefix: fmt.Sprintf("/%d/", r.service.Port()), Timeout: 2000 + version}
		for _, s := range r.services {
			x.Split = append(x.Split, target{s, 1 + rand.IntN(9)})
		}
		rs = append(rs, x)
	}
	b, err := json.Marshal(struct {
		Version  int          `json:"version"`
		Routes   []routeEntry `json:"routes"`
		Services []service    `json:"services"`
		Limits   limits       `json:"limits"`
	}{version, rs, []service{{"reservas"}, {"galeria"}}, limits{15000}})
	w.Check(err, qt.IsNil)
	return string(b)
}

// submitDocument sends a newer document up to 20 times, until it is
// acknowledged, and reports whether it was.
func (w *world) submitDocument(c context.Context) bool {
	w.mu.Lock()
	w.lastVersion += 1 + rand.IntN(3)
	v := w.lastVersion
	t := w.document(v)
	w.sentDocuments[v] = t
	w.mu.Unlock()
	for range 20 {
		x, cancel := context.WithTimeout(c, time.Second)
		s := post(x, "http://"+w.addr(atOperatorProxy, rand.IntN(controls), operatorPort)+"/Config.Put", []byte(t))
		cancel()
		switch {
		case s == http.StatusOK:
			w.mu.Lock()
			if v > w.acknowledged {
				w.acknowledged, w.acknowledgedAt = v, time.Now()
			}
			w.mu.Unlock()
			return true
		case s >= 400 && s < 500 && s != http.StatusRequestTimeout && s != http.StatusTooManyRequests:
			w.Errorf("document %d was refused with status %d", v, s)
			return false
		case c.Err() != nil:
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// readDocument reads the document at a random control instance and checks that
// it was sent, and that it is not older than the newest one acknowledged, if that
// was longer than applyWindow ago. It reports whether there was a response.
func (w *world) readDocument(c context.Context) bool {
	w.mu.Lock()
	minVersion := w.acknowledged
	if time.Since(w.acknowledgedAt) < applyWindow {
		minVersion = 0
	}
	w.mu.Unlock()
	c, cancel := context.WithTimeout(c, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+w.addr(atOperatorProxy, rand.IntN(controls), operatorPort)+"/Config.Get", nil)
	w.Check(err, qt.IsNil)
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode != http.StatusOK {
		return false
	}
	var d struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(b, &d); err != nil {
		w.Errorf("decode the document read: %v", err)
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.Version < minVersion {
		w.Errorf("document %d was read after %d had been acknowledged", d.Version, minVersion)
	}
	if t, ok := w.sentDocuments[d.Version]; !ok || t != string(b) {
		w.Errorf("document %d was read with content that was not sent: %.80q", d.Version, b)
	}
	return true
}
