package direct_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/direct"
)

// TestRefusedCopy checks that a flow whose agent refuses a copy of the opening
// packet is offered to another agent, and that it is not reset, as a server may
// have received the first packet. Guards against flows that time out at an agent
// that has restarted.
func TestRefusedCopy(t *testing.T) {
	w := newWorld(qt.New(t), 2)
	at := relayTargets(w.sendPacket(true), balsampier.RelayOpen)
	w.sendReply(at[0], balsampier.RelayAccepted, balsampier.ReasonNone)
	w.advanceTime(200 * time.Millisecond)
	w.Assert(relayTargets(w.sendPacket(true), balsampier.RelayOpen)[0], qt.Equals, at[0])
	next := relayTargets(w.sendReply(at[0], balsampier.RelayRefused, balsampier.ReasonDraining), balsampier.RelayOpen)
	w.Assert(next, qt.HasLen, 1)
	w.Assert(next[0], qt.Not(qt.Equals), at[0])
	as := w.sendReply(next[0], balsampier.RelayRefused, balsampier.ReasonDraining)
	w.Assert(countResets(as), qt.Equals, 0)
}

// TestRouteChangesWhileOpening checks that a flow that waits for an agent is
// offered by the routes in force. Guards against new flows at the old service.
func TestRouteChangesWhileOpening(t *testing.T) {
	route := func(to balsampier.ServiceName) []balsampier.Route {
		return []balsampier.Route{{Name: "r", To: routeAddr, Targets: []balsampier.Target{{Service: to, Weight: 1}}}}
	}
	tests := []struct {
		name   string
		routes []balsampier.Route
		// offers is the number of agents of reservas that the flow is offered to
		// after the change, others that of galeria.
		offers, others, resets int
	}{
		{"the route stays", route("reservas"), 1, 0, 0},
		{"the route moves to another service", route("galeria"), 0, 1, 0},
		{"the route is gone", nil, 0, 0, 1},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newWorld(qt.New(t), 3)
			w.Assert(relayTargets(w.sendPacket(true), balsampier.RelayOpen), qt.HasLen, 1)
			w.d.AdoptRoutes(balsampier.RouteFile{Version: 2, Routes: v.routes})
			as := w.advanceTime(50 * time.Millisecond)
			offers, others := 0, 0
			for _, a := range relayTargets(as, balsampier.RelayOpen) {
				if a == agentAddr(99) {
					others++
				} else {
					offers++
				}
			}
			w.Assert(offers, qt.Equals, v.offers)
			w.Assert(others, qt.Equals, v.others)
			w.Assert(countResets(as), qt.Equals, v.resets)
		})
	}
}

// TestLatePacket checks what follows when the agent of an open flow denies a
// packet because its server holds another flow with the same addresses and ports.
// Guards against resets of a new flow by late packets of the one before.
func TestLatePacket(t *testing.T) {
	tests := []struct {
		name string
		// reason is that of the denial, holder the agent that has the flow of the
		// packet; zero for none.
		reason balsampier.Reason
		holder int
		// resets and next are the number of resets and the agent that gets the next
		// packet; zero if the flow is looked up.
		resets, next int
	}{
		{"a late packet", balsampier.ReasonOtherFlow, 0, 0, 1},
		{"a packet of a later flow", balsampier.ReasonOtherFlow, 2, 0, 2},
		{"the server has neither", balsampier.ReasonNone, 0, 1, 0},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newWorld(qt.New(t), 2)
			w.sendPacket(false)
			w.sendReply(agentAddr(1), balsampier.RelayFound, balsampier.ReasonNone)
			w.d.HandleReply(agentAddr(1), balsampier.Relay{
				Kind: balsampier.RelayNotFound, Flow: segment(true).Key, Reason: v.reason, Payload: []byte("packet"),
			}, w.t)
			resets := 0
			for range 10 {
				for as := append([]direct.Action(nil), w.d.PopActions()...); len(as) > 0; {
					resets += countResets(as)
					var next []direct.Action
					for _, a := range as {
						if !a.To.IsValid() || a.Relay.Kind == balsampier.RelayDeliver {
							continue
						}
						r := balsampier.Relay{Kind: balsampier.RelayNotFound, Flow: a.Relay.Flow}
						if v.holder > 0 && a.To == agentAddr(v.holder) {
							r.Kind = balsampier.RelayFound
						}
						w.d.HandleReply(a.To, r, w.t)
						next = append(next, w.d.PopActions()...)
					}
					as = next
				}
				w.t = w.t.Add(20 * time.Millisecond)
				w.d.Tick(w.t)
			}
			w.Assert(resets, qt.Equals, v.resets)
			to := relayTargets(w.sendPacket(false), balsampier.RelayDeliver)
			w.Assert(len(to) == 1, qt.Equals, v.next > 0)
			if v.next > 0 {
				w.Assert(to[0], qt.Equals, agentAddr(v.next))
			}
		})
	}
}

