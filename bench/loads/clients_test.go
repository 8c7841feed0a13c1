package loads_test

import (
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// workTime is the mean time that a server works on a request.
	workTime = 22 * time.Millisecond
	// requestBytes is the length of a request's packet.
	requestBytes = 600
	// aim is the time in which a request should be answered, and deadline when
	// its client gives up.
	aim      = 400 * time.Millisecond
	deadline = 3 * time.Second
	// openTimeout is when a client gives up an opening.
	openTimeout = 1400 * time.Millisecond
	// maxTries is how many flows a request is sent on at most.
	maxTries = 3
	// maxFlowRequests bounds the requests of a flow.
	maxFlowRequests = 6
	// retransmitDelay is the delay of the first retransmission. It doubles up
	// to maxRetransmitDelay.
	retransmitDelay    = 200 * time.Millisecond
	maxRetransmitDelay = 1600 * time.Millisecond
	ackWindow          = 76_800
)

// addClients adds n clients that send perSecond requests in all.
func (f *fleet) addClients(n int, perSecond float64) {
	pause := time.Duration(float64(n) / perSecond * float64(time.Second))
	for i := range n {
		c := &client{zone: i % zones, port: 1000}
		if i%16 == 0 {
			c.service = 1
		}
		f.clients = append(f.clients, c)
		f.after(f.delay(pause), func() { f.sendRequest(i, pause) })
	}
}

// sendRequest starts a request of client i and schedules the next one.
func (f *fleet) sendRequest(i int, pause time.Duration) {
	c := f.clients[i]
	r := &request{client: c, startedAt: f.now}
	f.requests = append(f.requests, r)
	f.after(pause/2+f.delay(pause), func() { f.sendRequest(i, pause) })
	if x := c.flow; x != nil && (x.closed || x.request != nil || x.left == 0) {
		c.flow = nil
	}
	f.try(i, r)
}

// try sends a request on the flow of the client, or opens one.
func (f *fleet) try(i int, r *request) {
	c := r.client
	if f.now.Sub(r.startedAt) >= deadline || r.tries >= maxTries {
		return
	}
	r.tries++
	if x := c.flow; x != nil && x.open {
		x.request = r
		x.left--
		f.sendUntilServed(x, r, retransmitDelay)
		return
	}
	c.port++
	x := &flow{client: c, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), uint16(c.port)), request: r}
	x.left = 1 + f.random.IntN(maxFlowRequests)
	x.key = balsampier.NewFlowKey(x.addr, routeAddrs[c.service], nil)
	c.flow = x
	f.flows[x.addr] = x
	f.open(x)
}

// open sends the opening packet of a flow and its copies, until a server answers
// or the client gives up.
func (f *fleet) open(x *flow) {
	for _, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		f.after(d, func() {
			if !x.open && !x.closed {
				f.sendFromClient(x, balsampier.Segment{Opening: true, Retransmissions: uint32(d / (200 * time.Millisecond))})
			}
		})
	}
	f.after(openTimeout, func() {
		if !x.open && !x.closed {
			f.closeFlow(x)
		}
	})
}

// closeFlow ends a flow at its client, which tries its request again.
func (f *fleet) closeFlow(x *flow) {
	x.closed = true
	if x.upload != nil {
		f.tryUpload(x.client, x.upload)
		return
	}
	c := x.client
	if c.flow == x {
		c.flow = nil
	}
	if r := x.request; r != nil && r.servedAt.IsZero() {
		x.request = nil
		b := x.addr.Addr().As4()
		f.try(int(b[2])<<8|int(b[3]), r)
	}
}

// sendUntilServed sends the request of a flow until it is served, the flow ends
// or the client gives up.
func (f *fleet) sendUntilServed(x *flow, r *request, wait time.Duration) {
	if x.closed || x.request != r || !r.servedAt.IsZero() {
		return
	}
	if f.now.Sub(r.startedAt) >= deadline {
		f.closeFlow(x)
		return
	}
	f.sendFromClient(x, balsampier.Segment{Ack: true, Acknowledged: x.serverSequence + 1, Length: requestBytes})
	f.after(wait, func() { f.sendUntilServed(x, r, min(2*wait, maxRetransmitDelay)) })
}

