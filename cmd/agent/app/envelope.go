package app

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/peer"
)

// buffer has room for any envelope.
type buffer [peer.MaxEnvelopeBytes]byte

// buffers are given back by whoever took an envelope from a ring. Those of
// envelopes that a full ring drops are left to the collector.
var buffers = sync.Pool{New: func() any { return new(buffer) }}

// free gives the buffer back; nil for envelopes that have none of their own.
func (b *buffer) free() {
	if b != nil {
		buffers.Put(b)
	}
}

func (a *Agent) receive(c context.Context) error {
	stop := context.AfterFunc(c, func() { _ = a.peers.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	for {
		f := buffers.Get().(*buffer)
		n, _, err := a.peers.ReadFromUDPAddrPort(f[:])
		if c.Err() != nil {
			return c.Err()
		}
		if err != nil {
			return trace.Wrap(err)
		}
		if err := a.envelopes.Push(c, arrival{b: f[:n], buf: f}); err != nil {
			return err
		}
	}
}

// decide checks each envelope and hands its packet on.
func (a *Agent) decide(c context.Context) error {
	var vs [batchSize]arrival
	for {
		n, err := a.envelopes.Pop(c, vs[:])
		if err != nil {
			return err
		}
		t := a.clock.Now()
		for i, v := range vs[:n] {
			a.arrived(c, v, t)
			vs[i] = arrival{}
			v.buf.free()
		}
	}
}

func (a *Agent) arrived(c context.Context, v arrival, t time.Time) {
	if v.b == nil {
		a.placement.loads.RecordAgentLoad(a.self.ID, v.own)
		return
	}
	e, err := a.sealer.Open(v.b)
	switch {
	case err != nil || e.ToCaller:
		a.counters.drop("envelope")
	case e.Load != nil:
		a.learn(c, e.Load, t)
	default:
		a.handle(c, e, t)
	}
}

func (a *Agent) handle(c context.Context, e *peer.Envelope, t time.Time) {
	v := a.server.Load()
	switch {
	case v == nil, e.Service != "" && e.Service != v.Service:
		a.counters.drop(balsampier.ReasonWrongService.String())
		return
	case e.Incarnation != 0 && e.Incarnation != a.self.Incarnation && !e.Opening:
		a.counters.drop(balsampier.ReasonWrongIncarnation.String())
		return
	}
	if e.Opening && (a.steeredElsewhere(c, e, t) || a.placedElsewhere(c, e, t)) {
		return
	}
	p, err := a.endpoint(e.ServiceAddr)
	if err != nil {
		a.counters.drop("endpoint")
		return
	}
	p.routes.heard(e.Caller, e.ReplyTo, t)
	_ = p.Deliver(c, e.Payload, e.Caller)
}

// steeredElsewhere decides again on an opening packet when the own rules or
// view are newer than the sender's, and hands it on if it belongs elsewhere.
func (a *Agent) steeredElsewhere(c context.Context, e *peer.Envelope, t time.Time) bool {
	s := a.session.State()
	if s.Rules.Revision <= e.Revision && s.View.Epoch <= e.Epoch {
		return false
	}
	v := a.table.Load().Steer(balsampier.Packet{
		Caller: e.Caller, ServiceAddr: e.ServiceAddr, Flow: e.Flow, Opening: true, Hops: e.Hops, At: t,
	})
	if v.Action != balsampier.ActionForward {
		// The endpoint refuses the connection through the library.
		return false
	}
	if v.Target == a.self.Holder() {
		return false
	}
	e.Service, e.Incarnation, e.Revision, e.Epoch = v.Service, v.Target.Incarnation, v.Revision, v.Epoch
	a.counters.steered.Inc()
	a.passOn(c, e, v.Addr)
	return true
}

// passOn sends the packet to another agent.
func (a *Agent) passOn(c context.Context, e *peer.Envelope, to netip.AddrPort) {
	e.Hops++
	f := buffers.Get().(*buffer)
	b, err := a.sealer.Seal(f[:0], e)
	if err != nil {
		a.counters.drop("encode")
		return
	}
	_ = a.out.Push(c, outbound{to: to, b: b, buf: f})
}

func (a *Agent) send(c context.Context) error {
	var os [batchSize]outbound
	for {
		n, err := a.out.Pop(c, os[:])
		if err != nil {
			return err
		}
		for i, o := range os[:n] {
			if _, err := a.peers.WriteToUDPAddrPort(o.b, o.to); err != nil {
				a.counters.drop("send")
			}
			os[i] = outbound{}
			o.buf.free()
		}
	}
}
