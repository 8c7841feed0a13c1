package hold_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/direct"
	"github.com/balsampier/balsampier/command/hold"
)

const (
	reopenAgents = 6
	// firstNumber and secondNumber are initial sequence numbers of a client; the
	// packets that follow the second wrap.
	firstNumber  uint32 = 7_000_000
	secondNumber uint32 = 1<<32 - 50
	requestSize         = 100
)

const (
	// ignoreSecond ignores an opening packet of a flow that is open.
	ignoreSecond secondPolicy = iota
	// returnSecond returns it.
	returnSecond
	// acceptSecond opens another flow in place of the open one.
	acceptSecond
)

type (
	// secondPolicy is what a server does with an opening packet with another
	// sequence number for a flow that is open.
	secondPolicy int

	// reopenWorld has two balancers, six agents with servers of two services and a
	// client that uses one port. Messages take no time and none is lost, unless
	// agentsLost or clientLost is set.
	reopenWorld struct {
		*qt.C
		t         time.Time
		packets   []reopenPacket
		balancers [2]*direct.Director
		agents    [reopenAgents]*reopenAgent
		policy    secondPolicy
		// via is the balancer that the client's packets go to.
		via int
		// agentsLost is true while packets to agents are lost, clientLost while
		// those to the client are.
		agentsLost, clientLost bool
		conn                   *reopenConn
		queue                  []func()
		// resets counts the resets that the client got.
		resets int
	}

	reopenPacket struct {
		balsampier.Segment
		// request is the number of the request in the data; zero if there is none.
		request int
	}

	reopenAgent struct {
		addr    netip.AddrPort
		service balsampier.ServiceName
		table   *hold.FlowTable
		// full is true if the server returns all opening packets.
		full  bool
		flow  *reopenServerFlow
		opens int
		// runs counts the runs of each request.
		runs map[int]int
	}

	// reopenServerFlow is the flow as the server sees it.
	reopenServerFlow struct {
		clientFirst, first, received, sent uint32
		open, closedByClient, closed       bool
	}

	// reopenConn is the flow as the client sees it.
	reopenConn struct {
		first, sent, received uint32
		// open is true once a server answered, ended once the client gave it up.
		open, ended bool
		answered    map[int]bool
	}
)

func newReopenWorld(c *qt.C, p secondPolicy) *reopenWorld {
	w := &reopenWorld{C: c, t: start, policy: p}
	v := balsampier.View{Epoch: 1}
	for i := range w.agents {
		a := &reopenAgent{
			addr: netip.MustParseAddrPort(fmt.Sprintf("198.51.100.%d:7000", i+1)), service: "reservas", runs: make(map[int]int),
		}
		if i >= reopenAgents/2 {
			a.service = "galeria"
		}
		a.table = hold.New(hold.Config{
			Service: a.service, KnowsAllFlows: true, StartedAt: w.t,
			Allowed: func(netip.AddrPort) (bool, balsampier.Revision) { return true, 1 },
		}, w.t)
		w.agents[i] = a
		a.table.HandleHeartbeat(w.serverState(i, 1, false), w.t)
		v.Members = append(v.Members, balsampier.Member{
			ID: balsampier.InstanceID(i + 1), Role: balsampier.RoleAgent, Addr: a.addr, Service: a.service, Slots: 3, DataCentre: "lima-1",
		})
	}
	for i := range w.balancers {
		w.balancers[i] = direct.New(direct.Config{DataCentre: "lima-1"})
		w.balancers[i].AdoptView(v, w.t)
	}
	w.route(1, "reservas")
	return w
}

func (w *reopenWorld) serverState(i int, sequence uint64, draining bool) balsampier.ServerState {
	return balsampier.ServerState{
		ID: fmt.Sprint("i-", i), Born: start, Sequence: sequence, Service: w.agents[i].service, Slots: 3, Draining: draining,
	}
}

