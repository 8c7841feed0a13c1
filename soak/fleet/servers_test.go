package fleet_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/platform"
)

const (
	headBytes = 34
	flagSyn   = 1
	flagRst   = 2
	flagBack  = 4
	flagAck   = 32

	heartbeatPeriod = 400 * time.Millisecond
	// drainBound is how long after the acknowledgement of its drain a server
	// may be given flows.
	drainBound = 3 * time.Second
	// workTime is how long a request runs.
	workTime = 5 * time.Millisecond
	// idBytes is the length of a request: its ID.
	idBytes = 8
)

type (
	// server stands in for the backend server beside an agent. It keeps the
	// ledger of what it ran.
	server struct {
		w     *world
		agent int

		mu sync.Mutex
		// run counts the runs; packets of an earlier one are not answered.
		run  int
		up   bool
		born time.Time
		conn *net.UDPConn
		// health listens at the same address over TCP.
		health   net.Listener
		flows    map[balsampier.FlowKey]*served
		draining bool
		// drained is when the agent acknowledged that the server drains.
		drained time.Time
	}

	served struct {
		first uint32
		open  bool
		// last is the newest request, answer its answer, next the client's
		// number behind it: repeated packets run nothing twice.
		last   uint64
		answer []byte
		next   uint32
	}

	// answer is what a server says to a request.
	answer struct {
		ID      uint64 `json:"id"`
		Service string `json:"service"`
	}
)

func serviceOf(agent int) string {
	if agent < 3 {
		return "reservas"
	}
	return "galeria"
}

func (s *server) name() string { return fmt.Sprintf("i-%d-%d", s.agent, s.run) }

// start starts a run of the server.
func (s *server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.w.addr(atAgent, s.agent, serverPort)
	c, err := net.ListenPacket("udp", at)
	if !s.w.Check(err, qt.IsNil) {
		return
	}
	l, err := net.Listen("tcp", at)
	if !s.w.Check(err, qt.IsNil) {
		return
	}
	s.run++
	s.up, s.conn, s.health, s.born, s.draining, s.drained = true, c.(*net.UDPConn), l, time.Now(), false, time.Time{}
	s.flows = make(map[balsampier.FlowKey]*served)
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			_ = n.Close()
		}
	}()
	go s.receive(s.conn, s.run)
	go s.announce(s.run)
}

// crash ends the run with all flows.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up {
		s.up = false
		_ = s.conn.Close()
		_ = s.health.Close()
	}
}

func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// holds reports whether run r of the server lives and has the flow.
func (s *server) holds(r int, k balsampier.FlowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up && s.run == r && s.flows[k] != nil
}

// announce sends heartbeats through a proxy until the run ends.
func (s *server) announce(run int) {
	h := http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer h.CloseIdleConnections()
	for n := 1; ; n++ {
		s.mu.Lock()
		if !s.up || s.run != run {
			s.mu.Unlock()
			return
		}
		draining, id := s.draining, s.name()
		b, err := json.Marshal(struct {
			Service  string  `json:"service"`
			Address  string  `json:"address"`
			Zone     string  `json:"zone"`
			Slots    int     `json:"slots"`
			State    string  `json:"state"`
			Cold     float64 `json:"cold_remaining_ms"`
			Sequence int     `json:"sequence"`
			Born     int64   `json:"born"`
		}{
			serviceOf(s.agent), s.w.addr(atAgent, s.agent, serverPort), fmt.Sprint("zone-", s.agent%2), 5,
			map[bool]string{true: "draining", false: "ready"}[draining], 0, n, s.born.UnixMilli(),
		})
		s.mu.Unlock()
		s.w.Check(err, qt.IsNil)
		r, err := h.Post("http://"+s.w.addr(atBackendProxy, s.agent, backendPort)+"/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(b))
		if err == nil {
			_ = r.Body.Close()
			s.acknowledged(run, draining && r.StatusCode == http.StatusOK)
		}
		time.Sleep(heartbeatPeriod)
	}
}

func (s *server) acknowledged(run int, drained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if drained && s.run == run && s.drained.IsZero() {
		s.drained = time.Now()
	}
}

func (s *server) receive(c *net.UDPConn, run int) {
	b := make([]byte, 2048)
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		p := bytes.Clone(b[:n])
		g, err := platform.Codec{}.Decode(p, true)
		if err != nil {
			s.w.Errorf("server %d got what no client sent: %v", s.agent, err)
			continue
		}
		s.take(c, run, g, p)
	}
}

func (s *server) take(c *net.UDPConn, run int, g balsampier.Segment, p []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.run != run {
		return
	}
	f := s.flows[g.Key]
	switch {
	case g.Opening && f == nil:
		s.w.opened(s, g)
		f = &served{first: rand.Uint32()}
		s.flows[g.Key] = f
		s.send(c, packet(g, true, flagSyn|flagAck, f.first, 0, nil))
	case g.Opening:
		s.send(c, packet(g, true, flagSyn|flagAck, f.first, 0, nil))
	case f == nil || g.Acknowledged-f.first > 76_800:
		p[8] |= flagBack
		s.send(c, p)
	default:
		f.open = true
		if g.Length >= idBytes {
			s.answer(c, f, g, binary.BigEndian.Uint64(p[headBytes:]))
		}
	}
}

// answer runs a request once and answers each copy of it.
func (s *server) answer(c *net.UDPConn, f *served, g balsampier.Segment, id uint64) {
	switch old := int32(g.Sequence-f.next) < 0; {
	case f.last != 0 && old && f.last != id:
		return
	case f.last != id:
		s.w.ran(s, g, id)
		b, err := json.Marshal(answer{ID: id, Service: serviceOf(s.agent)})
		s.w.Check(err, qt.IsNil)
		f.last, f.answer, f.next = id, b, g.Sequence+uint32(g.Length)
	}
	p := packet(g, true, flagAck, f.first+1, g.Sequence+uint32(g.Length), f.answer)
	time.AfterFunc(workTime, func() { s.send(c, p) })
}

func (s *server) send(c *net.UDPConn, p []byte) {
	// A run that has ended cannot send any more.
	_, _ = c.WriteToUDPAddrPort(p, netip.MustParseAddrPort(s.w.addr(atAgent, s.agent, outboundPort)))
}

// packet makes a packet of a flow, from the server or from the client.
func packet(g balsampier.Segment, fromServer bool, flags byte, seq, ack uint32, data []byte) []byte {
	src, dst := g.Client, g.Service
	if fromServer {
		src, dst = dst, src
	}
	b := make([]byte, headBytes, headBytes+len(data))
	b[4], b[8] = 7, flags
	put := func(at int, a netip.Addr) {
		x := a.As4()
		b[at], b[at+1], b[at+2], b[at+3] = x[3], x[2], x[1], x[0]
	}
	put(12, dst.Addr())
	put(20, src.Addr())
	binary.LittleEndian.PutUint16(b[16:], dst.Port())
	binary.LittleEndian.PutUint16(b[18:], src.Port())
	binary.LittleEndian.PutUint16(b[24:], uint16(len(data)))
	binary.LittleEndian.PutUint32(b[26:], seq)
	binary.LittleEndian.PutUint32(b[30:], ack)
	return append(b, data...)
}

// post sends a body and returns the status, 0 without an answer.
func post(c context.Context, url string, b []byte) int {
	q, err := http.NewRequestWithContext(c, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return 0
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}
