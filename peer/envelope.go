// Package peer encodes what the processes of the system say to each other:
// envelopes over UDP and drpc calls. It decides nothing.
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"hash"
	"net/netip"
	"sync"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/peer/peerpb"
)

const (
	// macBytes is the length of the truncated HMAC behind each envelope.
	macBytes = 16

	// MaxPayloadBytes bounds a caller's datagram, so that its envelope fits
	// an Ethernet frame.
	MaxPayloadBytes = 1360

	// MaxEnvelopeBytes bounds an encoded envelope.
	MaxEnvelopeBytes = 2048
)

type (
	// Envelope carries one datagram of a caller between balancers and agents.
	Envelope struct {
		// ToCaller is false for packets towards the service.
		ToCaller bool
		// Service is empty where only the holder can tell.
		Service balsampier.ServiceName
		// Caller and ServiceAddr are the ends that the caller sees.
		Caller, ServiceAddr netip.AddrPort
		// ReplyTo is the balancer that took the packet.
		ReplyTo netip.AddrPort
		// Revision and Epoch are behind the sender's decision.
		Revision balsampier.Revision
		Epoch    balsampier.Epoch
		// Incarnation is the run of the agent that is meant; zero for any.
		Incarnation balsampier.Incarnation
		// Hops is at most balsampier.MaxHops.
		Hops int
		// Opening is true for packets that may start a flow.
		Opening bool
		// Placed is true once an agent chose the holder.
		Placed bool
		// Flow is set for opening packets.
		Flow balsampier.FlowKey
		// Payload is the datagram, at most MaxPayloadBytes.
		Payload []byte
	}

	// Sealer encodes envelopes and authenticates them with a shared key. It
	// is safe for concurrent use.
	Sealer struct {
		macs sync.Pool
	}
)

// NewSealer returns a sealer for the key that the processes share.
func NewSealer(key []byte) *Sealer {
	k := sha256.Sum256(append([]byte("balsampier envelope "), key...))
	return &Sealer{macs: sync.Pool{New: func() any { return hmac.New(sha256.New, k[:]) }}}
}

// Seal appends the encoded envelope to b.
func (s *Sealer) Seal(b []byte, e *Envelope) ([]byte, error) {
	m := peerpb.Envelope{
		Direction:         peerpb.Envelope_DIRECTION_TO_SERVICE,
		Service:           string(e.Service),
		Caller:            putAddrPort(e.Caller),
		ServiceAddr:       putAddrPort(e.ServiceAddr),
		ReplyTo:           putAddrPort(e.ReplyTo),
		Revision:          uint64(e.Revision),
		Epoch:             uint64(e.Epoch),
		TargetIncarnation: uint32(e.Incarnation),
		Hops:              uint32(e.Hops),
		Opening:           e.Opening,
		Placed:            e.Placed,
		FlowHi:            e.Flow.Hi,
		FlowLo:            e.Flow.Lo,
		Payload:           e.Payload,
	}
	if e.ToCaller {
		m.Direction = peerpb.Envelope_DIRECTION_TO_CALLER
	}
	n := len(b)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, &m)
	if err != nil {
		return nil, trace.Wrap(err, "encode envelope")
	}
	return s.mac(b, b[n:]), nil
}

// Open decodes an envelope; the payload aliases nothing in b.
func (s *Sealer) Open(b []byte) (*Envelope, error) {
	n := len(b) - macBytes
	if n <= 0 {
		return nil, errEnvelope("the envelope is too short")
	}
	if subtle.ConstantTimeCompare(s.mac(nil, b[:n]), b[n:]) != 1 {
		return nil, balsampier.NewError(balsampier.KindUnauthenticated, "open envelope",
			"give all processes the same peer key file", nil)
	}
	var m peerpb.Envelope
	if err := proto.Unmarshal(b[:n], &m); err != nil {
		return nil, trace.Wrap(err, "decode envelope")
	}
	return envelope(&m)
}

func (s *Sealer) mac(dst, b []byte) []byte {
	h := s.macs.Get().(hash.Hash)
	defer s.macs.Put(h)
	h.Reset()
	_, _ = h.Write(b)
	var sum [sha256.Size]byte
	return append(dst, h.Sum(sum[:0])[:macBytes]...)
}

func envelope(m *peerpb.Envelope) (*Envelope, error) {
	e := &Envelope{
		ToCaller:    m.GetDirection() == peerpb.Envelope_DIRECTION_TO_CALLER,
		Service:     balsampier.ServiceName(m.GetService()),
		Revision:    balsampier.Revision(m.GetRevision()),
		Epoch:       balsampier.Epoch(m.GetEpoch()),
		Incarnation: balsampier.Incarnation(m.GetTargetIncarnation()),
		Hops:        int(m.GetHops()),
		Opening:     m.GetOpening(),
		Placed:      m.GetPlaced(),
		Flow:        balsampier.FlowKey{Hi: m.GetFlowHi(), Lo: m.GetFlowLo()},
		Payload:     m.GetPayload(),
	}
	var okC, okS bool
	e.Caller, okC = addrPort(m.GetCaller())
	e.ServiceAddr, okS = addrPort(m.GetServiceAddr())
	e.ReplyTo, _ = addrPort(m.GetReplyTo())
	if !okC || !okS || len(e.Payload) == 0 {
		return nil, errEnvelope("an address or the payload is missing")
	}
	return e, nil
}

func errEnvelope(op string) error {
	return balsampier.NewError(balsampier.KindInvalid, op, "run the same version everywhere", nil)
}