// route makes both balancers adopt a route to the service.
func (w *reopenWorld) route(v balsampier.Revision, s balsampier.ServiceName) {
	for _, d := range w.balancers {
		d.AdoptRoutes(balsampier.RouteFile{Version: v, IdleTimeout: 15 * time.Second, Routes: []balsampier.Route{{
			Name: "r", To: to, Targets: []balsampier.Target{{Service: s, Weight: 1}},
		}}})
	}
}

func (w *reopenWorld) encode(p reopenPacket) []byte {
	p.Client, p.Service, p.Key = client, to, balsampier.NewFlowKey(client, to, nil)
	w.packets = append(w.packets, p)
	return binary.BigEndian.AppendUint32(nil, uint32(len(w.packets)-1))
}

func (w *reopenWorld) decode(b []byte) reopenPacket { return w.packets[binary.BigEndian.Uint32(b)] }

// advance advances the clock by d; messages are delivered at once.
func (w *reopenWorld) advance(d time.Duration) {
	for end := w.t.Add(d); ; w.t = w.t.Add(5 * time.Millisecond) {
		for i := range w.balancers {
			w.balancers[i].Tick(w.t)
			w.runBalancer(i)
		}
		for i, a := range w.agents {
			a.table.Tick(w.t)
			w.runAgent(i)
		}
		for len(w.queue) > 0 {
			do := w.queue[0]
			w.queue = w.queue[1:]
			do()
		}
		if !w.t.Before(end) {
			return
		}
	}
}

// send sends a packet of the client through the balancer in use.
func (w *reopenWorld) send(p reopenPacket) {
	b, i := w.encode(p), w.via
	w.queue = append(w.queue, func() {
		w.balancers[i].HandlePacket(w.decode(b).Segment, b, w.t)
		w.runBalancer(i)
	})
}

func (w *reopenWorld) runBalancer(i int) {
	from := netip.AddrPortFrom(balancer.Addr(), uint16(i+1))
	for _, a := range append([]direct.Action(nil), w.balancers[i].PopActions()...) {
		if a.Reset != nil {
			w.resets++
			w.conn.ended = true
		}
		if !a.To.IsValid() || w.agentsLost {
			continue
		}
		r := a.Relay
		r.Payload = append([]byte(nil), r.Payload...)
		x := int(a.To.Addr().As4()[3]) - 1
		w.queue = append(w.queue, func() {
			var s balsampier.Segment
			if r.Kind != balsampier.RelaySearch {
				s = w.decode(r.Payload).Segment
			}
			w.agents[x].table.HandleRelay(from, r, s, w.t)
			w.runAgent(x)
		})
	}
}

func (w *reopenWorld) runAgent(i int) {
	a := w.agents[i]
	for _, x := range append([]hold.Action(nil), a.table.PopActions()...) {
		switch {
		case x.ToServer != nil:
			p := w.decode(x.ToServer)
			w.queue = append(w.queue, func() { w.deliverToServer(i, p) })
		case x.ToClient != nil:
			p := w.decode(x.ToClient)
			w.queue = append(w.queue, func() { w.deliverToClient(p) })
		case x.Reset != nil:
			w.resets++
			w.conn.ended = true
		case x.To.IsValid():
			r := x.Reply
			r.Payload = append([]byte(nil), r.Payload...)
			w.queue = append(w.queue, func() {
				n := int(x.To.Port()) - 1
				w.balancers[n].HandleReply(a.addr, r, w.t)
				w.runBalancer(n)
			})
		}
	}
}

// fromServer hands a packet of a server to its agent.
func (w *reopenWorld) fromServer(i int, p reopenPacket) {
	b := w.encode(p)
	w.queue = append(w.queue, func() {
		w.agents[i].table.HandleServerPacket(w.decode(b).Segment, b, w.t)
		w.runAgent(i)
	})
}

func (w *reopenWorld) returnPacket(i int, p reopenPacket) {
	p.Returned = true
	w.fromServer(i, p)
}

