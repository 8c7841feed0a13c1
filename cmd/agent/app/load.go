package app

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/place"
	"github.com/balsampier/balsampier/peer"
)

// exchangeLoads reports this agent's load to the thread that places flows, and
// to a sample of the other agents of the service.
func (a *Agent) exchangeLoads(c context.Context) error {
	for n := uint64(1); ; n++ {
		if err := a.wait(c, place.ReportInterval); err != nil {
			return err
		}
		m, ok := a.Member()
		if !ok {
			continue
		}
		l, err := a.load(c)
		if err != nil {
			continue
		}
		_ = a.envelopes.Push(c, inboundMessage{ownLoad: l})
		b, err := a.sealer.SealLoad(nil, a.report(m, l, n))
		if err != nil {
			a.counters.countDropped("encode")
			continue
		}
		for _, p := range place.SamplePeers(a.session.State().View, m, place.MaxReportTargets, a.random) {
			a.counters.loadBytes.Add(len(b))
			_ = a.outbound.Push(c, outboundEnvelope{to: p.Addr, data: b})
		}
	}
}

// report returns load report n of this agent.
func (a *Agent) report(m balsampier.Member, l balsampier.Load, n uint64) *peer.LoadReport {
	return &peer.LoadReport{
		Holder: m.Holder(), Sequence: n, Service: m.Service, Load: l, ReadyDuration: l.At.Sub(l.ReadySince), Ejected: a.health.ejected.Load(),
	}
}

// load returns this agent's load, as the agent counts it.
func (a *Agent) load(c context.Context) (balsampier.Load, error) {
	v := a.server.Load()
	if v == nil {
		return balsampier.Load{}, balsampier.NewError(balsampier.KindUnavailable, "read load", "let the backend server announce itself", nil)
	}
	c, cancel := context.WithTimeout(c, dumpTimeout)
	defer cancel()
	l, err := a.admission.load(c)
	if err != nil {
		return l, err
	}
	l.Connections = a.connections()
	l.At, l.ReadySince = a.clock.Now(), v.since
	if l.Slots <= 0 {
		l.Slots = v.Slots
	}
	return l, nil
}

// connections returns the number of callers' connections.
func (a *Agent) connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, e := range a.endpoints {
		n += e.Connections()
	}
	return n
}

// wait returns nil after d, or the error of c when that ends first.
func (a *Agent) wait(c context.Context, d time.Duration) error {
	t := a.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
		return nil
	case <-c.Done():
		return c.Err()
	}
}
