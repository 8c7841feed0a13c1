package direct_test

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/direct"
)

// thinAgents is the number of agents of a thin world.
const thinAgents = 200

// sendUnknown sends a packet of each of n flows that the Director does not know
// and returns the actions.
func (w *world) sendUnknown(n int) []direct.Action {
	var as []direct.Action
	for i := range n {
		s := segment(false)
		s.Client = netip.AddrPortFrom(client.Addr(), uint16(i+1))
		s.Key = balsampier.NewFlowKey(s.Client, routeAddr, nil)
		w.d.HandlePacket(s, []byte("packet"), w.t)
		as = append(as, w.d.PopActions()...)
	}
	return as
}

// newThinWorld returns a Director with thinAgents agents and a link of 2 Mbit/s.
func newThinWorld(c *qt.C) *world {
	w := newWorld(c, 0)
	w.d = direct.New(direct.Config{DataCentre: "lima-1", LinkBytesPerSecond: 250e3})
	w.d.AdoptRoutes(balsampier.RouteFile{Version: 1, Routes: []balsampier.Route{{
		Name: "r", To: routeAddr, Targets: []balsampier.Target{{Service: "reservas", Weight: 1}},
	}}})
	w.adoptView(1, thinAgents)
	return w
}

// TestSearchKeepsToLink checks that searches take at most a quarter of the link,
// however many flows are unknown and however slowly the agents reply.
func TestSearchKeepsToLink(t *testing.T) {
	const headBytes = 100
	for _, p := range []struct {
		name  string
		flows int
		reply bool
	}{
		{name: "few flows, agents reply", flows: 5, reply: true},
		{name: "few flows, agents are silent", flows: 5},
		{name: "many flows, agents reply", flows: 1000, reply: true},
		{name: "many flows, agents are silent", flows: 1000},
	} {
		t.Run(p.name, func(t *testing.T) {
			w := newThinWorld(qt.New(t))
			w.denyQueries(w.sendUnknown(p.flows))
			bytes := 0
			for range 100 {
				for _, a := range append([]direct.Action(nil), w.advanceTime(10*time.Millisecond)...) {
					k := balsampier.RelayNotFound
					switch {
					case !a.To.IsValid():
						continue
					case a.Relay.Kind == balsampier.RelayCollect:
						k = balsampier.RelayCollected
					case a.Relay.Kind != balsampier.RelaySearch:
						continue
					}
					bytes += headBytes + len(a.Relay.Payload) + 7*len(a.Relay.Targets)
					if p.reply {
						w.d.HandleReply(a.To, balsampier.Relay{Kind: k, Flow: a.Relay.Flow}, w.t)
					}
				}
			}
			w.Assert(bytes > 0, qt.IsTrue)
			w.Assert(bytes <= 250e3/4+headBytes+800+7*balsampier.MaxCollectTargets, qt.IsTrue, qt.Commentf("%d bytes in a second", bytes))
		})
	}
}

// search returns the relays of the search for one flow that follow within d.
// collected returns the reply of a collector; nil if it does not reply.
func (w *world) search(d time.Duration, collected func(direct.Action) *balsampier.Relay) (collects, searches []direct.Action, resets int) {
	w.denyQueries(w.sendPacket(false))
	for end := w.t.Add(d); w.t.Before(end); {
		for _, a := range append([]direct.Action(nil), w.advanceTime(10*time.Millisecond)...) {
			switch {
			case a.Reset != nil:
				resets++
			case !a.To.IsValid():
			case a.Relay.Kind == balsampier.RelayCollect:
				collects = append(collects, a)
				if r := collected(a); r != nil {
					r.Kind, r.Flow = balsampier.RelayCollected, a.Relay.Flow
					w.d.HandleReply(a.To, *r, w.t)
					resets += countResets(w.d.PopActions())
				}
			case a.Relay.Kind == balsampier.RelaySearch:
				searches = append(searches, a)
				w.d.HandleReply(a.To, balsampier.Relay{Kind: balsampier.RelayNotFound, Flow: a.Relay.Flow}, w.t)
				resets += countResets(w.d.PopActions())
			}
		}
	}
	return collects, searches, resets
}

