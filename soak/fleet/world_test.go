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
	// applyWindow is how long after its acknowledgement an older document may
	// be read or obeyed.
	applyWindow = 3 * time.Second
	// quietWindow is how long the processes behind a flow were left alone until a
	// reset counts: leases run out after 5 s, and an agent may have been
	// silent before.
	quietWindow = 10 * time.Second
	// recoveryTimeout is how long after the last fault requests may fail.
	recoveryTimeout = 12 * time.Second
)

type (
	route struct {
		service  netip.AddrPort
		services []string
	}

	// world is one fleet with all that stands around it, and the ledger of
	// what clients, servers and operators saw.
	world struct {
		*processes
		random  *rand.Rand
		router  *router
		servers []*server
		routes  []route
		// seedProxies, operatorProxies and backendProxies are the proxies.
		seedProxies, operatorProxies, backendProxies []*proxy
		// diskFaultMu is held while one disk is lost: the fleet bears one.
		diskFaultMu sync.Mutex

		mu sync.Mutex
		// lastRequestID is the ID of the newest request; runs counts the runs of each.
		lastRequestID uint64
		runCounts     map[uint64]int
		// succeeded and failed count requests served and failed since the last tally.
		succeeded, failed int
		// lastVersion is the newest document sent, acknowledged the newest that was
		// acknowledged, at heldAt; sentText has all of them.
		lastVersion, acknowledged int
		acknowledgedAt            time.Time
		sentDocuments             map[int]string
	}
)

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

// summary tells what was sent.
func (w *world) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d requests, %d documents, the newest acknowledged is %d", w.lastRequestID, len(w.sentDocuments), w.acknowledged)
}

// nextRequestID numbers a request.
func (w *world) nextRequestID(*flow) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRequestID++
	return w.lastRequestID
}

func (w *world) countRequest(ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ok {
		w.succeeded++
		return
	}
	w.failed++
}

// tally returns the requests served and failed since the last call.
func (w *world) tally() (good, bad int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	good, bad = w.succeeded, w.failed
	w.succeeded, w.failed = 0, 0
	return good, bad
}

// checkOpening holds an opening at a server to the routes and to its drain.
func (w *world) checkOpening(s *server, g balsampier.Segment) {
	i := slices.IndexFunc(w.routes, func(r route) bool { return r.service == g.Service })
	if i < 0 || !slices.Contains(w.routes[i].services, serviceOf(s.agent)) {
		w.Errorf("server %s of %s was given a flow to %v", s.name(), serviceOf(s.agent), g.Service)
	}
	if !s.drainAckedAt.IsZero() && time.Since(s.drainAckedAt) > drainWindow {
		w.Errorf("server %s was given a flow %v after its drain was acknowledged", s.name(), time.Since(s.drainAckedAt))
	}
}

// checkRun holds that no request runs twice.
func (w *world) checkRun(s *server, g balsampier.Segment, id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if id == 0 || id > w.lastRequestID {
		w.Errorf("server %s ran request %d, which nobody sent", s.name(), id)
	}
	if w.runCounts[id]++; w.runCounts[id] > 1 {
		w.Errorf("request %d of %v ran twice, now at %s", id, g.Client, s.name())
	}
}

// checkAnswer holds an answer to its request, and notes who has the flow.
func (w *world) checkAnswer(f *flow, r route, id uint64, data []byte) {
	a, err := decodeAnswer(data)
	if err != nil || a.ID != id {
		w.Errorf("request %d of %v was answered by %q", id, f.segment.Client, data)
		return
	}
	if !slices.Contains(r.services, a.Service) {
		w.Errorf("request %d to %v was answered by %s", id, f.segment.Service, a.Service)
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

// checkReset holds that no flow is reset whose server lives. Faults that hit the
// processes behind it lately excuse it: the agent may be out of touch.
func (w *world) checkReset(f *flow) {
	if f.server == nil || !f.server.hasFlow(f.run, f.segment.Key) {
		return
	}
	for _, x := range w.all {
		if x.program == "agent" && x.number == f.server.agent && x.sinceLastFault() < quietWindow {
			return
		}
	}
	w.Errorf("flow of %v, open at %s, was reset", f.segment.Client, f.server.name())
}

// document returns a complete document of the given version.
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

// submitDocument sends a newer document until it is acknowledged or a while has passed.
func (w *world) submitDocument(c context.Context) {
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
			return
		case s >= 400 && s < 500 && s != http.StatusRequestTimeout && s != http.StatusTooManyRequests:
			w.Errorf("document %d was refused: %d", v, s)
			return
		case c.Err() != nil:
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// readDocument reads the document at a random instance and holds it to what was
// acknowledged. It reports whether there was an answer.
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
		w.Errorf("the document read is none: %v", err)
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.Version < minVersion {
		w.Errorf("document %d was read after %d had been acknowledged", d.Version, minVersion)
	}
	if t, ok := w.sentDocuments[d.Version]; !ok || t != string(b) {
		w.Errorf("document %d was read with content that nobody sent: %.80q", d.Version, b)
	}
	return true
}
