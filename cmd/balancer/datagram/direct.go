package datagram

import (
	"context"
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/direct"
	"github.com/balsampier/balsampier/control"
	"github.com/balsampier/balsampier/duty"
	"github.com/balsampier/balsampier/fabric"
)

// directPackets handles inputs in order and performs the actions of the
// director. It is the only thread that uses the director.
func (b *Balancer) directPackets(c context.Context) error {
	var is [batchSize]input
	for {
		w := maxPollInterval
		if at, ok := b.director.NextTick(); ok {
			w = min(w, max(at.Sub(b.options.Clock.Now()), 0))
		}
		k := b.options.Clock.NewTimer(w)
		n, err := b.inputs.PopUntil(c, is[:], k.C())
		k.Stop()
		if err != nil {
			return err
		}
		for i := range is[:n] {
			b.handleProtected(c, is[i])
			is[i].packet.Free()
			is[i].reply.Free()
			is[i] = input{}
		}
		b.director.Tick(b.options.Clock.Now())
		b.performActions(c)
		b.flows.Store(int64(b.director.FlowCount()))
		b.watchLookups(b.options.Clock.Now())
	}
}

// watchLookups publishes how slow lookups are, and logs when they become slow for
// longer than slowLogDelay and when they are not any more.
func (b *Balancer) watchLookups(t time.Time) {
	n, w := b.director.Lookups()
	b.lookups.Store(int64(n))
	b.replyTimeout.Store(int64(w))
	switch slow := n > maxLookups || w > maxUsualReplyTimeout; {
	case slow && b.slowSince.IsZero():
		b.slowSince = t
	case slow && !b.slowLogged && t.Sub(b.slowSince) >= slowLogDelay:
		b.slowLogged = true
		b.log.Warn().Int("waiting", n).Dur("replyTimeout", w).Msg("lookups of flows are slow: the link or the agents are overloaded")
	case !slow && b.slowLogged:
		b.log.Info().Dur("lasted", t.Sub(b.slowSince)).Msg("lookups of flows are fast again")
		fallthrough
	case !slow:
		b.slowSince, b.slowLogged = time.Time{}, false
	}
}

// handleProtected handles an input. An input that causes a panic is dropped.
func (b *Balancer) handleProtected(c context.Context, i input) {
	err := duty.Protect("handle datagram", func() error {
		b.handleInput(c, i)
		return nil
	})
	if err != nil {
		b.counters.countDrop("panic")
		b.log.Error().Err(err).Msg("input dropped")
	}
}

func (b *Balancer) handleInput(c context.Context, i input) {
	switch {
	case i.state != nil:
		b.adoptState(*i.state)
	case i.reply.Payload != nil:
		b.handleReply(i.reply)
	default:
		b.handlePacket(i.packet)
	}
	b.performActions(c)
}

func (b *Balancer) handlePacket(d fabric.Datagram) {
	s, err := b.options.Codec.Decode(d.Payload, true)
	if err != nil {
		b.counters.countDrop("packet")
		b.logRejected(d, err)
		return
	}
	b.counters.packets.Inc()
	b.director.HandlePacket(s, d.Payload, d.At)
}

func (b *Balancer) handleReply(d fabric.Datagram) {
	r, err := b.sealer.OpenRelay(d.Payload)
	if err != nil || r.Kind.IsRequest() {
		b.counters.countDrop("answer")
		b.logRejected(d, err)
		return
	}
	if len(r.Payload) > 0 && r.Flow.Hi != 0 {
		b.options.Codec.ClearReturned(r.Payload)
		if s, err := b.options.Codec.Decode(r.Payload, true); err != nil || s.Key != r.Flow {
			b.counters.countDrop("answer")
			b.logRejected(d, err)
			return
		}
	}
	b.director.HandleReply(d.Caller, r, d.At)
}

// logRejected logs an invalid datagram, within the rate limit.
func (b *Balancer) logRejected(d fabric.Datagram, err error) {
	if b.logLimit.Allow() {
		b.log.Warn().Str("from", d.Caller.String()).Int("bytes", len(d.Payload)).Err(err).Msg("datagram refused")
	}
}

// adoptState gives the director newer routes and membership.
func (b *Balancer) adoptState(s control.State) {
	b.director.AdoptRoutes(s.Routes)
	b.director.AdoptView(s.View, b.options.Clock.Now())
}

// performActions enqueues the relays and resets of the pending actions, and logs
// and counts their events.
func (b *Balancer) performActions(c context.Context) {
	for _, a := range b.director.PopActions() {
		switch {
		case a.To.IsValid():
			b.enqueueRelay(c, a.To, a.Relay)
		case a.Reset != nil:
			f := buffers.Get().(*buffer)
			to := netip.AddrPortFrom(a.Reset.Client.Addr(), b.options.ClientAddr.Port())
			_ = b.outputs.Push(c, output{to: to, toClient: true, data: b.options.Codec.AppendReset(f[:0], *a.Reset), buf: f})
		}
		if a.Event.Name != "" {
			b.recordEvent(a.Event)
		}
	}
}

func (b *Balancer) enqueueRelay(c context.Context, to netip.AddrPort, r balsampier.Relay) {
	if r.Kind == balsampier.RelayQuery {
		r.Payload = b.options.Codec.Head(r.Payload)
	}
	f := buffers.Get().(*buffer)
	o, err := b.sealer.SealRelay(f[:0], &r)
	if err != nil {
		b.counters.countDrop("encode")
		return
	}
	_ = b.outputs.Push(c, output{to: to, data: o, buf: f})
}

// recordEvent counts an event and logs it within the rate limit.
func (b *Balancer) recordEvent(n direct.Event) {
	b.counters.countEvent(n.Name, n.Reason)
	if !b.logLimit.Allow() {
		return
	}
	b.log.Info().Uint64("flow", n.Flow.Hi).Str("client", n.Segment.Client.String()).Str("route", n.Segment.Service.String()).
		Bool("opening", n.Segment.Opening).Str("service", string(n.Service)).Str("agent", n.Agent.String()).
		Stringer("reason", n.Reason).Int("candidates", n.Candidates).Uint64("revision", uint64(n.Revision)).Msg(n.Name)
}

func (b *Balancer) sendOutputs(c context.Context) error {
	var os [batchSize]output
	for {
		n, err := b.outputs.Pop(c, os[:])
		if err != nil {
			return err
		}
		for i, o := range os[:n] {
			s := b.agentSocket
			if o.toClient {
				s = b.clientSocket
			}
			if err := s.Send(o.data, o.to); err != nil {
				b.counters.countDrop("send")
			}
			os[i] = output{}
			buffers.Put(o.buf)
		}
	}
}
