package hold_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
)

// startServer starts the server of an agent, which takes flows before its
// first heartbeat is answered.
func (f *fleet) startServer(i int, heartbeat time.Duration) {
	s := &f.agents[i].server
	*s = fleetServer{
		up: true, run: s.run + 1, born: f.now, first: make(map[balsampier.FlowKey]uint32), open: make(map[balsampier.FlowKey]bool),
	}
	f.after(heartbeat, func() { f.heartbeat(i, s.run) })
}

func (f *fleet) heartbeat(i, run int) {
	a := f.agents[i]
	if !a.server.up || a.server.run != run {
		return
	}
	if a.h != nil {
		a.server.sequence++
		a.h.HandleHeartbeat(balsampier.ServerState{
			ID: fmt.Sprint("i-", i, "-", run), Born: a.server.born, Sequence: a.server.sequence, Service: "reservas",
			Slots: 3, Draining: a.server.draining,
		})
		if a.server.draining && !a.server.obeyed {
			a.server.obeyed = true
			f.publish()
		}
	}
	f.after(1200*time.Millisecond, func() { f.heartbeat(i, run) })
}

func (f *fleet) crashServer(i int) {
	s := &f.agents[i].server
	if !s.up {
		return
	}
	s.up = false
	run := s.run
	if rapid.Bool().Draw(f.T, "seen") {
		f.after(time.Duration(rapid.IntRange(100, 400).Draw(f.T, "look"))*time.Millisecond, func() {
			if g := f.agents[i]; g.h != nil && !g.server.up && g.server.run == run && g.h.HandleServerAbsent(f.now) {
				f.agentActs(i)
			}
		})
	}
	f.after(time.Duration(rapid.IntRange(50, 4000).Draw(f.T, "down"))*time.Millisecond, func() {
		f.startServer(i, time.Duration(rapid.IntRange(0, 500).Draw(f.T, "first heartbeat"))*time.Millisecond)
	})
}

// toServer is a packet on the machine of the agent, which loses none.
func (f *fleet) toServer(i int, s balsampier.Segment) {
	v := &f.agents[i].server
	if !v.up {
		return
	}
	c := f.clientOf(s.Client)
	f.tell(c, "at server %d: opening %v, acknowledges %d", i, s.Opening, s.Acknowledged)
	first, known := v.first[s.Key]
	switch {
	case s.Opening && v.obeyed && !known:
		f.Fatalf("server %d took an opening after it was said to drain", i)
	case s.Opening && !known:
		first = uint32(s.Key.Hi) + uint32(v.run)*7919 + uint32(i)*104729
		v.first[s.Key] = first
		f.fromServer(i, s, balsampier.Segment{Opening: true, Ack: true, Sequence: first})
	case s.Opening:
		f.fromServer(i, s, balsampier.Segment{Opening: true, Ack: true, Sequence: first})
	case !known || s.Acknowledged-first > ackWindow:
		f.stray(c, i)
		s.Returned = true
		f.after(time.Millisecond, func() { f.fromServerRaw(i, s) })
	default:
		if !v.open[s.Key] {
			v.open[s.Key] = true
			c.agent, c.run = i, v.run
		}
		c.strays, c.reached = 0, f.now
		f.fromServer(i, s, balsampier.Segment{Ack: true, Sequence: first + 1, Length: 100})
	}
}

// stray is a packet at a server that does not have its flow.
func (f *fleet) stray(c *fleetClient, i int) {
	g := f.agents[c.agent]
	if !f.owed(c) || g.h == nil || !g.cutAt.IsZero() || f.now.Sub(g.touchedAt) < touchLag || f.everLossy {
		return
	}
	if c.strays++; c.strays == 1 {
		c.strayed = f.now
	}
	if c.strays >= strayLimit && f.now.Sub(c.strayed) >= strayFor {
		f.fail(c, "%d packets in turn at other servers, the last at %d", c.strays, i)
	}
}

func (f *fleet) fromServer(i int, in, s balsampier.Segment) {
	s.Client, s.Service, s.Key = in.Client, in.Service, in.Key
	f.after(time.Millisecond, func() { f.fromServerRaw(i, s) })
}

func (f *fleet) fromServerRaw(i int, s balsampier.Segment) {
	if g := f.agents[i]; g.h != nil {
		g.h.HandleServerPacket(s, f.encode(s), f.now)
		f.agentActs(i)
	}
}
