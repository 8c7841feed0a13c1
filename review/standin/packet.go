package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// The packet header of PROTOCOL.md.
const (
	headerBytes = 34

	flagSyn     = 1
	flagRst     = 2
	flagBounced = 4
	flagFin     = 16
	flagAck     = 32
)

// packet is one decoded datagram of a flow.
type packet struct {
	flags    byte
	src, dst netip.AddrPort
	seq, ack uint32
	data     []byte
	// ofSystem is true for a reset of the system, which has the sum zero.
	ofSystem bool
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the datagram of the packet, with its sum.
func (p packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	b[8] = p.flags
	putAddr(b[12:], p.dst.Addr())
	binary.LittleEndian.PutUint16(b[16:], p.dst.Port())
	binary.LittleEndian.PutUint16(b[18:], p.src.Port())
	putAddr(b[20:], p.src.Addr())
	binary.LittleEndian.PutUint16(b[24:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[26:], p.seq)
	binary.LittleEndian.PutUint32(b[30:], p.ack)
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[4:], sumOf(b))
	return b
}

// decode decodes a datagram. ok is false if its length or its sum is wrong; a
// reset of the system has the sum zero.
func decode(b []byte) (p packet, ok bool) {
	if len(b) < headerBytes {
		return p, false
	}
	p = packet{
		flags: b[8],
		src:   netip.AddrPortFrom(getAddr(b[20:]), binary.LittleEndian.Uint16(b[18:])),
		dst:   netip.AddrPortFrom(getAddr(b[12:]), binary.LittleEndian.Uint16(b[16:])),
		seq:   binary.LittleEndian.Uint32(b[26:]), ack: binary.LittleEndian.Uint32(b[30:]),
		data: append([]byte(nil), b[headerBytes:]...),
	}
	n := int(binary.LittleEndian.Uint16(b[24:]))
	sum := binary.LittleEndian.Uint32(b[4:])
	p.ofSystem = p.flags == flagRst && sum == 0 && n == 0
	return p, n == len(p.data) && (p.ofSystem || sum == sumOf(b))
}

// sumOf returns a keyed sum over all fields except echo, pad and BOUNCED.
func sumOf(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the stand-ins"))
	_, _ = h.Write([]byte{b[8] &^ flagBounced})
	_, _ = h.Write(b[12:])
	return h.Sum32() | 1
}

func getAddr(b []byte) netip.Addr { return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}) }

func putAddr(b []byte, a netip.Addr) {
	x := a.As4()
	b[0], b[1], b[2], b[3] = x[3], x[2], x[1], x[0]
}
