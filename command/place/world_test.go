package place_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/place"
	"github.com/balsampier/balsampier/command/register"
	"github.com/balsampier/balsampier/query/inforce"
	"github.com/balsampier/balsampier/query/steer"
)

const leaseTTL = 3 * time.Second

type (
	// world simulates a fleet, a control that publishes views one after the
	// other, and a network that loses, duplicates, delays and reorders
	// messages.
	world struct {
		*rapid.T
		x         *rand.Rand
		now       time.Time
		rules     []balsampier.RuleTable
		tables    []*steer.Table
		agents    []*agent
		balancers []*balancer
		flows     []*flow
		inFlight  []message
		acked     map[balsampier.Holder]balsampier.Epoch
		settled   bool
	}

	agent struct {
		member        balsampier.Member
		placer        *place.Placer
		flowDirectory *register.Directory
		registrar     *register.Registrar
		parked        *register.ParkedQueue
		arrivals      map[uint64]place.Arrival
		leaseExpiry   time.Time
		table         *steer.Table
		// dead runs never act again; frozen runs may resume.
		dead, frozen bool
		drainStart   time.Time
	}

	balancer struct {
		table *steer.Table
	}

	flow struct {
		packet     balsampier.Packet
		holder     balsampier.Holder
		service    balsampier.ServiceName
		deliveries int
	}

	message struct {
		to      netip.AddrPort
		arrival *place.Arrival
		batch   *register.Batch
		ack     *register.Ack
		refused *balsampier.FlowKey
		from    balsampier.Holder
		// sent is when the message was sent. Messages are dropped after half of
		// register.ReopenDelay, which bounds their time in flight.
		sent time.Time
	}

	noLoads struct{}
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "150")
	flag.Parse()
	os.Exit(m.Run())
}

func (noLoads) Load(balsampier.InstanceID) (balsampier.Load, bool) { return balsampier.Load{}, false }

func addr(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 443)
}

// ruleTables returns three successive tables: the second swaps the services of
// two addresses, the third ends the rule of one address.
func ruleTables(t *rapid.T) []balsampier.RuleTable {
	var ts []balsampier.RuleTable
	for i, ss := range [][]balsampier.ServiceName{{"reservas", "galeria"}, {"galeria", "reservas"}, {"galeria"}} {
		var rs []balsampier.Rule
		for j, s := range ss {
			rs = append(rs, balsampier.Rule{
				Service: s, To: addr(byte(100 + j)), From: []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0")},
			})
		}
		r, err := inforce.Compile(balsampier.Revision(i+1), rs, nil)
		if err != nil {
			t.Fatal(err)
		}
		ts = append(ts, r)
	}
	return ts
}

func newWorld(t *rapid.T) *world {
	w := &world{
		T: t, x: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		now: time.Date(2027, 3, 1, 12, 0, 0, 0, time.UTC), rules: ruleTables(t)[:1],
		acked: make(map[balsampier.Holder]balsampier.Epoch), settled: true,
	}
	w.tables = []*steer.Table{steer.New(w.rules[0], balsampier.View{Epoch: 1})}
	for i := range 4 {
		w.join(byte(i+1), []balsampier.ServiceName{"reservas", "galeria"}[i/3])
	}
	w.publish()
	for range 3 {
		w.balancers = append(w.balancers, &balancer{table: w.latest()})
	}
	w.settle()
	return w
}

func (w *world) latest() *steer.Table { return w.tables[len(w.tables)-1] }

// join starts a run of an agent at address n.
func (w *world) join(n byte, s balsampier.ServiceName) {
	name := fmt.Sprintf("%s%d", s, n)
	m := balsampier.Member{
		ID: balsampier.NewInstanceID(name), Name: name, Role: balsampier.RoleAgent, Incarnation: 1,
		Addr: addr(n), Service: s, Slots: 3,
	}
	for _, a := range w.agents {
		if a.member.ID == m.ID {
			m.Incarnation = a.member.Incarnation + 1
		}
	}
	a := &agent{member: m, parked: register.NewParkedQueue(), arrivals: make(map[uint64]place.Arrival), leaseExpiry: w.now.Add(leaseTTL)}
	a.flowDirectory = register.NewDirectory(m.Holder(), register.DefaultSettings())
	a.registrar = register.NewRegistrar(m.Holder())
	a.placer = place.New(m, place.NewChooser(place.DefaultSettings(), noLoads{}), a.flowDirectory, a.registrar)
	a.placer.SetLeaseExpiry(a.leaseExpiry)
	w.agents = append(w.agents, a)
}

// hasLease reports whether the run's lease is valid, so that control must treat
// it as alive.
func (w *world) hasLease(a *agent) bool { return w.now.Before(a.leaseExpiry) }

