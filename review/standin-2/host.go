package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	workTime          = 10 * time.Millisecond
)

// host is a backend server on a side machine: it sends heartbeats, takes the
// packets of its flows from the agent beside it, and sends its own through it.
type host struct {
	f       *fleet
	ip      string
	id      string
	service string
	born    int64

	mu    sync.Mutex
	conn  *net.UDPConn
	tcp   net.Listener
	up    bool
	flows map[endpoints]*hostFlow
	// state is that of the next heartbeat; sequence that of the last one.
	state    string
	sequence int
	// drainAckedAt is when a heartbeat that said draining got its 2xx.
	drainAckedAt time.Time
	openings     []opening
	runs         []run
}

// opening is an opening packet that a host took as a new flow.
type opening struct {
	at   time.Time
	flow endpoints
}

// run is a request that a host began to work on.
type run struct {
	at   time.Time
	flow endpoints
	id   string
}

type hostFlow struct {
	clientISN, iss uint32
	// next is the sequence number of the next byte expected, sent that of the
	// next byte to send.
	next, sent uint32
	// acked is the client's newest acknowledgement.
	acked uint32
	open  bool
	// closedByHost and closedByClient are set with the FIN of each end. A flow
	// with both has ended.
	closedByHost, closedByClient bool
	answers                      map[uint32]packet
}

func (f *fleet) newHost(ip, id, service string) *host {
	return &host{f: f, ip: ip, id: id, service: service, state: "ready"}
}

func (h *host) app() string { return fmt.Sprintf("%s:%d", h.ip, appPort) }

