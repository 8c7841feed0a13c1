package app

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/duty"
	"github.com/balsampier/balsampier/fabric"
	"github.com/balsampier/balsampier/peer"
)

// buffer holds an envelope of the largest size.
type buffer [peer.MaxEnvelopeBytes]byte

// buffers is a pool. The thread that pops an envelope from a ring returns its
// buffer; the buffer of an envelope that a full ring drops is left to the garbage
// collector.
var buffers = sync.Pool{New: func() any { return new(buffer) }}

// steerPackets pops received packets, and forwards, refuses or drops each by the
// current steering table.
func (b *Balancer) steerPackets(c context.Context) error {
	var ds [batchSize]fabric.Datagram
	for {
		n, err := b.packets.Pop(c, ds[:])
		if err != nil {
			return err
		}
		t := b.table.Load()
		for i := range ds[:n] {
			err := duty.Protect("steer packet", func() error {
				b.handlePacket(c, t, ds[i])
				return nil
			})
			if err != nil {
				b.counters.countDrop("panic")
				b.log.Error().Err(err).Msg("packet dropped")
			}
			ds[i].Free()
			ds[i] = fabric.Datagram{}
		}
	}
}

func (b *Balancer) handlePacket(c context.Context, s balsampier.FlowSteerer, d fabric.Datagram) {
	if len(d.Payload) > peer.MaxPayloadBytes {
		b.counters.countDrop("tooLarge")
		return
	}
	p, ok := b.codec.ReadPacket(d.Payload, d.Caller, d.ServiceAddr, d.At)
	if !ok {
		b.counters.countDrop("notQUIC")
		return
	}
	v := s.Steer(p)
	switch v.Action {
	case balsampier.ActionForward:
		b.forward(c, p, v, d.Payload)
	case balsampier.ActionRefuse, balsampier.ActionReset:
		if !b.session.Ready() {
			// Without rules from control, a refusal could be wrong. The
			// caller's retransmission may reach a balancer that is ready.
			b.counters.countDrop("notReady")
			return
		}
		b.counters.countRefusal(v.Reason)
		payload := append([]byte(nil), d.Payload...)
		_ = b.refusalEndpoints[d.ServiceAddr].Deliver(c, payload, d.Caller)
	case balsampier.ActionDrop, balsampier.ActionWait:
		b.counters.countDrop(v.Reason.String())
	}
}

func (b *Balancer) forward(c context.Context, p balsampier.Packet, v balsampier.Verdict, payload []byte) {
	e := peer.Envelope{
		Service: v.Service, Caller: p.Caller, ServiceAddr: p.ServiceAddr, ReplyTo: b.settings.PeerAddr,
		Revision: v.Revision, Epoch: v.Epoch, Incarnation: v.Target.Incarnation, Hops: 1,
		Opening: p.Opening, Flow: p.Flow, Payload: payload,
	}
	f := buffers.Get().(*buffer)
	o, err := b.sealer.Seal(f[:0], &e)
	if err != nil {
		b.counters.countDrop("encode")
		return
	}
	b.counters.forwarded.Inc()
	_ = b.envelopes.Push(c, envelope{to: v.Addr, data: o, buf: f})
}

func (b *Balancer) sendEnvelopes(c context.Context) error {
	var es [batchSize]envelope
	for {
		n, err := b.envelopes.Pop(c, es[:])
		if err != nil {
			return err
		}
		for i, e := range es[:n] {
			if _, err := b.peers.WriteToUDPAddrPort(e.data, e.to); err != nil {
				b.counters.countDrop("send")
			}
			es[i] = envelope{}
			buffers.Put(e.buf)
		}
	}
}

func (b *Balancer) receiveResponses(c context.Context) error {
	stop := context.AfterFunc(c, func() { _ = b.peers.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	for {
		f := buffers.Get().(*buffer)
		n, _, err := b.peers.ReadFromUDPAddrPort(f[:])
		if c.Err() != nil {
			return c.Err()
		}
		if err != nil {
			return trace.Wrap(err)
		}
		if err := b.responses.Push(c, envelope{data: f[:n], buf: f}); err != nil {
			return err
		}
	}
}

func (b *Balancer) sendResponses(c context.Context) error {
	var as [batchSize]envelope
	for {
		n, err := b.responses.Pop(c, as[:])
		if err != nil {
			return err
		}
		for i, a := range as[:n] {
			b.sendResponse(a.data)
			as[i] = envelope{}
			buffers.Put(a.buf)
		}
	}
}

func (b *Balancer) sendResponse(a []byte) {
	e, err := b.sealer.Open(a)
	if err != nil {
		b.counters.countDrop("envelope")
		return
	}
	s, ok := b.sockets[e.ServiceAddr]
	if !ok || !e.ToCaller {
		b.counters.countDrop("serviceAddress")
		return
	}
	if err := s.Send(e.Payload, netip.AddrPortFrom(e.Caller.Addr().Unmap(), e.Caller.Port())); err != nil {
		b.counters.countDrop("send")
		return
	}
	b.counters.answered.Inc()
}
