package hold_test

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/hold"
)

const serverSequence = 1000

var (
	start    = time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)
	client   = netip.MustParseAddrPort("192.0.2.1:4000")
	to       = netip.MustParseAddrPort("203.0.113.7:443")
	balancer = netip.MustParseAddrPort("198.51.100.1:7000")
)

type testAgent struct {
	*qt.C
	table *hold.FlowTable
	t     time.Time
	// forbidden is true if the agent's own routes, of revision 9, do not allow
	// the flow.
	forbidden bool
}

func newTestAgent(c *qt.C, knowsAllFlows bool) *testAgent {
	w := &testAgent{C: c, t: start}
	w.table = hold.New(hold.Config{
		Service: "reservas", KnowsAllFlows: knowsAllFlows, StartedAt: start,
		Allowed: func(netip.AddrPort) (bool, balsampier.Revision) { return !w.forbidden, 9 },
	}, start)
	return w
}

func state(born time.Duration, sequence uint64, draining bool) balsampier.ServerState {
	return balsampier.ServerState{
		ID: "i-1", Born: start.Add(born), Sequence: sequence, Service: "reservas", Slots: 3, Draining: draining,
	}
}

func segment(opening bool) balsampier.Segment {
	return balsampier.Segment{Client: client, Service: to, Key: balsampier.NewFlowKey(client, to, nil), Opening: opening}
}

func (w *testAgent) relay(k balsampier.RelayKind, s balsampier.Segment, v balsampier.Revision) []hold.Action {
	w.table.HandleRelay(balancer, balsampier.Relay{
		Kind: k, Flow: s.Key, Service: balsampier.ServiceName("reservas").Hash(), Revision: v, Payload: []byte("packet"),
	}, s, w.t)
	return w.table.PopActions()
}

// fromServer passes the table a packet that the server sends.
func (w *testAgent) fromServer(s balsampier.Segment) []hold.Action {
	w.table.HandleServerPacket(s, []byte("packet"), w.t)
	return w.table.PopActions()
}

// openFlow opens a flow at the server.
func (w *testAgent) openFlow() {
	w.relay(balsampier.RelayOpen, segment(true), 9)
	s := segment(true)
	s.Ack, s.Sequence = true, serverSequence
	w.fromServer(s)
	w.relay(balsampier.RelayDeliver, ackSegment(serverSequence+1), 9)
}

func ackSegment(n uint32) balsampier.Segment {
	s := segment(false)
	s.Ack, s.Acknowledged = true, n
	return s
}

// replyOf returns the kind and reason of the reply, and whether a packet was
// delivered to the server.
func replyOf(as []hold.Action) (k balsampier.RelayKind, r balsampier.Reason, delivered bool) {
	for _, a := range as {
		if a.To.IsValid() {
			k, r = a.Reply.Kind, a.Reply.Reason
		}
		delivered = delivered || a.ToServer != nil
	}
	return k, r, delivered
}

func TestOpening(t *testing.T) {
	tests := []struct {
		name string
		// prepare runs before the opening packet.
		prepare func(w *testAgent)
		want    balsampier.RelayKind
		reason  balsampier.Reason
	}{
		{"no server", func(*testAgent) {}, balsampier.RelayRefused, balsampier.ReasonNoBackendServer},
		{"server", func(w *testAgent) { w.table.HandleHeartbeat(state(0, 1, false), w.t) }, balsampier.RelayAccepted, 0},
		{"draining server", func(w *testAgent) {
			w.table.HandleHeartbeat(state(0, 1, false), w.t)
			w.table.HandleHeartbeat(state(0, 2, true), w.t)
		}, balsampier.RelayRefused, balsampier.ReasonDraining},
		{"late heartbeat after draining", func(w *testAgent) {
			w.table.HandleHeartbeat(state(0, 2, true), w.t)
			w.table.HandleHeartbeat(state(0, 1, false), w.t)
		}, balsampier.RelayRefused, balsampier.ReasonDraining},
		{"heartbeat of an earlier run", func(w *testAgent) {
			w.table.HandleHeartbeat(state(time.Second, 1, true), w.t)
			w.table.HandleHeartbeat(state(0, 50, false), w.t)
		}, balsampier.RelayRefused, balsampier.ReasonDraining},
		{"later run with a lower sequence number", func(w *testAgent) {
			w.table.HandleHeartbeat(state(0, 50, true), w.t)
			w.table.HandleHeartbeat(state(time.Second, 1, false), w.t)
		}, balsampier.RelayAccepted, 0},
		{"server that left", func(w *testAgent) {
			w.table.HandleHeartbeat(state(0, 1, false), w.t)
			w.table.HandleShutdown("i-1")
		}, balsampier.RelayRefused, balsampier.ReasonNoBackendServer},
		{"server of another service", func(w *testAgent) {
			s := state(0, 1, false)
			s.Service = "galeria"
			w.table.HandleHeartbeat(s, w.t)
		}, balsampier.RelayRefused, balsampier.ReasonWrongService},
		{"newer routes forbid it", func(w *testAgent) {
			w.table.HandleHeartbeat(state(0, 1, false), w.t)
			w.forbidden = true
		}, balsampier.RelayRefused, balsampier.ReasonRouteChanged},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newTestAgent(qt.New(t), true)
			v.prepare(w)
			k, r, delivered := replyOf(w.relay(balsampier.RelayOpen, segment(true), 8))
			w.Assert(k, qt.Equals, v.want)
			w.Assert(r, qt.Equals, v.reason)
			w.Assert(delivered, qt.Equals, k == balsampier.RelayAccepted)
		})
	}
}

