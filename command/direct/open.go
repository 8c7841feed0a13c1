package direct

import (
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

// answeredElsewhere takes in that the client was answered before the agent
// was heard. The flow is offered to no other agent: it is at one of those that
// it was offered to.
func (d *Director) answeredElsewhere(f *flow, b []byte, t time.Time) {
	d.unpark(f)
	if len(f.tried) > 0 {
		f.tried = f.tried[:0]
		d.park(f, b)
		d.ask(f, t)
		return
	}
	f.state = open
	f.attempt++
	d.deliver(f, b)
}

// place sends the opening packet to the next agent.
func (d *Director) place(f *flow, t time.Time) {
	if d.roomless(f) {
		return
	}
	a, n := d.agents.choose(f, d.zone, t)
	if !a.IsValid() {
		a, n = d.chooseOther(f, t)
	}
	if !a.IsValid() {
		d.giveUp(f, n, t)
		return
	}
	f.state, f.agent = opening, a
	f.attempt++
	d.agents.placed(a)
	d.wait(f, t, openTimeout)
	d.relay(f, balsampier.RelayOpen, a, f.packets[0])
	d.note("placed", f, a, balsampier.ReasonNone, n)
}

// roomless gives a flow up whose packet found no room to wait in, and reports
// whether it did.
func (d *Director) roomless(f *flow) bool {
	if len(f.packets) > 0 {
		return false
	}
	d.note("dropped", f, f.agent, balsampier.ReasonFull, 0)
	d.forget(f.segment.Key, f)
	return true
}

// chooseOther looks for an agent of the other services of the route.
func (d *Director) chooseOther(f *flow, t time.Time) (netip.AddrPort, int) {
	r, ok := d.routes.find(f.segment.Service)
	if !ok {
		return netip.AddrPort{}, 0
	}
	for _, g := range r.targets {
		if g.Weight == 0 || g.Service == f.service {
			continue
		}
		o := f.service
		f.service = g.Service
		if a, n := d.agents.choose(f, d.zone, t); a.IsValid() {
			return a, n
		}
		f.service = o
	}
	return netip.AddrPort{}, 0
}

// giveUp resets a flow that no agent took. Nothing of it has run: it never
// opened. Where a server may have the opening packet the flow may open yet, and
// so may that of an earlier copy at an agent that is not seen here.
func (d *Director) giveUp(f *flow, n int, t time.Time) {
	s := f.segment
	if f.doubtful || s.Retransmissions > 0 && d.unseen(s.Service, t) {
		d.hold(f, n, t)
		return
	}
	d.note("reset", f, netip.AddrPort{}, balsampier.ReasonNoBackendServer, n)
	d.out = append(d.out, Action{Reset: &s})
	d.forget(s.Key, f)
}

// hold drops an opening packet that nobody took for certain. The client's copy
// begins anew.
func (d *Director) hold(f *flow, n int, t time.Time) {
	d.note("dropped", f, f.agent, balsampier.ReasonTimeout, n)
	d.unpark(f)
	f.state, f.agent, f.since = nobody, netip.AddrPort{}, t
	f.tried, f.silences = f.tried[:0], 0
	f.attempt++
}

func (d *Director) refused(f *flow, from netip.AddrPort, r balsampier.Relay, t time.Time) {
	if f.opened || f.agent != from || (f.state != opening && f.state != open) {
		return
	}
	if len(f.packets) == 0 {
		// The server returned the opening packet after the agent took it.
		if len(r.Payload) == 0 {
			return
		}
		d.park(f, r.Payload)
	}
	if len(f.packets) == 0 {
		return
	}
	f.doubtful = f.doubtful || r.Reason == balsampier.ReasonUnanswered
	f.tried = append(f.tried, from)
	d.note("refused", f, from, r.Reason, 0)
	d.place(f, t)
}