func (w *reopenWorld) deliverToServer(i int, p reopenPacket) {
	a := w.agents[i]
	f := a.flow
	switch {
	case p.Opening:
		w.openAtServer(i, p)
	case f == nil || !f.open && p.Acknowledged != f.first+1:
		w.returnPacket(i, p)
	case p.Reset:
		a.flow = nil
	case f.closed && f.closedByClient && p.Length > 0:
		w.fromServer(i, reopenPacket{Segment: balsampier.Segment{Reset: true, Sequence: f.sent}})
	default:
		if !f.open {
			a.opens++
		}
		f.open = true
		if p.Length > 0 && p.Sequence == f.received {
			f.received += uint32(p.Length)
			a.runs[p.request]++
			w.fromServer(i, reopenPacket{request: p.request, Segment: balsampier.Segment{
				Ack: true, Sequence: f.sent, Acknowledged: f.received, Length: requestSize,
			}})
			f.sent += requestSize
		}
		f.closedByClient = f.closedByClient || p.Final
	}
}

func (w *reopenWorld) openAtServer(i int, p reopenPacket) {
	a := w.agents[i]
	f := a.flow
	known := f != nil && (!f.closed || !f.closedByClient)
	switch {
	case a.full, known && f.clientFirst != p.Sequence && f.open && w.policy == returnSecond:
		w.returnPacket(i, p)
		return
	case known && f.clientFirst != p.Sequence && f.open && w.policy == ignoreSecond:
		return
	case !known || f.clientFirst != p.Sequence:
		n := uint32(i)*1_000_003 + p.Sequence*31 + uint32(w.t.Sub(start)/time.Millisecond)*65_537
		f = &reopenServerFlow{clientFirst: p.Sequence, first: n, received: p.Sequence + 1, sent: n + 1}
		a.flow = f
	}
	w.fromServer(i, reopenPacket{Segment: balsampier.Segment{Opening: true, Ack: true, Sequence: f.first, Acknowledged: p.Sequence + 1}})
}

func (w *reopenWorld) deliverToClient(p reopenPacket) {
	c := w.conn
	switch {
	case w.clientLost || c.ended:
	case p.Reset && c.open:
		c.ended = true
	case p.Opening && !c.open && p.Acknowledged == c.first+1:
		c.open, c.sent, c.received = true, c.first+1, p.Sequence+1
		w.send(reopenPacket{Segment: balsampier.Segment{Ack: true, Sequence: c.sent, Acknowledged: c.received}})
	case c.open && p.Length > 0 && p.Sequence == c.received:
		c.received += uint32(p.Length)
		c.answered[p.request] = true
	}
}

// open starts a flow from the client's port, as clients do: with copies of the
// opening packet after 200 and 600 ms. It takes until the flow is open or 1.4 s.
func (w *reopenWorld) open(number uint32) {
	w.conn = &reopenConn{first: number, answered: make(map[int]bool)}
	for i, d := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		if w.conn.open || w.conn.ended {
			return
		}
		w.sendOpening(number, uint32(i))
		for e := w.t.Add(d); w.t.Before(e) && !w.conn.open && !w.conn.ended; {
			w.advance(5 * time.Millisecond)
		}
	}
	w.conn.ended = !w.conn.open
}

func (w *reopenWorld) sendOpening(number, retransmissions uint32) {
	w.send(reopenPacket{Segment: balsampier.Segment{Opening: true, Sequence: number, Retransmissions: retransmissions}})
}

// request sends a request on the open flow, again after 200, 600 and 1,400 ms, and
// reports whether it was answered.
func (w *reopenWorld) request(n int) bool {
	c := w.conn
	p := reopenPacket{request: n, Segment: balsampier.Segment{Ack: true, Sequence: c.sent, Acknowledged: c.received, Length: requestSize}}
	c.sent += requestSize
	for _, d := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		if !c.answered[n] && !c.ended {
			w.send(p)
			w.advance(d)
		}
	}
	return c.answered[n]
}

// holder returns the index of the agent at which the request ran, and how often
// it ran anywhere.
func (w *reopenWorld) holder(request int) (agent, runs int) {
	agent = -1
	for i, a := range w.agents {
		if a.runs[request] > 0 {
			agent = i
		}
		runs += a.runs[request]
	}
	return agent, runs
}

