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

// endpoint is a service address with the ways back to its callers.
type endpoint struct {
	*caller.Endpoint
	routes *routes
}

// endpoint returns the endpoint of the service address and makes it on first
// use.
func (a *Agent) endpoint(s netip.AddrPort) (*endpoint, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, ok := a.endpoints[s]; ok {
		return e, nil
	}
	if len(a.endpoints) >= maxEndpoints {
		return nil, balsampier.NewError(balsampier.KindFull, "take service address "+s.String(), "use fewer addresses for one service", nil)
	}
	e := &endpoint{routes: newRoutes(a.clock.Now())}
	c, err := caller.NewEndpoint(caller.Options{
		ServiceAddr: s, Holder: a.self.Holder(), Codec: a.codec, Key: a.key, TLS: a.cert.Config(),
		Accept:    func(p netip.AddrPort) error { return a.accept(p, s) },
		Handler:   http.HandlerFunc(a.serve(s)),
		Send:      func(p []byte, to netip.AddrPort) error { return a.answer(e, s, p, to) },
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

// accept refuses connections that no rule brings to the own service now.
func (a *Agent) accept(p, s netip.AddrPort) error {
	m, ok := a.Member()
	if !ok || m.Draining {
		return balsampier.NewError(balsampier.KindNotRun, "accept connection", "connect again to reach another server", nil)
	}
	r, ok := a.session.State().Table.InForce(s, p.Addr().Unmap(), a.clock.Now())
	if !ok || r.Service != m.Service {
		a.counters.refuseConnection(balsampier.ReasonNoRule.String())
		return balsampier.NewError(balsampier.KindNotRun, "accept connection", "ask when a rule is in force", nil)
	}
	return nil
}

// answer sends a datagram to a caller through a balancer.
func (a *Agent) answer(e *endpoint, s netip.AddrPort, p []byte, to netip.AddrPort) error {
	b, ok := e.routes.choose(to, a.session.State().View, a.clock.Now())
	if !ok {
		a.counters.drop("noBalancer")
		return nil
	}
	f := buffers.Get().(*buffer)
	o, err := a.sealer.Seal(f[:0], &peer.Envelope{
		ToCaller: true, Caller: to, ServiceAddr: s, Payload: p,
	})
	if err != nil {
		return err
	}
	return a.out.Push(context.Background(), outbound{to: b, b: o, buf: f})
}

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

// closeEndpoints waits for the end of the process and closes what is left.
func (a *Agent) closeEndpoints(c context.Context) error {
	<-c.Done()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.endpoints {
		_ = e.Close()
	}
	return c.Err()
}
