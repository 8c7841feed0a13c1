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
	"time"

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

	// maxAddrs are in an envelope, each of at most addrBytes without a zone.
	maxAddrs, addrBytes = 3, 18
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
		// Load is set instead of a packet for load reports.
		Load *LoadReport
	}

	// LoadReport is what an agent says of its load to agents of its service.
	LoadReport struct {
		// Holder is the run that reports.
		Holder balsampier.Holder
		// Sequence grows with each report of a run.
		Sequence uint64
		Service  balsampier.ServiceName
		// Load is as of the sending; its times are not sent.
		Load balsampier.Load
		// ReadyDuration is for how long the backend server has been ready.
		ReadyDuration time.Duration
		// Ejected is true while the backend server gets no new flows for its
		// faults.
		Ejected bool
	}

	// Sealer encodes envelopes and authenticates them with a shared key. It
	// is safe for concurrent use.
	Sealer struct {
		macs sync.Pool
		// messages holds what envelopes are encoded from.
		messages sync.Pool
		// relays holds what relays are encoded from.
		relays sync.Pool
	}

	// mac is an HMAC with room for its sum.
	mac struct {
		h   hash.Hash
		sum [sha256.Size]byte
	}

	// message is an envelope with room for its addresses.
	message struct {
		m     peerpb.Envelope
		addrs [maxAddrs * addrBytes]byte
	}
)

// NewSealer returns a sealer for the key that the processes share.
func NewSealer(key []byte) *Sealer {
	k := sha256.Sum256(append([]byte("balsampier envelope "), key...))
	return &Sealer{
		macs:     sync.Pool{New: func() any { return &mac{h: hmac.New(sha256.New, k[:])} }},
		messages: sync.Pool{New: func() any { return new(message) }},
		relays:   sync.Pool{New: func() any { return new(peerpb.Relay) }},
	}
}

// Seal appends the encoded envelope to b.
func (s *Sealer) Seal(b []byte, e *Envelope) ([]byte, error) {
	k := s.messages.Get().(*message)
	defer s.messages.Put(k)
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
	// The pool keeps no caller's data.
	m.Payload = nil
	return b, err
}

// SealLoad appends the encoded load report to b.
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
	return s.mac(b, b[n:]), nil
}

// Open decodes an envelope; the payload aliases nothing in b.
func (s *Sealer) Open(b []byte) (*Envelope, error) {
	n := len(b) - macBytes
	if n <= 0 {
		return nil, errEnvelope("the envelope is too short")
	}
	if !s.authentic(b[:n], b[n:]) {
		return nil, balsampier.NewError(balsampier.KindUnauthenticated, "open envelope",
			"give all processes the same peer key file", nil)
	}
	var m peerpb.Envelope
	if err := proto.Unmarshal(b[:n], &m); err != nil {
		return nil, trace.Wrap(err, "decode envelope")
	}
	if m.GetDirection() == peerpb.Envelope_DIRECTION_LOAD {
		return loadReport(m.GetLoad())
	}
	return envelope(&m)
}

func (s *Sealer) mac(dst, b []byte) []byte {
	k := s.macs.Get().(*mac)
	defer s.macs.Put(k)
	return append(dst, k.of(b)...)
}

// authentic reports whether sum belongs to b.
func (s *Sealer) authentic(b, sum []byte) bool {
	k := s.macs.Get().(*mac)
	defer s.macs.Put(k)
	return subtle.ConstantTimeCompare(k.of(b), sum) == 1
}

// of is overwritten by the next call.
func (k *mac) of(b []byte) []byte {
	k.h.Reset()
	_, _ = k.h.Write(b)
	return k.h.Sum(k.sum[:0])[:macBytes]
}

// appendAddrPort encodes a behind b and returns it, and what follows.
func appendAddrPort(b []byte, a netip.AddrPort) (encoded, rest []byte) {
	if !a.IsValid() {
		return nil, b
	}
	n := len(b)
	b, _ = a.AppendBinary(b)
	return b[n:], b
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
	if len(e.Payload) > MaxPayloadBytes || e.Hops > balsampier.MaxHops {
		return nil, errEnvelope("the payload or the count of hops is too large")
	}
	return e, nil
}

func loadReport(m *peerpb.LoadReport) (*Envelope, error) {
	if m.GetInstance() == 0 || m.GetIncarnation() == 0 || m.GetSlots() == 0 || m.GetReadyNanoseconds() < 0 {
		return nil, errEnvelope("the load report names no run or no slots")
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
		ReadyDuration:   time.Duration(m.GetReadyNanoseconds()),
		Ejected: m.GetEjected(),
	}}, nil
}

func errEnvelope(op string) error {
	return balsampier.NewError(balsampier.KindInvalid, op, "run the same version everywhere", nil)
}
