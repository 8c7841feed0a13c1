package main

import (
	"encoding/binary"
	"net/netip"
)

// The packet header of PROTOCOL.md, section "Packets".
const (
	headBytes   = 34
	flagSyn     = 1
	flagRst     = 2
	flagBounced = 4
	flagFin     = 16
	flagAck     = 32
)

// packet is one packet of a flow.
type packet struct {
	flags    byte
	src, dst netip.AddrPort
	seq, ack uint32
	sum      uint32
	data     []byte
}

func (p packet) encode() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	binary.LittleEndian.PutUint32(b[4:], p.sum)
	b[8] = p.flags
	putIP(b[12:], p.dst.Addr())
	binary.LittleEndian.PutUint16(b[16:], p.dst.Port())
	binary.LittleEndian.PutUint16(b[18:], p.src.Port())
	putIP(b[20:], p.src.Addr())
	binary.LittleEndian.PutUint16(b[24:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[26:], p.seq)
	binary.LittleEndian.PutUint32(b[30:], p.ack)
	return append(b, p.data...)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headBytes {
		return packet{}, false
	}
	return packet{
		flags: b[8], sum: binary.LittleEndian.Uint32(b[4:]),
		dst: netip.AddrPortFrom(ip(b[12:]), binary.LittleEndian.Uint16(b[16:])),
		src: netip.AddrPortFrom(ip(b[20:]), binary.LittleEndian.Uint16(b[18:])),
		seq: binary.LittleEndian.Uint32(b[26:]), ack: binary.LittleEndian.Uint32(b[30:]),
		data: append([]byte(nil), b[headBytes:]...),
	}, true
}

func putIP(b []byte, a netip.Addr) {
	x := a.As4()
	b[0], b[1], b[2], b[3] = x[3], x[2], x[1], x[0]
}

func ip(b []byte) netip.Addr { return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}) }
