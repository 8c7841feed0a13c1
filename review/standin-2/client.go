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

// router stands for the platform's routers: it picks a balancer for each packet
// by a steady hash of the four addresses and ports, over those in rotation.
type router struct {
	f *fleet

	mu     sync.Mutex
	missed map[string]int
	// zone has the balancers of the clients' zone; nil for all.
	zone []string
}

// probe asks the ready address of each balancer twice a second. After two misses
// a balancer is out of rotation until it answers 200 again.
func (r *router) probe() {
	for {
		for _, ip := range r.f.balancers {
			go func() {
				c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
				a, err := c.Get(fmt.Sprintf("http://%s:%d/ready", ip, readyPort))
				if err == nil {
					_ = a.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				before := r.missed[ip]
				if r.missed[ip]++; err == nil && a.StatusCode == http.StatusOK {
					r.missed[ip] = 0
				}
				if now := r.missed[ip]; now == 2 {
					r.f.rec.logf("router: %s is out of rotation", ip)
				} else if before >= 2 && now == 0 {
					r.f.rec.logf("router: %s is in rotation", ip)
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// order returns the balancers in the order in which the hash of a flow prefers
// them.
func (r *router) order(k endpoints) []string {
	score := func(ip string) uint64 {
		h := fnv.New64a()
		fmt.Fprint(h, k.client, k.route, ip)
		x := h.Sum64()
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		return x ^ x>>29
	}
	out := append([]string(nil), r.f.balancers...)
	if r.zone != nil {
		out = append([]string(nil), r.zone...)
	}
	for i := range out {
		for j := i; j > 0 && score(out[j]) > score(out[j-1]); j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return out
}

func (r *router) inRotation(ip string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.missed[ip] < 2
}

// pick returns the balancer that a packet of the flow goes to. All of the zone are
// used if fewer than half are in rotation.
func (r *router) pick(k endpoints) string {
	o := r.order(k)
	in := 0
	for _, ip := range o {
		if r.inRotation(ip) {
			in++
		}
	}
	for _, ip := range o {
		if 2*in < len(o) || r.inRotation(ip) {
			return ip
		}
	}
	return o[0]
}

// client is a machine of clients: one address, many ports.
type client struct {
	f    *fleet
	addr netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	flows map[endpoints]*clientFlow
}

// clientFlow is a flow as its client sees it.
type clientFlow struct {
	c   *client
	key endpoints
	in  chan packet
	// seq is the next sequence number to send, ack the next one expected.
	seq, ack uint32
	isOpen   bool
	// holder is the host that answered, by its own word.
	holder string
}

func (f *fleet) newClient(ip string) (*client, error) {
	a, err := net.ResolveUDPAddr("udp", fmt.Sprintf("%s:%d", ip, packetPort))
	if err != nil {
		return nil, err
	}
	c := &client{f: f, addr: netip.MustParseAddr(ip), flows: make(map[endpoints]*clientFlow)}
	if c.conn, err = net.ListenUDP("udp", a); err != nil {
		return nil, err
	}
	_ = c.conn.SetReadBuffer(4 << 20)
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	b := make([]byte, 4096)
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok || p.sum != p.checksum() && !(p.sum == 0 && p.has(flagRST)) {
			c.f.rec.say("client got a packet that its sender did not write so")
			continue
		}
		c.mu.Lock()
		x := c.flows[endpoints{p.dst, p.src}]
		c.mu.Unlock()
		if x != nil {
			select {
			case x.in <- p:
			default:
			}
		}
	}
}

// key returns the endpoints of a flow from one of the client's ports.
func (c *client) key(port int, route netip.AddrPort) endpoints {
	return endpoints{netip.AddrPortFrom(c.addr, uint16(port)), route}
}

func (c *client) newFlow(k endpoints) *clientFlow {
	x := &clientFlow{c: c, key: k, in: make(chan packet, 256), seq: rand.Uint32()}
	c.mu.Lock()
	c.flows[k] = x
	c.mu.Unlock()
	return x
}

func (x *clientFlow) send(p packet) {
	p.src, p.dst = x.key.client, x.key.route
	_, _ = x.c.conn.WriteToUDPAddrPort(p.encode(), netip.MustParseAddrPort(fmt.Sprintf("%s:%d", x.c.f.router.pick(x.key), packetPort)))
}

// open does the handshake: copies of the SYN after 200 and 600 ms, and an end
// after 1.4 s. The result is open, reset or silent.
func (x *clientFlow) open() string {
	isn := x.seq
	begin := time.Now()
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	for sent := 0; ; {
		if sent < len(copies) && time.Since(begin) >= copies[sent] {
			x.send(packet{flags: flagSYN, seq: isn, ack: uint32(sent)})
			sent++
		}
		select {
		case p := <-x.in:
			switch {
			case p.has(flagRST):
				return "reset"
			case p.has(flagSYN) && p.has(flagACK) && p.ack == isn+1:
				x.seq, x.ack, x.isOpen = isn+1, p.seq+1, true
				x.send(packet{flags: flagACK, seq: x.seq, ack: x.ack})
				return "open"
			}
		case <-time.After(10 * time.Millisecond):
		}
		if time.Since(begin) > 1400*time.Millisecond {
			return "silent"
		}
	}
}

// request sends one request and waits for its response until the deadline. It
// sends again after 200 ms, with an interval that doubles up to 1.6 s. The
// result is ok, reset or silent.
func (x *clientFlow) request(id string, closes bool, deadline time.Duration) (result, ranAt string) {
	extra := ""
	if closes {
		extra = "Connection: close\r\n"
	}
	b := []byte("GET /fold HTTP/1.1\r\n" + extra + "X-Request-Id: " + id + "\r\n\r\n")
	begin, interval, next := time.Now(), 200*time.Millisecond, time.Duration(0)
	for {
		if d := time.Since(begin); d >= next {
			x.send(packet{flags: flagACK, seq: x.seq, ack: x.ack, data: b})
			if next > 0 {
				interval = min(2*interval, 1600*time.Millisecond)
			}
			next = d + interval
		}
		select {
		case p := <-x.in:
			switch {
			case p.has(flagRST):
				return fmt.Sprintf("reset (sum %d)", p.sum), ""
			case len(p.data) > 0 && p.ack == x.seq+uint32(len(b)):
				x.seq += uint32(len(b))
				x.ack = p.seq + uint32(len(p.data))
				if p.has(flagFIN) {
					x.ack++
				}
				x.send(packet{flags: flagACK, seq: x.seq, ack: x.ack})
				x.holder = headerOf(p.data, "X-Ran-At")
				return "ok", x.holder
			}
		case <-time.After(10 * time.Millisecond):
		}
		if time.Since(begin) > deadline {
			return "silent", ""
		}
	}
}

// close sends a FIN until it is acknowledged and reports whether it was.
func (x *clientFlow) close() bool {
	for range 8 {
		x.send(packet{flags: flagACK | flagFIN, seq: x.seq, ack: x.ack})
		t := time.After(200 * time.Millisecond)
		for waiting := true; waiting; {
			select {
			case p := <-x.in:
				if p.has(flagACK) && p.ack == x.seq+1 {
					return true
				}
			case <-t:
				waiting = false
			}
		}
	}
	return false
}

func headerOf(b []byte, name string) string {
	for _, l := range splitLines(b) {
		if len(l) > len(name)+2 && l[:len(name)+2] == name+": " {
			return l[len(name)+2:]
		}
	}
	return ""
}

func splitLines(b []byte) (out []string) {
	for len(b) > 0 {
		n := 0
		for n < len(b) && b[n] != '\r' {
			n++
		}
		out = append(out, string(b[:n]))
		b = b[min(n+2, len(b)):]
	}
	return out
}
