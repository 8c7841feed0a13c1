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
	// initialFlows is how many flows are opened before the changes and stay
	// open.
	initialFlows = 2000
	// initialServers is how many servers the service starts with.
	initialServers = 7
	// plannedChanges is how many servers are added or drained, two per view.
	plannedChanges = 200
	// balancerCount is how many balancers the packets are spread over at
	// random.
	balancerCount = 3
)

type (
	// fleetSimulation simulates a service whose flows stay open while its
	// servers are added, drained and removed, or crash.
	fleetSimulation struct {
		rng     *rand.Rand
		now     time.Time
		rules   balsampier.RuleTable
		members []balsampier.Member
		agents  map[balsampier.Holder]*simulatedAgent
		// crashed holds the agents that have crashed; packets to them are lost.
		crashed map[balsampier.Holder]bool
		// tables holds the steering table of each balancer. The first balancer
		// is one view behind the others.
		tables       [balancerCount]*steer.Table
		flows        []openFlow
		joinedAgents int
	}

	// simulatedAgent holds the parts of an agent that decide about packets.
	simulatedAgent struct {
		placer    *place.Placer
		directory *register.Directory
		registrar *register.Registrar
		table     *steer.Table
	}

	// openFlow is an open flow and the agent that holds it.
	openFlow struct {
		packet balsampier.Packet
		holder balsampier.Holder
		// hashHome is the home by table hash when the flow was opened. The
		// baseline tableHash would have placed the flow there.
		hashHome balsampier.Holder
	}
)

// printBrokenFlows prints how many flows break when servers are added and
// drained and their packets carry no holder hints, and how many would break if
// the home by table hash held each flow.
func printBrokenFlows(w io.Writer, seed uint64) error {
	f := newFleetSimulation(seed)
	broken, brokenByHash := make(map[int]struct{}), make(map[int]struct{})
	for range plannedChanges / 2 {
		f.removeDrained()
		f.changeServers()
		f.changeServers()
		f.publishView()
		for i := range f.flows {
			t := f.tables[f.rng.IntN(balancerCount)]
			if f.routePacket(t, f.flows[i].packet) != f.flows[i].holder {
				broken[i] = struct{}{}
			}
			if t.HomeHolder(simulatedService, f.flows[i].packet.Flow) != f.flows[i].hashHome {
				brokenByHash[i] = struct{}{}
			}
		}
	}
	if err := printBounded(w, "brokenFlows.plannedChanges", float64(len(broken)), 0); err != nil {
		return err
	}
	return printBaseline(w, "brokenFlows.plannedChanges", "tableHash", float64(len(brokenByHash)))
}

const simulatedService balsampier.ServiceName = "service0"

func newFleetSimulation(seed uint64) *fleetSimulation {
	f := &fleetSimulation{
		rng: rand.New(rand.NewPCG(seed, 2)), now: time.Date(2027, 3, 1, 12, 0, 0, 0, time.UTC),
		rules: allRules(1), agents: make(map[balsampier.Holder]*simulatedAgent), crashed: make(map[balsampier.Holder]bool),
	}
	for range initialServers {
		f.addServer()
	}
	f.publishView()
	f.publishView()
	for i := range initialFlows {
		c := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, 1}), uint16(i))
		p := balsampier.Packet{Caller: c, ServiceAddr: serviceAddr(0), Flow: balsampier.NewFlowKey(c, serviceAddr(0), nil)}
		o := p
		o.Opening = true
		t := f.tables[f.rng.IntN(balancerCount)]
		f.flows = append(f.flows, openFlow{packet: p, holder: f.routePacket(t, o), hashHome: t.HomeHolder(simulatedService, p.Flow)})
	}
	f.registerFlows()
	return f
}