// TestForbiddenByRoutes opens a flow that the agent's routes do not allow. Only
// routes that are newer at the balancer go before them.
func TestForbiddenByRoutes(t *testing.T) {
	tests := []struct {
		name     string
		revision balsampier.Revision
		want     balsampier.RelayKind
	}{
		{"the balancer has older routes", 8, balsampier.RelayRefused},
		{"both have the same routes", 9, balsampier.RelayRefused},
		{"the balancer has newer routes", 10, balsampier.RelayAccepted},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newTestAgent(qt.New(t), true)
			w.table.HandleHeartbeat(state(0, 1, false), w.t)
			w.forbidden = true
			k, _, _ := replyOf(w.relay(balsampier.RelayOpen, segment(true), v.revision))
			w.Assert(k, qt.Equals, v.want)
		})
	}
}

func TestQuery(t *testing.T) {
	tests := []struct {
		name          string
		knowsAllFlows bool
		prepare       func(w *testAgent)
		packet        balsampier.Segment
		want          balsampier.RelayKind
	}{
		{"open flow", true, (*testAgent).openFlow, ackSegment(serverSequence + 500), balsampier.RelayFound},
		{"unknown flow", true, func(*testAgent) {}, ackSegment(1), balsampier.RelayNotFound},
		{"unknown flow, the agent started after the server", false, useOlderServer, ackSegment(1), balsampier.RelayUncertain},
		{"unknown flow, both started together", false, func(*testAgent) {}, ackSegment(1), balsampier.RelayNotFound},
		{"unknown flow, the clock was set back in between", false, func(w *testAgent) {
			s := state(time.Second, 9, false)
			s.ID = "i-2"
			w.table.HandleHeartbeat(s, w.t)
		}, ackSegment(1), balsampier.RelayUncertain},
		{"longest flow lifetime after the start of the agent", false, func(w *testAgent) { useOlderServer(w); w.t = w.t.Add(61 * time.Second) }, ackSegment(1), balsampier.RelayNotFound},
		{"opening not answered", true, func(w *testAgent) { w.relay(balsampier.RelayOpen, segment(true), 9) }, ackSegment(1), balsampier.RelayNotFound},
		{"opening answered, and acknowledged here", true, openHalf, ackSegment(serverSequence + 1), balsampier.RelayFound},
		{"opening answered, acknowledged elsewhere", true, openHalf, ackSegment(serverSequence - 1), balsampier.RelayNotFound},
		{"flow of an earlier run", true, func(w *testAgent) {
			w.openFlow()
			w.table.HandleHeartbeat(state(time.Second, 1, false), w.t)
		}, ackSegment(serverSequence + 1), balsampier.RelayFound},
		{"opening of an earlier run, acknowledged elsewhere", true, func(w *testAgent) {
			openHalf(w)
			w.table.HandleHeartbeat(state(time.Second, 1, false), w.t)
		}, ackSegment(serverSequence - 1), balsampier.RelayNotFound},
		{"retransmitted opening after the agent restarted", false, func(w *testAgent) {
			useOlderServer(w)
			w.relay(balsampier.RelayOpen, segment(true), 9)
		}, ackSegment(serverSequence + 1), balsampier.RelayUncertain},
		{"packet from the server after a retransmitted opening", false, func(w *testAgent) {
			useOlderServer(w)
			w.relay(balsampier.RelayOpen, segment(true), 9)
			w.fromServer(segment(false))
		}, ackSegment(serverSequence + 1), balsampier.RelayFound},
		{"the server has sent no heartbeat yet", false, useUnreportedServer, ackSegment(1), balsampier.RelayUncertain},
		{"flow learned before the first heartbeat", false, func(w *testAgent) {
			useUnreportedServer(w)
			w.fromServer(segment(false))
			w.table.HandleHeartbeat(state(-time.Second, 9, false), w.t)
		}, ackSegment(1), balsampier.RelayFound},
		{"the server left", false, func(w *testAgent) {
			useOlderServer(w)
			w.table.HandleShutdown("i-1")
		}, ackSegment(1), balsampier.RelayNotFound},
		{"flow learned from the server", false, func(w *testAgent) { useOlderServer(w); w.fromServer(segment(false)) }, ackSegment(1), balsampier.RelayFound},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newTestAgent(qt.New(t), v.knowsAllFlows)
			w.table.HandleHeartbeat(state(0, 1, false), w.t)
			v.prepare(w)
			k, _, delivered := replyOf(w.relay(balsampier.RelayQuery, v.packet, 9))
			w.Assert(k, qt.Equals, v.want)
			w.Assert(delivered, qt.IsFalse)
		})
	}
}

