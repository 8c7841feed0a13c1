package peer

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
)

// TestWatchInstances encodes the instances that a relay names and decodes them.
// An address that cannot be read is left out.
func TestWatchInstances(t *testing.T) {
	a, b := netip.MustParseAddrPort("10.0.0.8:7720"), netip.MustParseAddrPort("[2001:db8::1]:7720")
	tests := []struct {
		name  string
		named []netip.AddrPort
		odd   []byte
		want  []netip.AddrPort
	}{
		{"none", nil, nil, nil},
		{"two", []netip.AddrPort{a, b}, nil, []netip.AddrPort{a, b}},
		{"one that cannot be read", []netip.AddrPort{a}, []byte{1, 2, 3}, []netip.AddrPort{a}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			p, err := encodeWatchMessage(balsampier.WatchMessage{Instances: v.named}, new(textCompressor))
			c.Assert(err, qt.IsNil)
			if v.odd != nil {
				p.Instances = append(p.Instances, v.odd)
			}
			m, err := decodeWatchMessage(p)
			c.Assert(err, qt.IsNil)
			c.Assert(fmt.Sprint(m.Instances), qt.Equals, fmt.Sprint(v.want))
		})
	}
}
