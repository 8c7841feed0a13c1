package flows

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/query/inforce"
	"github.com/balsampier/balsampier/query/steer"
)

const (
	// steeringRounds is how often the time is measured. The shortest one
	// counts.
	steeringRounds = 9
	// packetsPerRound is how many packets are steered in each round.
	packetsPerRound = 200_000
)

// measureSteering returns the time of one steering decision for the opening
// packet of a flow, in a table with the given numbers of agents and services. If
// a packet is not forwarded, the result is so high that steeringCostSeconds
// misses its bound.
func measureSteering(agents, services int) time.Duration {
	t := steer.New(allRules(services), newView(agents, services))
	ps := make([]balsampier.Packet, 4096)
	for i := range ps {
		c := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i >> 8)}), uint16(i))
		s := serviceAddr(i % services)
		ps[i] = balsampier.Packet{Caller: c, ServiceAddr: s, Flow: balsampier.NewFlowKey(c, s, nil), Opening: true}
	}
	k := clock.System{}
	least := time.Duration(1<<63 - 1)
	for range steeringRounds {
		start := k.Now()
		for i := range packetsPerRound {
			if t.Steer(ps[i%len(ps)]).Action != balsampier.ActionForward {
				return least
			}
		}
		least = min(least, k.Now().Sub(start))
	}
	return least / packetsPerRound
}

func serviceAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 443)
}

// allRules returns one rule per service, which applies to all callers at all
// times.
func allRules(services int) balsampier.RuleTable {
	rs := make([]balsampier.Rule, services)
	for i := range rs {
		rs[i] = balsampier.Rule{
			Service: balsampier.ServiceName(memberName("service", i)), To: serviceAddr(i),
			From: []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0")},
		}
	}
	t, err := inforce.Compile(1, rs, nil)
	if err != nil {
		panic(fmt.Sprintf("compile rules without windows: %v", err))
	}
	return t
}

// newView returns a view in which the agents are spread over the services.
func newView(agents, services int) balsampier.View {
	v := balsampier.View{Epoch: 1}
	for i := range agents {
		n := memberName("agent", i)
		v.Members = append(v.Members, balsampier.Member{
			ID: balsampier.NewInstanceID(n), Name: n, Role: balsampier.RoleAgent, Incarnation: 1, Slots: 3,
			Service: balsampier.ServiceName(memberName("service", i%services)), Addr: serviceAddr(i),
		})
	}
	slices.SortFunc(v.Members, func(a, b balsampier.Member) int { return cmp.Compare(a.ID, b.ID) })
	return v
}
