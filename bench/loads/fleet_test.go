package loads_test

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/collect"
	"github.com/balsampier/balsampier/command/direct"
	"github.com/balsampier/balsampier/command/hold"
)

const (
	zones = 6
	// balancerNet and agentNet are the second bytes of the addresses.
	balancerNet = 10
	agentNet    = 20
	// propagation is the one-way delay between two machines.
	propagation = 500 * time.Microsecond
	// maxLinkDelay is the longest queue of a link. Datagrams beyond it are
	// dropped.
	maxLinkDelay = time.Second
	// viewDelay is the longest delay of a view on its way to a member.
	viewDelay = 400 * time.Millisecond
	// viewInterval is the shortest time between two views.
	viewInterval = 250 * time.Millisecond
	// relayHeadBytes is what a sealed relay and its UDP header add to a packet,
	// and packetHeadBytes the head of a packet.
	relayHeadBytes  = 96
	packetHeadBytes = 34
	// probeTimeout is how long a router sends packets to a balancer that is
	// down.
	probeTimeout = time.Second
	// drainTimeout is how long a server serves after its draining was
	// acknowledged.
	drainTimeout = 5 * time.Second
)

var (
	start = time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)
	// routeAddrs are the addresses of the two services.
	routeAddrs   = []netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.2:443")}
	serviceNames = []balsampier.ServiceName{"orders", "sheets"}
)

type (
	// fleet simulates balancers, agents, servers and clients on a fake clock.
	// The links of balancers queue; those of agents do not.
	fleet struct {
		random *rand.Rand
		now    time.Time
		events events
		seq    int
		// publishing is true while a view is about to be published.
		publishing bool
		// packets holds the packets on their way; a payload is an index into
		// it.
		packets   []balsampier.Segment
		balancers []*balancer
		agents    []*agent
		clients   []*client
		// flows are all flows, by the address of their client.
		flows map[netip.AddrPort]*flow
		// uploads are all uploads, in order of their start.
		uploads []*upload
		// uploadFlows counts the flows of uploads.
		uploadFlows int
		// requests are all requests, in order of their start.
		requests []*request
		// sent counts the messages between balancers and agents, by kind, in
		// each second.
		sent []map[balsampier.RelayKind]int
		// searchBytes counts the bytes of searches that balancers sent, in each
		// second.
		searchBytes []int
	}

	balancer struct {
		addr     netip.AddrPort
		zone     int
		director *direct.Director
		// up is false while the process is down, inRotation while routers send
		// it nothing.
		up, inRotation bool
		// cutOff is true while no view reaches the balancer.
		cutOff  bool
		in, out link
		// linkRate is the rate of the link, in bytes per second.
		linkRate float64
		// tickAt is when the next tick is scheduled; zero if none is.
		tickAt time.Time
	}

	agent struct {
		addr    netip.AddrPort
		zone    int
		service int
		table   *hold.FlowTable
		// collector passes searches on.
		collector collect.Collector
		// draining and gone describe the server; a gone agent answers nothing.
		draining, gone bool
		flows          map[balsampier.FlowKey]uint32
		// known are the balancers that get a notice when the server has ended.
		known map[int]bool
		// tickAt is when the next tick is scheduled; zero if none is.
		tickAt time.Time
	}

	// link is one direction of a link.
	link struct{ freeAt time.Time }

	// client has at most one flow and sends one request after the other.
	client struct {
		zone, service int
		flow          *flow
		port          int
	}

	flow struct {
		client         *client
		addr           netip.AddrPort
		key            balsampier.FlowKey
		open, closed   bool
		serverSequence uint32
		request        *request
		// upload is set in flows of uploads only.
		upload  *upload
		packets *uploadFlow
		// left is how many more requests the flow carries.
		left int
	}

	request struct {
		client    *client
		startedAt time.Time
		servedAt  time.Time
		// tries counts the flows that the request was sent on.
		tries int
	}

	event struct {
		at  time.Time
		seq int
		do  func()
	}

	events []event
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// newFleet returns a fleet with a balancer for each link rate and with a agents,
// of which a fifth have the second service. All know the same view.
func newFleet(seed uint64, a int, linkRates []float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, flows: make(map[netip.AddrPort]*flow)}
	for i := range a {
		f.addAgent(i%zones, min(i%5/4, 1), true)
	}
	for i, r := range linkRates {
		f.balancers = append(f.balancers, &balancer{addr: addrAt(balancerNet, i), zone: i % zones, linkRate: r})
		f.startBalancer(i)
	}
	for _, x := range f.balancers {
		x.inRotation = true
	}
	return f
}

func addrAt(net byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, net, byte(i >> 8), byte(i)}), 7000)
}

func zoneName(i int) balsampier.DataCentre {
	return balsampier.DataCentre("coast-" + string(rune('a'+i)))
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now.Add(d), seq: f.seq, do: do})
}

// run advances the clock by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); len(f.events) > 0 && !f.events[0].at.After(end); {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
}

