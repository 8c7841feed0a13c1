package hold

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

// reopening is an opening packet that was delivered although the server may hold
// an earlier flow with the same addresses and ports. The server tells by its
// answer whether it opens another flow; until then the earlier one stays.
type reopening struct {
	segment  balsampier.Segment
	opening  balsampier.Opening
	balancer netip.AddrPort
	// packet is returned to the balancer if the server does not answer.
	packet []byte
}

// handleOpening delivers or refuses an opening packet.
func (h *FlowTable) handleOpening(from netip.AddrPort, r balsampier.Relay, s balsampier.Segment, f *flow, t time.Time) {
	if f != nil && f.isCopy(s, t) && (f.state != halfOpen || f.answered) {
		h.handleCopy(from, r, s, f, t)
		return
	}
	if v := h.refusalReason(r, s, t); v != balsampier.ReasonNone {
		h.reply(from, balsampier.RelayRefused, r.Flow, v, nil)
		h.recordEvent("refused", s, from, v, r.Revision)
		return
	}
	if f == nil {
		f = &flow{}
		h.insert(r.Flow, f)
	}
	switch {
	case f.reopening != nil && f.reopening.opening.IsCopy(s, t):
		f.reopening.balancer = from
	case f.mayBeOpen():
		f.reopening = &reopening{segment: s, opening: balsampier.NewOpening(s, t), balancer: from, packet: bytes.Clone(r.Payload)}
	default:
		h.openHalf(f, s, from, t)
	}
	h.server.recordOpening(t)
	h.answerDeadlines = append(h.answerDeadlines, deadline{at: t.Add(answerTimeout), key: r.Flow, sequence: s.Sequence})
	h.sendToServer(r.Payload)
	h.reply(from, balsampier.RelayAccepted, r.Flow, balsampier.ReasonNone, nil)
	h.recordEvent("taken", s, from, balsampier.ReasonNone, r.Revision)
}

// isCopy reports whether s is a copy of the packet that opened the flow. If the
// flow has ended and the same copy was seen before, s opens another one: a client
// may choose its sequence number again.
func (f *flow) isCopy(s balsampier.Segment, t time.Time) bool {
	return f.opening.IsCopy(s, t) && (f.state != ended || !f.opening.HasSeen(s))
}

// mayBeOpen reports whether the server may hold the flow, as far as the agent
// knows.
func (f *flow) mayBeOpen() bool {
	switch f.state {
	case halfOpen:
		return f.answered
	case ended:
		return !f.closedByClient || !f.closedByServer
	}
	return true
}

// handleCopy handles a copy of the opening packet of a flow that the server has
// answered. If the flow has ended, the copy must not open it again.
func (h *FlowTable) handleCopy(from netip.AddrPort, r balsampier.Relay, s balsampier.Segment, f *flow, t time.Time) {
	f.opening.RecordCopy(s)
	if f.state != ended {
		f.balancer, f.lastSeen = from, t
		h.sendToServer(r.Payload)
	}
	h.reply(from, balsampier.RelayAccepted, r.Flow, balsampier.ReasonNone, nil)
}

// openHalf makes f the flow that s opens.
func (h *FlowTable) openHalf(f *flow, s balsampier.Segment, from netip.AddrPort, t time.Time) {
	h.removeFromCounts(f)
	o := balsampier.NewOpening(s, t)
	if f.opening.IsCopy(s, t) {
		o = f.opening
		o.RecordCopy(s)
	}
	f.lastSegment, f.lastFromClient, f.balancer, f.lastSeen = s, true, from, t
	f.state, f.opening, f.answered = halfOpen, o, false
	f.forgetEarlier()
}

// forgetEarlier clears what is known only of the flow before.
func (f *flow) forgetEarlier() {
	f.reopening, f.established, f.closedByClient, f.closedByServer = nil, false, false, false
}

// handleAnswer records the server's answer s to an opening packet.
func (h *FlowTable) handleAnswer(f *flow, s balsampier.Segment) {
	o := f.reopening
	switch {
	case o != nil && o.isAnsweredBy(s, f):
		h.removeFromCounts(f)
		f.lastSegment, f.lastFromClient, f.balancer = o.segment, true, o.balancer
		f.state, f.opening = halfOpen, o.opening
		f.forgetEarlier()
	case f.state != halfOpen:
		return
	}
	f.serverSequence, f.serverNext, f.answered = s.Sequence, s.Sequence+1, true
}

// isAnsweredBy reports whether s opens another flow than f. A server that holds f
// may also repeat its answer to f.
func (o *reopening) isAnsweredBy(s balsampier.Segment, f *flow) bool {
	if f.answered {
		return s.Sequence != f.serverSequence
	}
	return s.Acknowledged == o.segment.Sequence+1
}

// handleUnanswered refuses an opening that the server has not answered in time.
// Its answer may still come.
func (h *FlowTable) handleUnanswered(f *flow, e deadline, t time.Time) {
	s, via, b := f.lastSegment, f.balancer, []byte(nil)
	switch o := f.reopening; {
	case o != nil && o.segment.Sequence == e.sequence:
		s, via, b = o.segment, o.balancer, o.packet
	case f.state != halfOpen || f.answered || s.Sequence != e.sequence:
		return
	default:
		h.server.recordUnanswered(t)
	}
	h.reply(via, balsampier.RelayRefused, e.key, balsampier.ReasonUnanswered, b)
	h.recordEvent("silent", s, via, balsampier.ReasonUnanswered, 0)
}
