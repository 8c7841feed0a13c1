package fleet_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/platform"
)

const (
	requestDeadline = 2500 * time.Millisecond
	openDeadline    = 1400 * time.Millisecond
	// askPeriod and misses say when the router takes a balancer out.
	askPeriod = 500 * time.Millisecond
	misses    = 2
)

type (
	// router spreads the packets of clients over the balancers that are ready,
	// and may lose or delay them.
	router struct {
		w *world

		mu     sync.Mutex
		missed [balancers]int
		loss   float64
		delay  time.Duration
	}

	// client opens one flow after the other and sends requests in it.
	client struct {
		w    *world
		ip   netip.Addr
		conn *net.UDPConn

		mu sync.Mutex
		// port is that of the present flow, whose packets go to in.
		port uint16
		in   chan reply
	}

	reply struct {
		balsampier.Segment
		data []byte
		// ours is true for resets that the system made.
		ours bool
	}

	// flow is one flow at its client.
	flow struct {
		c *client
		g balsampier.Segment
		// server and run have the flow.
		server *server
		run    int
		seq    uint32
		ack    uint32
	}
)

func (r *router) ask(c context.Context) {
	h := http.Client{Timeout: askPeriod}
	for c.Err() == nil {
		for i := range balancers {
			a, err := h.Get("http://" + r.w.addr(atBalancer, i, operatorPort) + "/ready")
			ok := err == nil && a.StatusCode == http.StatusOK
			if err == nil {
				_ = a.Body.Close()
			}
			r.mu.Lock()
			if r.missed[i]++; ok {
				r.missed[i] = 0
			}
			r.mu.Unlock()
		}
		time.Sleep(askPeriod)
	}
}

func (r *router) disturb(loss float64, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss, r.delay = loss, delay
}

// pick returns the balancer for a flow: the first in the order of the flow of
// those in rotation.
func (r *router) pick(g balsampier.Segment) (to netip.AddrPort, lost bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, best, rank := true, 0, uint64(0)
	for i := range balancers {
		all = all && r.missed[i] >= misses
	}
	for i := range balancers {
		if r.missed[i] >= misses && !all {
			continue
		}
		b := binary.BigEndian.AppendUint64(nil, g.Key.Lo)
		if k := xxhash.Sum64(append(b, byte(i))); k >= rank {
			best, rank = i, k
		}
	}
	return netip.MustParseAddrPort(r.w.addr(atBalancer, best, packetPort)), rand.Float64() < r.loss, r.delay
}

func newClient(w *world, i int) *client {
	c := &client{w: w, ip: netip.MustParseAddr(w.ip(atClient, i))}
	n, err := net.ListenPacket("udp", w.addr(atClient, i, packetPort))
	w.Assert(err, qt.IsNil)
	c.conn = n.(*net.UDPConn)
	w.Cleanup(func() { _ = c.conn.Close() })
	go c.receive()
	return c
}

func (c *client) receive() {
	b := make([]byte, 2048)
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			return
		}
		g, err := platform.Codec{}.Decode(b[:n], false)
		if err != nil {
			c.w.Errorf("client %v got what no server sent: %v", c.ip, err)
			continue
		}
		r := reply{Segment: g, data: append([]byte(nil), b[headBytes:n]...), ours: g.Reset}
		c.mu.Lock()
		if c.in != nil && g.Client.Port() == c.port {
			select {
			case c.in <- r:
			default:
			}
		}
		c.mu.Unlock()
	}
}

func (c *client) send(p []byte, g balsampier.Segment) {
	to, lost, d := c.w.router.pick(g)
	if lost {
		return
	}
	if d == 0 {
		_, _ = c.conn.WriteToUDPAddrPort(p, to)
		return
	}
	time.AfterFunc(d, func() { _, _ = c.conn.WriteToUDPAddrPort(p, to) })
}

// run keeps flows open until the context ends.
func (c *client) run(x context.Context) {
	for port := uint16(1024); x.Err() == nil; port++ {
		route := c.w.routes[rand.IntN(len(c.w.routes))]
		g := balsampier.Segment{Client: netip.AddrPortFrom(c.ip, port), Service: route.to}
		g.Key = balsampier.NewFlowKey(g.Client, g.Service, nil)
		f := &flow{c: c, g: g, seq: rand.Uint32()}
		c.mu.Lock()
		c.port, c.in = port, make(chan reply, 64)
		c.mu.Unlock()
		if !f.open() {
			c.w.count(false)
			continue
		}
		for range 1 + rand.IntN(12) {
			if !f.request(route) || x.Err() != nil {
				break
			}
			time.Sleep(time.Duration(rand.IntN(120)) * time.Millisecond)
		}
	}
}

func (f *flow) open() bool {
	syn := func(n uint32) { f.c.send(packet(f.g, false, flagSyn, f.seq, n, nil), f.g) }
	syn(0)
	end := time.NewTimer(openDeadline)
	defer end.Stop()
	first, second := time.After(200*time.Millisecond), time.After(600*time.Millisecond)
	for {
		select {
		case r := <-f.c.in:
			switch {
			case r.Reset:
				return false
			case r.Opening:
				f.seq++
				f.ack = r.Sequence + 1
				f.c.send(packet(f.g, false, flagAck, f.seq, f.ack, nil), f.g)
				return true
			}
		case <-first:
			syn(1)
		case <-second:
			syn(2)
		case <-end.C:
			return false
		}
	}
}

// request sends a request and its repeats, and reports whether it was answered.
func (f *flow) request(route route) bool {
	id := f.c.w.sent(f)
	b := binary.BigEndian.AppendUint64(nil, id)
	send := func() { f.c.send(packet(f.g, false, flagAck, f.seq, f.ack, b), f.g) }
	send()
	end := time.NewTimer(requestDeadline)
	defer end.Stop()
	wait := 200 * time.Millisecond
	again := time.NewTimer(wait)
	defer again.Stop()
	for {
		select {
		case r := <-f.c.in:
			switch {
			case r.Reset:
				f.c.w.wasReset(f)
				f.c.w.count(false)
				return false
			case r.Length > 0 && r.Acknowledged == f.seq+uint32(len(b)):
				f.c.w.answered(f, route, id, r.data)
				f.seq += uint32(len(b))
				f.c.w.count(true)
				return true
			}
		case <-again.C:
			send()
			wait = min(2*wait, 1600*time.Millisecond)
			again.Reset(wait)
		case <-end.C:
			f.c.w.count(false)
			return false
		}
	}
}

func decodeAnswer(b []byte) (a answer, err error) {
	err = json.Unmarshal(b, &a)
	return a, err
}
