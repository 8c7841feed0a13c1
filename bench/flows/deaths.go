package flows

import (
	"io"
	"slices"

	"github.com/balsampier/balsampier"
)

// deaths is how many servers die, one after the other, each while another one
// joins.
const deaths = 20

// printDeaths counts the flows that deaths of servers break beyond their own,
// and those that a home by table hash would break.
func printDeaths(w io.Writer, seed uint64) error {
	f := newFleetRun(seed)
	broken, hash := 0, 0
	for range deaths {
		n := f.die()
		f.join()
		// The second view brings the first one to the balancer that lags:
		// until then packets are lost, which callers send again.
		f.publish()
		f.publish()
		f.flows = slices.DeleteFunc(f.flows, func(o opened) bool { return o.holder == n })
		for i, o := range f.flows {
			t := f.tables[f.x.IntN(brokenBalancers)]
			if f.send(t, o.packet) != o.holder {
				broken++
			}
			if h := t.HomeHolder(memberService, o.packet.Flow); h != o.hashed {
				hash++
				f.flows[i].hashed = h
			}
		}
	}
	if err := printBounded(w, "brokenFlows.serverDeaths.others", float64(broken), 0); err != nil {
		return err
	}
	return printBaseline(w, "brokenFlows.serverDeaths.others", "tableHash", float64(hash))
}

// die lets a server die; its lease has run out when the next view is
// published.
func (f *fleetRun) die() balsampier.Holder {
	i := f.x.IntN(len(f.members))
	h := f.members[i].Holder()
	f.members = slices.Delete(f.members, i, i+1)
	f.dead[h] = true
	return h
}
