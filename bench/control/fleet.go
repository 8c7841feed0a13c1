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
	// regionDataCentres is the number of data centres in the largest of the
	// three regions.
	regionDataCentres = 4
	// lostDataCentre is the data centre whose loss is simulated.
	lostDataCentre = "dataCentre03"
	// agentsPerBalancer and agentsPerService are the ratios of the fleet that
	// the system is designed for.
	agentsPerBalancer = 11
	agentsPerService  = 3
)

var (
	// startTime is when the simulated time of all runs begins.
	startTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	// dataCentreNames holds the names of all data centres.
	dataCentreNames = func() (ns [dataCentres]balsampier.DataCentre) {
		for i := range ns {
			ns[i] = balsampier.DataCentre(fmt.Sprintf("dataCentre%02d", i))
		}
		return ns
	}()
)

// fleet is a view of agents and balancers with a rule file for their services.
type fleet struct {
	// agents is the number of agents in view.
	agents int
	view   balsampier.View
	rules  balsampier.RuleFile
}

func newFleet(n int, r *rand.Rand) fleet {
	f := fleet{agents: n, view: balsampier.View{Epoch: 1}}
	for i := range n {
		f.addMember(balsampier.RoleAgent, i, r)
	}
	for i := range max(n/agentsPerBalancer, 1) {
		f.addMember(balsampier.RoleBalancer, i, r)
	}
	slices.SortFunc(f.view.Members, func(a, b balsampier.Member) int { return cmp.Compare(a.ID, b.ID) })
	var t strings.Builder
	for i := range max(n/agentsPerService, 1) {
		_, _ = fmt.Fprintf(&t, "rule %s to 198.51.%d.%d:443 from 0.0.0.0/0 mon-sat 08:00-20:00 America/Lima # asked by Rosa, opening hours\n",
			serviceName(i), i/250, i%250+1)
	}
	f.rules = balsampier.RuleFile{Revision: 1, Text: t.String(), AcceptedAt: startTime}
	return f
}

func (f *fleet) addMember(k balsampier.Role, i int, r *rand.Rand) {
	name := fmt.Sprintf("%s%05d.dataCentre%02d", k, i, i%dataCentres)
	m := balsampier.Member{
		ID: balsampier.NewInstanceID(name), Name: name, Role: k,
		Incarnation: balsampier.Incarnation(startTime.Unix() - r.Int64N(100_000)),
		DataCentre:  dataCentreNames[i%dataCentres],
		Addr:        memberAddr(i, 7000),
	}
	if k == balsampier.RoleAgent {
		m.PeerAddr, m.Service, m.Slots = memberAddr(i, 7001), serviceName(i/agentsPerService), 5
	}
	f.view.Members = append(f.view.Members, m)
}

func serviceName(i int) balsampier.ServiceName {
	return balsampier.ServiceName(fmt.Sprintf("service%04d", i))
}

func memberAddr(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), port)
}

// watcher returns a member of the role outside the lost data centre.
func (f *fleet) watcher(k balsampier.Role) balsampier.Member {
	i := slices.IndexFunc(f.view.Members, func(m balsampier.Member) bool {
		return m.Role == k && m.DataCentre != lostDataCentre
	})
	return f.view.Members[i]
}

// wireSizes holds the encoded lengths of messages between the processes.
var wireSizes = peer.Sizes()

// NewFleet returns the view of n agents with their balancers, and the checked
// rule file of their services with its zone tables. Equal seeds give equal
// fleets.
func NewFleet(n int, seed uint64) (balsampier.View, balsampier.RuleFile, error) {
	f := newFleet(n, newRandom(seed))
	p, _ := rulefile.Parse(f.rules.Text)
	zs, _, err := check.Check(zonetable.BuiltIn{}, p.Rules, p.ClockChanges, startTime)
	f.rules.Zones = zs
	return f.view, f.rules, trace.Wrap(err)
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
