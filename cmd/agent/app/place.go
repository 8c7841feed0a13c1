package app

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/place"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/query/loadview"
	"github.com/balsampier/balsampier/ring"
)

type (
	// inboundMessage is one message to the thread that processes envelopes.
	inboundMessage struct {
		// envelope is a sealed envelope in buf, which is freed after the
		// message was handled; nil in a message with ownLoad.
		envelope []byte
		buf      *buffer
		// ownLoad is this agent's load; set when envelope is nil.
		ownLoad balsampier.Load
	}

	// placement is the state for placing flows.
	placement struct {
		loads  *loadview.View
		placer *place.HintedPlacer
		// reports holds the version of the last report of each agent.
		// removeDepartedReports bounds it by the size of the view.
		reports map[balsampier.InstanceID]reportVersion
	}

	// reportVersion orders the load reports of an agent.
	reportVersion struct {
		incarnation balsampier.Incarnation
		sequence    uint64
	}
)

func newPlacement(h balsampier.Holder, x balsampier.Random) *placement {
	l := loadview.New()
	return &placement{loads: l, placer: place.NewHintedPlacer(h, l, x), reports: make(map[balsampier.InstanceID]reportVersion)}
}

// forwardIfPlaced places an opening packet that the rules route to this agent's
// service. It forwards the packet and returns true if the flow goes to another
// agent.
func (a *Agent) forwardIfPlaced(c context.Context, e *peer.Envelope, t time.Time) bool {
	m, _ := a.Member()
	v := a.session.State().View
	a.placement.placer.Adopt(v, m.Service, m.Draining)
	p := a.placement.placer.Place(balsampier.Packet{
		Caller: e.Caller, ServiceAddr: e.ServiceAddr, Flow: e.Flow, Opening: true, Hops: e.Hops, At: t,
	}, e.Placed)
	if p.Deliver {
		return false
	}
	e.Service, e.Incarnation, e.Epoch, e.Placed = m.Service, p.Target.Incarnation, v.Epoch, true
	a.counters.placed.Inc()
	a.forward(c, e, p.Target.Addr)
	return true
}

// handleLoadReport records the load that another agent of the service reports.
// A report that is no newer than the last one is dropped as a duplicate.
func (a *Agent) handleLoadReport(c context.Context, r *peer.LoadReport, t time.Time) {
	m, ok := a.Member()
	k, known := a.session.State().View.Find(r.Holder.Instance)
	if !ok || !known || r.Service != m.Service || k.Service != m.Service || r.Holder.Instance == a.self.ID {
		a.counters.countDropped("load")
		return
	}
	p := a.placement
	old := p.reports[r.Holder.Instance]
	if r.Holder.Incarnation < old.incarnation || r.Holder.Incarnation == old.incarnation && r.Sequence <= old.sequence {
		a.counters.countDropped("load")
		return
	}
	p.reports[r.Holder.Instance] = reportVersion{incarnation: r.Holder.Incarnation, sequence: r.Sequence}
	l := r.Load
	l.At, l.ReadySince = t, t.Add(-r.ReadyDuration)
	p.loads.RecordAgentLoad(r.Holder.Instance, l)
	_ = a.health.events.PushWith(c, healthEvent{kind: healthReport, from: r.Holder.Instance, ejected: r.Ejected}, ring.DropNewest)
	a.removeDepartedReports()
}

// removeDepartedReports removes the reports of agents that left the view once
// there are more than twice as many reports as members.
func (a *Agent) removeDepartedReports() {
	v := a.session.State().View
	if len(a.placement.reports) <= 2*len(v.Members) {
		return
	}
	for i := range a.placement.reports {
		if _, ok := v.Find(i); !ok {
			delete(a.placement.reports, i)
		}
	}
}
