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
	// arrival is one message to the thread that decides on envelopes.
	arrival struct {
		// b is a sealed envelope in buf, which is given back once b was used;
		// nil for the own load.
		b   []byte
		buf *buffer
		// own is the own load when b is nil.
		own balsampier.Load
	}

	// placement is what that thread knows for placing flows.
	placement struct {
		loads  *loadview.View
		hinted *place.HintedPlacer
		// reports holds the last report of each agent; bounded by the view.
		reports map[balsampier.InstanceID]reported
	}

	reported struct {
		incarnation balsampier.Incarnation
		sequence    uint64
	}
)

func newPlacement(h balsampier.Holder, x balsampier.Random) *placement {
	l := loadview.New()
	return &placement{loads: l, hinted: place.NewHintedPlacer(h, l, x), reports: make(map[balsampier.InstanceID]reported)}
}

// placedElsewhere decides on an opening packet that the rules bring to the own
// service, and hands it on when another agent is to have its flow.
func (a *Agent) placedElsewhere(c context.Context, e *peer.Envelope, t time.Time) bool {
	m, _ := a.Member()
	v := a.session.State().View
	a.placement.hinted.Adopt(v, m.Service, m.Draining)
	p := a.placement.hinted.Place(balsampier.Packet{
		Caller: e.Caller, ServiceAddr: e.ServiceAddr, Flow: e.Flow, Opening: true, Hops: e.Hops, At: t,
	}, e.Placed)
	if p.Deliver {
		return false
	}
	e.Service, e.Incarnation, e.Epoch, e.Placed = m.Service, p.Target.Incarnation, v.Epoch, true
	a.counters.placed.Inc()
	a.passOn(c, e, p.Target.Addr)
	return true
}

// learn takes in the load that an agent of the same service reports. A report
// that is older than one before is a repeated one.
func (a *Agent) learn(c context.Context, r *peer.LoadReport, t time.Time) {
	m, ok := a.Member()
	k, known := a.session.State().View.Find(r.Holder.Instance)
	if !ok || !known || r.Service != m.Service || k.Service != m.Service || r.Holder.Instance == a.self.ID {
		a.counters.drop("load")
		return
	}
	p := a.placement
	old := p.reports[r.Holder.Instance]
	if r.Holder.Incarnation < old.incarnation || r.Holder.Incarnation == old.incarnation && r.Sequence <= old.sequence {
		a.counters.drop("load")
		return
	}
	p.reports[r.Holder.Instance] = reported{incarnation: r.Holder.Incarnation, sequence: r.Sequence}
	l := r.Load
	l.At, l.ReadySince = t, t.Add(-r.ReadyDuration)
	p.loads.RecordAgentLoad(r.Holder.Instance, l)
	_ = a.health.events.PushWith(c, healthEvent{kind: healthReport, from: r.Holder.Instance, ejected: r.Ejected}, ring.DropNewest)
	a.forgetReports()
}

// forgetReports drops agents that left the view once they make up half.
func (a *Agent) forgetReports() {
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
