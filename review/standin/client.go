package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	openTimeout    = 1400 * time.Millisecond
	requestTimeout = 2500 * time.Millisecond
	drainTime      = 3 * time.Second
	probeTime      = 500 * time.Millisecond
	// The rule does not count flows that are older than flow_lifetime_s or were
	// idle for longer than idle_timeout_ms.
	flowLifetime = 60 * time.Second
	idleTimeout  = 15 * time.Second
	clientZone   = "coast-b"
)

type (
	// router hands each packet of a client to a balancer in rotation, by a hash of
	// the flow (hash_scheme steady).
	router struct {
		w  *world
		mu sync.Mutex
		// missed counts the failed probes of each front machine in a row.
		missed []int
	}

	// client is one client machine; it has many flows.
	client struct {
		w    *world
		ip   netip.Addr
		conn *net.UDPConn
		port uint16

		mu    sync.Mutex
		flows map[uint16]chan packet
	}

	// flow is an open flow as its client sees it.
	flow struct {
		c        *client
		src, dst netip.AddrPort
		replies  chan packet
		seq, ack uint32
		// isReset is true once the client got a reset, holder is the host that
		// held the flow then.
		isReset, closed bool
		holder          *host
		run             int
		// openedAt is when the flow was opened, lastUsedAt when its last answer
		// came, idleFor how long it was idle before the request in progress.
		openedAt, lastUsedAt time.Time
		idleFor              time.Duration
	}
)

var (
	sentTimesMu sync.Mutex
	sentTimes   = make(map[netip.AddrPort]time.Time)
	requestSeq  int
)

// sentAt returns when the client first sent the opening packet of a flow.
func (w *world) sentAt(src netip.AddrPort) time.Time {
	sentTimesMu.Lock()
	defer sentTimesMu.Unlock()
	return sentTimes[src]
}

// probe probes the readiness of n balancers twice a second until stop is closed.
func (r *router) probe(n int, stop <-chan struct{}) {
	r.missed = make([]int, n)
	for i := range n {
		r.missed[i] = 2
	}
	for i := range n {
		go func() {
			h := http.Client{Timeout: probeTime, Transport: &http.Transport{DisableKeepAlives: true}}
			for {
				a, err := h.Get("http://" + r.w.addr(atFront, i, portReady) + "/ready")
				ok := err == nil && a.StatusCode == http.StatusOK
				if err == nil {
					_ = a.Body.Close()
				}
				r.mu.Lock()
				was := r.missed[i] < 2
				if r.missed[i]++; ok {
					r.missed[i] = 0
				}
				is := r.missed[i] < 2
				r.mu.Unlock()
				if was != is {
					r.w.logf("router: balancer on front-%d in rotation: %v", i+1, is)
				}
				select {
				case <-stop:
					return
				case <-time.After(probeTime):
				}
			}
		}()
	}
}

// pick returns the front machine for a flow of a client in clientZone. If fewer
// than half of the zone's daemons are in rotation, all of them are used.
func (r *router) pick(src, dst netip.AddrPort) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, in []int
	for i, m := range r.missed {
		if zoneOf(atFront, i) != clientZone {
			continue
		}
		all = append(all, i)
		if m < 2 {
			in = append(in, i)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	best, bestHash := 0, uint64(0)
	for _, i := range in {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, i, src, dst)
		x := h.Sum64()
		if x = (x ^ x>>31) * 0x9e3779b97f4a7c15; x >= bestHash {
			best, bestHash = i, x
		}
	}
	return best
}

// ready returns how many balancers are in rotation.
func (r *router) ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.missed {
		if m < 2 {
			n++
		}
	}
	return n
}

func (w *world) newClient(i int) (*client, error) {
	u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(w.addrPort(atClient, i, portPackets)))
	if err != nil {
		return nil, err
	}
	c := &client{w: w, ip: netip.MustParseAddr(w.ip(atClient, i)), conn: u, port: 1024, flows: make(map[uint16]chan packet)}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	b := make([]byte, 2048)
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			c.w.logf("client %v: FORGED packet", c.ip)
			continue
		}
		c.mu.Lock()
		if r := c.flows[p.dst.Port()]; r != nil {
			select {
			case r <- p:
			default:
			}
		}
		c.mu.Unlock()
	}
}