func (w *reopenWorld) closeByClient() {
	c := w.conn
	w.send(reopenPacket{Segment: balsampier.Segment{Ack: true, Final: true, Sequence: c.sent, Acknowledged: c.received}})
	c.sent++
	w.advance(10 * time.Millisecond)
}

func (w *reopenWorld) closeByServer() {
	i, _ := w.holder(1)
	f := w.agents[i].flow
	f.closed = true
	w.fromServer(i, reopenPacket{Segment: balsampier.Segment{Ack: true, Final: true, Sequence: f.sent, Acknowledged: f.received}})
	f.sent++
	w.advance(10 * time.Millisecond)
}

// flowStates are the states that the first flow of a port may be in.
var flowStates = []struct {
	name string
	// enter brings a flow with firstNumber into the state, through balancer 0 as
	// far as the way is the same for all.
	enter func(w *reopenWorld)
	// endSeenBy is the balancer that sees how the flow ends.
	endSeenBy int
	// open is true if the flow is open at its server then.
	open bool
}{
	{"waiting", func(w *reopenWorld) {
		w.agentsLost = true
		w.open(firstNumber)
		w.agentsLost = false
	}, 0, false},
	{"half open", func(w *reopenWorld) {
		w.clientLost = true
		w.open(firstNumber)
		w.clientLost = false
	}, 0, false},
	{"open", (*reopenWorld).openAndRequest, 0, true},
	{"closed by the client", func(w *reopenWorld) {
		w.openAndRequest()
		w.closeByClient()
	}, 0, false},
	{"closed by the server", func(w *reopenWorld) {
		w.openAndRequest()
		w.closeByServer()
	}, 0, false},
	{"closed by both", func(w *reopenWorld) {
		w.openAndRequest()
		w.closeByServer()
		w.closeByClient()
	}, 0, false},
	{"closed by both, through the other balancer", func(w *reopenWorld) {
		w.openAndRequest()
		w.closeByServer()
		w.via = 1
		w.closeByClient()
	}, 1, false},
	{"reset by the client", func(w *reopenWorld) {
		w.openAndRequest()
		w.send(reopenPacket{Segment: balsampier.Segment{Reset: true, Ack: true, Sequence: w.conn.sent, Acknowledged: w.conn.received}})
		w.advance(10 * time.Millisecond)
	}, 0, false},
	{"reset by the server", func(w *reopenWorld) {
		w.openAndRequest()
		i, _ := w.holder(1)
		f := w.agents[i].flow
		w.agents[i].flow = nil
		w.fromServer(i, reopenPacket{Segment: balsampier.Segment{Reset: true, Sequence: f.sent}})
		w.advance(10 * time.Millisecond)
	}, 0, false},
	{"refused", func(w *reopenWorld) {
		w.setFull(true)
		w.open(firstNumber)
		w.setFull(false)
	}, 0, false},
	{"idle", func(w *reopenWorld) {
		w.openAndRequest()
		w.advance(16 * time.Second)
	}, 0, false},
}

func (w *reopenWorld) openAndRequest() {
	w.open(firstNumber)
	w.Assert(w.request(1), qt.IsTrue)
}

func (w *reopenWorld) setFull(v bool) {
	for _, a := range w.agents {
		a.full = v
	}
}

