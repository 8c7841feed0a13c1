package hold

import (
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

// HandleServerPacket decides on a packet that the server sent or returned.
func (h *FlowTable) HandleServerPacket(s balsampier.Segment, b []byte, t time.Time) {
	f := h.flows[s.Key]
	if s.Returned {
		h.returned(f, s, b)
		return
	}
	h.server.answered(t)
	if f == nil {
		if len(h.flows) < maxFlows {
			f = &flow{segment: s}
			h.keep(s.Key, f)
		}
	}
	if f != nil {
		h.learn(f, s, t)
	}
	h.out = append(h.out, Action{ToClient: b, Client: s.Client})
}

// learn takes in what a packet of the server tells of its flow.
func (h *FlowTable) learn(f *flow, s balsampier.Segment, t time.Time) {
	f.used = t
	switch {
	case s.Opening:
		f.sequence, f.answered = s.Sequence, true
	case s.Reset:
	default:
		f.proved = true
		if f.state == half || f.state == former {
			h.begin(f)
		}
	}
	if s.Length > 0 && f.running {
		f.running = false
		h.running--
	}
	if s.Reset || s.Final {
		h.end(f)
	}
}

// returned decides on a packet that the server did not accept.
func (h *FlowTable) returned(f *flow, s balsampier.Segment, b []byte) {
	if f == nil || !f.via.IsValid() {
		h.note("dropped", s, netip.AddrPort{}, balsampier.ReasonUnknownFlow, 0)
		return
	}
	via := f.via
	switch {
	case s.Opening && f.state == half:
		h.answer(via, balsampier.RelayRefused, s.Key, balsampier.ReasonFull, b)
		h.note("returned", s, via, balsampier.ReasonFull, 0)
	case s.Opening:
		return
	case f.state == former && f.proved:
		h.out = append(h.out, Action{Reset: &s})
		h.note("reset", s, via, balsampier.ReasonHolderGone, 0)
	default:
		h.answer(via, balsampier.RelayNotFound, s.Key, balsampier.ReasonNone, b)
		h.note("returned", s, via, balsampier.ReasonUnknownFlow, 0)
	}
	h.forget(s.Key, f)
}