func (c *client) send(p packet) {
	to := c.w.addrPort(atFront, c.w.router.pick(p.src, p.dst), portPackets)
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(), to)
}

// open opens a flow from a new port; it returns nil if that fails.
func (c *client) open() *flow {
	c.mu.Lock()
	c.port++
	f := &flow{
		c: c, src: netip.AddrPortFrom(c.ip, c.port), dst: c.w.addrPort(atRoute, 0, routePort),
		replies: make(chan packet, 64), seq: rand.Uint32(),
	}
	c.flows[c.port] = f.replies
	c.mu.Unlock()
	sentTimesMu.Lock()
	sentTimes[f.src] = time.Now()
	sentTimesMu.Unlock()
	c.w.logf("client %v: opens a flow", f.src)
	syn := func(copies uint32) { c.send(packet{flags: flagSyn, src: f.src, dst: f.dst, seq: f.seq, ack: copies}) }
	syn(0)
	first, second, end := time.After(200*time.Millisecond), time.After(600*time.Millisecond), time.After(openTimeout)
	for {
		select {
		case p := <-f.replies:
			switch {
			case p.has(flagRst):
				c.w.logf("client %v: the opening is reset", f.src)
				return nil
			case p.has(flagSyn):
				f.seq++
				f.ack = p.seq + 1
				c.send(packet{flags: flagAck, src: f.src, dst: f.dst, seq: f.seq, ack: f.ack})
				f.openedAt, f.lastUsedAt = time.Now(), time.Now()
				return f
			}
		case <-first:
			syn(1)
		case <-second:
			syn(2)
		case <-end:
			c.w.logf("client %v: the opening is not answered", f.src)
			return nil
		}
	}
}

// request sends a request on the flow, with the retransmissions of PROTOCOL.md,
// and reports whether it was answered. A reset ends the flow.
func (f *flow) request() bool {
	sentTimesMu.Lock()
	requestSeq++
	id := fmt.Sprintf("q%05d", requestSeq)
	sentTimesMu.Unlock()
	b := fmt.Appendf(nil, "POST /work HTTP/1.1\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	send := func() { f.c.send(packet{flags: flagAck, src: f.src, dst: f.dst, seq: f.seq, ack: f.ack, data: b}) }
	f.c.w.logf("client %v: sends request %s", f.src, id)
	f.idleFor = time.Since(f.lastUsedAt)
	send()
	pause := 200 * time.Millisecond
	again, end := time.NewTimer(pause), time.After(requestTimeout)
	defer again.Stop()
	for {
		select {
		case p := <-f.replies:
			switch {
			case p.ofSystem:
				f.noteReset(id)
				return false
			case p.has(flagRst):
				f.c.w.logf("client %v: request %s is reset by the host", f.src, id)
				f.closed = true
				return false
			case len(p.data) > 0 && p.ack == f.seq+uint32(len(b)):
				f.seq, f.ack, f.lastUsedAt = p.ack, p.seq+uint32(len(p.data)), time.Now()
				a := packet{flags: flagAck, src: f.src, dst: f.dst, seq: f.seq, ack: f.ack}
				if f.closed = p.has(flagFin); f.closed {
					a.flags |= flagFin
					a.ack++
				}
				f.c.send(a)
				f.c.w.logf("client %v: request %s is answered, flow closed: %v", f.src, id, f.closed)
				return true
			}
		case <-again.C:
			send()
			pause = min(2*pause, 1600*time.Millisecond)
			again.Reset(pause)
		case <-end:
			f.c.w.logf("client %v: request %s is not answered", f.src, id)
			return false
		}
	}
}

// noteReset records a reset of the system and which host holds the flow.
func (f *flow) noteReset(id string) {
	f.isReset = true
	if time.Since(f.openedAt) > flowLifetime || f.idleFor > idleTimeout {
		f.c.w.logf("client %v: RESET during request %s; the flow is too old or was idle for too long to count", f.src, id)
		return
	}
	for _, h := range f.c.w.hosts {
		h.mu.Lock()
		run := h.run
		h.mu.Unlock()
		if h.holds(f.src, run) {
			f.holder, f.run = h, run
		}
	}
	where := "no host that runs"
	if f.holder != nil {
		where = fmt.Sprintf("host-%d, which runs and holds it", f.holder.i+1)
	}
	f.c.w.logf("client %v: RESET during request %s; the flow is at %s", f.src, id, where)
}
