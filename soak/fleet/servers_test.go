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
	headerBytes  = 34
	flagSyn      = 1
	flagRst      = 2
	flagReturned = 4
	flagAck      = 32

	heartbeatInterval = 400 * time.Millisecond
	// drainWindow is how long after the acknowledgement of its drain a server
	// may still get new flows.
	drainWindow = 3 * time.Second
	// workDelay is the running time of a request.
	workDelay = 5 * time.Millisecond
	// idBytes is the length of a request, which is just its ID.
	idBytes = 8
)

type (
	// server is a stand-in for the backend server of an agent. It reports each
	// request that it runs to the world.
	server struct {
		world *world
		agent int

		mu sync.Mutex
		// run is the number of the current run. Packets that an earlier run
		// received are not answered.
		run  int
		up   bool
		born time.Time
		conn *net.UDPConn
		// health accepts TCP connections at the same address.
		health   net.Listener
		flows    map[balsampier.FlowKey]*serverFlow
		draining bool
		// drainAckedAt is when the agent acknowledged the drain.
		drainAckedAt time.Time
	}

	// serverFlow is a flow as its server sees it.
	serverFlow struct {
		initialSequence uint32
		established     bool
		// lastRequest is the ID of the newest request, answer its answer, and
		// nextSequence the client's sequence number after it. With them a
		// resent packet runs no request twice.
		lastRequest  uint64
		answer       []byte
		nextSequence uint32
	}

	// answer is the answer of a server to a request.
	answer struct {
		ID      uint64 `json:"id"`
		Service string `json:"service"`
	}
)

// serviceOf returns the service of the server of an agent.
func serviceOf(agent int) string {
	if agent < 3 {
		return "reservas"
	}
	return "galeria"
}

// name returns a name that is unique for each run.
func (s *server) name() string { return fmt.Sprintf("i-%d-%d", s.agent, s.run) }

// start starts the next run of the server, without flows.
func (s *server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.world.addr(atAgent, s.agent, serverPort)
	c, err := net.ListenPacket("udp", at)
	if !s.world.Check(err, qt.IsNil) {
		return
	}
	l, err := net.Listen("tcp", at)
	if !s.world.Check(err, qt.IsNil) {
		return
	}
	s.run++
	s.up, s.conn, s.health, s.born, s.draining, s.drainAckedAt = true, c.(*net.UDPConn), l, time.Now(), false, time.Time{}
	s.flows = make(map[balsampier.FlowKey]*serverFlow)
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
	go s.sendHeartbeats(s.run)
}

// crash ends the run; all flows are lost.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up {
		s.up = false
		_ = s.conn.Close()
		_ = s.health.Close()
	}
}

// drain makes the heartbeats report that the server is draining.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// hasFlow reports whether run r of the server is up and holds the flow.
func (s *server) hasFlow(r int, k balsampier.FlowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up && s.run == r && s.flows[k] != nil
}

// sendHeartbeats sends heartbeats to the agent through a proxy until the run
// ends.
func (s *server) sendHeartbeats(run int) {
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
			serviceOf(s.agent), s.world.addr(atAgent, s.agent, serverPort), fmt.Sprint("zone-", s.agent%2), 5,
			map[bool]string{true: "draining", false: "ready"}[draining], 0, n, s.born.UnixMilli(),
		})
		s.mu.Unlock()
		s.world.Check(err, qt.IsNil)
		r, err := h.Post("http://"+s.world.addr(atBackendProxy, s.agent, backendPort)+"/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(b))
		if err == nil {
			_ = r.Body.Close()
			s.recordDrainAck(run, draining && r.StatusCode == http.StatusOK)
		}
		time.Sleep(heartbeatInterval)
	}
}

// recordDrainAck records when the agent first acknowledged a heartbeat that
// reported the drain; drained is true for those.
func (s *server) recordDrainAck(run int, drained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if drained && s.run == run && s.drainAckedAt.IsZero() {
		s.drainAckedAt = time.Now()
	}
}

// receive handles packets until the run ends.
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
			s.world.Errorf("server %d received an invalid packet: %v", s.agent, err)
			continue
		}
		s.handlePacket(c, run, g, p)
	}
}

// handlePacket accepts a new flow, answers a request, or returns a packet of an
// unknown flow to the agent.
func (s *server) handlePacket(c *net.UDPConn, run int, g balsampier.Segment, p []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.run != run {
		return
	}
	f := s.flows[g.Key]
	switch {
	case g.Opening && f == nil:
		s.world.checkOpening(s, g)
		f = &serverFlow{initialSequence: rand.Uint32()}
		s.flows[g.Key] = f
		s.send(c, encodePacket(g, true, flagSyn|flagAck, f.initialSequence, 0, nil))
	case g.Opening:
		s.send(c, encodePacket(g, true, flagSyn|flagAck, f.initialSequence, 0, nil))
	case f == nil || g.Acknowledged-f.initialSequence > 76_800:
		p[8] |= flagReturned
		s.send(c, p)
	default:
		f.established = true
		if g.Length >= idBytes {
			s.answer(c, f, g, binary.BigEndian.Uint64(p[headerBytes:]))
		}
	}
}

// answer runs a request once and answers each copy of it. Delayed copies of older
// requests are ignored.
func (s *server) answer(c *net.UDPConn, f *serverFlow, g balsampier.Segment, id uint64) {
	switch isOld := int32(g.Sequence-f.nextSequence) < 0; {
	case f.lastRequest != 0 && isOld && f.lastRequest != id:
		return
	case f.lastRequest != id:
		s.world.checkRun(s, g, id)
		b, err := json.Marshal(answer{ID: id, Service: serviceOf(s.agent)})
		s.world.Check(err, qt.IsNil)
		f.lastRequest, f.answer, f.nextSequence = id, b, g.Sequence+uint32(g.Length)
	}
	p := encodePacket(g, true, flagAck, f.initialSequence+1, g.Sequence+uint32(g.Length), f.answer)
	time.AfterFunc(workDelay, func() { s.send(c, p) })
}

// send sends a packet to the outbound address of the agent.
func (s *server) send(c *net.UDPConn, p []byte) {
	// The socket is closed once the run has ended, so a failure is expected.
	_, _ = c.WriteToUDPAddrPort(p, netip.MustParseAddrPort(s.world.addr(atAgent, s.agent, outboundPort)))
}

// encodePacket encodes a packet of a flow, sent by the server or by the client.
func encodePacket(g balsampier.Segment, fromServer bool, flags byte, seq, ack uint32, data []byte) []byte {
	src, dst := g.Client, g.Service
	if fromServer {
		src, dst = dst, src
	}
	b := make([]byte, headerBytes, headerBytes+len(data))
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

// post sends a JSON body and returns the status code, 0 if there is no response.
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