// publish publishes a new view of the agents with valid leases if something
// changed and the current epoch is settled.
func (w *world) publish() {
	if !w.settled {
		return
	}
	var ms []balsampier.Member
	for _, a := range w.agents {
		if w.hasLease(a) {
			ms = slices.DeleteFunc(ms, func(m balsampier.Member) bool { return m.ID == a.member.ID })
			ms = append(ms, a.member)
		}
	}
	slices.SortFunc(ms, func(a, b balsampier.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	r := w.rules[len(w.rules)-1]
	if slices.Equal(ms, w.latest().View().Members) && r.Revision() == w.latest().Revision() {
		return
	}
	v := balsampier.View{Epoch: w.latest().Epoch() + 1, Members: ms}
	w.tables = append(w.tables, w.latest().Next(r, v))
	w.settled = false
}

// homes returns the homes of a flow by the rules in t and the service of the
// agent, which is where balancers forward its packets.
func (w *world) homes(a *agent, t *steer.Table) register.Homes {
	return func(k balsampier.FlowKey) []balsampier.Holder {
		return t.Homes(a.member.Service, w.flowOf(k).packet)
	}
}

// sync delivers the current view and rules to an agent and acknowledges them
// once its registrations are complete.
func (w *world) sync(a *agent) {
	if a.dead || a.frozen || !w.hasLease(a) {
		return
	}
	t := w.latest()
	if a.table == nil || a.table.Epoch() != t.Epoch() {
		if a.table == nil {
			a.table = steer.New(w.ruleTable(t), t.View())
		} else {
			a.table = a.table.Next(w.ruleTable(t), t.View())
		}
		a.placer.Adopt(a.table, w.homes(a, a.table))
	}
	for _, h := range a.registrar.PendingHomes() {
		if i := w.find(h); i != nil && w.hasLease(i) {
			return
		}
	}
	w.acked[a.member.Holder()] = t.Epoch()
	w.settled = w.settled || w.allAcked()
	if w.settled {
		a.placer.MarkSettled(t.Epoch())
	}
}

func (w *world) allAcked() bool {
	for _, a := range w.agents {
		if w.hasLease(a) && a.table != nil && w.acked[a.member.Holder()] < w.latest().Epoch() {
			return false
		}
	}
	return true
}

// ruleTable returns the rules that were published with t.
func (w *world) ruleTable(t *steer.Table) balsampier.RuleTable { return w.rules[t.Revision()-1] }

func (w *world) find(h balsampier.Holder) *agent {
	for _, a := range w.agents {
		if a.member.Holder() == h {
			return a
		}
	}
	return nil
}

// runAt returns the live run at an address.
func (w *world) runAt(p netip.AddrPort) *agent {
	for _, a := range slices.Backward(w.agents) {
		if a.member.Addr == p && !a.dead {
			return a
		}
	}
	return nil
}

// packet sends a packet of a flow through a balancer.
func (w *world) packet(f *flow, b *balancer, opening, hint bool) {
	p := f.packet
	p.Opening = opening
	if hint && !opening {
		p.Holder = f.holder
	}
	v := b.table.Steer(p)
	w.checkReset(p, v, "balancer")
	if v.Action != balsampier.ActionForward {
		return
	}
	p.Hops++
	w.send(message{to: v.Addr, arrival: &place.Arrival{Packet: p, Target: v.Target, Epoch: v.Epoch}})
}

// checkReset fails if a flow was reset although its holder is alive. A packet
// with a hint belongs to the flow of the run in the hint, even if a flow with
// the same key was opened again after that flow ended.
func (w *world) checkReset(p balsampier.Packet, v balsampier.Verdict, by string) {
	if v.Action != balsampier.ActionReset {
		return
	}
	h := p.Holder
	if h.IsZero() {
		h = w.flowOf(p.Flow).holder
	}
	if a := w.find(h); a != nil && !a.dead && w.hasLease(a) && a.registrar.Holds(p.Flow) {
		w.Fatalf("%s reset a flow of %s %d: %s", by, a.member.Name, a.member.Incarnation, v.Reason)
	}
}

func (w *world) flowOf(k balsampier.FlowKey) *flow {
	for _, f := range w.flows {
		if f.packet.Flow == k {
			return f
		}
	}
	return nil
}

func (w *world) send(m message) {
	m.sent = w.now
	w.inFlight = append(w.inFlight, m)
}

func (w *world) deliver(m message) {
	a := w.runAt(m.to)
	if a == nil || a.frozen || w.now.Sub(m.sent) >= register.ReopenDelay/2 {
		return
	}
	switch {
	case m.arrival != nil:
		w.handleArrival(a, *m.arrival, m.from)
	case m.batch != nil:
		k, err := a.flowDirectory.Apply(*m.batch)
		if err != nil {
			return
		}
		if h := w.find(m.batch.From); h != nil {
			w.send(message{to: h.member.Addr, ack: &k})
		}
		for _, p := range a.parked.RemoveMatching(func(k balsampier.FlowKey) bool { _, ok := a.flowDirectory.Lookup(k); return ok }) {
			w.handleArrival(a, a.arrivals[p.Number], balsampier.Holder{})
		}
	case m.ack != nil:
		if ks := a.registrar.HandleAck(*m.ack); len(ks) > 0 && w.hasLease(a) {
			w.Fatalf("conflict over a flow of %s", a.member.Name)
		}
	case m.refused != nil:
		a.placer.HandleRefusal(*m.refused, m.from)
	}
}

func (w *world) handleArrival(a *agent, r place.Arrival, from balsampier.Holder) {
	f := w.flowOf(r.Packet.Flow)
	held := a.registrar.Holds(r.Packet.Flow)
	d := a.placer.Decide(r, w.now, w.x)
	w.checkReset(r.Packet, d.Verdict, a.member.Name)
	switch {
	case d.Deliver:
		w.checkDelivery(a, f, held)
	case d.Refused:
		if h := w.find(from); h != nil {
			w.send(message{to: h.member.Addr, refused: &r.Packet.Flow, from: a.member.Holder()})
		}
	case d.Verdict.Action == balsampier.ActionForward:
		r.Packet.Hops++
		r.Placed, r.Target, r.Service, r.Epoch, r.Expired = d.Placed, d.Verdict.Target, d.Verdict.Service, d.Verdict.Epoch, false
		w.send(message{to: d.Verdict.Addr, arrival: &r, from: a.member.Holder()})
	case d.Verdict.Action == balsampier.ActionWait && !r.Expired:
		n := w.x.Uint64()
		if a.parked.Add(r.Packet, n, w.now) {
			a.arrivals[n] = r
		}
	}
}

// checkDelivery fails if a packet reached a server that must not get it. held
// is true if the agent held the flow before the packet arrived.
func (w *world) checkDelivery(a *agent, f *flow, held bool) {
	h := a.member.Holder()
	if held {
		if w.hasLease(a) && f.holder != h {
			w.Fatalf("a packet reached %s, which is not the holder", a.member.Name)
		}
		f.deliveries++
		return
	}
	if !a.drainStart.IsZero() {
		w.Fatalf("a new flow reached %s %v after it began to drain", a.member.Name, w.now.Sub(a.drainStart))
	}
	f.holder, f.service = h, a.member.Service
	ok := false
	for _, r := range w.rules {
		if u, in := r.InForce(f.packet.ServiceAddr, f.packet.Caller.Addr(), w.now); in && u.Service == f.service {
			ok = true
		}
	}
	if !ok {
		w.Fatalf("a flow to %s reached %s", f.packet.ServiceAddr, a.member.Name)
	}
}

// check fails if two live runs with valid leases hold the same flow.
func (w *world) check(*rapid.T) {
	holders := make(map[balsampier.FlowKey]*agent)
	for _, a := range w.agents {
		if a.dead || !w.hasLease(a) {
			continue
		}
		for _, f := range w.flows {
			if !a.registrar.Holds(f.packet.Flow) {
				continue
			}
			if o := holders[f.packet.Flow]; o != nil {
				w.Fatalf("two holders: %s %d and %s %d", o.member.Name, o.member.Incarnation, a.member.Name, a.member.Incarnation)
			}
			holders[f.packet.Flow] = a
		}
	}
}

// tick advances the time. It renews the leases of healthy agents, restarts
// agents whose lease expired, and sends what is due.
func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, a := range w.agents {
		if a.dead || a.frozen {
			continue
		}
		if !w.hasLease(a) {
			a.dead = true
			w.join(a.member.Addr.Addr().As4()[3], a.member.Service)
			continue
		}
		a.leaseExpiry = w.now.Add(leaseTTL)
		a.placer.SetLeaseExpiry(a.leaseExpiry)
		for _, b := range a.registrar.DueBatches(w.now, w.x) {
			if h := w.find(b.To); h != nil {
				w.send(message{to: h.member.Addr, batch: &b})
			}
		}
		for _, p := range a.parked.RemoveExpired(w.now) {
			r := a.arrivals[p.Number]
			r.Expired = true
			w.handleArrival(a, r, balsampier.Holder{})
		}
	}
}

func (w *world) deliverAll() {
	for len(w.inFlight) > 0 {
		m := w.inFlight[0]
		w.inFlight = w.inFlight[1:]
		w.deliver(m)
	}
}

// settle runs until all instances are up to date, without losing messages.
func (w *world) settle() {
	for range 12 {
		w.tick(time.Second)
		w.deliverAll()
		for range 2 {
			for _, a := range w.agents {
				w.sync(a)
			}
		}
		w.publish()
	}
	for _, b := range w.balancers {
		b.adopt(w)
	}
	for _, a := range w.agents {
		w.sync(a)
	}
}

func (b *balancer) adopt(w *world) {
	b.table = b.table.Next(w.ruleTable(w.latest()), w.latest().View())
}

// checkReachable fails unless a packet of each flow with a live holder reaches
// it exactly once, with and without a hint, through each balancer.
func (w *world) checkReachable() {
	for _, f := range w.flows {
		a := w.find(f.holder)
		if a == nil || a.dead || a.frozen || !a.registrar.Holds(f.packet.Flow) {
			continue
		}
		for _, b := range w.balancers {
			for _, hint := range []bool{false, true} {
				f.deliveries = 0
				w.packet(f, b, false, hint)
				w.deliverAll()
				if f.deliveries != 1 {
					w.Fatalf("a packet of a flow of %s did not reach it, hint %v", a.member.Name, hint)
				}
			}
		}
	}
}
