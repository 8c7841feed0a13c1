package datagram

import (
	"context"
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/hold"
	"github.com/balsampier/balsampier/control"
	"github.com/balsampier/balsampier/duty"
	"github.com/balsampier/balsampier/fabric"
)

// allowedAddrs holds the service addresses whose new flows may go to the
// agent's service.
type allowedAddrs struct {
	// revision is that of the routes; zero before the first ones.
	revision balsampier.Revision
	addrs    map[netip.AddrPort]struct{}
}

// allows reports whether new flows to the address are allowed, and the revision
// of the routes that say so.
func (r *allowedAddrs) allows(to netip.AddrPort) (bool, balsampier.Revision) {
	_, ok := r.addrs[to]
	return ok, r.revision
}

// manageFlows is the flow thread, which owns the flow table.
func (a *Agent) manageFlows(c context.Context) error {
	var is [batchSize]input
	a.updateProbe()
	for {
		w := idleInterval
		if a.flows.Load().Running > 0 {
			w = probeInterval
		}
		for _, next := range []func() (time.Time, bool){a.flows.NextTick, a.collector.NextTick} {
			if at, ok := next(); ok {
				w = min(w, max(at.Sub(a.options.Clock.Now()), 0))
			}
		}
		k := a.options.Clock.NewTimer(w)
		n, err := a.inputs.PopUntil(c, is[:], k.C())
		k.Stop()
		if err != nil {
			return err
		}
		for i := range is[:n] {
			a.handleProtected(c, is[i])
			is[i].relay.Free()
			is[i].packet.Free()
			is[i] = input{}
		}
		a.flows.Tick(a.options.Clock.Now())
		a.collector.Tick(a.options.Clock.Now())
		a.performActions(c)
		l := a.flows.Load()
		a.load.Store(&l)
		a.updateProbe()
	}
}

// handleProtected handles an input and performs the actions that follow. An
// input that causes a panic is dropped.
func (a *Agent) handleProtected(c context.Context, i input) {
	err := duty.Protect("handle datagram", func() error {
		a.handleInput(i)
		a.performActions(c)
		return nil
	})
	if err != nil {
		a.counters.countDropped("panic")
		a.log.Error().Err(err).Msg("input dropped")
	}
}

func (a *Agent) handleInput(i input) {
	switch {
	case i.state != nil:
		a.adoptState(*i.state)
	case i.serverAbsent:
		a.handleServerAbsent()
	case i.serverListens:
		if s, _ := a.flows.Server(); a.flows.HandleServerListens() {
			a.server.Store(&s)
			a.session.RenewNow()
		}
	case i.stop != nil:
		a.handleStop(i.stop)
	case i.serverMessage != nil:
		a.handleServerMessage(i.serverMessage)
	case i.relay.Payload != nil:
		a.handleRelay(i.relay)
	default:
		a.handleServerPacket(i.packet)
	}
}

func (a *Agent) handleRelay(d fabric.Datagram) {
	r, err := a.sealer.OpenRelay(d.Payload)
	isSearchReply := r.Flow.Hi == 0 && (r.Kind == balsampier.RelayNotFound || r.Kind == balsampier.RelayUncertain)
	if err != nil || !r.Kind.IsRequest() && !isSearchReply {
		a.logRefused("relay", d, err)
		return
	}
	a.counters.relays.Inc()
	switch {
	case isSearchReply:
		a.collector.HandleReply(d.Caller, r)
		return
	case r.Kind == balsampier.RelayCollect:
		a.recordBalancer(d.Caller)
		a.collector.HandleRequest(d.Caller, r, d.At)
		return
	case r.Kind == balsampier.RelayPassedSearch:
		// The balancer counts on a shutdown notice although it did not ask
		// itself.
		for _, b := range r.Targets {
			a.recordBalancer(b)
		}
		r.Kind = balsampier.RelaySearch
		a.flows.HandleRelay(d.Caller, r, balsampier.Segment{}, d.At)
		return
	case r.Kind == balsampier.RelaySearch:
		a.recordBalancer(d.Caller)
		a.flows.HandleRelay(d.Caller, r, balsampier.Segment{}, d.At)
		return
	}
	a.recordBalancer(d.Caller)
	s, err := a.options.Codec.Decode(r.Payload, true)
	if err != nil || s.Key != r.Flow {
		a.logRefused("relay", d, err)
		return
	}
	a.flows.HandleRelay(d.Caller, r, s, d.At)
}

func (a *Agent) handleServerPacket(d fabric.Datagram) {
	if d.Caller.Addr() != a.options.ServerAddr.Addr() {
		a.logRefused("stranger", d, nil)
		return
	}
	s, err := a.options.Codec.Decode(d.Payload, false)
	if err != nil {
		a.logRefused("packet", d, err)
		return
	}
	a.counters.packets.Inc()
	a.flows.HandleServerPacket(s, d.Payload, d.At)
}

