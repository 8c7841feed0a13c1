package direct

import (
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// bulkFlowBytes is the mean length of a route's flows from which on they
	// count as bulk.
	bulkFlowBytes = 16_000
	// maxCountedFlows is the number of flows at which the counts of a route are
	// halved, so that they follow its traffic.
	maxCountedFlows = 200
	// congestedRoundTrip is the smoothed round trip to agents from which on the
	// link may be congested: a quarter of the time after which clients
	// retransmit, as the flows that are open already send on.
	congestedRoundTrip = 50 * time.Millisecond
	// congestedTimeouts is the share of the openings without a reply in time from
	// which on it may be congested too: a full link drops replies.
	congestedTimeouts = 0.25
	// timeoutWeight is the inverse weight of one opening in that share.
	timeoutWeight = 16
	// congestedShare is the share of the link that must be in use as well:
	// agents may also reply late for other reasons. Both directions carry each
	// packet and may share the link, so that half of it is its whole.
	congestedShare = 0.3
	// linkWindow is the time over which the use of the link is measured.
	linkWindow = 250 * time.Millisecond
	// packetOverheadBytes is the length of a packet without its data, with what
	// its relay adds.
	packetOverheadBytes = 130
)

type (
	// traffic counts the flows of a route and the bytes of their clients.
	traffic struct{ flows, bytes int }

	// linkUse measures the bytes that a balancer passes on.
	linkUse struct {
		// since is the start of the present window, bytes its bytes so far.
		since time.Time
		bytes int
		// rate is that of the last window, in bytes per second.
		rate float64
	}
)

func (r *traffic) addFlow() {
	if r.flows++; r.flows > maxCountedFlows {
		r.flows /= 2
		r.bytes /= 2
	}
}

// isBulk reports whether clients send much on each flow.
func (r *traffic) isBulk() bool { return r.flows > 0 && r.bytes/r.flows > bulkFlowBytes }

func (l *linkUse) add(n int, t time.Time) {
	if d := t.Sub(l.since); d >= linkWindow {
		l.rate = float64(l.bytes) / d.Seconds()
		l.since, l.bytes = t, 0
	}
	l.bytes += n
}

// refuseBulk refuses the opening of a bulk flow while the link is congested, and
// reports whether it did. Packets would wait in the link for longer than clients
// wait before they retransmit, so that each goes over the link several times and
// small flows stall too, also after the cause has ended. The client learns at
// once that nothing ran, and its next flow may go to a balancer with room.
func (d *Director) refuseBulk(s balsampier.Segment, r *route) bool {
	// A retransmission may be of a flow that another balancer has opened.
	if s.Retransmissions > 0 || !d.isCongested() || !r.traffic.isBulk() {
		return false
	}
	d.pendingActions = append(d.pendingActions, Action{
		Reset: &s, Event: Event{Name: "reset", Flow: s.Key, Segment: s, Reason: balsampier.ReasonFull, Revision: d.routes.revision},
	})
	return true
}

func (d *Director) isCongested() bool {
	l := d.config.LinkBytesPerSecond
	return l > 0 && d.linkUse.rate > congestedShare*l && (d.roundTrip.smoothed > congestedRoundTrip || d.timeoutShare > congestedTimeouts)
}

// countOpening records whether an opening got a reply in time.
func (d *Director) countOpening(timedOut bool) {
	x := 0.0
	if timedOut {
		x = 1
	}
	d.timeoutShare += (x - d.timeoutShare) / timeoutWeight
}
