package app

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/duty"
	"github.com/balsampier/balsampier/peer"
)

// buffer is large enough for any envelope.
type buffer [peer.MaxEnvelopeBytes]byte

// buffers is the pool of buffers. The thread that pops an envelope from a ring
// returns its buffer. Buffers of envelopes that a full ring drops are left to
// the garbage collector.
var buffers = sync.Pool{New: func() any { return new(buffer) }}

// free returns the buffer to the pool; b may be nil.
func (b *buffer) free() {
	if b != nil {
		buffers.Put(b)
	}
}

// receiveEnvelopes reads envelopes from the peer socket.
func (a *Agent) receiveEnvelopes(c context.Context) error {
	stop := context.AfterFunc(c, func() { _ = a.peerConn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	for {
		f := buffers.Get().(*buffer)
		n, _, err := a.peerConn.ReadFromUDPAddrPort(f[:])
		if c.Err() != nil {
			return c.Err()
		}
		if err != nil {
			return trace.Wrap(err)
		}
		if err := a.envelopes.Push(c, inboundMessage{envelope: f[:n], buf: f}); err != nil {
			return err
		}
	}
}

// processEnvelopes handles each received envelope.
func (a *Agent) processEnvelopes(c context.Context) error {
	var vs [batchSize]inboundMessage
	for {
		n, err := a.envelopes.Pop(c, vs[:])
		if err != nil {
			return err
		}
		t := a.clock.Now()
		for i, v := range vs[:n] {
			err := duty.Protect("handle envelope", func() error {
				a.handleInbound(c, v, t)
				return nil
			})
			if err != nil {
				a.counters.countDropped("panic")
				a.log.Error().Err(err).Msg("envelope dropped")
			}
			vs[i] = inboundMessage{}
			v.buf.free()
		}
	}
}

// handleInbound records this agent's load, or opens an envelope and handles it.
func (a *Agent) handleInbound(c context.Context, v inboundMessage, t time.Time) {
	if v.envelope == nil {
		a.placement.loads.RecordAgentLoad(a.self.ID, v.ownLoad)
		return
	}
	e, err := a.sealer.Open(v.envelope)
	switch {
	case err != nil || e.ToCaller:
		a.counters.countDropped("envelope")
	case e.Load != nil:
		a.handleLoadReport(c, e.Load, t)
	default:
		a.handlePacket(c, e, t)
	}
}

// handlePacket delivers a packet of a caller to its endpoint, or forwards it to
// another agent.
func (a *Agent) handlePacket(c context.Context, e *peer.Envelope, t time.Time) {
	v := a.server.Load()
	switch {
	case v == nil, e.Service != "" && e.Service != v.Service:
		a.counters.countDropped(balsampier.ReasonWrongService.String())
		return
	case e.Incarnation != 0 && e.Incarnation != a.self.Incarnation && !e.Opening:
		a.counters.countDropped(balsampier.ReasonWrongIncarnation.String())
		return
	}
	if e.Opening && (a.forwardIfSteered(c, e, t) || a.forwardIfPlaced(c, e, t)) {
		return
	}
	p, err := a.endpoint(e.ServiceAddr)
	if err != nil {
		a.counters.countDropped("endpoint")
		return
	}
	p.routes.recordBalancer(e.Caller, e.ReplyTo, t)
	_ = p.Deliver(c, e.Payload, e.Caller)
}

// forwardIfSteered steers an opening packet again if this agent's rules or view
// are newer than the sender's. It forwards the packet and returns true if the
// packet belongs to another agent.
func (a *Agent) forwardIfSteered(c context.Context, e *peer.Envelope, t time.Time) bool {
	s := a.session.State()
	if s.Rules.Revision <= e.Revision && s.View.Epoch <= e.Epoch {
		return false
	}
	v := a.table.Load().Steer(balsampier.Packet{
		Caller: e.Caller, ServiceAddr: e.ServiceAddr, Flow: e.Flow, Opening: true, Hops: e.Hops, At: t,
	})
	if v.Action != balsampier.ActionForward {
		// The endpoint refuses the connection through the QUIC library.
		return false
	}
	if v.Target == a.self.Holder() {
		return false
	}
	e.Service, e.Incarnation, e.Revision, e.Epoch = v.Service, v.Target.Incarnation, v.Revision, v.Epoch
	a.counters.steered.Inc()
	a.forward(c, e, v.Addr)
	return true
}

// forward sends the packet to another agent.
func (a *Agent) forward(c context.Context, e *peer.Envelope, to netip.AddrPort) {
	e.Hops++
	f := buffers.Get().(*buffer)
	b, err := a.sealer.Seal(f[:0], e)
	if err != nil {
		a.counters.countDropped("encode")
		return
	}
	_ = a.outbound.Push(c, outboundEnvelope{to: to, data: b, buf: f})
}

// sendEnvelopes writes enqueued envelopes to the peer socket.
func (a *Agent) sendEnvelopes(c context.Context) error {
	var os [batchSize]outboundEnvelope
	for {
		n, err := a.outbound.Pop(c, os[:])
		if err != nil {
			return err
		}
		for i, o := range os[:n] {
			if _, err := a.peerConn.WriteToUDPAddrPort(o.data, o.to); err != nil {
				a.counters.countDropped("send")
			}
			os[i] = outboundEnvelope{}
			o.buf.free()
		}
	}
}