func (f *fleetSimulation) addServer() {
	n := memberName("agent", f.joinedAgents)
	f.joinedAgents++
	m := balsampier.Member{
		ID: balsampier.NewInstanceID(n), Name: n, Role: balsampier.RoleAgent, Incarnation: 1,
		Service: simulatedService, Slots: 3,
	}
	s := &simulatedAgent{
		directory: register.NewDirectory(m.Holder(), register.DefaultSettings()),
		registrar: register.NewRegistrar(m.Holder()),
	}
	s.placer = place.New(m, place.NewChooser(place.DefaultSettings(), loadview.New()), s.directory, s.registrar)
	s.placer.SetLeaseExpiry(f.now.Add(24 * time.Hour))
	f.agents[m.Holder()] = s
	f.members = append(f.members, m)
	slices.SortFunc(f.members, func(a, b balsampier.Member) int { return cmp.Compare(a.ID, b.ID) })
}

// changeServers adds a server, or drains one that still takes new flows.
func (f *fleetSimulation) changeServers() {
	var nonDraining []int
	for i, m := range f.members {
		if !m.Draining {
			nonDraining = append(nonDraining, i)
		}
	}
	if len(nonDraining) <= initialServers/2 || len(nonDraining) < 2*initialServers && f.rng.IntN(2) == 0 {
		f.addServer()
		return
	}
	m := &f.members[nonDraining[f.rng.IntN(len(nonDraining))]]
	m.Draining = true
	f.agents[m.Holder()].placer.Drain()
}

// removeDrained removes the servers that are draining and have no flows, once
// the oldest view in use, that of the first balancer, shows them as draining.
func (f *fleetSimulation) removeDrained() {
	f.members = slices.DeleteFunc(f.members, func(m balsampier.Member) bool {
		o, ok := f.tables[0].Agent(m.ID)
		return ok && o.Draining && f.agents[m.Holder()].registrar.Len() == 0
	})
}

// publishView applies the next view to all agents and to all balancers but the
// first, which gets the view before it. The last balancer restarts, so that its
// table has no earlier views.
func (f *fleetSimulation) publishView() {
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
	f.tables[balancerCount-1] = steer.New(f.rules, v)
	for _, m := range f.members {
		f.agents[m.Holder()].adoptView(f.rules, v, f.homes)
	}
	f.registerFlows()
	for _, m := range f.members {
		f.agents[m.Holder()].placer.MarkSettled(v.Epoch)
	}
}

func (s *simulatedAgent) adoptView(r balsampier.RuleTable, v balsampier.View, homes func(*steer.Table) register.Homes) {
	s.table = s.table.Next(r, v)
	s.placer.Adopt(s.table, homes(s.table))
}

func (f *fleetSimulation) homes(t *steer.Table) register.Homes {
	return func(k balsampier.FlowKey) []balsampier.Holder {
		return t.Homes(simulatedService, balsampier.Packet{ServiceAddr: serviceAddr(0), Caller: anyCaller, Flow: k})
	}
}

// anyCaller stands for all callers: one rule covers them all, so that their
// homes don't depend on the address.
var anyCaller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, 1}), 0)

// registerFlows delivers all due registrations to the homes until none is due.
func (f *fleetSimulation) registerFlows() {
	for again := true; again; {
		again = false
		for _, m := range f.members {
			s := f.agents[m.Holder()]
			for _, b := range s.registrar.DueBatches(f.now, f.rng) {
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

// routePacket forwards a packet from a balancer with table t, and between
// agents, until an agent delivers it. It returns that agent, or zero if the
// packet is lost.
func (f *fleetSimulation) routePacket(t *steer.Table, p balsampier.Packet) balsampier.Holder {
	p.At = f.now
	v := t.Steer(p)
	a := place.Arrival{Packet: p}
	for v.Action == balsampier.ActionForward && !f.crashed[v.Target] {
		a.Packet.Hops++
		a.Target, a.Service, a.Epoch = v.Target, v.Service, v.Epoch
		d := f.agents[v.Target].placer.Decide(a, f.now, f.rng)
		if d.Deliver {
			return v.Target
		}
		v, a.Placed = d.Verdict, d.Placed
	}
	return balsampier.Holder{}
}
