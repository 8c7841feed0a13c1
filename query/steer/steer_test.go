package steer_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/query/inforce"
	"github.com/balsampier/balsampier/query/steer"
)

var (
	at     = time.Date(2027, 3, 1, 12, 0, 0, 0, time.UTC)
	caller = netip.MustParseAddrPort("192.0.2.1:4000")
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func serviceAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 443)
}

func serviceName(i int) balsampier.ServiceName {
	return balsampier.ServiceName(fmt.Sprintf("service%d", i))
}

func agent(i, service int) balsampier.Member {
	n := fmt.Sprintf("agent%d", i)
	return balsampier.Member{
		ID: balsampier.NewInstanceID(n), Name: n, Role: balsampier.RoleAgent, Incarnation: 1,
		Addr: serviceAddr(i), Service: serviceName(service), Slots: 3,
	}
}

func view(e balsampier.Epoch, ms ...balsampier.Member) balsampier.View {
	ms = slices.Clone(ms)
	slices.SortFunc(ms, func(a, b balsampier.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return balsampier.View{Epoch: e, Members: ms}
}

func rules(t testing.TB, services int) balsampier.RuleTable {
	rs := make([]balsampier.Rule, services)
	for i := range rs {
		rs[i] = balsampier.Rule{
			Service: serviceName(i), To: serviceAddr(i),
			From: []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0")},
		}
	}
	r, err := inforce.Compile(1, rs, nil)
	qt.Assert(t, err, qt.IsNil)
	return r
}

func fleet(agents, services int) []balsampier.Member {
	ms := make([]balsampier.Member, agents)
	for i := range ms {
		ms[i] = agent(i, i%services)
	}
	return ms
}

func packet(i, service int) balsampier.Packet {
	return balsampier.Packet{
		Caller: caller, ServiceAddr: serviceAddr(service), Opening: true, At: at,
		Flow: balsampier.NewFlowKey(caller, serviceAddr(service), []byte{byte(i), byte(i >> 8), byte(i >> 16)}),
	}
}

func TestSteer(t *testing.T) {
	a, b := agent(1, 0), agent(2, 0)
	newer := b
	newer.Incarnation = 2
	draining := a
	draining.Draining = true
	tests := []struct {
		name         string
		oldMembers   []balsampier.Member
		newMembers   []balsampier.Member
		holder       balsampier.Holder
		isOpening    bool
		hops         int
		serviceIndex int
		action       balsampier.Action
		reason       balsampier.Reason
	}{
		{"opening", nil, []balsampier.Member{a}, balsampier.Holder{}, true, 0, 0, balsampier.ActionForward, balsampier.ReasonNone},
		{"hops", nil, []balsampier.Member{a}, balsampier.Holder{}, true, balsampier.MaxHops, 0, balsampier.ActionDrop, balsampier.ReasonHopLimit},
		{"noRule", nil, []balsampier.Member{a}, balsampier.Holder{}, true, 0, 1, balsampier.ActionRefuse, balsampier.ReasonNoRule},
		{"ruleEnded", nil, []balsampier.Member{a}, balsampier.Holder{}, false, 0, 1, balsampier.ActionForward, balsampier.ReasonNone},
		{"allDraining", nil, []balsampier.Member{draining}, balsampier.Holder{}, true, 0, 0, balsampier.ActionRefuse, balsampier.ReasonNoBackendServer},
		{"drainingHolder", nil, []balsampier.Member{draining}, a.Holder(), false, 0, 0, balsampier.ActionForward, balsampier.ReasonNone},
		{"holderNotYetKnown", nil, []balsampier.Member{a}, b.Holder(), false, 0, 0, balsampier.ActionWait, balsampier.ReasonHolderGone},
		{"newRunNotYetKnown", nil, []balsampier.Member{b}, newer.Holder(), false, 0, 0, balsampier.ActionWait, balsampier.ReasonHolderGone},
		{"holderLeft", []balsampier.Member{a, b}, []balsampier.Member{a}, b.Holder(), false, 0, 0, balsampier.ActionForward, balsampier.ReasonNone},
		{"holderRestarted", nil, []balsampier.Member{newer}, b.Holder(), false, 0, 0, balsampier.ActionReset, balsampier.ReasonHolderGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := steer.New(rules(t, 1), view(1, tt.oldMembers...)).Next(rules(t, 1), view(2, tt.newMembers...))
			p := packet(1, tt.serviceIndex)
			p.Holder, p.Opening, p.Hops = tt.holder, tt.isOpening, tt.hops
			v := s.Steer(p)
			qt.Check(t, v.Action, qt.Equals, tt.action)
			qt.Check(t, v.Reason, qt.Equals, tt.reason)
		})
	}
}

// TestNext checks that derived tables equal new ones, and that a view change
// moves a home only if the old home left or the new home joined.
func TestNext(t *testing.T) {
	r := rules(t, 1)
	all := fleet(60, 1)
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n string) []balsampier.Member {
			lo := rapid.IntRange(0, 30).Draw(t, n+"Low")
			hi := rapid.IntRange(lo+1, len(all)).Draw(t, n+"High")
			return all[lo:hi]
		}
		a, b := draw("first"), draw("second")
		old := steer.New(r, view(1, a...))
		derived, fresh := old.Next(r, view(2, b...)), steer.New(r, view(2, b...))
		for i := range 500 {
			k := packet(i, 0).Flow
			was, _ := old.Home(serviceName(0), k)
			got, _ := derived.Home(serviceName(0), k)
			want, _ := fresh.Home(serviceName(0), k)
			if got.ID != want.ID {
				t.Fatalf("home %s in the derived table, %s in the new one", got.Name, want.Name)
			}
			kept := slices.ContainsFunc(b, func(m balsampier.Member) bool { return m.ID == was.ID })
			joined := !slices.ContainsFunc(a, func(m balsampier.Member) bool { return m.ID == got.ID })
			if kept && !joined && got.ID != was.ID {
				t.Fatalf("home moved from %s to %s, although both were members before", was.Name, got.Name)
			}
		}
	})
}