func (f *fleet) addAgent(zone, service int, first bool) {
	a := &agent{
		addr: addrAt(agentNet, len(f.agents)), zone: zone, service: service, flows: make(map[balsampier.FlowKey]uint32), known: make(map[int]bool),
	}
	f.agents = append(f.agents, a)
	f.startTable(len(f.agents)-1, first)
}

// startTable starts the agent i beside a server that starts with it. first is
// true if no flow can be older.
func (f *fleet) startTable(i int, first bool) {
	a := f.agents[i]
	a.table = hold.New(hold.Config{
		Service: serviceNames[a.service], KnowsAllFlows: first, StartedAt: f.now,
		Allowed: func(to netip.AddrPort) (bool, balsampier.Revision) { return to == routeAddrs[a.service], 1 },
	}, f.now)
	a.tickAt, a.collector = time.Time{}, collect.Collector{}
	f.heartbeat(i)
}

func (f *fleet) heartbeat(i int) {
	a := f.agents[i]
	a.table.HandleHeartbeat(balsampier.ServerState{
		ID: a.addr.String(), Born: f.now, Sequence: 1, Service: serviceNames[a.service], Slots: 2, Draining: a.draining,
	}, f.now)
}

// tickAgent schedules the next tick of an agent, unless an earlier one is
// scheduled.
func (f *fleet) tickAgent(i int) {
	a := f.agents[i]
	at, ok := a.table.NextTick()
	if x, waits := a.collector.NextTick(); waits && (!ok || x.Before(at)) {
		at, ok = x, true
	}
	if !ok || a.tickAt.After(f.now) && !at.Before(a.tickAt) {
		return
	}
	a.tickAt = at
	f.after(at.Sub(f.now), func() {
		if !a.gone && a.tickAt.Equal(at) {
			a.tickAt = time.Time{}
			a.table.Tick(f.now)
			a.collector.Tick(f.now)
			f.runAgent(i)
		}
	})
}

func (f *fleet) view() balsampier.View {
	v := balsampier.View{Epoch: 1}
	for i, a := range f.agents {
		if !a.gone {
			v.Members = append(v.Members, balsampier.Member{
				ID: balsampier.InstanceID(i + 1), Role: balsampier.RoleAgent, Addr: a.addr, Service: serviceNames[a.service], Slots: 2,
				DataCentre: zoneName(a.zone), Draining: a.draining, Incarnation: 1,
			})
		}
	}
	return v
}

// publish passes the present view to all balancers that control reaches, within
// viewInterval.
func (f *fleet) publish() {
	if f.publishing {
		return
	}
	f.publishing = true
	f.after(viewInterval, func() {
		f.publishing = false
		v := f.view()
		for _, b := range f.balancers {
			d := b.director
			f.after(f.delay(viewDelay), func() {
				if b.director == d && !b.cutOff {
					d.AdoptView(v, f.now)
				}
			})
		}
	})
}

// delay returns a random time below d.
func (f *fleet) delay(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d)))
}

func (f *fleet) startBalancer(i int) {
	b := f.balancers[i]
	d := direct.New(direct.Config{DataCentre: zoneName(b.zone), LinkBytesPerSecond: b.linkRate})
	b.director, b.up = d, true
	r := balsampier.RouteFile{Version: 1, IdleTimeout: 15 * time.Second}
	for j, a := range routeAddrs {
		r.Routes = append(r.Routes, balsampier.Route{Name: string(serviceNames[j]), To: a, Targets: []balsampier.Target{{Service: serviceNames[j], Weight: 1}}})
	}
	d.AdoptRoutes(r)
	d.AdoptView(f.view(), f.now)
	b.tickAt = time.Time{}
}

// tickBalancer schedules the next tick of a balancer, unless an earlier one is
// scheduled.
func (f *fleet) tickBalancer(i int) {
	b := f.balancers[i]
	at, ok := b.director.NextTick()
	if !ok || b.tickAt.After(f.now) && !at.Before(b.tickAt) {
		return
	}
	b.tickAt = at
	d := b.director
	f.after(at.Sub(f.now), func() {
		if b.up && b.director == d && b.tickAt.Equal(at) {
			b.tickAt = time.Time{}
			d.Tick(f.now)
			f.runBalancer(i)
		}
	})
}

// transmit returns the delay of n bytes on a link of a balancer; ok is false if
// they are dropped.
func (f *fleet) transmit(b *balancer, l *link, n int) (d time.Duration, ok bool) {
	if l.freeAt.Before(f.now) {
		l.freeAt = f.now
	}
	if l.freeAt.Sub(f.now) > maxLinkDelay {
		return 0, false
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / b.linkRate * float64(time.Second)))
	return l.freeAt.Sub(f.now) + propagation, true
}

func (f *fleet) encode(s balsampier.Segment) []byte {
	f.packets = append(f.packets, s)
	return binary.BigEndian.AppendUint32(nil, uint32(len(f.packets)-1))
}

func (f *fleet) decode(b []byte) balsampier.Segment { return f.packets[binary.BigEndian.Uint32(b)] }

