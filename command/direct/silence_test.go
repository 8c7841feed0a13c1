package direct_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/direct"
)

// freshFlowInterval is the time between the first packets of two unknown flows.
const freshFlowInterval = 100 * time.Millisecond

// silenceStep is one part of the history of agentAddr(1), as a balancer sees it.
type silenceStep struct {
	// lasts is how long the step takes.
	lasts time.Duration
	// asked is true while clients send packets of unknown flows, silent while
	// the agent does not reply.
	asked, silent bool
	// run is the agent's run in the view from the start of the step; zero while it
	// is not in the view.
	run balsampier.Incarnation
}

// adoptRun makes the Director adopt a view with the given run of agentAddr(1)
// and the first run of the others.
func (w *world) adoptRun(i balsampier.Incarnation) {
	v := balsampier.View{Epoch: 1}
	for _, n := range []int{1, 2, 3, 4, 99} {
		m := balsampier.Member{
			ID: balsampier.InstanceID(n), Role: balsampier.RoleAgent, Addr: agentAddr(n), Service: "reservas",
			Slots: 3, DataCentre: "lima-1", Incarnation: 1,
		}
		if n == 99 {
			m.Service = "galeria"
		}
		if n == 1 {
			m.Incarnation = i
		}
		if m.Incarnation > 0 {
			v.Members = append(v.Members, m)
		}
	}
	w.d.AdoptView(v, w.t)
}

// play plays a step and returns the number of resets. All agents that reply do
// not have the flow.
func (w *world) play(s silenceStep) (resets int) {
	w.adoptRun(s.run)
	for end := w.t.Add(s.lasts); w.t.Before(end); {
		var as []direct.Action
		if s.asked {
			as = append(as, w.sendPacket(false)...)
			x := segment(false)
			x.Client = netip.AddrPortFrom(client.Addr(), uint16(w.t.Sub(start)/freshFlowInterval))
			x.Key = balsampier.NewFlowKey(x.Client, routeAddr, nil)
			w.d.HandlePacket(x, []byte("packet"), w.t)
			as = append(as, w.d.PopActions()...)
		}
		for as = append(as, w.advanceTime(20*time.Millisecond)...); len(as) > 0; {
			var next []direct.Action
			for _, a := range as {
				if a.Reset != nil {
					resets++
				}
				if !a.To.IsValid() || a.To == agentAddr(1) && s.silent {
					continue
				}
				w.d.HandleReply(a.To, balsampier.Relay{Kind: balsampier.RelayNotFound, Flow: a.Relay.Flow}, w.t)
				next = append(next, w.d.PopActions()...)
			}
			as = next
		}
	}
	return resets
}

// TestSilence checks when an agent that does not reply counts as gone, so that
// its flows are reset. Guards against resets of open flows by a balancer that
// adds up the searches that an agent missed in several restarts.
func TestSilence(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name  string
		steps []silenceStep
		// reset is true if the flow is reset in the last step.
		reset bool
	}{
		{"silent all the while", []silenceStep{{6 * second, true, true, 1}}, true},
		{"one long restart", []silenceStep{{4 * second, true, true, 1}}, false},
		{"two restarts, not asked in between", []silenceStep{
			{second, true, true, 1}, {7 * second, false, false, 2}, {second, true, true, 2}, {second, true, true, 2},
		}, false},
		{"two restarts, the view has not changed", []silenceStep{
			{second, true, true, 1}, {7 * second, false, false, 1}, {second, true, true, 1}, {second, true, true, 1},
		}, false},
		{"two restarts in a row, the view shows the first", []silenceStep{
			{3 * second, true, true, 1}, {3 * second, true, true, 2},
		}, false},
		{"three restarts in a row", []silenceStep{
			{3 * second, true, true, 1}, {3 * second, true, true, 2}, {3 * second, true, true, 3},
		}, false},
		{"the last run is silent for long", []silenceStep{
			{3 * second, true, true, 1}, {6 * second, true, true, 2},
		}, true},
		{"its lease expired, then it renewed it", []silenceStep{
			{second, true, true, 1}, {500 * time.Millisecond, true, true, 0}, {3 * second, true, true, 1},
		}, false},
		{"a restart outside the view", []silenceStep{
			{second, true, false, 0}, {second, true, true, 0},
		}, false},
		{"two restarts outside the view", []silenceStep{
			{second, true, true, 0}, {4 * second, false, false, 0}, {second, true, true, 0},
		}, false},
		{"silent outside the view", []silenceStep{
			{3 * second, true, true, 0},
		}, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newWorld(qt.New(t), 4)
			w.adoptRun(1)
			for i, s := range v.steps {
				n := w.play(s)
				w.Assert(n > 0, qt.Equals, v.reset && i == len(v.steps)-1, qt.Commentf("step %d: %d resets", i, n))
			}
		})
	}
}

