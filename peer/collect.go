package peer

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	flagMissing = 1 << iota
	flagUncertain
)

// maxResultFlows bounds the flows that one result lists; the length is one byte.
const maxResultFlows = 255

// appendTargets appends the number of the addresses and each of them.
func appendTargets(b []byte, as []netip.AddrPort) []byte {
	b = append(b, byte(len(as)))
	for _, a := range as {
		b = appendTarget(b, a)
	}
	return b
}

// appendTarget appends the length of the encoded address and the address.
func appendTarget(b []byte, a netip.AddrPort) []byte {
	n := len(b)
	// AppendBinary of an address without a zone cannot fail.
	b, _ = a.AppendBinary(append(b, 0))
	b[n] = byte(len(b) - n - 1)
	return b
}

// decodeTargets decodes the addresses at the start of b and returns the rest.
func decodeTargets(b []byte) ([]netip.AddrPort, []byte, error) {
	n, b, err := decodeCount(b)
	if err != nil {
		return nil, nil, err
	}
	as := make([]netip.AddrPort, n)
	for i := range as {
		if as[i], b, err = decodeAddrPortPrefix(b); err != nil {
			return nil, nil, err
		}
	}
	return as, b, nil
}

// decodeCount decodes the number of targets or results at the start of b.
func decodeCount(b []byte) (int, []byte, error) {
	if len(b) == 0 || b[0] > balsampier.MaxCollectTargets {
		return 0, nil, errMalformed("open relay: the number of agents is missing or too large")
	}
	return int(b[0]), b[1:], nil
}

func decodeAddrPortPrefix(b []byte) (a netip.AddrPort, rest []byte, err error) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return a, nil, errMalformed("open relay: an address is cut off")
	}
	if a.UnmarshalBinary(b[1:1+int(b[0])]) != nil || !a.IsValid() {
		return a, nil, errMalformed("open relay: an address is invalid")
	}
	return a, b[1+int(b[0]):], nil
}

// appendResults appends the number of the results and each of them: the address,
// the flags, the time since the departure in milliseconds, rounded up, and the
// flows with their number.
func appendResults(b []byte, rs []balsampier.SearchResult) []byte {
	b = append(b, byte(len(rs)))
	for _, r := range rs {
		b = appendTarget(b, r.Agent)
		var f byte
		if r.Missing {
			f |= flagMissing
		}
		if r.Uncertain {
			f |= flagUncertain
		}
		ms := (r.SinceDeparture + time.Millisecond - 1) / time.Millisecond
		b = binary.BigEndian.AppendUint32(append(b, f), uint32(ms))
		ks := r.Flows[:min(len(r.Flows), maxResultFlows)]
		b = append(b, byte(len(ks)))
		for _, k := range ks {
			b = binary.BigEndian.AppendUint64(b, k)
		}
	}
	return b
}

func decodeResults(b []byte) ([]balsampier.SearchResult, error) {
	const fixedBytes, keyBytes = 6, 8
	n, b, err := decodeCount(b)
	if err != nil {
		return nil, err
	}
	rs := make([]balsampier.SearchResult, n)
	for i := range rs {
		r := &rs[i]
		if r.Agent, b, err = decodeAddrPortPrefix(b); err != nil {
			return nil, err
		}
		if len(b) < fixedBytes || len(b) < fixedBytes+keyBytes*int(b[fixedBytes-1]) {
			return nil, errMalformed("open relay: a result is cut off")
		}
		r.Missing, r.Uncertain = b[0]&flagMissing != 0, b[0]&flagUncertain != 0
		r.SinceDeparture = time.Duration(binary.BigEndian.Uint32(b[1:])) * time.Millisecond
		k := int(b[fixedBytes-1])
		for b = b[fixedBytes:]; k > 0; k-- {
			r.Flows = append(r.Flows, binary.BigEndian.Uint64(b))
			b = b[keyBytes:]
		}
	}
	return rs, nil
}