// useOlderServer replaces the server by one that started before the agent.
func useOlderServer(w *testAgent) {
	w.table = hold.New(hold.Config{
		Service: "reservas", StartedAt: start, Allowed: func(netip.AddrPort) (bool, balsampier.Revision) { return true, 9 },
	}, start)
	w.table.HandleHeartbeat(state(-time.Second, 1, false), w.t)
}

// useUnreportedServer replaces the server by one that has not sent a heartbeat
// yet.
func useUnreportedServer(w *testAgent) {
	w.table = hold.New(hold.Config{
		Service: "reservas", StartedAt: start, Allowed: func(netip.AddrPort) (bool, balsampier.Revision) { return true, 9 },
	}, start)
}

func openHalf(w *testAgent) {
	w.relay(balsampier.RelayOpen, segment(true), 9)
	s := segment(true)
	s.Ack, s.Sequence = true, serverSequence
	w.fromServer(s)
}

// TestReturned checks the reply to the balancer for packets that the server did
// not accept.
func TestReturned(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(w *testAgent)
		packet  balsampier.Segment
		want    balsampier.RelayKind
	}{
		{"opening", func(w *testAgent) { w.relay(balsampier.RelayOpen, segment(true), 9) }, segment(true), balsampier.RelayRefused},
		{"packet of a flow", (*testAgent).openFlow, segment(false), balsampier.RelayNotFound},
		{"retransmitted opening of an open flow", (*testAgent).openFlow, segment(true), 0},
		{"packet of an unknown flow", func(*testAgent) {}, segment(false), 0},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newTestAgent(qt.New(t), true)
			w.table.HandleHeartbeat(state(0, 1, false), w.t)
			v.prepare(w)
			s := v.packet
			s.Returned = true
			as := w.fromServer(s)
			k, _, delivered := replyOf(as)
			w.Assert(k, qt.Equals, v.want)
			w.Assert(delivered, qt.IsFalse)
			for _, a := range as {
				w.Assert(a.ToClient, qt.IsNil)
			}
		})
	}
}

// TestSilentServer leaves openings unanswered: the balancer receives a refusal
// for each, and after two of them openings are refused except for one probe per
// interval.
func TestSilentServer(t *testing.T) {
	w := newTestAgent(qt.New(t), true)
	w.table.HandleHeartbeat(state(0, 1, false), w.t)
	open := func(port uint16) balsampier.RelayKind {
		s := segment(true)
		s.Client = netip.AddrPortFrom(client.Addr(), port)
		s.Key = balsampier.NewFlowKey(s.Client, to, nil)
		k, _, _ := replyOf(w.relay(balsampier.RelayOpen, s, 9))
		return k
	}
	for i := range 2 {
		w.Assert(open(uint16(i+1)), qt.Equals, balsampier.RelayAccepted)
		w.t = w.t.Add(50 * time.Millisecond)
		w.table.Tick(w.t)
		k, r, _ := replyOf(w.table.PopActions())
		w.Assert(k, qt.Equals, balsampier.RelayRefused)
		w.Assert(r, qt.Equals, balsampier.ReasonUnanswered)
	}
	w.Assert(open(10), qt.Equals, balsampier.RelayRefused)
	w.t = w.t.Add(time.Second)
	w.Assert(open(11), qt.Equals, balsampier.RelayAccepted)
	w.Assert(open(12), qt.Equals, balsampier.RelayRefused)
	s := segment(true)
	s.Ack = true
	w.fromServer(s)
	w.Assert(open(13), qt.Equals, balsampier.RelayAccepted)
}

// TestEarlierRun restarts the server. Flows of the earlier run are reset only
// once the server has returned a packet, because it may have accepted a flow
// before its first heartbeat.
func TestEarlierRun(t *testing.T) {
	tests := []struct {
		name   string
		answer func(w *testAgent) []hold.Action
		resets int
	}{
		{"the server returns the packet", func(w *testAgent) []hold.Action {
			s := ackSegment(serverSequence + 1)
			s.Returned = true
			return w.fromServer(s)
		}, 1},
		{"the server has the flow", func(w *testAgent) []hold.Action {
			w.fromServer(segment(false))
			return w.relay(balsampier.RelayDeliver, ackSegment(serverSequence+1), 9)
		}, 0},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newTestAgent(qt.New(t), true)
			w.table.HandleHeartbeat(state(0, 1, false), w.t)
			w.openFlow()
			w.fromServer(segment(false))
			w.table.HandleHeartbeat(state(time.Second, 1, false), w.t)
			w.Assert(w.table.Load(), qt.Equals, balsampier.Load{Slots: 3})
			_, _, delivered := replyOf(w.relay(balsampier.RelayDeliver, ackSegment(serverSequence+1), 9))
			w.Assert(delivered, qt.IsTrue)
			n := 0
			for _, a := range v.answer(w) {
				if a.Reset != nil {
					n++
				}
			}
			w.Assert(n, qt.Equals, v.resets)
		})
	}
}

