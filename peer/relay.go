package peer

import (
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/peer/peerpb"
)

// SealRelay appends the encoded relay and its HMAC to b.
func (s *Sealer) SealRelay(b []byte, r *balsampier.Relay) ([]byte, error) {
	m := s.relayPool.Get().(*peerpb.Relay)
	defer s.relayPool.Put(m)
	m.Kind, m.Service, m.Revision = uint32(r.Kind), uint64(r.Service), uint64(r.Revision)
	m.FlowHi, m.FlowLo, m.Reason = r.Flow.Hi, r.Flow.Lo, uint32(r.Reason)
	m.Flows, m.Running, m.Slots = uint32(r.Load.Connections), uint32(r.Load.Running), uint32(r.Load.Slots)
	m.Payload, m.LostNanos = r.Payload, uint64(r.SinceDeparture)
	switch r.Kind {
	case balsampier.RelayCollect, balsampier.RelayPassedSearch:
		m.Payload = append(appendTargets(nil, r.Targets), r.Payload...)
	case balsampier.RelayCollected:
		m.Payload = appendResults(nil, r.Results)
	}
	n := len(b)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	// Pooled messages must not retain the caller's payload.
	m.Payload = nil
	if err != nil {
		return nil, trace.Wrap(err, "encode relay")
	}
	return s.appendMAC(b, b[n:]), nil
}

// OpenRelay verifies and decodes a relay. The payload does not alias b. It
// returns a KindUnauthenticated error if the HMAC does not match, and a
// KindInvalid error if the relay is too short or has an invalid field.
func (s *Sealer) OpenRelay(b []byte) (balsampier.Relay, error) {
	n := len(b) - macBytes
	if n <= 0 {
		return balsampier.Relay{}, errMalformed("open relay: too short")
	}
	if !s.verifyMAC(b[:n], b[n:]) {
		return balsampier.Relay{}, balsampier.NewError(balsampier.KindUnauthenticated, "open relay",
			"give all processes the same peer key file", nil)
	}
	var m peerpb.Relay
	if err := proto.Unmarshal(b[:n], &m); err != nil {
		return balsampier.Relay{}, trace.Wrap(err, "decode relay")
	}
	r := balsampier.Relay{
		Kind: balsampier.RelayKind(m.GetKind()), Service: balsampier.ServiceHash(m.GetService()),
		Revision: balsampier.Revision(m.GetRevision()), Reason: balsampier.Reason(m.GetReason()),
		Flow: balsampier.FlowKey{Hi: m.GetFlowHi(), Lo: m.GetFlowLo()},
		Load: balsampier.Load{
			Connections: int(m.GetFlows()), Running: int(m.GetRunning()), Slots: int(m.GetSlots()),
		},
		Payload: m.GetPayload(), SinceDeparture: time.Duration(m.GetLostNanos()),
	}
	if m.GetKind() == 0 || m.GetKind() > uint32(balsampier.RelayPassedSearch) || m.GetReason() > uint32(balsampier.ReasonOtherFlow) || r.Flow.IsZero() || r.SinceDeparture < 0 {
		return balsampier.Relay{}, errMalformed("open relay: the flow is missing, the kind or the reason is unknown, or the time since departure is negative")
	}
	var err error
	switch r.Kind {
	case balsampier.RelayCollect, balsampier.RelayPassedSearch:
		r.Targets, r.Payload, err = decodeTargets(r.Payload)
	case balsampier.RelayCollected:
		r.Results, err = decodeResults(r.Payload)
		r.Payload = nil
	}
	return r, err
}
