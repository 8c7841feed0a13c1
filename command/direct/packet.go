package direct

import (
	"time"

	"github.com/balsampier/balsampier"
)

// HandlePacket decides on a client's packet that arrived at time t. It copies b
// if the packet has to be parked.
func (d *Director) HandlePacket(s balsampier.Segment, b []byte, t time.Time) {
	d.linkUse.add(packetOverheadBytes+s.Length, t)
	f, ok := d.flows[s.Key]
	if ok && t.Sub(f.lastPacketAt) > d.flowTTL() {
		d.evict(s.Key, f)
		ok = false
	}
	if !ok {
		d.handleFirstPacket(s, b, t)
		return
	}
	switch {
	case s.Opening && f.isLateCopy(s, t):
		d.logEvent("dropped", f, f.agent, balsampier.ReasonUnknownFlow, 0)
	case s.Opening && f.startsAnew(s, t):
		d.replaceFlow(f, s, b, t)
	case !s.Opening && f.isOfOtherFlow(s):
		d.switchFlow(f, s, b, t)
	default:
		d.handleKnownFlow(f, s, b, t)
	}
}

// handleKnownFlow decides on a packet of a known flow.
func (d *Director) handleKnownFlow(f *flow, s balsampier.Segment, b []byte, t time.Time) {
	f.lastPacketAt = t
	f.traffic.bytes += s.Length
	f.isClosing = f.isClosing || s.Final || s.Reset
	if s.Opening {
		f.opening.RecordCopy(s)
	} else {
		f.isEstablished, f.earlier = true, nil
	}
	if !s.Opening && f.state == stateOpen {
		// A parked copy of the opening packet is no longer needed.
		d.unpark(f)
	}
	if !s.Opening || !f.isEstablished {
		f.segment = s
	}
	switch {
	case s.Opening && f.isEstablished:
		// The client has its answer already.
	case s.Opening && (f.state == stateOpening || f.state == stateOpen):
		d.sendCopy(f, b)
	case f.state == stateOpening:
		d.handleEarlyReply(f, b, t)
	case f.state == stateOpen:
		d.deliver(f, b)
	case f.state == stateUnassigned && !s.Opening && t.Sub(f.stateSince) < f.requeryInterval:
		d.logEvent("dropped", f, f.agent, balsampier.ReasonUnknownFlow, 0)
	case f.state == stateUnassigned && s.Opening:
		d.park(f, b)
		d.place(f, t)
	case f.state == stateUnassigned:
		f.forgetLookup()
		d.park(f, b)
		d.queryLikely(f, t)
	default:
		d.park(f, b)
	}
}

// handleFirstPacket decides on the first packet of a flow that is not known.
func (d *Director) handleFirstPacket(s balsampier.Segment, b []byte, t time.Time) {
	r, ok := d.routes.find(s.Service)
	if !ok {
		d.rejectUnrouted(s)
		return
	}
	if len(d.flows) >= maxFlows {
		d.pendingActions = append(d.pendingActions, Action{Event: Event{Name: "dropped", Flow: s.Key, Segment: s, Reason: balsampier.ReasonFull}})
		return
	}
	if s.Opening {
		if d.refuseBulk(s, r) {
			return
		}
		r.traffic.addFlow()
	}
	f := &flow{segment: s, lastPacketAt: t, stateSince: t, isEstablished: !s.Opening, traffic: r.traffic, opening: balsampier.NewOpening(s, t)}
	f.isClosing = s.Final || s.Reset
	d.flows[s.Key] = f
	d.park(f, b)
	if s.Opening {
		f.service = r.choose(s.Key)
		d.place(f, t)
		return
	}
	d.queryLikely(f, t)
}

// rejectUnrouted resets an opening packet without a route, or drops it if no
// routes were adopted yet. Other packets are dropped: they may belong to a flow
// whose route was removed, and its endpoints close it.
func (d *Director) rejectUnrouted(s balsampier.Segment) {
	n := Event{Name: "dropped", Flow: s.Key, Segment: s, Reason: balsampier.ReasonNoRule, Revision: d.routes.revision}
	if d.routes.revision == 0 {
		n.Reason = balsampier.ReasonUnsettled
	}
	if s.Opening && d.routes.revision > 0 {
		n.Name = "reset"
		d.pendingActions = append(d.pendingActions, Action{Reset: &s, Event: n})
		return
	}
	d.pendingActions = append(d.pendingActions, Action{Event: n})
}

func (d *Director) deliver(f *flow, b []byte) {
	d.sendRelay(f, balsampier.RelayDeliver, f.agent, b)
	if f.segment.Reset {
		f.lastPacketAt = f.lastPacketAt.Add(resetFlowTTL - d.flowTTL())
	}
}
