// Package peer implements the protocol between the processes of the system:
// authenticated envelopes over UDP and drpc calls. It encodes and transports
// messages; all decisions are made elsewhere.
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"hash"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/peer/peerpb"
)

const (
	// macBytes is the length of the truncated HMAC that follows each envelope.
	macBytes = 16

	// MaxPayloadBytes bounds a caller's datagram, so that its envelope fits
	// into an Ethernet frame.
	MaxPayloadBytes = 1360

	// MaxEnvelopeBytes bounds an encoded envelope.
	MaxEnvelopeBytes = 2048

	// maxAddrs is the number of addresses in an envelope; maxAddrBytes bounds
	// the encoding of one without an IPv6 zone.
	maxAddrs, maxAddrBytes = 3, 18
)

type (
	// Envelope carries a datagram to or from a caller, or a load report, between
	// balancers and agents.
	Envelope struct {
		// ToCaller is true for packets to the caller and false for packets to
		// the service.
		ToCaller bool
		// Service is empty if only the holder of the flow knows it.
		Service balsampier.ServiceName
		// Caller and ServiceAddr are the two endpoints as the caller sees them.
		Caller, ServiceAddr netip.AddrPort
		// ReplyTo is the address of the balancer that received the packet.
		ReplyTo netip.AddrPort
		// Revision and Epoch are those on which the sender based its decision.
		Revision balsampier.Revision
		Epoch    balsampier.Epoch
		// Incarnation is that of the agent that the packet is for; zero means
		// any.
		Incarnation balsampier.Incarnation
		// Hops is the number of times the packet was forwarded, at most
		// balsampier.MaxHops.
		Hops int
		// Opening is true if the packet may start a flow.
		Opening bool
		// Placed is true once an agent has chosen the holder of the flow.
		Placed bool
		// Flow is set for opening packets.
		Flow balsampier.FlowKey
		// Payload is the datagram, at most MaxPayloadBytes.
		Payload []byte
		// Load is the load report, for which all other fields are zero; nil for
		// packets.
		Load *LoadReport
	}

	// LoadReport carries the load of an agent to other agents of its service.
	LoadReport struct {
		// Holder is the agent incarnation that reports.
		Holder balsampier.Holder
		// Sequence increases with each report of one incarnation.
		Sequence uint64
		Service  balsampier.ServiceName
		// Load is the load when the report was sent. Its times are not encoded.
		Load balsampier.Load
		// ReadyDuration is how long the backend server has been ready.
		ReadyDuration time.Duration
		// Ejected is true while the backend server gets no new flows because of
		// failures.
		Ejected bool
	}

	// Sealer encodes and decodes envelopes and relays and authenticates them with
	// a shared key. It is safe for concurrent use.
	Sealer struct {
		// macPool holds *mac.
		macPool sync.Pool
		// envelopePool holds *envelopeBuffer.
		envelopePool sync.Pool
		// relayPool holds *peerpb.Relay.
		relayPool sync.Pool
	}

	// mac is a reusable HMAC with a buffer for its sum.
	mac struct {
		h   hash.Hash
		sum [sha256.Size]byte
	}

	// envelopeBuffer is a reusable protobuf message with a buffer for its
	// addresses.
	envelopeBuffer struct {
		m     peerpb.Envelope
		addrs [maxAddrs * maxAddrBytes]byte
	}
)

// NewSealer returns a sealer for the content of the shared peer key file.
func NewSealer(key []byte) *Sealer {
	k := sha256.Sum256(append([]byte("balsampier envelope "), key...))
	return &Sealer{
		macPool:      sync.Pool{New: func() any { return &mac{h: hmac.New(sha256.New, k[:])} }},
		envelopePool: sync.Pool{New: func() any { return new(envelopeBuffer) }},
		relayPool:    sync.Pool{New: func() any { return new(peerpb.Relay) }},
	}
}

// Seal appends the encoded envelope and its HMAC to b. It ignores e.Load;
// SealLoad encodes load reports.
func (s *Sealer) Seal(b []byte, e *Envelope) ([]byte, error) {
	k := s.envelopePool.Get().(*envelopeBuffer)
	defer s.envelopePool.Put(k)
	m := &k.m
	m.Direction = peerpb.Envelope_DIRECTION_TO_SERVICE
	if e.ToCaller {
		m.Direction = peerpb.Envelope_DIRECTION_TO_CALLER
	}
	m.Service = string(e.Service)
	a := k.addrs[:0]
	m.Caller, a = appendAddrPort(a, e.Caller)
	m.ServiceAddr, a = appendAddrPort(a, e.ServiceAddr)
	m.ReplyTo, _ = appendAddrPort(a, e.ReplyTo)
	m.Revision, m.Epoch = uint64(e.Revision), uint64(e.Epoch)
	m.TargetIncarnation = uint32(e.Incarnation)
	m.Hops = uint32(e.Hops)
	m.Opening, m.Placed = e.Opening, e.Placed
	m.FlowHi, m.FlowLo = e.Flow.Hi, e.Flow.Lo
	m.Payload = e.Payload
	b, err := s.seal(b, m)
	// Pooled messages must not retain the caller's payload.
	m.Payload = nil
	return b, err
}

