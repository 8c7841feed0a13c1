package flows

import (
	"io"
	"slices"

	"github.com/balsampier/balsampier"
)

// deathCount is how many servers crash, one after the other. For each of them
// another one joins.
const deathCount = 20

// printDeaths prints how many flows on other servers break when servers crash,
// and how many would break if the home by table hash held each flow.
func printDeaths(w io.Writer, seed uint64) error {
	f := newFleetSimulation(seed)
	broken, brokenByHash := 0, 0
	for range deathCount {
		n := f.killServer()
		f.addServer()
		// The first balancer is one view behind: the second publication brings
		// it the view without the crashed server. Until then packets are lost,
		// which callers retransmit.
		f.publishView()
		f.publishView()
		f.flows = slices.DeleteFunc(f.flows, func(o openFlow) bool { return o.holder == n })
		for i, o := range f.flows {
			t := f.tables[f.rng.IntN(balancerCount)]
			if f.routePacket(t, o.packet) != o.holder {
				broken++
			}
			if h := t.HomeHolder(simulatedService, o.packet.Flow); h != o.hashHome {
				brokenByHash++
				f.flows[i].hashHome = h
			}
		}
	}
	if err := printBounded(w, "brokenFlows.serverDeaths.others", float64(broken), 0); err != nil {
		return err
	}
	return printBaseline(w, "brokenFlows.serverDeaths.others", "tableHash", float64(brokenByHash))
}

// killServer crashes a random server and returns its holder. Its lease has
// expired by the next view, which no longer contains it.
func (f *fleetSimulation) killServer() balsampier.Holder {
	i := f.rng.IntN(len(f.members))
	h := f.members[i].Holder()
	f.members = slices.Delete(f.members, i, i+1)
	f.crashed[h] = true
	return h
}