func TestSteerDoesNotAllocate(t *testing.T) {
	s := steer.New(rules(t, 47), view(1, fleet(130, 47)...))
	p := packet(1, 3)
	qt.Assert(t, testing.AllocsPerRun(1000, func() { s.Steer(p) }), qt.Equals, 0.0)
}

func BenchmarkNext(b *testing.B) {
	r, ms := rules(b, 1), fleet(3000, 1)
	old := steer.New(r, view(1, ms...))
	v := view(2, ms[1:]...)
	b.Run("full", func(b *testing.B) {
		for b.Loop() {
			steer.New(r, v)
		}
	})
	b.Run("derived", func(b *testing.B) {
		for b.Loop() {
			old.Next(r, v)
		}
	})
}

// TestDepartedHolderKeepsItsFlows checks that an agent that left the view, as
// it does when it loses contact with the control instances, still receives
// packets of its flows. Only a later run of the agent proves that the previous
// run ended.
func TestDepartedHolderKeepsItsFlows(t *testing.T) {
	c := qt.New(t)
	a, b := agent(1, 0), agent(2, 0)
	r := rules(t, 1)
	s := steer.New(r, view(1, a, b))
	for e := range balsampier.Epoch(100) {
		s = s.Next(r, view(2+e, a))
	}
	p := packet(1, 0)
	p.Holder, p.Opening = b.Holder(), false
	v := s.Steer(p)
	c.Assert(v.Action, qt.Equals, balsampier.ActionForward)
	c.Assert(v.Target, qt.Equals, b.Holder())
	c.Assert(v.Addr, qt.Equals, b.Addr)
	c.Assert(v.Service, qt.Equals, b.Service)

	opening := packet(1, 0)
	for i := range 100 {
		opening.Flow = packet(i, 0).Flow
		c.Assert(s.Steer(opening).Target, qt.Equals, a.Holder())
	}
	b.Incarnation++
	c.Assert(s.Next(r, view(102, a, b)).Steer(p).Action, qt.Equals, balsampier.ActionReset)
}
