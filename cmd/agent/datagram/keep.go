package datagram

import (
	"context"
	"net/netip"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/hold"
	"github.com/balsampier/balsampier/control"
	"github.com/balsampier/balsampier/fabric"
)

// allowed are the addresses whose new flows the own service takes.
type allowed struct {
	// revision is zero before the first routes.
	revision balsampier.Revision
	to       map[netip.AddrPort]struct{}
}

func (r *allowed) allows(to netip.AddrPort) (bool, balsampier.Revision) {
	_, ok := r.to[to]
	return ok, r.revision
}

// keep owns the holder.
func (a *Agent) keep(c context.Context) error {
	var is [batchSize]input
	a.doubt()
	for {
		w := idleWait
		if a.holder.Load().Running > 0 {
			w = lookInterval
		}
		if at, ok := a.holder.NextTick(); ok {
			w = min(w, max(at.Sub(a.o.Clock.Now()), 0))
		}
		k := a.o.Clock.NewTimer(w)
		n, err := a.inputs.PopUntil(c, is[:], k.C())
		k.Stop()
		if err != nil {
			return err
		}
		for i := range is[:n] {
			a.take(is[i])
			a.handOn(c)
			is[i].relay.Free()
			is[i].packet.Free()
			is[i] = input{}
		}
		a.holder.Tick(a.o.Clock.Now())
		a.handOn(c)
		l := a.holder.Load()
		a.load.Store(&l)
		a.doubt()
	}
}

func (a *Agent) take(i input) {
	switch {
	case i.state != nil:
		a.adopt(*i.state)
	case i.absent:
		a.takeAbsence()
	case i.ended:
		a.tellBalancers(context.Background())
	case i.statement != nil:
		a.takeStatement(i.statement)
	case i.relay.Payload != nil:
		a.takeRelay(i.relay)
	default:
		a.takePacket(i.packet)
	}
}

func (a *Agent) takeRelay(d fabric.Datagram) {
	r, err := a.sealer.OpenRelay(d.Payload)
	if err != nil || r.Kind >= balsampier.RelayAccepted {
		a.refuse("relay", d, err)
		return
	}
	a.hear(d.Caller)
	if r.Kind == balsampier.RelaySearch {
		a.counters.relays.Inc()
		a.holder.HandleRelay(d.Caller, r, balsampier.Segment{}, d.At)
		return
	}
	s, err := a.o.Codec.Decode(r.Payload, true)
	if err != nil || s.Key != r.Flow {
		a.refuse("relay", d, err)
		return
	}
	a.counters.relays.Inc()
	a.holder.HandleRelay(d.Caller, r, s, d.At)
}

func (a *Agent) takePacket(d fabric.Datagram) {
	if d.Caller.Addr() != a.o.ServerAddr.Addr() {
		a.refuse("stranger", d, nil)
		return
	}
	s, err := a.o.Codec.Decode(d.Payload, false)
	if err != nil {
		a.refuse("packet", d, err)
		return
	}
	a.counters.packets.Inc()
	a.holder.HandleServerPacket(s, d.Payload, d.At)
}

// refuse logs a datagram that was not understood.
func (a *Agent) refuse(reason string, d fabric.Datagram, err error) {
	a.counters.drop(reason)
	if a.limit.Allow() {
		a.log.Warn().Str("from", d.Caller.String()).Int("bytes", len(d.Payload)).Str("reason", reason).Err(err).Msg("datagram refused")
	}
}