// TestCollectedSearch checks that a search of many agents goes to a few
// collectors, that agents whose replies are missing are asked directly, and that
// the flow is reset once all have replied.
func TestCollectedSearch(t *testing.T) {
	for _, p := range []struct {
		name string
		// missing is the agent whose reply each collector lacks, silent the
		// number of collectors that do not reply.
		missing bool
		silent  int
		// directly is how many agents are asked directly.
		directly int
	}{
		{name: "all reply"},
		{name: "a reply is missing in each group", missing: true, directly: 5},
		{name: "one collector is silent", silent: 1, directly: balsampier.MaxCollectTargets},
		{name: "all collectors are silent", silent: 5, directly: thinAgents},
	} {
		t.Run(p.name, func(t *testing.T) {
			w := newThinWorld(qt.New(t))
			silent := p.silent
			collects, searches, resets := w.search(2*time.Second, func(a direct.Action) *balsampier.Relay {
				if silent > 0 {
					silent--
					return nil
				}
				if !p.missing {
					return &balsampier.Relay{}
				}
				return &balsampier.Relay{Results: []balsampier.SearchResult{{Agent: a.Relay.Targets[len(a.Relay.Targets)-1], Missing: true}}}
			})
			w.Assert(collects, qt.HasLen, 5)
			w.Assert(searches, qt.HasLen, p.directly)
			w.Assert(resets, qt.Equals, 1)
		})
	}
}

// TestCollectorsAreSpread checks that the searches for different flows go to
// different collectors: balancers that search at the same time must not all ask
// the same few agents.
func TestCollectorsAreSpread(t *testing.T) {
	const searches = 200
	c := qt.New(t)
	asked := make(map[netip.AddrPort]int)
	for i := range searches {
		w := newThinWorld(c)
		s := segment(false)
		s.Client = netip.AddrPortFrom(client.Addr(), uint16(i+1))
		s.Key = balsampier.NewFlowKey(s.Client, routeAddr, nil)
		w.d.HandlePacket(s, []byte("packet"), w.t)
		w.denyQueries(w.d.PopActions())
		for range 10 {
			for _, a := range w.advanceTime(10 * time.Millisecond) {
				if a.To.IsValid() && a.Relay.Kind == balsampier.RelayCollect {
					asked[a.To]++
				}
			}
		}
	}
	most := 0
	for _, n := range asked {
		most = max(most, n)
	}
	// Each search asks five collectors, of which the smallest group has eight
	// agents.
	c.Assert(len(asked) > thinAgents/2, qt.IsTrue, qt.Commentf("%d collectors", len(asked)))
	c.Assert(most < searches/4, qt.IsTrue, qt.Commentf("one collector for %d of %d searches", most, searches))
}

// TestCollectedHolder checks that a flow that a collector reports is found, and
// that no other agent is searched then.
func TestCollectedHolder(t *testing.T) {
	w := newThinWorld(qt.New(t))
	holder := agentAddr(7)
	collects, searches, resets := w.search(time.Second, func(a direct.Action) *balsampier.Relay {
		if !slices.Contains(a.Relay.Targets, holder) {
			return &balsampier.Relay{}
		}
		w.d.HandleReply(a.To, balsampier.Relay{
			Kind: balsampier.RelayCollected, Flow: a.Relay.Flow,
			Results: []balsampier.SearchResult{{Agent: holder, Flows: []uint64{segment(false).Key.Hi}}},
		}, w.t)
		w.Assert(relayTargets(w.d.PopActions(), balsampier.RelayQuery)[0], qt.Equals, holder)
		w.sendReply(holder, balsampier.RelayFound, 0)
		return nil
	})
	w.Assert(len(collects) < 5, qt.IsTrue)
	w.Assert(searches, qt.HasLen, 0)
	w.Assert(resets, qt.Equals, 0)
	w.Assert(relayTargets(w.sendPacket(false), balsampier.RelayDeliver)[0], qt.Equals, holder)
}

// TestHolderOfLowerRank checks that a flow is found without a search at an agent
// that ranked among the first three before others came.
func TestHolderOfLowerRank(t *testing.T) {
	w := newWorld(qt.New(t), 60)
	at := relayTargets(w.sendPacket(true), balsampier.RelayOpen)
	w.adoptView(1, 90)
	w.d = direct.New(direct.Config{DataCentre: "lima-1"})
	w.d.AdoptRoutes(balsampier.RouteFile{Version: 1, Routes: []balsampier.Route{{
		Name: "r", To: routeAddr, Targets: []balsampier.Target{{Service: "reservas", Weight: 1}},
	}}})
	w.adoptView(1, 90)
	asked := 0
	for as := w.sendPacket(false); len(as) > 0; {
		var next []direct.Action
		for _, a := range as {
			w.Assert(a.Relay.Kind, qt.Not(qt.Equals), balsampier.RelaySearch)
			if a.Relay.Kind != balsampier.RelayQuery {
				continue
			}
			asked++
			k := balsampier.RelayNotFound
			if a.To == at[0] {
				k = balsampier.RelayFound
			}
			next = append(next, w.sendReply(a.To, k, 0)...)
		}
		as = next
	}
	w.Assert(asked <= 9, qt.IsTrue)
	w.Assert(relayTargets(w.sendPacket(false), balsampier.RelayDeliver)[0], qt.Equals, at[0])
}

