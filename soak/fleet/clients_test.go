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
	requestTimeout = 2500 * time.Millisecond
	openTimeout    = 1400 * time.Millisecond
	// probeInterval is both the interval and the time-out of readiness probes.
	// A balancer that fails maxFailedProbes in a row is out of rotation.
	probeInterval   = 500 * time.Millisecond
	maxFailedProbes = 2
)

type (
	// router distributes the flows of clients over the balancers that are ready.
	// It can lose and delay packets.
	router struct {
		world *world

		mu           sync.Mutex
		failedProbes [balancers]int
		loss         float64
		delay        time.Duration
	}

	// client opens one flow after another and sends requests in each.
	client struct {
		world *world
		ip    netip.Addr
		conn  *net.UDPConn

		mu sync.Mutex
		// port is the client port of the current flow, whose packets are sent to
		// replies.
		port    uint16
		replies chan reply
	}

	// reply is a packet that a client received.
	reply struct {
		balsampier.Segment
		data []byte
		// resetBySystem is true for a reset: only the system under test makes
		// them, the servers never do.
		resetBySystem bool
	}

	// flow is a flow as its client sees it.
	flow struct {
		client  *client
		segment balsampier.Segment
		// server and its run hold the flow.
		server *server
		run    int
		seq    uint32
		ack    uint32
	}
)

// probeBalancers probes the readiness of all balancers until the context ends.
func (r *router) probeBalancers(c context.Context) {
	h := http.Client{Timeout: probeInterval}
	for c.Err() == nil {
		for i := range balancers {
			a, err := h.Get("http://" + r.world.addr(atBalancer, i, operatorPort) + "/ready")
			ok := err == nil && a.StatusCode == http.StatusOK
			if err == nil {
				_ = a.Body.Close()
			}
			r.mu.Lock()
			if r.failedProbes[i]++; ok {
				r.failedProbes[i] = 0
			}
			r.mu.Unlock()
		}
		time.Sleep(probeInterval)
	}
}

// setImpairment sets the share of lost packets and the delay of the others.
func (r *router) setImpairment(loss float64, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss, r.delay = loss, delay
}

// pickBalancer returns the balancer for a flow: by rendezvous hashing among
// those in rotation, or among all if none is. It also returns whether the next
// packet is lost, and its delay.
func (r *router) pickBalancer(g balsampier.Segment) (to netip.AddrPort, lost bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	noneReady, best, bestHash := true, 0, uint64(0)
	for i := range balancers {
		noneReady = noneReady && r.failedProbes[i] >= maxFailedProbes
	}
	for i := range balancers {
		if r.failedProbes[i] >= maxFailedProbes && !noneReady {
			continue
		}
		b := binary.BigEndian.AppendUint64(nil, g.Key.Lo)
		if k := xxhash.Sum64(append(b, byte(i))); k >= bestHash {
			best, bestHash = i, k
		}
	}
	return netip.MustParseAddrPort(r.world.addr(atBalancer, best, packetPort)), rand.Float64() < r.loss, r.delay
}

// newClient binds the socket of client i and starts to receive.
func newClient(w *world, i int) *client {
	c := &client{world: w, ip: netip.MustParseAddr(w.ip(atClient, i))}
	n, err := net.ListenPacket("udp", w.addr(atClient, i, packetPort))
	w.Assert(err, qt.IsNil)
	c.conn = n.(*net.UDPConn)
	w.Cleanup(func() { _ = c.conn.Close() })
	go c.receive()
	return c
}

// receive passes the packets of the current flow on until the socket is closed.
func (c *client) receive() {
	b := make([]byte, 2048)
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			return
		}
		g, err := platform.Codec{}.Decode(b[:n], false)
		if err != nil {
			c.world.Errorf("client %v received an invalid packet: %v", c.ip, err)
			continue
		}
		r := reply{Segment: g, data: append([]byte(nil), b[headerBytes:n]...), resetBySystem: g.Reset}
		c.mu.Lock()
		if c.replies != nil && g.Client.Port() == c.port {
			select {
			case c.replies <- r:
			default:
			}
		}
		c.mu.Unlock()
	}
}

// send sends a packet through the router.
func (c *client) send(p []byte, g balsampier.Segment) {
	to, lost, d := c.world.router.pickBalancer(g)
	if lost {
		return
	}
	if d == 0 {
		_, _ = c.conn.WriteToUDPAddrPort(p, to)
		return
	}
	time.AfterFunc(d, func() { _, _ = c.conn.WriteToUDPAddrPort(p, to) })
}

// run opens flows and sends requests in them until the context ends.
func (c *client) run(x context.Context) {
	for port := uint16(1024); x.Err() == nil; port++ {
		route := c.world.routes[rand.IntN(len(c.world.routes))]
		g := balsampier.Segment{Client: netip.AddrPortFrom(c.ip, port), Service: route.service}
		g.Key = balsampier.NewFlowKey(g.Client, g.Service, nil)
		f := &flow{client: c, segment: g, seq: rand.Uint32()}
		c.mu.Lock()
		c.port, c.replies = port, make(chan reply, 64)
		c.mu.Unlock()
		if !f.open() {
			c.world.countRequest(false)
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

// open does the handshake, with two retries, and reports whether it succeeded.
func (f *flow) open() bool {
	syn := func(n uint32) { f.client.send(encodePacket(f.segment, false, flagSyn, f.seq, n, nil), f.segment) }
	syn(0)
	timeout := time.NewTimer(openTimeout)
	defer timeout.Stop()
	firstRetry, secondRetry := time.After(200*time.Millisecond), time.After(600*time.Millisecond)
	for {
		select {
		case r := <-f.client.replies:
			switch {
			case r.Reset:
				return false
			case r.Opening:
				f.seq++
				f.ack = r.Sequence + 1
				f.client.send(encodePacket(f.segment, false, flagAck, f.seq, f.ack, nil), f.segment)
				return true
			}
		case <-firstRetry:
			syn(1)
		case <-secondRetry:
			syn(2)
		case <-timeout.C:
			return false
		}
	}
}

// request sends a request, resends it with exponential backoff, and reports
// whether it was answered.
func (f *flow) request(route route) bool {
	id := f.client.world.nextRequestID(f)
	b := binary.BigEndian.AppendUint64(nil, id)
	send := func() { f.client.send(encodePacket(f.segment, false, flagAck, f.seq, f.ack, b), f.segment) }
	send()
	timeout := time.NewTimer(requestTimeout)
	defer timeout.Stop()
	backoff := 200 * time.Millisecond
	resend := time.NewTimer(backoff)
	defer resend.Stop()
	for {
		select {
		case r := <-f.client.replies:
			switch {
			case r.Reset:
				f.client.world.checkReset(f)
				f.client.world.countRequest(false)
				return false
			case r.Length > 0 && r.Acknowledged == f.seq+uint32(len(b)):
				f.client.world.checkAnswer(f, route, id, r.data)
				f.seq += uint32(len(b))
				f.client.world.countRequest(true)
				return true
			}
		case <-resend.C:
			send()
			backoff = min(2*backoff, 1600*time.Millisecond)
			resend.Reset(backoff)
		case <-timeout.C:
			f.client.world.countRequest(false)
			return false
		}
	}
}

func decodeAnswer(b []byte) (a answer, err error) {
	err = json.Unmarshal(b, &a)
	return a, err
}