func (h *host) start() error {
	a, err := net.ResolveUDPAddr("udp", h.app())
	if err != nil {
		return err
	}
	if h.conn, err = net.ListenUDP("udp", a); err != nil {
		return err
	}
	if h.tcp, err = net.Listen("tcp", h.app()); err != nil {
		return err
	}
	h.up, h.born, h.flows = true, time.Now().UnixMilli(), make(map[endpoints]*hostFlow)
	go http.Serve(h.tcp, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	go h.receive()
	go h.beat()
	return nil
}

// stop ends the host without a word, as a crash.
func (h *host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.up {
		h.up = false
		_ = h.conn.Close()
		_ = h.tcp.Close()
	}
}

func (h *host) drain() {
	h.mu.Lock()
	h.state = "draining"
	h.mu.Unlock()
	h.heartbeat()
}

func (h *host) beat() {
	for {
		h.mu.Lock()
		up := h.up
		h.mu.Unlock()
		if !up {
			return
		}
		h.heartbeat()
		time.Sleep(heartbeatInterval)
	}
}

// heartbeat sends one heartbeat with all fields and waits for its response.
func (h *host) heartbeat() {
	h.mu.Lock()
	h.sequence++
	state := h.state
	m := h.fields(state, h.sequence)
	h.mu.Unlock()
	status := h.post(m)
	h.f.rec.logf("heartbeat of %s (%s) sequence %v state %s: status %d", h.id, h.service, m["sequence"], state, status)
	if state == "draining" && status/100 == 2 {
		h.mu.Lock()
		if h.drainAckedAt.IsZero() {
			h.drainAckedAt = time.Now()
			h.f.rec.say("drain of %s (%s) acknowledged", h.id, h.ip)
		}
		h.mu.Unlock()
	}
}

// fields returns the body of a heartbeat.
func (h *host) fields(state string, sequence int) map[string]any {
	return map[string]any{
		"service": h.service, "address": h.app(), "zone": "coast-a", "version": "v1", "slots": 3, "state": state,
		"cold_remaining_ms": 0, "sequence": sequence, "born": h.born,
	}
}

// post sends the body of a heartbeat and returns the status, 0 without one.
func (h *host) post(m map[string]any) int {
	b, _ := json.Marshal(m)
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Post(fmt.Sprintf("http://%s:%d/Instances.Heartbeat/%s", h.ip, controlPort, h.id), "application/json", bytes.NewReader(b))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode
}

func (h *host) receive() {
	b := make([]byte, 4096)
	for {
		n, err := h.conn.Read(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok || p.sum != p.checksum() {
			h.f.rec.say("host %s got a packet that its sender did not write so", h.id)
			continue
		}
		h.handle(p, append([]byte(nil), b[:n]...))
	}
}

func (h *host) handle(p packet, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := endpoints{p.src, p.dst}
	f := h.flows[k]
	ended := f != nil && f.closedByHost && f.closedByClient
	switch {
	case p.has(flagSYN):
		if f == nil || ended && f.clientISN != p.seq {
			f = &hostFlow{clientISN: p.seq, iss: rand.Uint32(), next: p.seq + 1, answers: make(map[uint32]packet)}
			f.sent = f.iss + 1
			h.flows[k] = f
			h.openings = append(h.openings, opening{time.Now(), k})
			h.f.rec.logf("host %s (%s, %s) took the opening of %v -> %v", h.id, h.service, h.state, k.client, k.route)
		}
		if f.clientISN == p.seq {
			h.send(packet{src: k.route, dst: k.client, flags: flagSYN | flagACK, seq: f.iss, ack: f.clientISN + 1})
		}
	case f == nil || !f.open && p.ack != f.iss+1:
		raw[8] |= flagBounced
		copy(raw[9:12], []byte{0, 0, 0})
		h.sendRaw(raw)
	case ended:
		switch {
		case p.has(flagFIN):
			h.send(packet{src: k.route, dst: k.client, flags: flagACK, seq: f.sent, ack: f.next})
		case len(p.data) > 0:
			h.send(packet{src: k.route, dst: k.client, flags: flagRST, seq: f.sent})
		}
	case p.has(flagRST):
		delete(h.flows, k)
	default:
		f.open = true
		f.acked = p.ack
		h.handleOpen(k, f, p)
	}
}

// handleOpen handles a packet of an open flow. A request is one packet of data.
func (h *host) handleOpen(k endpoints, f *hostFlow, p packet) {
	if len(p.data) > 0 {
		if p.seq != f.next {
			if a, ok := f.answers[p.seq]; ok {
				h.send(a)
			}
			return
		}
		f.next += uint32(len(p.data))
		id, closes := parseRequest(p.data)
		h.runs = append(h.runs, run{time.Now(), k, id})
		h.f.rec.logf("host %s (%s) runs request %s of %v -> %v", h.id, h.service, id, k.client, k.route)
		body := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Ran-At: %s %s\r\nX-Request-Id: %s\r\n\r\n", h.service, h.id, id))
		a := packet{src: k.route, dst: k.client, flags: flagACK, seq: f.sent, ack: f.next, data: body}
		f.sent += uint32(len(body))
		if closes || h.state == "draining" {
			a.flags |= flagFIN
			f.sent++
			f.closedByHost = true
		}
		f.answers[p.seq] = a
		time.AfterFunc(workTime, func() { h.sendAnswer(f, a, 0) })
	}
	if p.has(flagFIN) && p.seq+uint32(len(p.data)) == f.next {
		f.next++
		f.closedByClient = true
		h.send(packet{src: k.route, dst: k.client, flags: flagACK, seq: f.sent, ack: f.next})
	}
}

// sendAnswer sends an answer until the client has acknowledged it: again after 200
// ms, with an interval that doubles up to 1.6 s, eight times at most.
func (h *host) sendAnswer(f *hostFlow, a packet, tries int) {
	h.mu.Lock()
	acked := int32(f.acked-a.seq) >= int32(len(a.data))
	up := h.up
	h.mu.Unlock()
	if !up || tries > 0 && acked || tries > 8 {
		return
	}
	h.send(a)
	time.AfterFunc(min(200*time.Millisecond<<tries, 1600*time.Millisecond), func() { h.sendAnswer(f, a, tries+1) })
}

// freeze makes the host stand still until the returned function is called.
func (h *host) freeze() (thaw func()) {
	h.mu.Lock()
	return h.mu.Unlock
}

// leave drains the host for the given time, deregisters it and ends it.
func (h *host) leave(d time.Duration) {
	h.drain()
	time.Sleep(d)
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if r, err := c.Post(fmt.Sprintf("http://%s:%d/Instances.Deregister/%s", h.ip, controlPort, h.id), "application/json", nil); err == nil {
		_ = r.Body.Close()
	}
	h.stop()
}

// parseRequest returns the X-Request-Id of a request, and whether the flow is
// closed after its response.
func parseRequest(b []byte) (id string, closes bool) {
	for _, l := range strings.Split(string(b), "\r\n") {
		if v, ok := strings.CutPrefix(l, "X-Request-Id: "); ok {
			id = v
		}
		closes = closes || l == "Connection: close"
	}
	return id, closes
}

func (h *host) send(p packet) { h.sendRaw(p.encode()) }

func (h *host) sendRaw(b []byte) {
	_, _ = h.conn.WriteToUDPAddrPort(b, netip.MustParseAddrPort(fmt.Sprintf("%s:%d", h.ip, outboundPort)))
}

// holds reports whether the host is up and holds the flow open.
func (h *host) holds(k endpoints) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[k]
	return h.up && f != nil && f.open && !f.closedByHost && !f.closedByClient
}
