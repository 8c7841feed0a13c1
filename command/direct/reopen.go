package direct

import (
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

// startsAnew reports whether the opening packet s, which arrived at time t, opens
// another flow with the addresses and ports of f. A copy of the packet that opened
// f does not, unless f is closing and the same copy was seen before: a client may
// choose its sequence number again.
func (f *flow) startsAnew(s balsampier.Segment, t time.Time) bool {
	return !f.opening.IsCopy(s, t) || f.isClosing && f.opening.HasSeen(s)
}

// isLateCopy reports whether the opening packet s is a copy of that of the other
// flow with the same addresses and ports.
func (f *flow) isLateCopy(s balsampier.Segment, t time.Time) bool {
	o := &f.otherOpening
	return !f.opening.IsCopy(s, t) && o.IsCopy(s, t) && !o.HasSeen(s)
}

// isOfOtherFlow reports whether s, which does not open a flow, is of another flow
// than f: of an earlier one, or of a later one that was opened through another
// balancer. For a flow with a holder, its agent decides.
func (f *flow) isOfOtherFlow(s balsampier.Segment) bool {
	switch {
	case !f.isEstablished:
		return !f.opening.MayPrecede(s)
	case f.state == stateOpen:
		return false
	}
	return !isNear(f.segment.Sequence, s.Sequence) || f.segment.Ack && s.Ack && !isNear(f.segment.Acknowledged, s.Acknowledged)
}

// isNear reports whether two packets with these numbers may be under way at the
// same time.
func isNear(a, b uint32) bool {
	return a-b <= balsampier.SequenceWindow || b-a <= balsampier.SequenceWindow
}

// replaceFlow decides on the opening packet s of a new flow whose addresses and
// ports were those of o. It is placed like that of an unknown flow.
func (d *Director) replaceFlow(o *flow, s balsampier.Segment, b []byte, t time.Time) {
	d.evict(s.Key, o)
	d.handleFirstPacket(s, b, t)
	f, ok := d.flows[s.Key]
	if !ok {
		return
	}
	f.otherOpening = o.opening
	if d.mayBeOpen(o, t) {
		o.earlier = nil
		f.earlier = o
	}
}

// mayBeOpen reports whether the flow may be open at its server, so that the
// opening packet that replaces it may be a stray one.
func (d *Director) mayBeOpen(f *flow, t time.Time) bool {
	return (f.isEstablished || f.state == stateOpen) && !f.isClosing && t.Sub(f.lastPacketAt) <= d.flowTTL()/2
}

// switchFlow decides on a packet of another flow than f. If f has replaced a flow
// that may be open, that one takes its place again: the opening packet of f was a
// stray one. Otherwise the flow of the packet is looked up.
func (d *Director) switchFlow(f *flow, s balsampier.Segment, b []byte, t time.Time) {
	d.evict(s.Key, f)
	if e := f.earlier; e != nil {
		if e.state != stateOpen {
			e.state, e.agent, e.requeryInterval = stateUnassigned, netip.AddrPort{}, 0
		}
		e.otherOpening = f.opening
		d.flows[s.Key] = e
		d.handleKnownFlow(e, s, b, t)
		return
	}
	d.handleFirstPacket(s, b, t)
	if e, ok := d.flows[s.Key]; ok {
		e.otherOpening = f.opening
	}
}

// mayOpenNow reports whether the client may be opening another flow with the same
// addresses and ports, so that a reset would end it.
func (f *flow) mayOpenNow(t time.Time) bool {
	return t.Sub(f.otherOpening.FirstSeenAt()) < maxOpeningTime
}