// TestPacketsOfTwoFlowsInLookup checks that the packets of a new flow that come
// while a late packet of an earlier one is looked up start a lookup of their own.
// Guards against a reset of the new flow because nobody has the earlier one.
func TestPacketsOfTwoFlowsInLookup(t *testing.T) {
	tests := []struct {
		name string
		// sequence and acknowledged are those of the second packet; the first has 0
		// and 7.
		sequence, acknowledged uint32
		resets                 int
	}{
		{"of the same flow", 1200, 7, 1},
		{"of the same flow, numbers wrap", 1<<32 - 1200, 7, 1},
		{"another number of the client", 1 << 30, 7, 0},
		{"another number of the server", 1200, 1 << 31, 0},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newWorld(qt.New(t), 2)
			w.denyQueries(w.sendPacket(false))
			w.Assert(relayTargets(w.advanceTime(15*time.Millisecond), balsampier.RelaySearch), qt.HasLen, 3)
			s := segment(false)
			s.Sequence, s.Acknowledged = v.sequence, v.acknowledged
			w.d.HandlePacket(s, []byte("packet"), w.t)
			w.d.PopActions()
			n := 0
			for _, i := range []int{1, 2, 99} {
				w.d.HandleReply(agentAddr(i), balsampier.Relay{Kind: balsampier.RelayNotFound, Flow: balsampier.FlowKey{Lo: 1}}, w.t)
				n += countResets(w.d.PopActions())
			}
			w.Assert(n, qt.Equals, v.resets)
		})
	}
}

// TestReturnedInEarlierLookup checks that an agent that does not know its flows is
// probed in each lookup. Guards against a reset of a flow because a packet of an
// earlier one from the same port was returned.
func TestReturnedInEarlierLookup(t *testing.T) {
	tests := []struct {
		name string
		// taken is true if the server of agentAddr(2) does not return the probe
		// packet, so that it counts as the holder, but the next packet.
		taken bool
	}{
		{"nobody has the flow", false},
		{"another agent was taken for the holder", true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newWorld(qt.New(t), 2)
			probed := 0
			for i := range 4 {
				as := w.sendPacket(false)
				for range 60 {
					var next []direct.Action
					for _, a := range as {
						r := balsampier.Relay{Kind: balsampier.RelayUncertain, Flow: a.Relay.Flow}
						switch {
						case a.To == agentAddr(2) && v.taken && a.Relay.Kind == balsampier.RelayDeliver && i%2 == 1:
							r.Kind, r.Payload = balsampier.RelayNotFound, a.Relay.Payload
						case a.To == agentAddr(1) && a.Relay.Kind == balsampier.RelayProbe:
							probed++
							r.Kind, r.Payload = balsampier.RelayNotFound, a.Relay.Payload
						case a.To != agentAddr(1) && (a.To != agentAddr(2) || !v.taken || a.Relay.Kind == balsampier.RelayProbe || a.Relay.Kind == balsampier.RelayDeliver):
							continue
						}
						w.d.HandleReply(a.To, r, w.t)
						next = append(next, w.d.PopActions()...)
					}
					as = append(next, w.advanceTime(20*time.Millisecond)...)
				}
			}
			w.Assert(probed, qt.Equals, 4)
		})
	}
}