func (a *Agent) takeStatement(s *statement) {
	if s.heartbeat == nil {
		if a.holder.HandleShutdown(s.id) {
			a.server.Store(nil)
			a.session.RenewNow()
		}
		a.log.Info().Str("server", s.id).Msg("server left")
		s.done <- nil
		return
	}
	h := *s.heartbeat
	if h.Service != a.o.Service || h.Addr != a.o.ServerAddr {
		a.log.Warn().Str("server", h.ID).Str("service", string(h.Service)).Str("address", h.Addr.String()).Msg("heartbeat of another server")
		s.done <- balsampier.NewError(balsampier.KindInvalid, "take heartbeat", "send it to the agent beside the server", nil)
		return
	}
	if a.holder.HandleHeartbeat(h) {
		a.server.Store(&h)
		a.session.RenewNow()
		a.log.Info().Str("server", h.ID).Time("born", h.Born).Uint64("sequence", h.Sequence).Int("slots", h.Slots).
			Bool("draining", h.Draining).Dur("cold", h.Cold).Msg("server")
	}
	s.done <- nil
}

// adopt takes over membership and routes.
func (a *Agent) adopt(s control.State) {
	var as []netip.AddrPort
	for _, m := range s.View.Members {
		if m.Role == balsampier.RoleAgent && m.Service == a.o.Service {
			as = append(as, m.Addr)
		}
	}
	a.holder.AdoptAgents(as, a.o.Clock.Now())
	f := s.Routes
	if f.Version <= a.routes.revision {
		return
	}
	to := make(map[netip.AddrPort]struct{})
	for _, r := range f.Routes {
		if r.Allows(a.o.Service) {
			to[r.To] = struct{}{}
		}
	}
	a.routes.revision, a.routes.to = f.Version, to
}

// handOn seals or copies what is to be sent, and writes down what was decided.
func (a *Agent) handOn(c context.Context) {
	for _, x := range a.holder.PopActions() {
		switch {
		case x.ToServer != nil:
			a.copyOut(c, a.o.ServerAddr, x.ToServer)
		case x.ToClient != nil:
			a.copyOut(c, netip.AddrPortFrom(x.Client.Addr(), a.o.PeerAddr.Port()), x.ToClient)
		case x.Reset != nil:
			f := buffers.Get().(*buffer)
			to := netip.AddrPortFrom(x.Reset.Client.Addr(), a.o.PeerAddr.Port())
			_ = a.outputs.Push(c, output{to: to, b: a.o.Codec.AppendReset(f[:0], *x.Reset), buf: f})
		case x.To.IsValid():
			f := buffers.Get().(*buffer)
			b, err := a.sealer.SealRelay(f[:0], &x.Reply)
			if err != nil {
				a.counters.drop("encode")
				continue
			}
			_ = a.outputs.Push(c, output{to: x.To, relay: true, b: b, buf: f})
		}
		if x.Event.Name != "" {
			a.note(x.Event)
		}
	}
}

func (a *Agent) copyOut(c context.Context, to netip.AddrPort, b []byte) {
	f := buffers.Get().(*buffer)
	_ = a.outputs.Push(c, output{to: to, b: append(f[:0], b...), buf: f})
}

func (a *Agent) note(n hold.Event) {
	a.counters.event(n.Name, n.Reason)
	if !a.limit.Allow() {
		return
	}
	run := ""
	if s := a.server.Load(); s != nil {
		run = s.ID
	}
	a.log.Info().Uint64("flow", n.Flow.Hi).Str("server", run).Str("client", n.Segment.Client.String()).Str("route", n.Segment.Service.String()).
		Bool("opening", n.Segment.Opening).Str("balancer", n.Balancer.String()).Stringer("reason", n.Reason).
		Uint64("revision", uint64(n.Revision)).Uint64("ownRevision", uint64(n.OwnRevision)).Msg(n.Name)
}

func (a *Agent) send(c context.Context) error {
	var os [batchSize]output
	for {
		n, err := a.outputs.Pop(c, os[:])
		if err != nil {
			return err
		}
		for i, o := range os[:n] {
			s := a.outbound
			if o.relay {
				s = a.balancers
			}
			if err := s.Send(o.b, o.to); err != nil {
				a.counters.drop("send")
			}
			os[i] = output{}
			buffers.Put(o.buf)
		}
	}
}
