package flows

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/place"
	"github.com/balsampier/balsampier/command/register"
	"github.com/balsampier/balsampier/query/loadview"
	"github.com/balsampier/balsampier/query/steer"
)

const (
	// brokenFlows is how many flows are open during the changes.
	brokenFlows = 2000
	// brokenHosts is how many servers the service has at first.
	brokenHosts = 7
	// brokenChanges is how many planned changes are made, two at a time.
	brokenChanges = 200
	// brokenBalancers is how many balancers the packets are sprayed over.
	brokenBalancers = 3
)

type (
	// fleetRun is a service whose flows stay open while its servers change.
	fleetRun struct {
		x       *rand.Rand
		now     time.Time
		rules   balsampier.RuleTable
		members []balsampier.Member
		agents  map[balsampier.Holder]*station
		// dead holds the agents that died; they take no packets.
		dead map[balsampier.Holder]bool
		// tables holds the table of each balancer; the first lags by one view.
		tables [brokenBalancers]*steer.Table
		flows  []opened
		joined int
	}

	// station is an agent with its decisions.
	station struct {
		placer    *place.Placer
		directory *register.Directory
		registrar *register.Registrar
		table     *steer.Table
	}

	// opened is an open flow.
	opened struct {
		packet balsampier.Packet
		holder balsampier.Holder
		// hashed is the home at the opening, which table hash would use.
		hashed balsampier.Holder
	}
)

// printBroken counts the flows that planned changes break, without hints.
func printBroken(w io.Writer, seed uint64) error {
	f := newFleetRun(seed)
	ours, hash := make(map[int]struct{}), make(map[int]struct{})
	for range brokenChanges / 2 {
		f.leave()
		f.change()
		f.change()
		f.publish()
		for i := range f.flows {
			t := f.tables[f.x.IntN(brokenBalancers)]
			if f.send(t, f.flows[i].packet) != f.flows[i].holder {
				ours[i] = struct{}{}
			}
			if t.HomeHolder(memberService, f.flows[i].packet.Flow) != f.flows[i].hashed {
				hash[i] = struct{}{}
			}
		}
	}
	if err := printBounded(w, "brokenFlows.plannedChanges", float64(len(ours)), 0); err != nil {
		return err
	}
	return printBaseline(w, "brokenFlows.plannedChanges", "tableHash", float64(len(hash)))
}

const memberService balsampier.ServiceName = "service0"

func newFleetRun(seed uint64) *fleetRun {
	f := &fleetRun{
		x: rand.New(rand.NewPCG(seed, 2)), now: time.Date(2027, 3, 1, 12, 0, 0, 0, time.UTC),
		rules: allRules(1), agents: make(map[balsampier.Holder]*station), dead: make(map[balsampier.Holder]bool),
	}
	for range brokenHosts {
		f.join()
	}
	f.publish()
	f.publish()
	for i := range brokenFlows {
		c := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, 1}), uint16(i))
		p := balsampier.Packet{Caller: c, ServiceAddr: serviceAddr(0), Flow: balsampier.NewFlowKey(c, serviceAddr(0), nil)}
		o := p
		o.Opening = true
		t := f.tables[f.x.IntN(brokenBalancers)]
		f.flows = append(f.flows, opened{packet: p, holder: f.send(t, o), hashed: t.HomeHolder(memberService, p.Flow)})
	}
	f.register()
	return f
}

func (f *fleetRun) join() {
	n := memberName("agent", f.joined)
	f.joined++
	m := balsampier.Member{
		ID: balsampier.NewInstanceID(n), Name: n, Role: balsampier.RoleAgent, Incarnation: 1,
		Service: memberService, Slots: 3,
	}
	s := &station{
		directory: register.NewDirectory(m.Holder(), register.DefaultSettings()),
		registrar: register.NewRegistrar(m.Holder()),
	}
	s.placer = place.New(m, place.NewChooser(place.DefaultSettings(), loadview.New()), s.directory, s.registrar)
	s.placer.SetLeaseExpiry(f.now.Add(24 * time.Hour))
	f.agents[m.Holder()] = s
	f.members = append(f.members, m)
	slices.SortFunc(f.members, func(a, b balsampier.Member) int { return cmp.Compare(a.ID, b.ID) })
}

