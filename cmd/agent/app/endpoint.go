package app

import (
	"context"
	"errors"
	"net/http"
	"net/netip"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/caller"
	"github.com/balsampier/balsampier/peer"
)

// maxEndpoints bounds the service addresses of one service.
const maxEndpoints = 64

// endpoint is the QUIC endpoint of a service address, with the routes back to
// its callers.
type endpoint struct {
	*caller.Endpoint
	routes *routes
}

// endpoint returns the endpoint of a service address and creates it on first
// use.
func (a *Agent) endpoint(s netip.AddrPort) (*endpoint, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, ok := a.endpoints[s]; ok {
		return e, nil
	}
	if len(a.endpoints) >= maxEndpoints {
		return nil, balsampier.NewError(balsampier.KindFull, "open service address "+s.String(), "use fewer addresses for one service", nil)
	}
	e := &endpoint{routes: newRoutes(a.clock.Now())}
	c, err := caller.NewEndpoint(caller.Options{
		ServiceAddr: s, Holder: a.self.Holder(), Codec: a.codec, Key: a.key, TLS: a.cert.Config(),
		Accept:    func(p netip.AddrPort) error { return a.accept(p, s) },
		Handler:   http.HandlerFunc(a.serve(s)),
		Send:      func(p []byte, to netip.AddrPort) error { return a.sendToCaller(e, s, p, to) },
		IDCounter: &a.ids,
		Clock:     a.clock,
	})
	if err != nil {
		return nil, err
	}
	e.Endpoint = c
	a.endpoints[s] = e
	go func() {
		if err := e.Serve(); err != nil {
			a.log.Error().Err(err).Stringer("serviceAddress", s).Msg("endpoint ended")
		}
	}()
	return e, nil
}

// accept returns an error for a connection that no rule in force routes to the
// agent's service.
func (a *Agent) accept(p, s netip.AddrPort) error {
	m, ok := a.Member()
	if !ok || m.Draining {
		return balsampier.NewError(balsampier.KindNotRun, "accept connection", "connect again to reach another server", nil)
	}
	r, ok := a.session.State().Table.InForce(s, p.Addr().Unmap(), a.clock.Now())
	if !ok || r.Service != m.Service {
		a.counters.countRefusedConnection(balsampier.ReasonNoRule.String())
		return balsampier.NewError(balsampier.KindNotRun, "accept connection", "connect when a rule is in force", nil)
	}
	return nil
}

// sendToCaller sends a datagram to a caller through a balancer.
func (a *Agent) sendToCaller(e *endpoint, s netip.AddrPort, p []byte, to netip.AddrPort) error {
	b, ok := e.routes.choose(to, a.session.State().View, a.clock.Now())
	if !ok {
		a.counters.countDropped("noBalancer")
		return nil
	}
	f := buffers.Get().(*buffer)
	o, err := a.sealer.Seal(f[:0], &peer.Envelope{
		ToCaller: true, Caller: to, ServiceAddr: s, Payload: p,
	})
	if err != nil {
		return err
	}
	return a.outbound.Push(context.Background(), outboundEnvelope{to: b, data: o, buf: f})
}

// shutdownEndpoints shuts down the endpoints one after the other.
func (a *Agent) shutdownEndpoints(c context.Context) error {
	a.mu.Lock()
	es := make([]*endpoint, 0, len(a.endpoints))
	for _, e := range a.endpoints {
		es = append(es, e)
	}
	a.mu.Unlock()
	var errs []error
	for _, e := range es {
		errs = append(errs, e.Shutdown(c))
	}
	return errors.Join(errs...)
}

// closeEndpoints waits for the end of the process and closes the remaining
// endpoints.
func (a *Agent) closeEndpoints(c context.Context) error {
	<-c.Done()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.endpoints {
		_ = e.Close()
	}
	return c.Err()
}
