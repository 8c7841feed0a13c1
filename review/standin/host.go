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
	// workTime is the running time of a request at a host.
	workTime = 22 * time.Millisecond
	slots    = 3
	// A host sends an answer again after the first pause, which doubles up to the
	// longest one, and gives up after so many repeats.
	firstRepeat   = 200 * time.Millisecond
	longestRepeat = 1600 * time.Millisecond
	maxRepeats    = 8
)

type (
	// host is the stand-in of a host beside an agent. It holds flows and answers
	// their requests.
	host struct {
		w       *world
		i       int
		service string

		mu sync.Mutex
		// up is true while a run serves; run numbers the incarnations.
		up   bool
		run  int
		born time.Time
		conn *net.UDPConn
		http *http.Server

		flows    map[netip.AddrPort]*hostFlow
		draining bool
		sequence int
		// answered counts the heartbeats that were acknowledged.
		answered int
		// drainAckedAt is when the drain was acknowledged; zero before.
		drainAckedAt time.Time
		// taken counts flows that opened here, late those whose opening packet was
		// sent and arrived more than drain_ms after the acknowledgement of the
		// drain.
		taken, late int
		// beatNow requests a heartbeat at once.
		beatNow chan struct{}
	}

	// hostFlow is a flow as its host sees it.
	hostFlow struct {
		// seq is the sequence number of the last answer, or of the handshake.
		seq, next uint32
		open      bool
		// closing is true once the host has sent a FIN, closed once the client
		// has too.
		closing, closed bool
		// answer is the response to the request that ended at next.
		answer []byte
		sent   uint32
		// acked is the highest sequence number that the client acknowledged.
		acked uint32
		// arrivedAt is when the opening packet arrived.
		arrivedAt time.Time
	}
)

func (w *world) newHost(i int, service string) *host {
	return &host{w: w, i: i, service: service, beatNow: make(chan struct{}, 1)}
}

func (h *host) name() string { return fmt.Sprintf("host-%d run %d", h.i+1, h.run) }

// startRun starts the next incarnation, whose machine's clock shows born.
func (h *host) startRun(born time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(h.w.addrPort(atSide, h.i, portHost)))
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", h.w.addr(atSide, h.i, portHost))
	if err != nil {
		return err
	}
	h.run++
	h.up, h.born, h.conn, h.draining, h.sequence, h.drainAckedAt = true, born, u, false, 0, time.Time{}
	h.flows = make(map[netip.AddrPort]*hostFlow)
	h.http = &http.Server{Handler: http.HandlerFunc(h.serveHealth), ReadHeaderTimeout: time.Second}
	go func(s *http.Server) { _ = s.Serve(l) }(h.http)
	go h.receive(u, h.run)
	go h.beat(h.run)
	h.w.logf("%s: starts, born %d ms after the start of this record", h.name(), born.Sub(h.w.start).Milliseconds())
	return nil
}

// crash ends the incarnation and discards its flows.
func (h *host) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.up {
		return
	}
	h.w.logf("%s: crashes", h.name())
	h.up = false
	_ = h.conn.Close()
	_ = h.http.Close()
}

// drain makes the host report that it drains, at once.
func (h *host) drain() {
	h.mu.Lock()
	h.draining = true
	h.w.logf("%s: drains", h.name())
	h.mu.Unlock()
	select {
	case h.beatNow <- struct{}{}:
	default:
	}
}

func (h *host) serveHealth(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// beat sends a heartbeat every heartbeatTime, and at once after a change.
func (h *host) beat(run int) {
	x := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		h.mu.Lock()
		if !h.up || h.run != run {
			h.mu.Unlock()
			return
		}
		h.sequence++
		state := "ready"
		if h.draining {
			state = "draining"
		}
		name := h.name()
		b, _ := json.Marshal(map[string]any{
			"service": h.service, "address": h.w.addr(atSide, h.i, portHost), "zone": zoneOf(atSide, h.i), "version": "v1",
			"slots": slots, "state": state, "cold_remaining_ms": 0, "sequence": h.sequence, "born": h.born.UnixMilli(),
		})
		url := fmt.Sprintf("http://%s/Instances.Heartbeat/i-%d-%d", h.w.addr(atSide, h.i, portControl), h.i+1, run)
		h.mu.Unlock()
		r, err := x.Post(url, "application/json", bytes.NewReader(b))
		status := 0
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
			status = r.StatusCode
		}
		h.w.logf("%s: heartbeat %s answered %d", name, state, status)
		h.mu.Lock()
		acked := status/100 == 2
		if acked {
			h.answered++
		}
		if state == "draining" && acked && h.run == run && h.drainAckedAt.IsZero() {
			h.drainAckedAt = time.Now()
		}
		h.mu.Unlock()
		select {
		case <-time.After(heartbeatTime):
		case <-h.beatNow:
		}
	}
}

// waitForBeat waits until the next heartbeat has been answered.
func (h *host) waitForBeat() {
	h.mu.Lock()
	n := h.answered
	h.mu.Unlock()
	for now := n; now == n; {
		time.Sleep(5 * time.Millisecond)
		h.mu.Lock()
		now = h.answered
		h.mu.Unlock()
	}
}

