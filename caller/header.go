package caller

import (
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	longHeaderBit = 0x80

	// longHeaderIDOffset is the offset of the length of the destination
	// connection ID in a long header (RFC 8999).
	longHeaderIDOffset = 5

	maxConnectionIDBytes = 20
)

// ReadPacket decodes the version-independent header of a QUIC datagram that
// arrived at t. ok is false for a datagram that is not QUIC.
func (c *IDCodec) ReadPacket(b []byte, caller, service netip.AddrPort, t time.Time) (p balsampier.Packet, ok bool) {
	id, long, ok := destinationID(b)
	if !ok {
		return p, false
	}
	p = balsampier.Packet{
		Caller: caller, ServiceAddr: service, At: t,
		Flow: balsampier.NewFlowKey(caller, service, id),
	}
	h, isIssued := c.Decode(id)
	if isIssued {
		p.Holder = h
	}
	p.Opening = long && !isIssued
	return p, true
}

// destinationID returns the destination connection ID of a datagram. long is
// true for a long header.
func destinationID(b []byte) (id []byte, long, ok bool) {
	if len(b) == 0 {
		return nil, false, false
	}
	if b[0]&longHeaderBit == 0 {
		if len(b) < 1+ConnectionIDBytes {
			return nil, false, false
		}
		return b[1 : 1+ConnectionIDBytes], false, true
	}
	if len(b) <= longHeaderIDOffset {
		return nil, true, false
	}
	n := int(b[longHeaderIDOffset])
	if n > maxConnectionIDBytes || len(b) < longHeaderIDOffset+1+n {
		return nil, true, false
	}
	return b[longHeaderIDOffset+1 : longHeaderIDOffset+1+n], true, true
}
