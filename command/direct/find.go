package direct

import (
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

// found takes in who has the flow and hands over what waits.
func (d *Director) found(f *flow, from netip.AddrPort) {
	if f.state == open && f.agent == from {
		return
	}
	d.note("found", f, from, balsampier.ReasonNone, 0)
	f.state, f.agent, f.again = open, from, 0
	f.attempt++
	for _, b := range f.packets {
		d.relay(f, balsampier.RelayDeliver, from, b)
	}
	d.unpark(f)
}

// denied takes in that an agent does not have the flow, or does not know. An
// answer that returns a packet may come for a flow that was thought to be
// there.
func (d *Director) denied(f *flow, from netip.AddrPort, r balsampier.Relay, t time.Time) {
	switch f.state {
	case open, opening:
		switch {
		case len(r.Payload) == 0:
		case f.agent == from:
			d.note("denied", f, from, balsampier.ReasonUnknownFlow, 0)
			f.deny(from)
			f.tried = append(f.tried[:0], from)
			d.unpark(f)
			d.park(f, r.Payload)
			d.ask(f, t)
		default:
			d.relay(f, balsampier.RelayDeliver, f.agent, r.Payload)
		}
	case asking:
		if len(r.Payload) > 0 {
			d.park(f, r.Payload)
		}
		if !drop(&f.waiting, from) {
			return
		}
		if r.Kind == balsampier.RelayUncertain {
			d.unsure(f, from)
		}
		if len(f.waiting) == 0 {
			d.answered(f, t)
		}
	case trying:
		// A late answer to a question returns no packet.
		if f.agent == from && len(r.Payload) > 0 {
			f.deny(from)
			d.try(f, t)
		}
	}
}

// deny takes in that the server beside an agent returned a packet of the flow,
// which it then never has.
func (f *flow) deny(a netip.AddrPort) {
	if !slices.Contains(f.returned, a) {
		f.returned = append(f.returned, a)
	}
}

// ask asks the likeliest agents who has the flow.
func (d *Director) ask(f *flow, t time.Time) {
	if d.roomless(f) {
		return
	}
	f.state, f.agent, f.wide, f.silent, f.unseen = asking, netip.AddrPort{}, false, false, false
	f.unsure, f.unsureElse, f.waiting = nil, nil, nil
	f.since = t
	services := d.routes.services(f.segment.Service)
	d.question(f, d.agents.likely(f.segment.Key, services, f.tried), t)
}

// question asks the agents given, and goes on at once where there are none.
func (d *Director) question(f *flow, as []netip.AddrPort, t time.Time) {
	f.attempt++
	f.waiting = append(f.waiting[:0], as...)
	if len(as) == 0 {
		d.answered(f, t)
		return
	}
	d.wait(f, t, askTimeout)
	for _, a := range as {
		d.relay(f, balsampier.RelayQuery, a, f.packets[0])
	}
}

// answered goes on when all that were asked answered or their time is up.
func (d *Director) answered(f *flow, t time.Time) {
	if !f.wide {
		f.wide = true
		d.seek(f, t)
		return
	}
	if len(f.waiting) > 0 {
		// One that said in the search that it has the flow: others are not
		// tried.
		f.silent = true
		d.lost(f, t)
		return
	}
	d.try(f, t)
}

// unsure takes in that an agent does not know. Servers of the route are tried
// first; a flow may be of a service that the route had before.
func (d *Director) unsure(f *flow, from netip.AddrPort) {
	if slices.Contains(f.returned, from) {
		return
	}
	a := d.agents.byAddr[from]
	if a == nil || !slices.Contains(d.routes.services(f.segment.Service), a.service) {
		f.unsureElse = append(f.unsureElse, from)
		return
	}
	f.unsure = append(f.unsure, from)
}

// lost gives up a flow that nobody has. The client is told at once where it is
// certain: every agent answered that its server does not have the flow, and
// none may live unseen.
func (d *Director) lost(f *flow, t time.Time) {
	s := f.segment
	if !f.silent && !f.unseen && !s.Reset && !d.unseen(s.Service, t) {
		d.note("reset", f, netip.AddrPort{}, balsampier.ReasonHolderGone, 0)
		d.out = append(d.out, Action{Reset: &s})
		d.forget(s.Key, f)
		return
	}
	d.note("lost", f, netip.AddrPort{}, balsampier.ReasonUnknownFlow, 0)
	f.state, f.since, f.agent = nobody, t, netip.AddrPort{}
	f.again = min(max(2*f.again, againAfter), againMost)
	f.tried = f.tried[:0]
	d.unpark(f)
}

// try gives the first packet to the next agent that does not know.
func (d *Director) try(f *flow, t time.Time) {
	if len(f.unsure) == 0 {
		f.unsure, f.unsureElse = f.unsureElse, nil
	}
	if len(f.unsure) == 0 || len(f.packets) == 0 {
		d.lost(f, t)
		return
	}
	a := f.unsure[0]
	f.unsure = f.unsure[1:]
	f.state, f.agent = trying, a
	f.attempt++
	d.wait(f, t, tryTimeout)
	d.relay(f, balsampier.RelayProbe, a, f.packets[0])
	d.note("tried", f, a, balsampier.ReasonNone, len(f.unsure))
}
