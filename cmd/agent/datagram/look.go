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

// look finds out whether a server listens beside the agent while that is in
// doubt.
func (a *Agent) look(c context.Context) error {
	for c.Err() == nil {
		select {
		case <-a.doubts:
		case <-c.Done():
			return c.Err()
		}
		for a.doubtful.Load() && c.Err() == nil {
			if a.refused(c) {
				if err := a.inputs.PushWith(c, input{absent: true}, ring.Block); err != nil {
					return err
				}
			}
			t := a.o.Clock.NewTimer(lookInterval)
			select {
			case <-t.C():
			case <-c.Done():
			}
			t.Stop()
		}
	}
	return c.Err()
}

// refused reports whether the machine says that nothing listens at the
// server's address. Silence says nothing: the server may be busy.
func (a *Agent) refused(c context.Context) bool {
	d := net.Dialer{Timeout: lookTimeout}
	n, err := d.DialContext(c, "tcp", a.o.ServerAddr.String())
	if err == nil {
		_ = n.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// doubt wakes the thread that looks where the holder is in doubt.
func (a *Agent) doubt() {
	d := a.holder.ShouldCheckServer(a.o.Clock.Now())
	a.doubtful.Store(d)
	if !d {
		return
	}
	select {
	case a.doubts <- struct{}{}:
	default:
	}
}

// takeAbsence takes in that no server listens.
func (a *Agent) takeAbsence() {
	if !a.holder.HandleServerAbsent(a.o.Clock.Now()) {
		return
	}
	run := ""
	if s := a.server.Swap(nil); s != nil {
		run = s.ID
	}
	a.log.Warn().Str("server", run).Str("address", a.o.ServerAddr.String()).Msg("no server listens")
	a.session.RenewNow()
}

// tellBalancers says to those heard of lately that the server has ended, with
// all its flows.
func (a *Agent) tellBalancers(c context.Context) {
	for to := range a.heardOf {
		f := buffers.Get().(*buffer)
		b, err := a.sealer.SealRelay(f[:0], &balsampier.Relay{
			Kind: balsampier.RelayShutdown, Flow: balsampier.FlowKey{Lo: uint64(a.member.Incarnation)},
		})
		if err != nil {
			a.counters.drop("encode")
			return
		}
		_ = a.outputs.Push(c, output{to: to, relay: true, b: b, buf: f})
	}
}

// hear notes a balancer that sent something.
func (a *Agent) hear(from netip.AddrPort) {
	if _, ok := a.heardOf[from]; !ok && len(a.heardOf) < maxHeardOf {
		a.heardOf[from] = struct{}{}
	}
}
