package control

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator/rulefile"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/query/check"
	"github.com/balsampier/balsampier/query/zonetable"
)

const (
	dataCentres = 11
	// regionDataCentres are in the largest of the three regions.
	regionDataCentres = 4
	// lostDataCentre is the one that is lost.
	lostDataCentre = "dataCentre03"
	// The large size has one balancer for agentsPerBalancer agents and one
	// service for agentsPerService.
	agentsPerBalancer = 11
	agentsPerService  = 3
)

var (
	// start is the time at which all runs begin.
	start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	// dataCentreNames are the names of all data centres.
	dataCentreNames = func() (ns [dataCentres]balsampier.DataCentre) {
		for i := range ns {
			ns[i] = balsampier.DataCentre(fmt.Sprintf("dataCentre%02d", i))
		}
		return ns
	}()
)

// fleet is a view with a rule file for its services.
type fleet struct {
	// agents is the number of agents.
	agents int
	view   balsampier.View
	rules  balsampier.RuleFile
}

func newFleet(n int, r *rand.Rand) fleet {
	f := fleet{agents: n, view: balsampier.View{Epoch: 1}}
	for i := range n {
		f.add(balsampier.RoleAgent, i, r)
	}
	for i := range max(n/agentsPerBalancer, 1) {
		f.add(balsampier.RoleBalancer, i, r)
	}
	slices.SortFunc(f.view.Members, func(a, b balsampier.Member) int { return cmp.Compare(a.ID, b.ID) })
	var t strings.Builder
	for i := range max(n/agentsPerService, 1) {
		_, _ = fmt.Fprintf(&t, "rule %s to 198.51.%d.%d:443 from 0.0.0.0/0 mon-sat 08:00-20:00 America/Lima # asked by Rosa, opening hours\n",
			service(i), i/250, i%250+1)
	}
	f.rules = balsampier.RuleFile{Revision: 1, Text: t.String(), AcceptedAt: start}
	return f
}

func (f *fleet) add(k balsampier.Role, i int, r *rand.Rand) {
	name := fmt.Sprintf("%s%05d.dataCentre%02d", k, i, i%dataCentres)
	m := balsampier.Member{
		ID: balsampier.NewInstanceID(name), Name: name, Role: k,
		Incarnation: balsampier.Incarnation(start.Unix() - r.Int64N(100_000)),
		DataCentre:  dataCentreNames[i%dataCentres],
		Addr:        address(i, 7000),
	}
	if k == balsampier.RoleAgent {
		m.PeerAddr, m.Service, m.Slots = address(i, 7001), service(i/agentsPerService), 5
	}
	f.view.Members = append(f.view.Members, m)
}

func service(i int) balsampier.ServiceName {
	return balsampier.ServiceName(fmt.Sprintf("service%04d", i))
}

func address(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), port)
}

// watcher returns a member of the role outside of the data centre that is
// lost.
func (f *fleet) watcher(k balsampier.Role) balsampier.Member {
	i := slices.IndexFunc(f.view.Members, func(m balsampier.Member) bool {
		return m.Role == k && m.DataCentre != lostDataCentre
	})
	return f.view.Members[i]
}

// wireSizes are lengths in the encoding between the processes.
var wireSizes = peer.Sizes()

// NewFleet returns the view of n agents with their balancers, and the rule
// file of their services with its zones.
func NewFleet(n int, seed uint64) (balsampier.View, balsampier.RuleFile, error) {
	f := newFleet(n, newRandom(seed))
	p, _ := rulefile.Parse(f.rules.Text)
	zs, _, err := check.Check(zonetable.BuiltIn{}, p.Rules, p.ClockChanges, start)
	f.rules.Zones = zs
	return f.view, f.rules, trace.Wrap(err)
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
