package hold_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
)

// startServer starts the server of an agent. The server accepts flows before it
// sends its first heartbeat.
func (f *fleet) startServer(i int, heartbeat time.Duration) {
	s := &f.agents[i].server
	*s = fleetServer{
		up: true, run: s.run + 1, born: f.now.Add(f.agents[i].clockError), flows: make(map[balsampier.FlowKey]*fleetFlow),
	}
	f.schedule(heartbeat, func() { f.heartbeat(i, s.run) })
}

func (f *fleet) heartbeat(i, run int) {
	a := f.agents[i]
	if !a.server.up || a.server.run != run {
		return
	}
	if a.table != nil {
		a.server.sequence++
		s := balsampier.ServerState{
			ID: fmt.Sprint("i-", i, "-", run%3), Born: a.server.born, Sequence: a.server.sequence, Service: "reservas",
			Slots: 3, Draining: a.server.draining,
		}
		if rapid.IntRange(0, 9).Draw(f.T, "late") == 0 {
			f.schedule(time.Duration(rapid.IntRange(1000, 4000).Draw(f.T, "late by"))*time.Millisecond, func() {
				if a.table != nil {
					a.table.HandleHeartbeat(s, f.now)
				}
			})
			f.schedule(1200*time.Millisecond, func() { f.heartbeat(i, run) })
			return
		}
		a.table.HandleHeartbeat(s, f.now)
		if a.server.draining && !a.server.drainAcknowledged && a.table.IsCurrentRun(s) {
			a.server.drainAcknowledged = true
			f.publish()
		}
	}
	f.schedule(1200*time.Millisecond, func() { f.heartbeat(i, run) })
}

func (s *fleetServer) listens() bool { return s.up && !s.closed }

// endServer makes a server that has drained for a while close its listener, and
// end later with a shutdown notice.
func (f *fleet) endServer(i int) {
	a := f.agents[i]
	s := &a.server
	if !s.up || !s.drainAcknowledged || s.closed {
		return
	}
	s.closed = true
	f.recordAll("server %d closes its listener", i)
	run := s.run
	f.schedule(time.Duration(rapid.IntRange(0, 6000).Draw(f.T, "until the end"))*time.Millisecond, func() {
		if !s.up || s.run != run {
			return
		}
		f.recordAll("server %d ends", i)
		s.up = false
		if a.table != nil {
			a.table.HandleShutdown(fmt.Sprint("i-", i, "-", run%3))
		}
		f.schedule(time.Duration(rapid.IntRange(50, 4000).Draw(f.T, "down"))*time.Millisecond, func() { f.startServer(i, 0) })
	})
}

func (f *fleet) crashServer(i int) {
	s := &f.agents[i].server
	if !s.up {
		return
	}
	s.up = false
	run := s.run
	if rapid.Bool().Draw(f.T, "seen") {
		f.schedule(time.Duration(rapid.IntRange(100, 400).Draw(f.T, "look"))*time.Millisecond, func() {
			if g := f.agents[i]; g.table != nil && !g.server.up && g.server.run == run && g.table.HandleServerAbsent(f.now) {
				f.runAgentActions(i)
			}
		})
	}
	f.schedule(time.Duration(rapid.IntRange(50, 4000).Draw(f.T, "down"))*time.Millisecond, func() {
		f.startServer(i, time.Duration(rapid.IntRange(0, 500).Draw(f.T, "first heartbeat"))*time.Millisecond)
	})
}

// deliverToServer delivers a packet from the agent to its server. No packet is
// lost between them, as both run on one machine.
func (f *fleet) deliverToServer(i int, s balsampier.Segment) {
	v := &f.agents[i].server
	if !v.up {
		return
	}
	c := f.clientByAddr(s.Client)
	f.record(c, "at server %d: opening %v, acknowledges %d", i, s.Opening, s.Acknowledged)
	x := v.flows[s.Key]
	switch {
	case s.Opening:
		if x == nil || x.clientFirst != s.Sequence {
			if v.drainAcknowledged {
				f.Fatalf("server %d received an opening after its draining was acknowledged", i)
			}
			x = &fleetFlow{clientFirst: s.Sequence, first: uint32(s.Key.Hi) + uint32(v.run)*7919 + uint32(i)*104729 + s.Sequence*31}
			v.flows[s.Key] = x
		}
		f.sendFromServer(i, s, balsampier.Segment{Opening: true, Ack: true, Sequence: x.first, Acknowledged: s.Sequence + 1})
	case x == nil || s.Acknowledged-x.first > ackWindow:
		f.recordStray(c, i)
		s.Returned = true
		f.schedule(time.Millisecond, func() { f.deliverFromServer(i, s) })
	default:
		if !x.open && s.Acknowledged == c.serverSequence+1 {
			x.open = true
			c.agent, c.run = i, v.run
		}
		c.strays, c.lastReachedAt = 0, f.now
		f.sendFromServer(i, s, balsampier.Segment{Ack: true, Sequence: x.first + 1, Acknowledged: s.Sequence + uint32(s.Length), Length: 100})
	}
}

// recordStray records a packet that reached a server without its flow.
func (f *fleet) recordStray(c *fleetClient, i int) {
	g := f.agents[c.agent]
	if !f.hasLiveServer(c) || g.table == nil || !g.cutOffAt.IsZero() || f.now.Sub(g.reconnectedAt) < reconnectGrace || f.everLossy {
		return
	}
	if c.strays++; c.strays == 1 {
		c.firstStrayAt = f.now
	}
	if c.strays >= strayLimit && f.now.Sub(c.firstStrayAt) >= strayWindow {
		f.fail(c, "%d consecutive packets reached other servers, the last one server %d", c.strays, i)
	}
}

func (f *fleet) sendFromServer(i int, in, s balsampier.Segment) {
	s.Client, s.Service, s.Key = in.Client, in.Service, in.Key
	f.schedule(time.Millisecond, func() { f.deliverFromServer(i, s) })
}

func (f *fleet) deliverFromServer(i int, s balsampier.Segment) {
	if g := f.agents[i]; g.table != nil {
		g.table.HandleServerPacket(s, f.encode(s), f.now)
		f.runAgentActions(i)
	}
}