// holds reports whether the host runs and has the flow open.
func (h *host) holds(client netip.AddrPort, run int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[client]
	return h.up && h.run == run && f != nil && f.open && !f.closing
}

func (h *host) receive(u *net.UDPConn, run int) {
	b := make([]byte, 2048)
	for {
		n, err := u.Read(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok || p.has(flagSyn) && p.has(flagAck) {
			h.w.logf("%s: FORGED packet from %v", h.name(), p.src)
			continue
		}
		h.handle(u, run, p, bytes.Clone(b[:n]))
	}
}

func (h *host) handle(u *net.UDPConn, run int, p packet, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.up || h.run != run {
		return
	}
	f := h.flows[p.src]
	switch {
	case p.has(flagSyn):
		if f == nil {
			f = &hostFlow{seq: rand.Uint32(), next: p.seq + 1, arrivedAt: time.Now()}
			h.flows[p.src] = f
		}
		h.send(u, packet{flags: flagSyn | flagAck, src: p.dst, dst: p.src, seq: f.seq, ack: p.seq + 1})
	case f == nil || !f.open && p.ack != f.seq+1:
		raw[8] |= flagBounced
		raw[9], raw[10], raw[11] = 0, 0, 0
		_, _ = u.WriteToUDPAddrPort(raw, h.w.addrPort(atSide, h.i, portOutbound))
	case p.has(flagFin):
		f.closed = true
		h.send(u, packet{flags: flagAck, src: p.dst, dst: p.src, seq: f.nextSeq(), ack: p.seq + 1})
	case f.closed && len(p.data) > 0:
		h.send(u, packet{flags: flagRst, src: p.dst, dst: p.src, seq: f.nextSeq()})
	default:
		if !f.open {
			f.open = true
			h.take(p.src, f.arrivedAt)
		}
		f.acked = p.ack
		h.serve(u, f, p)
	}
}

// take counts a flow that opened, by its opening packet. No packet carries a time:
// the client records when it sent the opening packet.
func (h *host) take(src netip.AddrPort, arrivedAt time.Time) {
	h.taken++
	sentAt := h.w.sentAt(src)
	late := !h.drainAckedAt.IsZero() && sentAt.Sub(h.drainAckedAt) > drainTime && arrivedAt.Sub(h.drainAckedAt) > drainTime
	if late {
		h.late++
	}
	h.w.logf("%s: takes flow of %v (sent %.3f, %.3f s after the acknowledged drain, late %v)", h.name(), src,
		sentAt.Sub(h.w.start).Seconds(), secondsSince(h.drainAckedAt, arrivedAt), late)
}

func secondsSince(at, now time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at).Seconds()
}

// serve runs the request in a packet once and answers each copy of it.
func (h *host) serve(u *net.UDPConn, f *hostFlow, p packet) {
	if len(p.data) == 0 {
		return
	}
	isCopy := p.seq != f.next
	switch {
	case !isCopy:
		id := requestID(p.data)
		h.w.logf("%s: runs request %s of %v", h.name(), id, p.src)
		f.next += uint32(len(p.data))
		body := id + " by " + h.service
		f.seq = f.nextSeq()
		f.answer = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Response-Seal: s\r\n\r\n%s", len(body), body)
		f.sent = uint32(len(f.answer))
	case p.seq+uint32(len(p.data)) != f.next:
		return
	}
	flags := byte(flagAck)
	if h.draining || f.closing {
		// A draining host closes each flow after its next response.
		f.closing = true
		flags |= flagFin
	}
	a := packet{flags: flags, src: p.dst, dst: p.src, seq: f.seq, ack: f.next, data: f.answer}
	if isCopy {
		h.send(u, a)
		return
	}
	go h.sendUntilAcked(u, f, a)
}

// sendUntilAcked sends an answer after the running time of the request, and again
// until the client acknowledges it, the run ends or the host gives up.
func (h *host) sendUntilAcked(u *net.UDPConn, f *hostFlow, a packet) {
	time.Sleep(workTime)
	h.send(u, a)
	pause := firstRepeat
	for range maxRepeats {
		time.Sleep(pause)
		pause = min(2*pause, longestRepeat)
		h.mu.Lock()
		isDone := !h.up || h.conn != u || f.closed || f.acked-a.seq < 1<<31 && f.acked != a.seq
		h.mu.Unlock()
		if isDone {
			return
		}
		h.send(u, a)
	}
}

// nextSeq returns the sequence number behind what the host has sent.
func (f *hostFlow) nextSeq() uint32 {
	if f.sent == 0 {
		return f.seq + 1
	}
	return f.seq + f.sent
}

func requestID(b []byte) string {
	_, s, _ := strings.Cut(string(b), "X-Request-Id: ")
	id, _, _ := strings.Cut(s, "\r\n")
	return id
}

func (h *host) send(u *net.UDPConn, p packet) {
	_, _ = u.WriteToUDPAddrPort(p.encode(), h.w.addrPort(atSide, h.i, portOutbound))
}