// TestServerAbsent finds that no server listens: open flows are reset at their
// clients, and openings are refused until a server sends a heartbeat.
func TestServerAbsent(t *testing.T) {
	w := newTestAgent(qt.New(t), false)
	w.Assert(w.table.ShouldCheckServer(w.t), qt.IsTrue)
	w.table.HandleHeartbeat(state(-time.Hour, 9, false), w.t)
	w.Assert(w.table.ShouldCheckServer(w.t), qt.IsTrue)
	w.table.HandleServerListens()
	w.Assert(w.table.ShouldCheckServer(w.t), qt.IsFalse)
	w.openFlow()
	q := ackSegment(serverSequence + 1)
	q.Length = 900
	w.relay(balsampier.RelayDeliver, q, 9)
	w.t = w.t.Add(time.Second)
	w.relay(balsampier.RelayDeliver, q, 9)
	w.Assert(w.table.ShouldCheckServer(w.t), qt.IsFalse)
	w.t = w.t.Add(200 * time.Millisecond)
	w.Assert(w.table.ShouldCheckServer(w.t), qt.IsTrue)

	w.Assert(w.table.HandleServerAbsent(w.t), qt.IsTrue)
	as := w.table.PopActions()
	w.Assert(as, qt.HasLen, 2)
	w.Assert(as[0].Reset.Acknowledged, qt.Equals, q.Acknowledged)
	w.Assert(w.table.HandleServerAbsent(w.t), qt.IsFalse)
	w.Assert(w.table.ShouldCheckServer(w.t), qt.IsFalse)
	w.Assert(w.table.Load(), qt.Equals, balsampier.Load{Slots: 3})
	k, _, _ := replyOf(w.relay(balsampier.RelayQuery, q, 9))
	w.Assert(k, qt.Equals, balsampier.RelayNotFound)
	k, r, _ := replyOf(w.relay(balsampier.RelayOpen, segment(true), 9))
	w.Assert(k, qt.Equals, balsampier.RelayRefused)
	w.Assert(r, qt.Equals, balsampier.ReasonNoBackendServer)

	w.Assert(w.table.HandleHeartbeat(state(-time.Hour, 10, false), w.t), qt.IsTrue)
	k, _, _ = replyOf(w.relay(balsampier.RelayOpen, segment(true), 9))
	w.Assert(k, qt.Equals, balsampier.RelayAccepted)
}

// TestFlowsWithTheSameHash checks that a search finds a flow although another one
// that shares its hash has ended and expired, whichever of them is older.
func TestFlowsWithTheSameHash(t *testing.T) {
	for _, p := range []struct {
		name string
		// kept is the index of the flow that goes on.
		kept int
	}{{"the first", 0}, {"the second", 1}, {"the third", 2}} {
		t.Run(p.name, func(t *testing.T) {
			w := newTestAgent(qt.New(t), true)
			w.table.HandleHeartbeat(state(0, 1, false), w.t)
			var flows []balsampier.Segment
			for i := range 3 {
				s := segment(true)
				s.Key.Lo += uint64(i)
				flows = append(flows, s)
				w.relay(balsampier.RelayOpen, s, 9)
			}
			for range 4 {
				w.t = w.t.Add(20 * time.Second)
				s := flows[p.kept]
				s.Opening = false
				w.table.HandleServerPacket(s, []byte("packet"), w.t)
				w.table.Tick(w.t)
				w.table.PopActions()
			}
			w.table.HandleRelay(balancer, balsampier.Relay{
				Kind: balsampier.RelaySearch, Flow: balsampier.FlowKey{Lo: 1}, Payload: binary.BigEndian.AppendUint64(nil, flows[0].Key.Hi),
			}, balsampier.Segment{}, w.t)
			as := w.table.PopActions()
			w.Assert(as, qt.HasLen, 1)
			w.Assert(as[0].Reply.Payload, qt.HasLen, 8)
		})
	}
}