// TestTimeoutFollowsReplies checks that an opening is not offered to further
// agents while the replies of all are slow, and that one silent agent among
// fast ones is still given up soon.
func TestTimeoutFollowsReplies(t *testing.T) {
	for _, p := range []struct {
		name string
		// replyTime is how long the agents take to reply.
		replyTime time.Duration
		// A silent agent is waited for at least for least and at most for most.
		least, most time.Duration
	}{
		{name: "fast", replyTime: 2 * time.Millisecond, least: 40 * time.Millisecond, most: 45 * time.Millisecond},
		{name: "slow", replyTime: 120 * time.Millisecond, least: 121 * time.Millisecond, most: 500 * time.Millisecond},
		{name: "slower than the longest time-out", replyTime: 900 * time.Millisecond, least: 400 * time.Millisecond, most: 505 * time.Millisecond},
	} {
		t.Run(p.name, func(t *testing.T) {
			w := newWorld(qt.New(t), 40)
			open := func(i int) (balsampier.FlowKey, []direct.Action) {
				s := segment(true)
				s.Client = netip.AddrPortFrom(client.Addr(), uint16(i))
				s.Key = balsampier.NewFlowKey(s.Client, routeAddr, nil)
				w.d.HandlePacket(s, []byte("packet"), w.t)
				return s.Key, append([]direct.Action(nil), w.d.PopActions()...)
			}
			for i := range 40 {
				k, as := open(i + 1)
				at := relayTargets(as, balsampier.RelayOpen)
				for e := w.t.Add(p.replyTime); w.t.Before(e); {
					w.advanceTime(time.Millisecond)
				}
				w.d.HandleReply(at[0], balsampier.Relay{Kind: balsampier.RelayAccepted, Flow: k}, w.t)
			}
			w.d.PopActions()
			k, _ := open(1000)
			since := w.t
			again := func(a direct.Action) bool { return a.Relay.Kind == balsampier.RelayOpen && a.Relay.Flow == k }
			for !slices.ContainsFunc(w.advanceTime(time.Millisecond), again) {
				w.Assert(w.t.Sub(since) <= p.most, qt.IsTrue)
			}
			w.Assert(w.t.Sub(since) >= p.least, qt.IsTrue, qt.Commentf("%v", w.t.Sub(since)))
		})
	}
}

// TestSearchOfEarlierLookup checks that a search does not end a lookup that began
// after it. Guards against a reset by replies that are older than the lookup.
func TestSearchOfEarlierLookup(t *testing.T) {
	w := newWorld(qt.New(t), 2)
	reply := func(from netip.AddrPort, number uint64, payload []byte) int {
		w.d.HandleReply(from, balsampier.Relay{Kind: balsampier.RelayNotFound, Flow: balsampier.FlowKey{Lo: number}, Payload: payload}, w.t)
		return countResets(w.d.PopActions())
	}
	w.denyQueries(w.sendPacket(false))
	w.Assert(relayTargets(w.advanceTime(15*time.Millisecond), balsampier.RelaySearch), qt.HasLen, 3)
	w.Assert(reply(agentAddr(2), 1, nil), qt.Equals, 0)
	w.Assert(reply(agentAddr(1), 1, binary.BigEndian.AppendUint64(nil, segment(false).Key.Hi)), qt.Equals, 0)
	w.sendReply(agentAddr(1), balsampier.RelayFound, balsampier.ReasonNone)
	w.advanceTime(time.Millisecond)
	w.denyQueries(w.returnPacket(agentAddr(1)))
	w.Assert(reply(agentAddr(99), 1, nil), qt.Equals, 0)
	w.Assert(relayTargets(w.advanceTime(60*time.Millisecond), balsampier.RelaySearch), qt.HasLen, 3)
	n := 0
	for _, i := range []int{1, 2, 99} {
		n += reply(agentAddr(i), 2, nil)
	}
	w.Assert(n, qt.Equals, 1)
}