// change lets a server join, or one drain that takes new flows.
func (f *fleetRun) change() {
	var taking []int
	for i, m := range f.members {
		if !m.Draining {
			taking = append(taking, i)
		}
	}
	if len(taking) <= brokenHosts/2 || len(taking) < 2*brokenHosts && f.x.IntN(2) == 0 {
		f.join()
		return
	}
	m := &f.members[taking[f.x.IntN(len(taking))]]
	m.Draining = true
	f.agents[m.Holder()].placer.Drain()
}

// leave takes out the servers that drain and have no flows, once the view in
// which they drain is the oldest in use.
func (f *fleetRun) leave() {
	f.members = slices.DeleteFunc(f.members, func(m balsampier.Member) bool {
		o, ok := f.tables[0].Agent(m.ID)
		return ok && o.Draining && f.agents[m.Holder()].registrar.Len() == 0
	})
}

// publish brings the next view to all agents and to all balancers but the
// first, which gets the one before; one balancer restarts.
func (f *fleetRun) publish() {
	last := f.tables[1]
	v := balsampier.View{Epoch: 1, Members: slices.Clone(f.members)}
	if last != nil {
		v.Epoch = last.Epoch() + 1
		f.tables[0] = last
	}
	for i := range f.tables {
		if i > 0 || last == nil {
			f.tables[i] = f.tables[i].Next(f.rules, v)
		}
	}
	f.tables[brokenBalancers-1] = steer.New(f.rules, v)
	for _, m := range f.members {
		f.agents[m.Holder()].adopt(f.rules, v, f.homes)
	}
	f.register()
	for _, m := range f.members {
		f.agents[m.Holder()].placer.MarkSettled(v.Epoch)
	}
}

func (s *station) adopt(r balsampier.RuleTable, v balsampier.View, homes func(*steer.Table) register.Homes) {
	s.table = s.table.Next(r, v)
	s.placer.Adopt(s.table, homes(s.table))
}

func (f *fleetRun) homes(t *steer.Table) register.Homes {
	return func(k balsampier.FlowKey) []balsampier.Holder {
		return t.Homes(memberService, balsampier.Packet{ServiceAddr: serviceAddr(0), Caller: callerOfAny, Flow: k})
	}
}

// callerOfAny stands for all callers, which one rule covers.
var callerOfAny = netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, 1}), 0)

// register carries all registrations to their homes.
func (f *fleetRun) register() {
	for again := true; again; {
		again = false
		for _, m := range f.members {
			s := f.agents[m.Holder()]
			for _, b := range s.registrar.DueBatches(f.now, f.x) {
				a, err := f.agents[b.To].directory.Apply(b)
				if err != nil {
					panic(fmt.Sprintf("register flows: %v", err))
				}
				s.registrar.HandleAck(a)
				again = true
			}
		}
	}
}

// send carries a packet from a balancer to the run that takes it.
func (f *fleetRun) send(t *steer.Table, p balsampier.Packet) balsampier.Holder {
	p.At = f.now
	v := t.Steer(p)
	a := place.Arrival{Packet: p}
	for v.Action == balsampier.ActionForward && !f.dead[v.Target] {
		a.Packet.Hops++
		a.Target, a.Service, a.Epoch = v.Target, v.Service, v.Epoch
		d := f.agents[v.Target].placer.Decide(a, f.now, f.x)
		if d.Deliver {
			return v.Target
		}
		v, a.Placed = d.Verdict, d.Placed
	}
	return balsampier.Holder{}
}