// TestLateHeartbeatOfEndedServer checks that a heartbeat that arrives after its
// server has ended, at an agent that has restarted meanwhile, is checked: the
// server does not stay in use if nothing listens. A packet or a connection
// confirms a server that lives.
func TestLateHeartbeatOfEndedServer(t *testing.T) {
	for _, p := range []struct {
		name     string
		evidence func(*testAgent)
		checks   bool
	}{
		{name: "nothing heard since", evidence: func(*testAgent) {}, checks: true},
		{name: "the server listens", evidence: func(w *testAgent) { w.table.HandleServerListens() }},
		{name: "the server sent a packet", evidence: func(w *testAgent) {
			w.table.HandleServerPacket(segment(false), []byte("packet"), w.t)
			w.table.PopActions()
		}},
		{name: "it listened, and another run sent a heartbeat", evidence: func(w *testAgent) {
			w.table.HandleServerListens()
			w.table.HandleHeartbeat(state(time.Hour, 1, false), w.t)
		}, checks: true},
	} {
		t.Run(p.name, func(t *testing.T) {
			w := newTestAgent(qt.New(t), false)
			w.Assert(w.table.HandleServerAbsent(w.t), qt.IsFalse)
			w.t = w.t.Add(3 * time.Second)
			w.Assert(w.table.HandleServerAbsent(w.t), qt.IsTrue)
			w.table.HandleHeartbeat(state(-time.Hour, 90, false), w.t)
			p.evidence(w)
			w.t = w.t.Add(time.Second)
			w.Assert(w.table.ShouldCheckServer(w.t), qt.Equals, p.checks)
			if p.checks {
				w.Assert(w.table.HandleServerAbsent(w.t), qt.IsTrue)
				_, r, _ := replyOf(w.relay(balsampier.RelayOpen, segment(true), 9))
				w.Assert(r, qt.Equals, balsampier.ReasonNoBackendServer)
			}
		})
	}
}

// TestHasServerEnded checks what an agent knows of its server when it stops.
// Guards against an agent that says that a server has ended of which it knows
// nothing, or which may have closed its listener while it drains.
func TestHasServerEnded(t *testing.T) {
	tests := []struct {
		name string
		// joining is true if the agent started beside a server that may run.
		joining bool
		prepare func(w *testAgent)
		// refuses is true if the server's address refuses a connection then.
		refuses bool
		want    bool
	}{
		{"heard nothing", true, func(*testAgent) {}, false, false},
		{"heard nothing, refused", true, func(*testAgent) {}, true, false},
		{"heard nothing for long, refused", true, func(w *testAgent) { w.t = w.t.Add(4 * time.Second) }, true, true},
		{"heard a packet lately, refused", true, func(w *testAgent) {
			w.t = w.t.Add(4 * time.Second)
			w.fromServer(segment(false))
		}, true, false},
		{"first start of the whole system, refused", false, func(*testAgent) {}, true, true},
		{"ready", true, func(w *testAgent) { w.table.HandleHeartbeat(state(0, 1, false), w.t) }, false, false},
		{"ready, refused", true, func(w *testAgent) { w.table.HandleHeartbeat(state(0, 1, false), w.t) }, true, true},
		{"draining", true, func(w *testAgent) { w.table.HandleHeartbeat(state(0, 2, true), w.t) }, false, false},
		{"draining, refused", true, func(w *testAgent) { w.table.HandleHeartbeat(state(0, 2, true), w.t) }, true, false},
		{"draining, refused, no heartbeat for long", true, func(w *testAgent) {
			w.table.HandleHeartbeat(state(0, 2, true), w.t)
			w.t = w.t.Add(4 * time.Second)
		}, true, true},
		{"shut down", true, func(w *testAgent) {
			w.table.HandleHeartbeat(state(0, 2, true), w.t)
			w.table.HandleShutdown("i-1")
		}, false, true},
		{"shut down, and a heartbeat since", true, func(w *testAgent) {
			w.table.HandleHeartbeat(state(0, 2, true), w.t)
			w.table.HandleShutdown("i-1")
			w.table.HandleHeartbeat(state(0, 3, false), w.t)
		}, false, false},
		{"the next run has started", true, func(w *testAgent) {
			w.table.HandleHeartbeat(state(0, 2, true), w.t)
			w.table.HandleShutdown("i-1")
			w.table.HandleHeartbeat(state(time.Second, 1, false), w.t)
		}, false, false},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newTestAgent(qt.New(t), !v.joining)
			v.prepare(w)
			if v.refuses {
				w.table.HandleServerAbsent(w.t)
			}
			w.Assert(w.table.HasServerEnded(), qt.Equals, v.want)
		})
	}
}

