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
	// applyBound is how long after its acknowledgement an older document may
	// be read or obeyed.
	applyBound = 3 * time.Second
	// calmFor is how long the processes behind a flow were left alone until a
	// reset counts: leases run out after 5 s, and an agent may have been
	// silent before.
	calmFor = 10 * time.Second
	// recoverBound is how long after the last fault requests may fail.
	recoverBound = 12 * time.Second
)

type (
	route struct {
		to       netip.AddrPort
		services []string
	}

	// world is one fleet with all that stands around it, and the ledger of
	// what clients, servers and operators saw.
	world struct {
		*processes
		r       *rand.Rand
		router  *router
		servers []*server
		routes  []route
		// seeds, operators and backends are the proxies.
		seeds, operators, backends []*proxy
		// disks is held while one disk is lost: the fleet bears one.
		disks sync.Mutex

		mu sync.Mutex
		// next is the ID of the newest request; runs counts the runs of each.
		next uint64
		runs map[uint64]int
		// good and bad count requests served and failed since the last tally.
		good, bad int
		// version is the newest document sent, held the newest that was
		// acknowledged, at heldAt; sentText has all of them.
		version, held int
		heldAt        time.Time
		sentText      map[int]string
	}
)

func newWorld(c *qt.C, seed uint64) *world {
	w := &world{
		processes: newProcesses(c), r: rand.New(rand.NewPCG(seed, 1)), runs: make(map[uint64]int), sentText: make(map[int]string),
		routes: []route{
			{netip.MustParseAddrPort("198.18.0.1:443"), []string{"reservas"}},
			{netip.MustParseAddrPort("198.18.0.2:443"), []string{"galeria"}},
			{netip.MustParseAddrPort("198.18.0.3:443"), []string{"reservas", "galeria"}},
		},
	}
	w.router = &router{w: w}
	for i := range controls {
		w.seeds = append(w.seeds, newProxy(c, w.addr(atSeedProxy, i, peerPort), w.addr(atControl, i, peerPort)))
		w.operators = append(w.operators, newProxy(c, w.addr(atOperatorProxy, i, operatorPort), w.addr(atControl, i, operatorPort)))
	}
	for i := range agents {
		w.backends = append(w.backends, newProxy(c, w.addr(atBackendProxy, i, backendPort), w.addr(atAgent, i, backendPort)))
		w.servers = append(w.servers, &server{w: w, agent: i})
	}
	return w
}

// summary tells what was sent.
func (w *world) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d requests, %d documents, the newest acknowledged is %d", w.next, len(w.sentText), w.held)
}

// sent numbers a request.
func (w *world) sent(*flow) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	return w.next
}

func (w *world) count(ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ok {
		w.good++
		return
	}
	w.bad++
}

// tally returns the requests served and failed since the last call.
func (w *world) tally() (good, bad int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	good, bad = w.good, w.bad
	w.good, w.bad = 0, 0
	return good, bad
}

// opened holds an opening at a server to the routes and to its drain.
func (w *world) opened(s *server, g balsampier.Segment) {
	i := slices.IndexFunc(w.routes, func(r route) bool { return r.to == g.Service })
	if i < 0 || !slices.Contains(w.routes[i].services, serviceOf(s.agent)) {
		w.Errorf("server %s of %s was given a flow to %v", s.name(), serviceOf(s.agent), g.Service)
	}
	if !s.drained.IsZero() && time.Since(s.drained) > drainBound {
		w.Errorf("server %s was given a flow %v after its drain was acknowledged", s.name(), time.Since(s.drained))
	}
}

// ran holds that no request runs twice.
func (w *world) ran(s *server, g balsampier.Segment, id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if id == 0 || id > w.next {
		w.Errorf("server %s ran request %d, which nobody sent", s.name(), id)
	}
	if w.runs[id]++; w.runs[id] > 1 {
		w.Errorf("request %d of %v ran twice, now at %s", id, g.Client, s.name())
	}
}

// answered holds an answer to its request, and notes who has the flow.
func (w *world) answered(f *flow, r route, id uint64, data []byte) {
	a, err := decodeAnswer(data)
	if err != nil || a.ID != id {
		w.Errorf("request %d of %v was answered by %q", id, f.g.Client, data)
		return
	}
	if !slices.Contains(r.services, a.Service) {
		w.Errorf("request %d to %v was answered by %s", id, f.g.Service, a.Service)
	}
	for _, s := range w.servers {
		s.mu.Lock()
		x := s.flows[f.g.Key]
		if x != nil && x.last == id {
			f.server, f.run = s, s.run
		}
		s.mu.Unlock()
	}
}

// wasReset holds that no flow is reset whose server lives. Faults that hit the
// processes behind it lately excuse it: the agent may be out of touch.
func (w *world) wasReset(f *flow) {
	if f.server == nil || !f.server.holds(f.run, f.g.Key) {
		return
	}
	for _, x := range w.all {
		if x.program == "agent" && x.number == f.server.agent && x.quietFor() < calmFor {
			return
		}
	}
	w.Errorf("flow of %v, open at %s, was reset", f.g.Client, f.server.name())
}

// document returns a complete document of the given version.
func (w *world) document(version int) string {
	type (
		target struct {
			Service string `json:"service"`
			Weight  int    `json:"weight"`
		}
		rt struct {
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
	var rs []rt
	for i, r := range w.routes {
		x := rt{Name: fmt.Sprint("r-", i), Hostname: r.to.Addr().String(), Prefix: fmt.Sprintf("/%d/", r.to.Port()), Timeout: 2000 + version}
		for _, s := range r.services {
			x.Split = append(x.Split, target{s, 1 + rand.IntN(9)})
		}
		rs = append(rs, x)
	}
	b, err := json.Marshal(struct {
		Version  int       `json:"version"`
		Routes   []rt      `json:"routes"`
		Services []service `json:"services"`
		Limits   limits    `json:"limits"`
	}{version, rs, []service{{"reservas"}, {"galeria"}}, limits{15000}})
	w.Check(err, qt.IsNil)
	return string(b)
}

// change sends a newer document until it is acknowledged or a while has passed.
func (w *world) change(c context.Context) {
	w.mu.Lock()
	w.version += 1 + rand.IntN(3)
	v := w.version
	t := w.document(v)
	w.sentText[v] = t
	w.mu.Unlock()
	for range 20 {
		x, cancel := context.WithTimeout(c, time.Second)
		s := post(x, "http://"+w.addr(atOperatorProxy, rand.IntN(controls), operatorPort)+"/Config.Put", []byte(t))
		cancel()
		switch {
		case s == http.StatusOK:
			w.mu.Lock()
			if v > w.held {
				w.held, w.heldAt = v, time.Now()
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

// read reads the document at a random instance and holds it to what was
// acknowledged. It reports whether there was an answer.
func (w *world) read(c context.Context) bool {
	w.mu.Lock()
	least := w.held
	if time.Since(w.heldAt) < applyBound {
		least = 0
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
	if d.Version < least {
		w.Errorf("document %d was read after %d had been acknowledged", d.Version, least)
	}
	if t, ok := w.sentText[d.Version]; !ok || t != string(b) {
		w.Errorf("document %d was read with content that nobody sent: %.80q", d.Version, b)
	}
	return true
}
