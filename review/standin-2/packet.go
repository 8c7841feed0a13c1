package main

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// The head of a packet, as PROTOCOL.md gives it.
const (
	headBytes = 34
	maxData   = 1200

	flagSYN     = 1
	flagRST     = 2
	flagBounced = 4
	flagFIN     = 16
	flagACK     = 32
)

// packet is a decoded packet.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	sum      uint32
	data     []byte
}

// endpoints identifies a flow by the client's and the route's address.
type endpoints struct{ client, route netip.AddrPort }

func (p packet) has(f byte) bool { return p.flags&f != 0 }

// checksum stands for the keyed sum: it covers all fields but echo, pad and
// BOUNCED.
func (p packet) checksum() uint32 {
	h := fnv.New32a()
	fmt.Fprint(h, "key", p.src, p.dst, p.flags&^flagBounced, p.seq, p.ack, len(p.data))
	_, _ = h.Write(p.data)
	return h.Sum32()
}

func (p packet) encode() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	le := binary.LittleEndian
	le.PutUint32(b[4:], p.checksum())
	b[8] = p.flags
	putAddr(b[12:], p.dst.Addr())
	le.PutUint16(b[16:], p.dst.Port())
	le.PutUint16(b[18:], p.src.Port())
	putAddr(b[20:], p.src.Addr())
	le.PutUint16(b[24:], uint16(len(p.data)))
	le.PutUint32(b[26:], p.seq)
	le.PutUint32(b[30:], p.ack)
	return append(b, p.data...)
}

func decode(b []byte) (p packet, ok bool) {
	le := binary.LittleEndian
	if len(b) < headBytes || int(le.Uint16(b[24:])) != len(b)-headBytes {
		return p, false
	}
	p.sum, p.flags = le.Uint32(b[4:]), b[8]
	p.dst = netip.AddrPortFrom(getAddr(b[12:]), le.Uint16(b[16:]))
	p.src = netip.AddrPortFrom(getAddr(b[20:]), le.Uint16(b[18:]))
	p.seq, p.ack = le.Uint32(b[26:]), le.Uint32(b[30:])
	p.data = append([]byte(nil), b[headBytes:]...)
	return p, true
}

func putAddr(b []byte, a netip.Addr) {
	x := a.As4()
	b[0], b[1], b[2], b[3] = x[3], x[2], x[1], x[0]
}

func getAddr(b []byte) netip.Addr { return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}) }