// TestNewestRun checks which run of a server counts, by whether an opening packet
// is accepted, and whether the last heartbeat is acknowledged. Guards against a
// draining that is acknowledged and not obeyed after the time of day was set
// back, and against late heartbeats of an ended run that bring it back.
func TestNewestRun(t *testing.T) {
	const beat = 1200 * time.Millisecond
	type heartbeat struct {
		after    time.Duration
		id       string
		born     time.Duration
		sequence uint64
		draining bool
	}
	tests := []struct {
		name string
		// first are the heartbeats before gone, which is called if it is not
		// nil, and then those of rest arrive.
		first []heartbeat
		gone  func(*hold.FlowTable, time.Time)
		rest  []heartbeat
		want  balsampier.Reason
		// acknowledged is true if the last heartbeat is of the run that counts.
		acknowledged bool
	}{
		{
			"a later run, the clock was set back, the end was seen",
			[]heartbeat{{0, "i-1", 2 * time.Second, 9, false}},
			func(h *hold.FlowTable, t time.Time) { h.HandleServerAbsent(t) },
			[]heartbeat{{beat, "i-2", 0, 1, true}},
			balsampier.ReasonDraining, true,
		},
		{
			"a later run, the clock was set back, the end was not seen",
			[]heartbeat{{0, "i-1", 2 * time.Second, 9, false}},
			nil,
			[]heartbeat{{beat, "i-2", 0, 1, false}, {beat, "i-2", 0, 2, false}, {beat, "i-2", 0, 3, false}, {beat, "i-2", 0, 4, true}},
			balsampier.ReasonDraining, true,
		},
		{
			"a later run with the same ID, the clock was set back, the end was not seen",
			[]heartbeat{{0, "i-1", 2 * time.Second, 9, false}},
			nil,
			[]heartbeat{{beat, "i-1", 0, 1, false}, {beat, "i-1", 0, 2, false}, {beat, "i-1", 0, 3, false}, {beat, "i-1", 0, 4, true}},
			balsampier.ReasonDraining, true,
		},
		{
			"it is not known yet which run lives",
			[]heartbeat{{0, "i-1", 2 * time.Second, 9, false}},
			nil,
			[]heartbeat{{beat, "i-2", 0, 1, false}, {beat, "i-2", 0, 2, true}},
			balsampier.ReasonNone, false,
		},
		{
			"late heartbeats of an ended run that was never heard of",
			[]heartbeat{{0, "i-2", time.Second, 1, false}},
			nil,
			[]heartbeat{{beat, "i-1", 0, 7, true}, {beat, "i-2", time.Second, 2, false}, {beat, "i-1", 0, 8, true}, {beat, "i-2", time.Second, 3, false}, {beat, "i-1", 0, 9, true}},
			balsampier.ReasonNone, false,
		},
		{
			"a late draining heartbeat of a replaced run that started while the clock was ahead",
			[]heartbeat{{0, "i-1", 2 * time.Second, 9, false}},
			func(h *hold.FlowTable, t time.Time) { h.HandleServerAbsent(t) },
			[]heartbeat{{beat, "i-2", 0, 1, false}, {beat, "i-1", 2 * time.Second, 10, true}},
			balsampier.ReasonNone, false,
		},
		{
			"a late heartbeat of a replaced run beside a draining one",
			[]heartbeat{{0, "i-1", 2 * time.Second, 9, false}},
			func(h *hold.FlowTable, t time.Time) { h.HandleServerAbsent(t) },
			[]heartbeat{{beat, "i-1", 0, 1, true}, {beat, "i-1", 2 * time.Second, 10, false}},
			balsampier.ReasonDraining, false,
		},
		{
			"a run that was taken for replaced lives",
			[]heartbeat{{0, "i-1", 0, 9, false}},
			nil,
			[]heartbeat{{beat, "i-2", time.Second, 1, false}, {beat, "i-1", 0, 10, false}, {beat, "i-1", 0, 11, false}, {beat, "i-1", 0, 12, false}, {beat, "i-1", 0, 13, true}},
			balsampier.ReasonDraining, true,
		},
		{
			"a late heartbeat after the shutdown notice",
			[]heartbeat{{0, "i-1", 0, 9, false}},
			func(h *hold.FlowTable, _ time.Time) { h.HandleShutdown("i-1") },
			[]heartbeat{{beat, "i-1", 0, 10, false}},
			balsampier.ReasonNoBackendServer, true,
		},
		{
			"a heartbeat after the shutdown notice of an earlier run with the same ID, a server listens",
			[]heartbeat{{0, "i-1", 0, 9, false}},
			func(h *hold.FlowTable, t time.Time) {
				h.HandleShutdown("i-1")
				h.HandleHeartbeat(state(0, 10, false), t)
				h.HandleServerListens()
			},
			[]heartbeat{{beat, "i-1", 0, 11, false}},
			balsampier.ReasonNone, true,
		},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newTestAgent(qt.New(t), true)
			var last balsampier.ServerState
			send := func(hs []heartbeat) {
				for _, b := range hs {
					w.t = w.t.Add(b.after)
					last = state(b.born, b.sequence, b.draining)
					last.ID = b.id
					w.table.HandleHeartbeat(last, w.t)
				}
			}
			send(v.first)
			if v.gone != nil {
				v.gone(w.table, w.t)
			}
			send(v.rest)
			w.Assert(w.table.IsCurrentRun(last), qt.Equals, v.acknowledged)
			_, r, _ := replyOf(w.relay(balsampier.RelayOpen, segment(true), 9))
			w.Assert(r, qt.Equals, v.want)
		})
	}
}

