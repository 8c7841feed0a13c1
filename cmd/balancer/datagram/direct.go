package datagram

import (
	"context"
	"net/netip"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/direct"
	"github.com/balsampier/balsampier/control"
	"github.com/balsampier/balsampier/fabric"
)

// direct owns the director.
func (b *Balancer) direct(c context.Context) error {
	var is [batchSize]input
	for {
		w := idleWait
		if at, ok := b.director.Next(); ok {
			w = min(w, max(at.Sub(b.o.Clock.Now()), 0))
		}
		k := b.o.Clock.NewTimer(w)
		n, err := b.inputs.PopUntil(c, is[:], k.C())
		k.Stop()
		if err != nil {
			return err
		}
		for i := range is[:n] {
			b.take(c, is[i])
			is[i].packet.Free()
			is[i].answer.Free()
			is[i] = input{}
		}
		b.director.Tick(b.o.Clock.Now())
		b.handOn(c)
		b.flows.Store(int64(b.director.FlowCount()))
	}
}

func (b *Balancer) take(c context.Context, i input) {
	switch {
	case i.state != nil:
		b.adopt(*i.state)
	case i.answer.Payload != nil:
		b.takeAnswer(i.answer)
	default:
		b.takePacket(i.packet)
	}
	b.handOn(c)
}

func (b *Balancer) takePacket(d fabric.Datagram) {
	s, err := b.o.Codec.Decode(d.Payload, true)
	if err != nil {
		b.counters.drop("packet")
		b.refuse(d, err)
		return
	}
	b.counters.packets.Inc()
	b.director.HandlePacket(s, d.Payload, d.At)
}

func (b *Balancer) takeAnswer(d fabric.Datagram) {
	r, err := b.sealer.OpenRelay(d.Payload)
	if err != nil || r.Kind < balsampier.RelayAccepted {
		b.counters.drop("answer")
		b.refuse(d, err)
		return
	}
	if len(r.Payload) > 0 && r.Flow.Hi != 0 {
		b.o.Codec.ClearReturned(r.Payload)
		if s, err := b.o.Codec.Decode(r.Payload, true); err != nil || s.Key != r.Flow {
			b.counters.drop("answer")
			b.refuse(d, err)
			return
		}
	}
	b.director.HandleReply(d.Caller, r, d.At)
}

// refuse logs a datagram that was not understood.
func (b *Balancer) refuse(d fabric.Datagram, err error) {
	if b.limit.Allow() {
		b.log.Warn().Str("from", d.Caller.String()).Int("bytes", len(d.Payload)).Err(err).Msg("datagram refused")
	}
}

// adopt takes over routes and membership.
func (b *Balancer) adopt(s control.State) {
	b.director.AdoptRoutes(s.Routes)
	b.director.AdoptView(s.View, b.o.Clock.Now())
}

// handOn seals what is to be sent and writes down what was decided.
func (b *Balancer) handOn(c context.Context) {
	for _, a := range b.director.PopActions() {
		switch {
		case a.To.IsValid():
			b.seal(c, a.To, a.Relay)
		case a.Reset != nil:
			f := buffers.Get().(*buffer)
			to := netip.AddrPortFrom(a.Reset.Client.Addr(), b.o.ClientAddr.Port())
			_ = b.outputs.Push(c, output{to: to, toClient: true, b: b.o.Codec.AppendReset(f[:0], *a.Reset), buf: f})
		}
		if a.Event.Name != "" {
			b.note(a.Event)
		}
	}
}

func (b *Balancer) seal(c context.Context, to netip.AddrPort, r balsampier.Relay) {
	if r.Kind == balsampier.RelayQuery {
		r.Payload = b.o.Codec.Head(r.Payload)
	}
	f := buffers.Get().(*buffer)
	o, err := b.sealer.SealRelay(f[:0], &r)
	if err != nil {
		b.counters.drop("encode")
		return
	}
	_ = b.outputs.Push(c, output{to: to, b: o, buf: f})
}

func (b *Balancer) note(n direct.Event) {
	b.counters.event(n.Name, n.Reason)
	if !b.limit.Allow() {
		return
	}
	b.log.Info().Uint64("flow", n.Flow.Hi).Str("client", n.Segment.Client.String()).Str("route", n.Segment.Service.String()).
		Bool("opening", n.Segment.Opening).Str("service", string(n.Service)).Str("agent", n.Agent.String()).
		Stringer("reason", n.Reason).Int("candidates", n.Candidates).Uint64("revision", uint64(n.Revision)).Msg(n.Name)
}

func (b *Balancer) send(c context.Context) error {
	var os [batchSize]output
	for {
		n, err := b.outputs.Pop(c, os[:])
		if err != nil {
			return err
		}
		for i, o := range os[:n] {
			s := b.agents
			if o.toClient {
				s = b.clients
			}
			if err := s.Send(o.b, o.to); err != nil {
				b.counters.drop("send")
			}
			os[i] = output{}
			buffers.Put(o.buf)
		}
	}
}