// TestReopenedFlow checks that a new flow from a port that was used before is
// placed like one from a fresh port: by the routes in force, again if its agent
// refuses it, and its request runs once. Guards against flows that go to the
// server of the old flow, by whichever state, balancer and sequence number.
func TestReopenedFlow(t *testing.T) {
	tests := []struct {
		name   string
		number uint32
		// pause is the time between the end of the old flow and the new one.
		pause time.Duration
		// moves is true if the route moves to another service in the pause, drains
		// if the server of the old flow begins to drain, and leaves if it sends a
		// shutdown notice.
		moves, drains, leaves bool
	}{
		{name: "at once", number: secondNumber, pause: 20 * time.Millisecond},
		{name: "at once, the route has moved", number: secondNumber, pause: 20 * time.Millisecond, moves: true},
		{name: "at once, the server drains", number: secondNumber, pause: 20 * time.Millisecond, drains: true},
		{name: "later, the server drains", number: secondNumber, pause: 5 * time.Second, drains: true},
		{name: "later, the server has left", number: secondNumber, pause: 5 * time.Second, leaves: true},
		{name: "later, the route has moved", number: secondNumber, pause: 5 * time.Second, moves: true},
		{name: "later, the same number, the route has moved", number: firstNumber, pause: 5 * time.Second, moves: true},
		{name: "after the longest memory", number: secondNumber, pause: 65 * time.Second, moves: true},
	}
	for _, p := range []secondPolicy{ignoreSecond, returnSecond, acceptSecond} {
		for _, v := range flowStates {
			for _, x := range tests {
				for via := range 2 {
					t.Run(fmt.Sprintf("%s, %s, balancer %d, policy %d", v.name, x.name, via, p), func(t *testing.T) {
						w := newReopenWorld(qt.New(t), p)
						v.enter(w)
						w.advance(x.pause)
						w.Assert(x.number != firstNumber || w.t.Sub(start) > 3*time.Second, qt.IsTrue)
						old, _ := w.holder(1)
						if old >= 0 && x.drains {
							w.agents[old].table.HandleHeartbeat(w.serverState(old, 2, true), w.t)
						}
						if old >= 0 && x.leaves {
							w.agents[old].table.HandleShutdown(w.serverState(old, 1, false).ID)
						}
						want := balsampier.ServiceName("reservas")
						if x.moves {
							want = "galeria"
							w.route(2, want)
						}
						w.via, w.resets = via, 0
						w.open(x.number)
						w.Assert(w.conn.open, qt.IsTrue)
						w.Assert(w.request(2), qt.IsTrue)
						i, n := w.holder(2)
						w.Assert(n, qt.Equals, 1)
						w.Assert(w.agents[i].service, qt.Equals, want)
						w.Assert((x.drains || x.leaves) && i == old, qt.IsFalse)
						w.via = 1 - via
						w.Assert(w.request(3), qt.IsTrue, qt.Commentf("through the other balancer"))
						w.Assert(w.agents[i].runs[3], qt.Equals, 1)
						w.Assert(w.resets, qt.Equals, 0)
					})
				}
			}
		}
	}
}

// TestCopyOfOpening checks that a delayed copy of a flow's opening packet, or that
// of an earlier flow from the same port, neither opens the flow at a second server
// nor moves nor resets it, in whichever state it is.
func TestCopyOfOpening(t *testing.T) {
	const strayNumber uint32 = 3_000_000_000
	tests := []struct {
		name            string
		number          uint32
		retransmissions uint32
	}{
		{"a copy", firstNumber, 2},
		{"a copy that comes again", firstNumber, 0},
		{"that of an earlier flow", strayNumber, 1},
	}
	for _, p := range []secondPolicy{ignoreSecond, returnSecond} {
		for _, v := range flowStates {
			for _, x := range tests {
				for via := range 2 {
					t.Run(fmt.Sprintf("%s, %s, balancer %d, policy %d", v.name, x.name, via, p), func(t *testing.T) {
						w := newReopenWorld(qt.New(t), p)
						v.enter(w)
						opens := w.opens()
						w.via, w.resets = via, 0
						w.sendOpening(x.number, x.retransmissions)
						w.advance(5 * time.Millisecond)
						if v.open {
							w.Assert(w.request(2), qt.IsTrue)
							w.via = 1 - via
							w.Assert(w.request(3), qt.IsTrue)
							for n := 2; n <= 3; n++ {
								i, runs := w.holder(n)
								w.Assert(runs, qt.Equals, 1)
								w.Assert(w.agents[i].runs[1], qt.Equals, 1, qt.Commentf("the flow has moved"))
							}
							w.Assert(w.resets, qt.Equals, 0)
						}
						w.advance(2 * time.Second)
						w.Assert(w.opens(), qt.Equals, opens)
					})
				}
			}
		}
	}
}

// opens returns how many flows were opened at servers.
func (w *reopenWorld) opens() int {
	n := 0
	for _, a := range w.agents {
		n += a.opens
	}
	return n
}