// relayBytes returns the length of a relay on the wire.
func (f *fleet) relayBytes(r balsampier.Relay) int {
	n := relayHeadBytes + len(r.Payload) + 7*len(r.Targets)
	for _, x := range r.Results {
		n += 13 + 8*len(x.Flows)
	}
	if r.Flow.Hi != 0 && len(r.Payload) > 0 {
		n += packetHeadBytes
		if r.Kind != balsampier.RelayQuery {
			n += f.decode(r.Payload).Length
		}
	}
	return n
}

// count records a message between a balancer and an agent.
func (f *fleet) count(k balsampier.RelayKind) {
	i := int(f.now.Sub(start) / time.Second)
	for len(f.sent) <= i {
		f.sent = append(f.sent, make(map[balsampier.RelayKind]int))
		f.searchBytes = append(f.searchBytes, 0)
	}
	f.sent[i][k]++
}

func (f *fleet) runBalancer(i int) {
	b := f.balancers[i]
	for _, a := range slices.Clone(b.director.PopActions()) {
		switch {
		case a.Reset != nil:
			if d, ok := f.transmit(b, &b.out, packetHeadBytes); ok {
				f.after(d, func() { f.resetFlow(a.Reset.Key, a.Reset.Client) })
			}
		case a.To.IsValid():
			f.sendToAgent(i, a.To, a.Relay)
		}
	}
	f.tickBalancer(i)
}

func (f *fleet) sendToAgent(i int, to netip.AddrPort, r balsampier.Relay) {
	r.Payload = slices.Clone(r.Payload)
	f.count(r.Kind)
	b := f.balancers[i]
	if r.Kind == balsampier.RelaySearch || r.Kind == balsampier.RelayCollect {
		f.searchBytes[f.now.Sub(start)/time.Second] += f.relayBytes(r)
	}
	d, ok := f.transmit(b, &b.out, f.relayBytes(r))
	if !ok {
		return
	}
	x := indexOf(to)
	f.after(d, func() {
		a := f.agents[x]
		if a.gone {
			return
		}
		a.known[i] = true
		f.deliverToAgent(x, b.addr, r)
	})
}

// deliverToAgent delivers a relay of a balancer or of another agent.
func (f *fleet) deliverToAgent(i int, from netip.AddrPort, r balsampier.Relay) {
	a := f.agents[i]
	switch r.Kind {
	case balsampier.RelayCollect:
		a.collector.HandleRequest(from, r, f.now)
	case balsampier.RelayNotFound, balsampier.RelayUncertain:
		a.collector.HandleReply(from, r)
	case balsampier.RelayPassedSearch:
		a.known[indexOf(r.Targets[0])] = true
		r.Kind = balsampier.RelaySearch
		a.table.HandleRelay(from, r, balsampier.Segment{}, f.now)
	case balsampier.RelaySearch:
		a.table.HandleRelay(from, r, balsampier.Segment{}, f.now)
	default:
		a.table.HandleRelay(from, r, f.decode(r.Payload), f.now)
	}
	f.runAgent(i)
}

// sendBetweenAgents delivers a relay of one agent to another. Their links are
// fast.
func (f *fleet) sendBetweenAgents(from, to int, r balsampier.Relay) {
	r.Payload = slices.Clone(r.Payload)
	f.count(r.Kind)
	f.after(propagation, func() {
		if !f.agents[to].gone {
			f.deliverToAgent(to, f.agents[from].addr, r)
		}
	})
}

func isAgent(a netip.AddrPort) bool { return a.Addr().As4()[1] == agentNet }

func indexOf(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[2])<<8 | int(b[3])
}

func (f *fleet) runAgent(i int) {
	a := f.agents[i]
	for _, x := range slices.Clone(a.table.PopActions()) {
		switch {
		case x.ToServer != nil:
			f.deliverToServer(i, f.decode(x.ToServer))
		case x.ToClient != nil:
			s := f.decode(x.ToClient)
			f.after(2*propagation, func() { f.deliverToClient(s) })
		case x.Reset != nil:
			f.after(2*propagation, func() { f.resetFlow(x.Reset.Key, x.Reset.Client) })
		case x.To.IsValid() && isAgent(x.To):
			f.sendBetweenAgents(i, indexOf(x.To), x.Reply)
		case x.To.IsValid():
			f.sendToBalancer(a, indexOf(x.To), x.Reply)
		}
	}
	for _, x := range a.collector.PopActions() {
		if isAgent(x.To) {
			f.sendBetweenAgents(i, indexOf(x.To), x.Relay)
			continue
		}
		f.sendToBalancer(a, indexOf(x.To), x.Relay)
	}
	f.tickAgent(i)
}

func (f *fleet) sendToBalancer(a *agent, i int, r balsampier.Relay) {
	r.Payload = slices.Clone(r.Payload)
	f.count(r.Kind)
	b := f.balancers[i]
	d, ok := f.transmit(b, &b.in, f.relayBytes(r))
	if !ok {
		return
	}
	f.after(d, func() {
		if b.up {
			b.director.HandleReply(a.addr, r, f.now)
			f.runBalancer(i)
		}
	})
}
