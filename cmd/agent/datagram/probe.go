package datagram

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/ring"
)

const (
	serverUnknown serverCheck = iota
	serverListens
	serverAbsent
)

// serverCheck is the result of a connection to the server's address.
type serverCheck uint8

// probeServer is the thread that probes the server's address while it is
// uncertain whether a server listens there.
func (a *Agent) probeServer(c context.Context) error {
	for c.Err() == nil {
		select {
		case <-a.wakeProbe:
		case <-c.Done():
			return c.Err()
		}
		for a.serverUncertain.Load() && c.Err() == nil {
			if n := a.checkServer(c); n != serverUnknown {
				i := input{serverAbsent: n == serverAbsent, serverListens: n == serverListens}
				if err := a.inputs.PushWith(c, i, ring.Block); err != nil {
					return err
				}
			}
			t := a.options.Clock.NewTimer(probeInterval)
			select {
			case <-t.C():
			case <-c.Done():
			}
			t.Stop()
		}
	}
	return c.Err()
}

// checkServer connects to the server's address. Nothing listens there if the
// connection is refused. After a time-out nothing is known, as the server may be
// busy.
func (a *Agent) checkServer(c context.Context) serverCheck {
	d := net.Dialer{Timeout: probeTimeout}
	n, err := d.DialContext(c, "tcp", a.options.ServerAddr.String())
	switch {
	case err == nil:
		_ = n.Close()
		return serverListens
	case errors.Is(err, syscall.ECONNREFUSED):
		return serverAbsent
	}
	return serverUnknown
}

// updateProbe starts or stops probing the server, as the flow table asks.
func (a *Agent) updateProbe() {
	d := a.flows.ShouldCheckServer(a.options.Clock.Now())
	a.serverUncertain.Store(d)
	if !d {
		return
	}
	select {
	case a.wakeProbe <- struct{}{}:
	default:
	}
}

// handleServerAbsent handles a probe that found no server listening.
func (a *Agent) handleServerAbsent() {
	if !a.flows.HandleServerAbsent(a.options.Clock.Now()) {
		return
	}
	run := ""
	if s := a.server.Swap(nil); s != nil {
		run = s.ID
	}
	a.log.Warn().Str("server", run).Str("address", a.options.ServerAddr.String()).Msg("no server listens")
	a.session.RenewNow()
}

// handleStop answers whether the server has ended, and if so notifies the
// balancers.
func (a *Agent) handleStop(r *stopRequest) {
	if r.absent {
		a.handleServerAbsent()
	}
	ended := a.flows.HasServerEnded()
	if ended {
		a.notifyBalancers(context.Background())
	}
	r.hasEnded <- ended
}

// notifyBalancers notifies each known balancer that the server has ended, with
// all its flows.
func (a *Agent) notifyBalancers(c context.Context) {
	for to := range a.knownBalancers {
		f := buffers.Get().(*buffer)
		b, err := a.sealer.SealRelay(f[:0], &balsampier.Relay{
			Kind: balsampier.RelayShutdown, Flow: balsampier.FlowKey{Lo: uint64(a.member.Incarnation)},
		})
		if err != nil {
			a.counters.countDropped("encode")
			return
		}
		_ = a.outputs.Push(c, output{to: to, relay: true, data: b, buf: f})
	}
}

// recordBalancer remembers a balancer for the shutdown notice.
func (a *Agent) recordBalancer(from netip.AddrPort) {
	if _, ok := a.knownBalancers[from]; !ok && len(a.knownBalancers) < maxKnownBalancers {
		a.knownBalancers[from] = struct{}{}
	}
}
