package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/place"
	"github.com/balsampier/balsampier/query/loadview"
)

// TestRecent compares the cache with a list of all uses: recently used flows
// are found, expired ones are not, and the size is bounded.
func TestRecent(t *testing.T) {
	const ttl = 10 * time.Second
	type use struct {
		h  balsampier.Holder
		at time.Time
		// others are the flows that were used since.
		others map[balsampier.FlowKey]bool
	}
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		r := place.NewRecentFlows(limit, ttl)
		uses := map[balsampier.FlowKey]*use{}
		at := time.Date(2027, 3, 1, 12, 0, 0, 0, time.UTC)
		recordUse := func(k balsampier.FlowKey, h balsampier.Holder) {
			uses[k] = &use{h: h, at: at, others: map[balsampier.FlowKey]bool{}}
			for j, u := range uses {
				if j != k {
					u.others[k] = true
				}
			}
		}
		flow := rapid.Uint64Range(1, 12)
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				at = at.Add(time.Duration(rapid.Int64Range(0, int64(2*ttl)).Draw(t, "wait")))
			},
			"note": func(t *rapid.T) {
				k := balsampier.FlowKey{Lo: flow.Draw(t, "flow")}
				h := balsampier.Holder{Instance: balsampier.InstanceID(rapid.Uint64Range(1, 3).Draw(t, "holder")), Incarnation: 1}
				r.StoreHolder(k, h, at)
				recordUse(k, h)
			},
			"find": func(t *rapid.T) {
				k := balsampier.FlowKey{Lo: flow.Draw(t, "flow")}
				h, ok := r.FindHolder(k, at)
				u := uses[k]
				switch {
				case ok && (u == nil || h != u.h):
					t.Fatalf("flow %d is cached with holder %v, want another", k.Lo, h)
				case ok && at.Sub(u.at) >= 2*ttl:
					t.Fatalf("flow %d is still cached %s after its last use", k.Lo, at.Sub(u.at))
				case !ok && u != nil && at.Sub(u.at) < ttl && len(u.others) < limit:
					t.Fatalf("flow %d is missing after %s and %d other flows", k.Lo, at.Sub(u.at), len(u.others))
				}
				if ok {
					recordUse(k, h)
				}
			},
			"": func(t *rapid.T) {
				if r.Len() > 2*limit {
					t.Fatalf("%d flows are cached, limit %d", r.Len(), limit)
				}
			},
		})
	})
}

// TestHinted checks that a retransmitted opening packet reaches the same run,
// that new flows are placed only on agents that accept them, and that the
// number of hops is bounded.
func TestHinted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Date(2027, 3, 1, 12, 0, 0, 0, time.UTC)
		v := balsampier.View{Epoch: 1}
		for i := range rapid.IntRange(1, 5).Draw(t, "agents") {
			m := balsampier.Member{
				ID: balsampier.InstanceID(i + 1), Role: balsampier.RoleAgent, Incarnation: 1, Slots: 5, Service: "reservas",
				Draining: rapid.Bool().Draw(t, "draining"),
			}
			if rapid.IntRange(0, 3).Draw(t, "service") == 0 {
				m.Service = "galeria"
			}
			v.Members = append(v.Members, m)
		}
		self := v.Members[0]
		self.Service = "reservas"
		l := loadview.New()
		h := place.NewHintedPlacer(self.Holder(), l, rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		draining := rapid.Bool().Draw(t, "selfDraining")
		h.Adopt(v, "reservas", draining)
		for k := range uint64(20) {
			p := balsampier.Packet{Flow: balsampier.FlowKey{Lo: k}, Opening: true, Hops: 1, At: at}
			first, again := h.Place(p, false), h.Place(p, false)
			if first != again {
				t.Fatalf("flow %d: first %v, then %v", k, first, again)
			}
			if m := first.Target; !first.Deliver && (m.Draining || m.Service != "reservas" || m.ID == self.ID) {
				t.Fatalf("flow %d is placed on %v", k, m)
			}
			if p.Hops = balsampier.MaxHops; !h.Place(p, true).Deliver {
				t.Fatalf("flow %d is forwarded at the hop limit", k)
			}
			if p.Hops = 2; !draining && !h.Place(p, true).Deliver {
				t.Fatalf("flow %d was placed on this agent and is forwarded", k)
			}
		}
	})
}

// TestHintedRestart checks that a flow is placed anew once the run that held it
// has left the view.
func TestHintedRestart(t *testing.T) {
	c := qt.New(t)
	at := time.Date(2027, 3, 1, 12, 0, 0, 0, time.UTC)
	a := balsampier.Member{ID: 1, Role: balsampier.RoleAgent, Incarnation: 1, Slots: 5, Service: "reservas"}
	b, d := a, a
	b.ID, d.ID = 2, 3
	h := place.NewHintedPlacer(a.Holder(), loadview.New(), rand.New(rand.NewPCG(1, 1)))
	p := balsampier.Packet{Flow: balsampier.FlowKey{Lo: 1}, Opening: true, Hops: 1, At: at}
	h.Adopt(balsampier.View{Epoch: 1, Members: []balsampier.Member{a, b}}, "reservas", true)
	c.Assert(h.Place(p, false).Target.ID, qt.Equals, b.ID)
	h.Adopt(balsampier.View{Epoch: 2, Members: []balsampier.Member{a, d}}, "reservas", true)
	c.Assert(h.Place(p, false).Target.ID, qt.Equals, d.ID)
}