func (f *fleet) sendFromClient(x *flow, s balsampier.Segment) {
	s.Client, s.Service, s.Key = x.addr, routeAddrs[x.client.service], x.key
	i := f.routerChoice(x)
	b := f.balancers[i]
	p := f.encode(s)
	d, ok := f.transmit(b, &b.in, packetHeadBytes+s.Length)
	if !ok {
		return
	}
	f.after(d+propagation, func() {
		if b.up {
			b.director.HandlePacket(s, p, f.now)
			f.runBalancer(i)
		}
	})
}

// routerChoice returns the balancer that the router of the client's zone picks.
// Only the flows of a balancer move when it leaves the rotation. With fewer than
// half of a zone's balancers in rotation the router uses all of them.
func (f *fleet) routerChoice(x *flow) int {
	ready, all := 0, 0
	for i := x.client.zone; i < len(f.balancers); i += zones {
		all++
		if f.balancers[i].inRotation {
			ready++
		}
	}
	best, score := x.client.zone, uint64(0)
	for i := x.client.zone; i < len(f.balancers); i += zones {
		if b := f.balancers[i]; b.inRotation || 2*ready < all {
			if s := x.key.Score(b.addr); s > score {
				best, score = i, s
			}
		}
	}
	return best
}

func (f *fleet) deliverToServer(i int, s balsampier.Segment) {
	a := f.agents[i]
	first, known := a.flows[s.Key]
	switch {
	case s.Opening:
		if !known {
			first = uint32(s.Key.Hi) + uint32(i)*104729
			a.flows[s.Key] = first
		}
		f.sendFromServer(i, s, balsampier.Segment{Opening: true, Ack: true, Sequence: first}, 300*time.Microsecond)
	case !known || s.Acknowledged-first > ackWindow:
		s.Returned = true
		f.after(100*time.Microsecond, func() { f.deliverFromServer(i, s) })
	case s.Length == uploadPacketBytes:
		// Each packet of an upload is acknowledged at once.
		f.sendFromServer(i, s, balsampier.Segment{Ack: true, Sequence: first + 1, Acknowledged: s.Sequence}, 300*time.Microsecond)
	case s.Length > 0:
		w := workTime/2 + f.delay(workTime)
		f.sendFromServer(i, s, balsampier.Segment{Ack: true, Sequence: first + 1, Length: 1200, Final: a.draining}, w)
	}
}

func (f *fleet) sendFromServer(i int, in, s balsampier.Segment, d time.Duration) {
	s.Client, s.Service, s.Key = in.Client, in.Service, in.Key
	f.after(d, func() { f.deliverFromServer(i, s) })
}

func (f *fleet) deliverFromServer(i int, s balsampier.Segment) {
	if a := f.agents[i]; !a.gone {
		a.table.HandleServerPacket(s, f.encode(s), f.now)
		f.runAgent(i)
	}
}

func (f *fleet) deliverToClient(s balsampier.Segment) {
	x := f.flows[s.Client]
	switch {
	case x == nil || x.closed:
	case x.upload != nil:
		f.deliverToUpload(x, s)
	case s.Opening:
		if x.open {
			return
		}
		x.open, x.serverSequence = true, s.Sequence
		if r := x.request; r != nil {
			x.left--
			f.sendUntilServed(x, r, retransmitDelay)
		}
	case x.request != nil && x.request.servedAt.IsZero():
		x.request.servedAt = f.now
		x.request = nil
		if s.Final {
			x.closed = true
		}
		f.sendFromClient(x, balsampier.Segment{Ack: true, Acknowledged: x.serverSequence + 1})
	}
}

func (f *fleet) resetFlow(k balsampier.FlowKey, a netip.AddrPort) {
	if x := f.flows[a]; x != nil && x.key == k && !x.closed {
		f.closeFlow(x)
	}
}

// served returns the share of the requests started in [from, to) that were
// served before their deadline.
func (f *fleet) served(from, to time.Duration) float64 { return f.servedWithin(from, to, deadline) }

// servedWithin returns the share of the requests started in [from, to) that were
// served within d.
func (f *fleet) servedWithin(from, to, d time.Duration) float64 {
	n, ok := 0, 0
	for _, r := range f.requests {
		if s := r.startedAt.Sub(start); s >= from && s < to {
			n++
			if !r.servedAt.IsZero() && r.servedAt.Sub(r.startedAt) <= d {
				ok++
			}
		}
	}
	return float64(ok) / float64(max(n, 1))
}
