package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// host is a stand-in for the host beside an agent.
type host struct {
	w    *world
	side int
	id   string
	born int64

	mu       sync.Mutex
	conn     *net.UDPConn
	listener net.Listener
	flows    map[string]*hostFlow
	draining bool
	ended    bool
	sequence int
	// drainAcked is when the first heartbeat that said draining was
	// acknowledged; zero before.
	drainAcked time.Time
	// onOpen is called for each opening packet that the host takes.
	onOpen func(h *host, p packet)
}

// hostFlow is a flow as its host sees it.
type hostFlow struct {
	seq, next   uint32 // own next sequence number, and the client's
	established bool
	answers     map[uint32]packet // by the sequence number of the request
}

func (w *world) newHost(side int, id string) *host {
	return &host{w: w, side: side, id: id, flows: make(map[string]*hostFlow)}
}

func (h *host) app() netip.AddrPort { return h.w.sideAddr(h.side, portApp) }

// start begins to listen and to send heartbeats.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(h.app()))
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", h.app().String())
	if err != nil {
		return err
	}
	h.conn, h.listener, h.born, h.ended, h.draining = c, l, time.Now().UnixMilli(), false, false
	h.sequence, h.drainAcked, h.flows = 0, time.Time{}, make(map[string]*hostFlow)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.draining {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
	}()
	go h.receive(c)
	go h.beat(c)
	h.w.rec.line("host %s on side %d started", h.id, h.side)
	return nil
}

// end ends the host without a word, as a crash does.
func (h *host) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended && h.conn != nil {
		h.ended = true
		_ = h.conn.Close()
		_ = h.listener.Close()
		h.w.rec.line("host %s on side %d ended", h.id, h.side)
	}
}

func (h *host) drain() {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	h.w.rec.line("host %s begins to leave", h.id)
	h.sendBeat()
}

// isHolding reports whether the host lives and holds the flow.
func (h *host) isHolding(key string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[key]
	return !h.ended && f != nil && f.established
}

func (h *host) beat(c *net.UDPConn) {
	for {
		h.mu.Lock()
		over := h.ended || h.conn != c
		h.mu.Unlock()
		if over {
			return
		}
		h.sendBeat()
		time.Sleep(heartbeatEvery)
	}
}

func (h *host) sendBeat() {
	h.mu.Lock()
	h.sequence++
	n, state := h.sequence, "ready"
	if h.draining {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"service": h.w.serviceOf(h.side), "address": h.app().String(), "zone": zoneOf(h.side), "version": "v1", "slots": 3,
		"state": state, "cold_remaining_ms": 0, "sequence": n, "born": h.born,
	})
	h.mu.Unlock()
	s := h.w.postBeat(h.side, h.id, b)
	if state == "draining" {
		h.w.rec.line("host %s heartbeat %d says draining: %d", h.id, n, s)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if state == "draining" && s == http.StatusOK && h.drainAcked.IsZero() {
		h.drainAcked = time.Now()
		h.w.rec.line("host %s: the agent acknowledged that it is draining", h.id)
	}
}

// postBeat sends the body as a heartbeat to the agent of a side machine and
// returns the status, zero without a response.
func (w *world) postBeat(side int, id string, b []byte) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Post("http://"+w.sideAddr(side, portControl).String()+"/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(b))
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

func (h *host) receive(c *net.UDPConn) {
	b := make([]byte, 2048)
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		raw := bytes.Clone(b[:n])
		p, ok := decode(raw)
		if !ok {
			h.w.rec.line("host %s got bytes that are no packet", h.id)
			continue
		}
		h.handle(c, p, raw)
	}
}

func keyOf(client, service netip.AddrPort) string { return client.String() + ">" + service.String() }

func (h *host) handle(c *net.UDPConn, p packet, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || h.conn != c {
		return
	}
	k := keyOf(p.src, p.dst)
	f := h.flows[k]
	switch {
	case p.flags&flagSyn != 0:
		if f == nil {
			f = &hostFlow{seq: rand.Uint32(), next: p.seq + 1, answers: make(map[uint32]packet)}
			h.flows[k] = f
			if h.onOpen != nil {
				h.onOpen(h, p)
			}
		}
		h.send(c, packet{flags: flagSyn | flagAck, src: p.dst, dst: p.src, seq: f.seq, ack: f.next, sum: 1}.encode())
	case f == nil || !f.established && p.ack != f.seq+1:
		raw[8] |= flagBounced
		h.w.rec.line("host %s returned a packet of %s", h.id, k)
		h.send(c, raw)
	case p.flags&flagRst != 0:
		delete(h.flows, k)
	default:
		if !f.established {
			f.established = true
			f.seq++
		}
		h.answer(c, f, k, p)
	}
}

// answer runs a request once and answers each copy of it.
func (h *host) answer(c *net.UDPConn, f *hostFlow, k string, p packet) {
	if len(p.data) < 8 {
		return
	}
	a, ok := f.answers[p.seq]
	if !ok {
		if p.seq != f.next {
			return
		}
		f.next += uint32(len(p.data))
		id := binary.BigEndian.Uint64(p.data)
		h.w.rec.line("host %s ran request %d of %s", h.id, id, k)
		d := []byte(fmt.Sprintf("%016x %s", id, h.id))
		a = packet{flags: flagAck, src: p.dst, dst: p.src, seq: f.seq, ack: f.next, sum: 1, data: d}
		f.seq += uint32(len(d))
		f.answers[p.seq] = a
	}
	b := a.encode()
	time.AfterFunc(5*time.Millisecond, func() { h.send(c, b) })
}

func (h *host) send(c *net.UDPConn, b []byte) {
	_, _ = c.WriteToUDPAddrPort(b, h.w.sideAddr(h.side, portOutbound))
}
