package place_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
)

// race changes the view, distributes it to some instances only, and repeats
// packets of one flow meanwhile.
func (w *world) race(t *rapid.T) {
	f := pick(t, w.flows, "flow")
	switch a := pick(t, w.live(), "agent"); rapid.IntRange(0, 4).Draw(t, "change") {
	case 0:
		a.drain(w.now)
	case 1:
		n := byte(w.x.IntN(6) + 1)
		if w.runAt(addr(n)) == nil {
			w.join(n, []balsampier.ServiceName{"reservas", "galeria"}[w.x.IntN(2)])
		}
	case 2:
		a.frozen = !a.frozen
	}
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		switch n := w.x.IntN(10); {
		case n == 0:
			w.publish()
		case n == 1:
			w.balancers[w.x.IntN(len(w.balancers))].adopt(w)
		case n < 4:
			if as := w.live(); len(as) > 0 {
				w.sync(as[w.x.IntN(len(as))])
			}
		case n == 4:
			w.tick(time.Duration(w.x.IntN(100)) * time.Millisecond)
		case n < 7:
			w.packet(f, w.balancers[w.x.IntN(len(w.balancers))], w.x.IntN(2) == 0 || f.holder.IsZero(), w.x.IntN(2) == 0)
		case len(w.inFlight) > 0:
			i := w.x.IntN(len(w.inFlight))
			m := w.inFlight[i]
			if w.x.IntN(5) > 0 {
				w.inFlight = slices.Delete(w.inFlight, i, i+1)
			}
			w.deliver(m)
		}
		w.check(t)
	}
}

// plannedChange makes one planned change: an agent joins, starts to drain, or
// leaves once it has no flows.
func (w *world) plannedChange(t *rapid.T) {
	n := byte(w.x.IntN(6) + 1)
	switch a := w.runAt(addr(n)); {
	case a == nil:
		w.join(n, []balsampier.ServiceName{"reservas", "galeria"}[w.x.IntN(2)])
	case a.drainStart.IsZero():
		a.drain(w.now)
	case a.registrar.Len() == 0 && !a.frozen:
		a.dead = true
	}
	for range 3 {
		w.tick(time.Second)
		w.deliverAll()
		for _, a := range w.agents {
			w.sync(a)
		}
		w.publish()
	}
	w.check(t)
}

func (w *world) live() []*agent {
	return slices.DeleteFunc(slices.Clone(w.agents), func(a *agent) bool { return a.dead })
}

func pick[T any](t *rapid.T, xs []T, n string) T {
	if len(xs) == 0 {
		t.Skip("none")
	}
	return xs[rapid.IntRange(0, len(xs)-1).Draw(t, n)]
}

func (w *world) actions() map[string]func(*rapid.T) {
	bools := rapid.Bool()
	send := func(t *rapid.T) {
		f := pick(t, w.flows, "flow")
		opening := f.holder.IsZero() || rapid.IntRange(0, 3).Draw(t, "opening") == 0
		w.packet(f, pick(t, w.balancers, "balancer"), opening, bools.Draw(t, "hint"))
	}
	deliver := func(t *rapid.T) {
		if len(w.inFlight) == 0 {
			t.Skip("none")
		}
		i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message")
		m := w.inFlight[i]
		if rapid.IntRange(0, 4).Draw(t, "keep") > 0 {
			w.inFlight = slices.Delete(w.inFlight, i, i+1)
		}
		if rapid.IntRange(0, 9).Draw(t, "lose") > 0 {
			w.deliver(m)
		}
	}
	return map[string]func(*rapid.T){
		"": w.check,
		"open": func(t *rapid.T) {
			s := addr(100 + rapid.Byte().Draw(t, "address")%2)
			c := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, 1}), uint16(len(w.flows)+1))
			w.flows = append(w.flows, &flow{packet: balsampier.Packet{
				Caller: c, ServiceAddr: s, Flow: balsampier.NewFlowKey(c, s, nil), At: w.now,
			}})
			for _, b := range w.balancers {
				w.packet(w.flows[len(w.flows)-1], b, true, false)
			}
		},
		"send": send, "deliver": deliver, "deliverMore": deliver,
		"race": w.race, "raceMore": w.race, "raceYetMore": w.race, "raceMost": w.race,
		"sync":     func(t *rapid.T) { w.sync(pick(t, w.live(), "agent")) },
		"publish":  func(*rapid.T) { w.publish() },
		"balancer": func(t *rapid.T) { pick(t, w.balancers, "balancer").adopt(w) },
		"tick":     func(t *rapid.T) { w.tick(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond) },
		"catchUp": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rare") > 0 {
				t.Skip("rare")
			}
			w.settle()
			w.checkReachable()
		},
		"drainWord": func(t *rapid.T) { a := pick(t, w.live(), "agent"); a.drain(w.now) },
		"kill":      func(t *rapid.T) { pick(t, w.live(), "agent").dead = true },
		"freeze":    func(t *rapid.T) { a := pick(t, w.live(), "agent"); a.frozen = !a.frozen },
		"close": func(t *rapid.T) {
			f := pick(t, w.flows, "flow")
			if a := w.find(f.holder); a != nil {
				a.registrar.Close(f.packet.Flow, w.now)
			}
		},
		"join": func(t *rapid.T) {
			n := rapid.Byte().Draw(t, "address")%6 + 1
			if w.runAt(addr(n)) == nil {
				w.join(n, pick(t, []balsampier.ServiceName{"reservas", "galeria"}, "service"))
			}
		},
		"rules": func(t *rapid.T) {
			if all := ruleTables(t); len(w.rules) < len(all) {
				w.rules = all[:len(w.rules)+1]
			}
		},
		"twoHundredChanges": func(t *rapid.T) {
			if len(w.tables) > 100 || rapid.IntRange(0, 9).Draw(t, "rare") > 0 {
				t.Skip("rare")
			}
			for range 200 {
				w.plannedChange(t)
			}
			w.settle()
			w.checkReachable()
		},
	}
}

func (a *agent) drain(t time.Time) {
	if a.drainStart.IsZero() {
		a.drainStart, a.member.Draining = t, true
		a.placer.Drain()
	}
}

// TestFlows checks that each flow has one holder at a time and ends only with
// that holder.
func TestFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		for _, a := range w.agents {
			a.frozen = false
		}
		w.settle()
		w.checkReachable()
		w.check(t)
	})
}