// TestStartedAfterAgent checks when an agent that has restarted takes its server
// for a later one, of which it knows all flows. Guards against a server that
// started first, while the clock was ahead: its flows would be reset.
func TestStartedAfterAgent(t *testing.T) {
	tests := []struct {
		name string
		// at is when the first heartbeat arrives after the start of the agent.
		at, born time.Duration
		sequence uint64
		want     balsampier.RelayKind
	}{
		{"its first heartbeat", 100 * time.Millisecond, 0, 1, balsampier.RelayNotFound},
		{"its third heartbeat, at once, while the clock was ahead", 100 * time.Millisecond, 400 * time.Millisecond, 3, balsampier.RelayUncertain},
		{"its third heartbeat, long after the start of the agent", 5 * time.Second, time.Second, 3, balsampier.RelayNotFound},
		{"a later heartbeat", 5 * time.Second, time.Second, 5, balsampier.RelayUncertain},
		{"it started before the agent", 100 * time.Millisecond, -time.Second, 1, balsampier.RelayUncertain},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newTestAgent(qt.New(t), false)
			w.t = w.t.Add(v.at)
			w.table.HandleHeartbeat(state(v.born, v.sequence, false), w.t)
			k, _, _ := replyOf(w.relay(balsampier.RelayQuery, ackSegment(1), 9))
			w.Assert(k, qt.Equals, v.want)
		})
	}
}

// TestDrainingServerClosesListener checks that a server that drains is not taken
// for ended when it refuses connections: it may have closed its listener while
// it still serves its flows. It has ended once its heartbeats stop as well.
func TestDrainingServerClosesListener(t *testing.T) {
	w := newTestAgent(qt.New(t), true)
	w.table.HandleHeartbeat(state(0, 1, false), w.t)
	w.openFlow()
	q := ackSegment(serverSequence + 1)
	q.Length = 900
	w.t = w.t.Add(time.Second)
	w.table.HandleHeartbeat(state(0, 2, true), w.t)
	w.relay(balsampier.RelayDeliver, q, 9)
	w.t = w.t.Add(time.Second)
	w.Assert(w.table.ShouldCheckServer(w.t), qt.IsTrue)
	w.Assert(w.table.HandleServerAbsent(w.t), qt.IsFalse)
	w.Assert(w.table.PopActions(), qt.HasLen, 0)
	k, _, _ := replyOf(w.relay(balsampier.RelayQuery, q, 9))
	w.Assert(k, qt.Equals, balsampier.RelayFound)
	w.table.HandleHeartbeat(state(0, 3, true), w.t)
	w.t = w.t.Add(2500 * time.Millisecond)
	w.Assert(w.table.HandleServerAbsent(w.t), qt.IsFalse)
	w.t = w.t.Add(time.Second)
	w.Assert(w.table.HandleServerAbsent(w.t), qt.IsTrue)
	as := w.table.PopActions()
	w.Assert(as, qt.HasLen, 2)
	w.Assert(as[0].Reset, qt.IsNotNil)
}

// TestLoad checks that open flows and requests in flight are counted once each.
func TestLoad(t *testing.T) {
	w := newTestAgent(qt.New(t), true)
	w.table.HandleHeartbeat(state(0, 1, false), w.t)
	w.openFlow()
	w.Assert(w.table.Load(), qt.Equals, balsampier.Load{Connections: 1, Slots: 3})
	q := ackSegment(serverSequence + 1)
	q.Length = 900
	w.relay(balsampier.RelayDeliver, q, 9)
	w.relay(balsampier.RelayDeliver, q, 9)
	w.Assert(w.table.Load(), qt.Equals, balsampier.Load{Connections: 1, Running: 1, Slots: 3})
	a := segment(false)
	a.Length = 600
	w.fromServer(a)
	w.Assert(w.table.Load(), qt.Equals, balsampier.Load{Connections: 1, Slots: 3})
	a.Final, a.Length = true, 0
	w.fromServer(a)
	w.relay(balsampier.RelayDeliver, ackSegment(serverSequence+1), 9)
	w.Assert(w.table.Load(), qt.Equals, balsampier.Load{Slots: 3})
}

// TestDepartedAgent checks that replies to searches report for a while that an
// agent left the view, because its server may still run.
func TestDepartedAgent(t *testing.T) {
	w := newTestAgent(qt.New(t), true)
	w.table.HandleHeartbeat(state(0, 1, false), w.t)
	lost := func() time.Duration {
		w.table.HandleRelay(balancer, balsampier.Relay{Kind: balsampier.RelaySearch, Flow: balsampier.FlowKey{Lo: 1}}, balsampier.Segment{}, w.t)
		as := w.table.PopActions()
		w.Assert(as, qt.HasLen, 1)
		return as[0].Reply.SinceDeparture
	}
	w.table.AdoptAgents([]netip.AddrPort{balancer, client}, w.t)
	w.Assert(lost(), qt.Equals, time.Duration(0))
	w.table.AdoptAgents([]netip.AddrPort{client}, w.t)
	w.Assert(lost() > 0, qt.IsTrue)
	w.t = w.t.Add(3 * time.Second)
	w.Assert(lost(), qt.Equals, 3*time.Second)
	w.t = w.t.Add(18 * time.Second)
	w.Assert(lost(), qt.Equals, time.Duration(0))
}