// TestSilentAgentIsNotAwaited checks that a search does not wait for agents that
// count as gone. Guards against lookups that all wait while a data centre is
// dark.
func TestSilentAgentIsNotAwaited(t *testing.T) {
	w := newWorld(qt.New(t), 4)
	w.adoptRun(1)
	w.play(silenceStep{6 * time.Second, true, true, 1})
	w.d.HandlePacket(balsampier.Segment{Client: client, Service: routeAddr, Key: balsampier.FlowKey{Hi: 5, Lo: 5}, Ack: true}, []byte("packet"), w.t)
	since, as := w.t, append([]direct.Action(nil), w.d.PopActions()...)
	for countResets(as) == 0 && w.t.Sub(since) < time.Second {
		var next []direct.Action
		for _, a := range as {
			if a.To.IsValid() && a.To != agentAddr(1) {
				w.d.HandleReply(a.To, balsampier.Relay{Kind: balsampier.RelayNotFound, Flow: a.Relay.Flow}, w.t)
				next = append(next, w.d.PopActions()...)
			}
		}
		if as = next; len(as) == 0 {
			as = append(as, w.advanceTime(5*time.Millisecond)...)
		}
	}
	// The queries of the likely holders take up to 80 ms, as the agent is in the
	// view; a search that waits for it takes 80 ms more.
	w.Assert(w.t.Sub(since) < 160*time.Millisecond, qt.IsTrue, qt.Commentf("reset after %v", w.t.Sub(since)))
}

// TestAgentSeenDuringSearch checks that a flow is not reset if an agent joined
// the view after the search was sent. Guards against a reset of a flow at an
// agent that was never asked.
func TestAgentSeenDuringSearch(t *testing.T) {
	tests := []struct {
		name string
		// first and last are the reservas agents in the view during the search.
		first, last int
		resets      int
	}{
		{"the view stays", 1, 2, 1},
		{"an agent joins", 1, 3, 0},
		{"an agent joins and another leaves", 2, 3, 0},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newWorld(qt.New(t), 2)
			w.denyQueries(w.sendPacket(false))
			as := append([]direct.Action(nil), w.advanceTime(20*time.Millisecond)...)
			w.advanceTime(time.Millisecond)
			w.adoptView(v.first, v.last)
			n := 0
			for _, a := range relayTargets(as, balsampier.RelaySearch) {
				w.d.HandleReply(a, balsampier.Relay{Kind: balsampier.RelayNotFound, Flow: balsampier.FlowKey{Lo: 1}}, w.t)
				n += countResets(w.d.PopActions())
			}
			w.Assert(n, qt.Equals, v.resets)
		})
	}
}

// TestLongSilence checks that flows are reset all the time while an agent stays
// silent. Guards against a silence that starts anew because the agent was not waited
// for in between.
func TestLongSilence(t *testing.T) {
	tests := []struct {
		name string
		run  balsampier.Incarnation
	}{
		{"in the view", 1},
		{"outside the view", 0},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newWorld(qt.New(t), 4)
			w.adoptRun(1)
			w.play(silenceStep{6 * time.Second, true, true, v.run})
			for range 20 {
				n := w.play(silenceStep{500 * time.Millisecond, true, true, v.run})
				w.Assert(n > 0, qt.IsTrue, qt.Commentf("no reset in 500 ms until %v", w.t.Sub(start)))
			}
		})
	}
}