// SealLoad appends an envelope with the load report and its HMAC to b.
func (s *Sealer) SealLoad(b []byte, r *LoadReport) ([]byte, error) {
	return s.seal(b, &peerpb.Envelope{Direction: peerpb.Envelope_DIRECTION_LOAD, Load: &peerpb.LoadReport{
		Instance:         uint64(r.Holder.Instance),
		Incarnation:      uint32(r.Holder.Incarnation),
		Sequence:         r.Sequence,
		Service:          string(r.Service),
		Running:          uint32(r.Load.Running),
		Queued:           uint32(r.Load.Queued),
		Connections:      uint32(r.Load.Connections),
		Slots:            uint32(r.Load.Slots),
		ReadyNanoseconds: r.ReadyDuration.Nanoseconds(),
		Ejected:          r.Ejected,
	}})
}

func (s *Sealer) seal(b []byte, m *peerpb.Envelope) ([]byte, error) {
	n := len(b)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return nil, trace.Wrap(err, "encode envelope")
	}
	return s.appendMAC(b, b[n:]), nil
}

// Open verifies and decodes an envelope. The result does not alias b. It returns
// a KindUnauthenticated error if the HMAC does not match, and a KindInvalid error
// if the envelope is too short, lacks a field or exceeds a limit.
func (s *Sealer) Open(b []byte) (*Envelope, error) {
	n := len(b) - macBytes
	if n <= 0 {
		return nil, errMalformed("open envelope: too short")
	}
	if !s.verifyMAC(b[:n], b[n:]) {
		return nil, balsampier.NewError(balsampier.KindUnauthenticated, "open envelope",
			"give all processes the same peer key file", nil)
	}
	var m peerpb.Envelope
	if err := proto.Unmarshal(b[:n], &m); err != nil {
		return nil, trace.Wrap(err, "decode envelope")
	}
	if m.GetDirection() == peerpb.Envelope_DIRECTION_LOAD {
		return decodeLoadReport(m.GetLoad())
	}
	return decodeEnvelope(&m)
}

func (s *Sealer) appendMAC(dst, b []byte) []byte {
	k := s.macPool.Get().(*mac)
	defer s.macPool.Put(k)
	return append(dst, k.sumOf(b)...)
}

// verifyMAC reports whether sum is the HMAC of b.
func (s *Sealer) verifyMAC(b, sum []byte) bool {
	k := s.macPool.Get().(*mac)
	defer s.macPool.Put(k)
	return subtle.ConstantTimeCompare(k.sumOf(b), sum) == 1
}

// sumOf returns the truncated HMAC of b. The next call overwrites it.
func (k *mac) sumOf(b []byte) []byte {
	k.h.Reset()
	_, _ = k.h.Write(b)
	return k.h.Sum(k.sum[:0])[:macBytes]
}

// appendAddrPort appends the encoded a to b. It returns the encoded address alone
// and the extended buffer.
func appendAddrPort(b []byte, a netip.AddrPort) (encoded, extended []byte) {
	if !a.IsValid() {
		return nil, b
	}
	n := len(b)
	b, _ = a.AppendBinary(b)
	return b[n:], b
}

func decodeEnvelope(m *peerpb.Envelope) (*Envelope, error) {
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
	e.Caller, okC = decodeAddrPort(m.GetCaller())
	e.ServiceAddr, okS = decodeAddrPort(m.GetServiceAddr())
	e.ReplyTo, _ = decodeAddrPort(m.GetReplyTo())
	if !okC || !okS || len(e.Payload) == 0 {
		return nil, errMalformed("open envelope: an address or the payload is missing")
	}
	if len(e.Payload) > MaxPayloadBytes || e.Hops > balsampier.MaxHops {
		return nil, errMalformed("open envelope: the payload or the hop count is too large")
	}
	return e, nil
}

func decodeLoadReport(m *peerpb.LoadReport) (*Envelope, error) {
	if m.GetInstance() == 0 || m.GetIncarnation() == 0 || m.GetSlots() == 0 || m.GetReadyNanoseconds() < 0 {
		return nil, errMalformed("open load report: the incarnation or the slots are missing, or the ready time is negative")
	}
	return &Envelope{Load: &LoadReport{
		Holder: balsampier.Holder{
			Instance: balsampier.InstanceID(m.GetInstance()), Incarnation: balsampier.Incarnation(m.GetIncarnation()),
		},
		Sequence: m.GetSequence(),
		Service:  balsampier.ServiceName(m.GetService()),
		Load: balsampier.Load{
			Running: int(m.GetRunning()), Queued: int(m.GetQueued()),
			Connections: int(m.GetConnections()), Slots: int(m.GetSlots()),
		},
		ReadyDuration: time.Duration(m.GetReadyNanoseconds()),
		Ejected:       m.GetEjected(),
	}}, nil
}

// errMalformed returns a KindInvalid error for a message that violates the
// protocol.
func errMalformed(op string) error {
	return balsampier.NewError(balsampier.KindInvalid, op, "run the same version on all instances", nil)
}