// TestIdleFlow checks that an agent denies a flow that had no packet for longer
// than any idle time-out, and has it until then.
func TestIdleFlow(t *testing.T) {
	w := newTestAgent(qt.New(t), true)
	w.table.HandleHeartbeat(state(0, 1, false), w.t)
	w.openFlow()
	for _, k := range []balsampier.RelayKind{balsampier.RelayFound, balsampier.RelayNotFound} {
		w.t = w.t.Add(35 * time.Second)
		got, _, _ := replyOf(w.relay(balsampier.RelayQuery, ackSegment(serverSequence+1), 9))
		w.Assert(got, qt.Equals, k)
	}
}

// TestPacketOfOtherFlow checks that an agent tells the packets of the flow that its
// server holds from those of another flow with the same addresses and ports.
// Guards against a request that reaches the servers of both.
func TestPacketOfOtherFlow(t *testing.T) {
	sent := func(n uint32) func(w *testAgent) {
		return func(w *testAgent) {
			w.openFlow()
			for i := uint32(0); i < n; i += 1200 {
				s := segment(false)
				s.Ack, s.Sequence, s.Length = true, serverSequence+1+i, 1200
				w.fromServer(s)
			}
		}
	}
	final := func(w *testAgent) {
		w.openFlow()
		s := ackSegment(serverSequence + 1)
		s.Final = true
		w.relay(balsampier.RelayDeliver, s, 9)
	}
	tests := []struct {
		name    string
		prepare func(w *testAgent)
		packet  balsampier.Segment
		want    balsampier.RelayKind
		reason  balsampier.Reason
	}{
		{"of the flow", (*testAgent).openFlow, ackSegment(serverSequence + 1), balsampier.RelayFound, 0},
		{"of a flow that sent much", sent(200_000), ackSegment(serverSequence + 200_000), balsampier.RelayFound, 0},
		{"delayed", sent(200_000), ackSegment(serverSequence + 1), balsampier.RelayFound, 0},
		{"of another flow", (*testAgent).openFlow, ackSegment(serverSequence + 1<<30), balsampier.RelayNotFound, balsampier.ReasonOtherFlow},
		{"of another flow, numbers before", (*testAgent).openFlow, ackSegment(serverSequence - 1), balsampier.RelayNotFound, balsampier.ReasonOtherFlow},
		{"of another flow than one that was never open", openHalf, ackSegment(serverSequence - 1), balsampier.RelayNotFound, 0},
		{"of another flow than one that has ended", final, ackSegment(serverSequence - 1), balsampier.RelayNotFound, 0},
		{"of an earlier flow than one that is opened", func(w *testAgent) {
			s := segment(true)
			s.Sequence = 1 << 30
			w.relay(balsampier.RelayOpen, s, 9)
		}, ackSegment(serverSequence + 1), balsampier.RelayNotFound, balsampier.ReasonOtherFlow},
		{"of a flow that has ended", final, ackSegment(serverSequence + 1), balsampier.RelayFound, 0},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newTestAgent(qt.New(t), true)
			w.table.HandleHeartbeat(state(0, 1, false), w.t)
			v.prepare(w)
			k, r, _ := replyOf(w.relay(balsampier.RelayQuery, v.packet, 9))
			w.Assert(k, qt.Equals, v.want)
			w.Assert(r, qt.Equals, v.reason)
			_, _, delivered := replyOf(w.relay(balsampier.RelayDeliver, v.packet, 9))
			w.Assert(delivered, qt.Equals, v.want == balsampier.RelayFound)
		})
	}
}

// TestReturnedPacketOfOtherFlow checks that a flow stays known if its server
// returns a packet of an earlier flow with the same addresses and ports. Guards
// against a reset of the new flow.
func TestReturnedPacketOfOtherFlow(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(w *testAgent)
		packet  balsampier.Segment
		reason  balsampier.Reason
		want    balsampier.RelayKind
	}{
		{"of an earlier flow", (*testAgent).openFlow, ackSegment(serverSequence - 1), balsampier.ReasonOtherFlow, balsampier.RelayFound},
		{"of the flow", (*testAgent).openFlow, ackSegment(serverSequence + 1), balsampier.ReasonNone, balsampier.RelayNotFound},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newTestAgent(qt.New(t), true)
			w.table.HandleHeartbeat(state(0, 1, false), w.t)
			v.prepare(w)
			s := v.packet
			s.Returned = true
			k, r, _ := replyOf(w.fromServer(s))
			w.Assert(k, qt.Equals, balsampier.RelayNotFound)
			w.Assert(r, qt.Equals, v.reason)
			k, _, _ = replyOf(w.relay(balsampier.RelayQuery, ackSegment(serverSequence+1), 9))
			w.Assert(k, qt.Equals, v.want)
		})
	}
}
