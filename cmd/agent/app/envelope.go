package app

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/peer"
)

func (a *Agent) receive(c context.Context) error {
	stop := context.AfterFunc(c, func() { _ = a.peers.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	for {
		b := make([]byte, peer.MaxEnvelopeBytes)
		n, _, err := a.peers.ReadFromUDPAddrPort(b)
		if c.Err() != nil {
			return c.Err()
		}
		if err != nil {
			return trace.Wrap(err)
		}
		if err := a.envelopes.Push(c, b[:n]); err != nil {
			return err
		}
	}
}

// decide checks each envelope and hands its packet on.
func (a *Agent) decide(c context.Context) error {
	var bs [batchSize][]byte
	for {
		n, err := a.envelopes.Pop(c, bs[:])
		if err != nil {
			return err
		}
		for _, b := range bs[:n] {
			e, err := a.sealer.Open(b)
			if err != nil || e.ToCaller {
				a.counters.drop("envelope")
				continue
			}
			a.handle(c, e)
		}
	}
}

func (a *Agent) handle(c context.Context, e *peer.Envelope) {
	v := a.server.Load()
	switch {
	case v == nil, e.Service != "" && e.Service != v.Service:
		a.counters.drop(balsampier.ReasonService.String())
		return
	case e.Incarnation != 0 && e.Incarnation != a.self.Incarnation && !e.Opening:
		a.counters.drop(balsampier.ReasonIncarnation.String())
		return
	}
	if e.Opening && a.steeredElsewhere(c, e) {
		return
	}
	p, err := a.endpoint(e.ServiceAddr)
	if err != nil {
		a.counters.drop("endpoint")
		return
	}
	p.routes.heard(e.Caller, e.ReplyTo, a.clock.Now())
	_ = p.Deliver(c, e.Payload, e.Caller)
}

// steeredElsewhere decides again on an opening packet when the own rules or
// view are newer than the sender's, and hands it on if it belongs elsewhere.
func (a *Agent) steeredElsewhere(c context.Context, e *peer.Envelope) bool {
	s := a.session.State()
	if s.Rules.Revision <= e.Revision && s.View.Epoch <= e.Epoch {
		return false
	}
	v := a.table.Load().Steer(balsampier.Packet{
		Caller: e.Caller, ServiceAddr: e.ServiceAddr, Flow: e.Flow, Opening: true, Hops: e.Hops, At: a.clock.Now(),
	})
	if v.Action != balsampier.ActionForward {
		// The endpoint refuses the connection through the library.
		return false
	}
	if v.Target == a.self.Holder() {
		return false
	}
	e.Service, e.Incarnation, e.Revision, e.Epoch = v.Service, v.Target.Incarnation, v.Revision, v.Epoch
	e.Hops++
	b, err := a.sealer.Seal(make([]byte, 0, peer.MaxEnvelopeBytes), e)
	if err != nil {
		a.counters.drop("encode")
		return true
	}
	a.counters.steered.Inc()
	_ = a.out.Push(c, outbound{to: v.Addr, b: b})
	return true
}

func (a *Agent) send(c context.Context) error {
	var os [batchSize]outbound
	for {
		n, err := a.out.Pop(c, os[:])
		if err != nil {
			return err
		}
		for _, o := range os[:n] {
			if _, err := a.peers.WriteToUDPAddrPort(o.b, o.to); err != nil {
				a.counters.drop("send")
			}
		}
	}
}
