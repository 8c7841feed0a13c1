package main

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

var (
	errReset    = errors.New("reset")
	errNoAnswer = errors.New("no answer")
)

// router picks the balancer for a flow, as the routers of the platform do.
type router struct {
	w      *world
	mu     sync.Mutex
	missed []int
}

// probe asks each balancer twice a second whether it is ready.
func (r *router) probe() {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for !r.w.over.Load() {
		var g sync.WaitGroup
		for i := range r.missed {
			g.Go(func() {
				a, err := c.Get("http://" + r.w.frontAddr(i, portReady).String() + "/ready")
				ok := err == nil && a.StatusCode == http.StatusOK
				if err == nil {
					_ = a.Body.Close()
				}
				r.mu.Lock()
				if r.missed[i]++; ok {
					r.missed[i] = 0
				}
				r.mu.Unlock()
			})
		}
		g.Wait()
		time.Sleep(500 * time.Millisecond)
	}
}

// pick returns the balancer for a flow of a client in zone 0. It hashes over the
// balancers of the zone that are in rotation; over all of the zone if fewer than
// half of them are; and over those of other zones if none of the zone is.
func (r *router) pick(key string) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zone, ready, elsewhere []int
	for i, m := range r.missed {
		switch in := zoneOf(i) == zoneOf(0); {
		case in:
			zone = append(zone, i)
			if m < 2 {
				ready = append(ready, i)
			}
		case m < 2:
			elsewhere = append(elsewhere, i)
		}
	}
	from := ready
	switch {
	case len(ready) == 0 && len(elsewhere) > 0:
		from = elsewhere
	case 2*len(ready) < len(zone):
		from = zone
	}
	best, top := from[0], uint64(0)
	for _, i := range from {
		if s := scoreOf(key, i); s >= top {
			best, top = i, s
		}
	}
	return r.w.frontAddr(best, portPacket)
}

func scoreOf(key string, i int) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range append([]byte(key), byte(i)) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	h ^= h >> 29
	return h * 0x9e3779b97f4a7c15
}

// client is one client machine.
type client struct {
	w    *world
	addr netip.Addr
	conn *net.UDPConn
	port atomic.Uint32

	mu    sync.Mutex
	flows map[uint16]*flow
}

// flow is a flow as its client sees it.
type flow struct {
	c        *client
	key      string
	src, dst netip.AddrPort
	seq, ack uint32
	open     bool
	in       chan packet
}

func (w *world) newClient(i int) (*client, error) {
	a := w.clientAddr(i)
	n, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	c := &client{w: w, addr: a.Addr(), conn: n, flows: make(map[uint16]*flow)}
	c.port.Store(1023)
	if err == nil {
		go c.receive()
	}
	return c, err
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
			c.w.rec.line("client %v got bytes that are no packet", c.addr)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

func (c *client) newFlow(to netip.AddrPort) *flow {
	src := netip.AddrPortFrom(c.addr, uint16(c.port.Add(1)))
	f := &flow{c: c, src: src, dst: to, key: keyOf(src, to), seq: rand.Uint32(), in: make(chan packet, 64)}
	c.mu.Lock()
	c.flows[src.Port()] = f
	c.mu.Unlock()
	return f
}

func (f *flow) forget() {
	f.c.mu.Lock()
	delete(f.c.flows, f.src.Port())
	f.c.mu.Unlock()
}

func (f *flow) send(flags byte, ack uint32, data []byte) {
	b := packet{flags: flags, src: f.src, dst: f.dst, seq: f.seq, ack: ack, sum: 1, data: data}.encode()
	_, _ = f.c.conn.WriteToUDPAddrPort(b, f.c.w.router.pick(f.key))
}

// handshake opens the flow, with copies after 200 ms and 600 ms.
func (f *flow) handshake() error {
	f.send(flagSyn, 0, nil)
	end := time.After(1400 * time.Millisecond)
	one, two := time.After(200*time.Millisecond), time.After(600*time.Millisecond)
	for {
		select {
		case p := <-f.in:
			if p.flags&flagRst != 0 {
				return errReset
			}
			if p.flags&flagSyn != 0 {
				f.seq++
				f.ack, f.open = p.seq+1, true
				f.send(flagAck, f.ack, nil)
				return nil
			}
		case <-one:
			f.send(flagSyn, 1, nil)
		case <-two:
			f.send(flagSyn, 2, nil)
		case <-end:
			return errNoAnswer
		}
	}
}

// request sends a request, and again after 200 ms and twice as long each time,
// until it is answered or the deadline is over. Then it closes the flow.
func (f *flow) request(deadline time.Duration) error {
	id := f.c.w.nextID.Add(1)
	f.c.w.rec.line("client sent request %d on %s", id, f.key)
	d := binary.BigEndian.AppendUint64(nil, id)
	end, wait := time.After(deadline), 200*time.Millisecond
	f.send(flagAck, f.ack, d)
	again := time.After(wait)
	for {
		select {
		case p := <-f.in:
			if p.flags&flagRst != 0 {
				return errReset
			}
			if len(p.data) > 0 && p.ack == f.seq+uint32(len(d)) {
				f.seq += uint32(len(d))
				f.ack = p.seq + uint32(len(p.data))
				f.c.w.rec.line("client got the answer %q", p.data)
				f.send(flagAck|flagFin, f.ack, nil)
				return nil
			}
		case <-again:
			f.send(flagAck, f.ack, d)
			wait = min(2*wait, 1600*time.Millisecond)
			again = time.After(wait)
		case <-end:
			return errNoAnswer
		}
	}
}