// logRefused counts and logs a datagram that is invalid or not from the server.
func (a *Agent) logRefused(reason string, d fabric.Datagram, err error) {
	a.counters.countDropped(reason)
	if a.logLimit.Allow() {
		a.log.Warn().Str("from", d.Caller.String()).Int("bytes", len(d.Payload)).Str("reason", reason).Err(err).Msg("datagram refused")
	}
}

func (a *Agent) handleServerMessage(s *serverMessage) {
	if s.heartbeat == nil {
		if a.flows.HandleShutdown(s.id) {
			a.server.Store(nil)
			a.session.RenewNow()
		}
		a.log.Info().Str("server", s.id).Msg("server shut down")
		s.done <- nil
		return
	}
	h := *s.heartbeat
	if h.Service != a.options.Service || h.Addr != a.options.ServerAddr || h.Born.After(a.options.Clock.Now().Add(maxClockError)) {
		a.log.Warn().Str("server", h.ID).Str("service", string(h.Service)).Str("address", h.Addr.String()).Time("born", h.Born).Msg("heartbeat from an unexpected server")
		s.done <- balsampier.NewError(balsampier.KindInvalid, "accept heartbeat", "send it to the agent beside the server", nil)
		return
	}
	if a.flows.HandleHeartbeat(h, a.options.Clock.Now()) {
		a.server.Store(&h)
		a.session.RenewNow()
		a.log.Info().Str("server", h.ID).Time("born", h.Born).Uint64("sequence", h.Sequence).Int("slots", h.Slots).
			Bool("draining", h.Draining).Dur("cold", h.Cold).Msg("server")
	}
	if !a.flows.IsCurrentRun(h) {
		// It is not obeyed, so that it must not be acknowledged either.
		if a.logLimit.Allow() {
			a.log.Warn().Str("server", h.ID).Time("born", h.Born).Uint64("sequence", h.Sequence).Bool("draining", h.Draining).Msg("heartbeat of another run")
		}
		s.done <- balsampier.NewError(balsampier.KindUnavailable, "accept heartbeat", "send the next one; until then another run of the server counts", nil)
		return
	}
	s.done <- nil
}

// adoptState applies the membership and the routes of a control state.
func (a *Agent) adoptState(s control.State) {
	var as []netip.AddrPort
	for _, m := range s.View.Members {
		if m.Role == balsampier.RoleAgent && m.Service == a.options.Service {
			as = append(as, m.Addr)
		}
	}
	a.flows.AdoptAgents(as, a.options.Clock.Now())
	f := s.Routes
	if f.Version <= a.routes.revision {
		return
	}
	to := make(map[netip.AddrPort]struct{})
	for _, r := range f.Routes {
		if r.Allows(a.options.Service) {
			to[r.To] = struct{}{}
		}
	}
	a.routes.revision, a.routes.addrs = f.Version, to
}

// performActions enqueues the datagrams that the flow table wants sent, and logs
// its events.
func (a *Agent) performActions(c context.Context) {
	for _, x := range a.flows.PopActions() {
		switch {
		case x.ToServer != nil:
			a.enqueueCopy(c, a.options.ServerAddr, x.ToServer)
		case x.ToClient != nil:
			a.enqueueCopy(c, netip.AddrPortFrom(x.Client.Addr(), a.options.PeerAddr.Port()), x.ToClient)
		case x.Reset != nil:
			f := buffers.Get().(*buffer)
			to := netip.AddrPortFrom(x.Reset.Client.Addr(), a.options.PeerAddr.Port())
			_ = a.outputs.Push(c, output{to: to, data: a.options.Codec.AppendReset(f[:0], *x.Reset), buf: f})
		case x.To.IsValid():
			a.enqueueRelay(c, x.To, &x.Reply)
		}
		if x.Event.Name != "" {
			a.logEvent(x.Event)
		}
	}
	for _, x := range a.collector.PopActions() {
		a.enqueueRelay(c, x.To, &x.Relay)
	}
}

func (a *Agent) enqueueRelay(c context.Context, to netip.AddrPort, r *balsampier.Relay) {
	f := buffers.Get().(*buffer)
	b, err := a.sealer.SealRelay(f[:0], r)
	if err != nil {
		a.counters.countDropped("encode")
		return
	}
	_ = a.outputs.Push(c, output{to: to, relay: true, data: b, buf: f})
}

// enqueueCopy enqueues a copy of b, because b may lie in the buffer of an input,
// which is freed after its actions.
func (a *Agent) enqueueCopy(c context.Context, to netip.AddrPort, b []byte) {
	f := buffers.Get().(*buffer)
	_ = a.outputs.Push(c, output{to: to, data: append(f[:0], b...), buf: f})
}

// logEvent counts an event of the flow table and logs it within the rate limit.
func (a *Agent) logEvent(n hold.Event) {
	a.counters.countEvent(n.Name, n.Reason)
	if !a.logLimit.Allow() {
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

func (a *Agent) sendOutputs(c context.Context) error {
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
			if err := s.Send(o.data, o.to); err != nil {
				a.counters.countDropped("send")
			}
			os[i] = output{}
			buffers.Put(o.buf)
		}
	}
}
