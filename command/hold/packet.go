package hold

import (
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

// HandleServerPacket handles packet b, parsed as s, which the server sent at
// time t or returned because it does not accept it.
func (h *FlowTable) HandleServerPacket(s balsampier.Segment, b []byte, t time.Time) {
	f := h.flows[s.Key]
	if s.Returned {
		h.handleReturned(f, s, b)
		return
	}
	h.server.recordPacket(t)
	if f == nil {
		if len(h.flows) < maxFlows {
			f = &flow{lastSegment: s}
			if s.Ack {
				f.opening = balsampier.NewOpening(balsampier.Segment{Sequence: s.Acknowledged}, t)
			}
			h.insert(s.Key, f)
		}
	}
	if f != nil {
		h.updateFlow(f, s, t)
	}
	h.actions = append(h.actions, Action{ToClient: b, Client: s.Client})
}

// updateFlow updates a flow after a packet from the server.
func (h *FlowTable) updateFlow(f *flow, s balsampier.Segment, t time.Time) {
	f.lastSeen = t
	switch {
	case s.Opening:
		h.handleAnswer(f, s)
	case s.Reset:
	default:
		f.established = true
		if f.state == halfOpen || f.state == openInEarlierRun {
			h.markOpen(f)
		}
	}
	f.recordSent(s)
	if s.Length > 0 && f.running {
		f.running = false
		h.running--
	}
	if s.Reset || s.Final {
		f.closedByClient, f.closedByServer = f.closedByClient || s.Reset, true
		h.markEnded(f)
	}
}

// recordSent records the sequence numbers of a packet that the server sent.
func (f *flow) recordSent(s balsampier.Segment) {
	n := s.Sequence + uint32(s.Length)
	if s.Opening || s.Final {
		n++
	}
	if f.answered && int32(n-f.serverNext) > 0 {
		f.serverNext = n
	}
	// Sequence numbers wrap: of a long flow only the newest are told from those of
	// another flow.
	if f.serverNext-f.serverSequence > maxTrackedBytes {
		f.serverSequence = f.serverNext - maxTrackedBytes/2
	}
}

// handleReturned refuses, resets or reports as not found the flow of a packet
// that the server did not accept.
func (h *FlowTable) handleReturned(f *flow, s balsampier.Segment, b []byte) {
	if f == nil || !f.balancer.IsValid() {
		h.recordEvent("dropped", s, netip.AddrPort{}, balsampier.ReasonUnknownFlow, 0)
		return
	}
	via := f.balancer
	switch {
	case s.Opening && f.reopening != nil && f.reopening.segment.Sequence == s.Sequence:
		h.reply(f.reopening.balancer, balsampier.RelayRefused, s.Key, balsampier.ReasonFull, b)
		h.recordEvent("returned", s, f.reopening.balancer, balsampier.ReasonFull, 0)
		f.reopening = nil
		return
	case s.Opening && f.state == halfOpen && f.lastSegment.Sequence == s.Sequence:
		h.reply(via, balsampier.RelayRefused, s.Key, balsampier.ReasonFull, b)
		h.recordEvent("returned", s, via, balsampier.ReasonFull, 0)
	case s.Opening:
		return
	case f.isOther(s):
		h.reply(via, balsampier.RelayNotFound, s.Key, balsampier.ReasonOtherFlow, b)
		h.recordEvent("returned", s, via, balsampier.ReasonOtherFlow, 0)
		return
	case f.state == openInEarlierRun && f.established:
		h.actions = append(h.actions, Action{Reset: &s})
		h.recordEvent("reset", s, via, balsampier.ReasonHolderGone, 0)
	default:
		h.reply(via, balsampier.RelayNotFound, s.Key, balsampier.ReasonNone, b)
		h.recordEvent("returned", s, via, balsampier.ReasonUnknownFlow, 0)
	}
	h.evict(s.Key, f)
}
