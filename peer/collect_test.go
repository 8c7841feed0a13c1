package peer

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/balsampier/balsampier"
)

var (
	agentV4 = netip.MustParseAddrPort("192.0.2.11:7000")
	agentV6 = netip.MustParseAddrPort("[2001:db8::11]:7000")
)

func collectRelays() []balsampier.Relay {
	number := balsampier.FlowKey{Lo: 7}
	return []balsampier.Relay{
		{Kind: balsampier.RelayCollect, Flow: number, Targets: []netip.AddrPort{agentV4, agentV6}, Payload: []byte("12345678")},
		{Kind: balsampier.RelayCollect, Flow: number, Targets: []netip.AddrPort{agentV4}},
		{Kind: balsampier.RelayPassedSearch, Flow: number, Targets: []netip.AddrPort{agentV4}, Payload: []byte("12345678")},
		{Kind: balsampier.RelayCollected, Flow: number},
		{Kind: balsampier.RelayCollected, Flow: number, Results: []balsampier.SearchResult{
			{Agent: agentV4, Missing: true},
			{Agent: agentV6, Uncertain: true, SinceDeparture: 1500 * time.Millisecond},
			{Agent: agentV4, Flows: []uint64{1, 1 << 63}},
		}},
	}
}

// TestCollectRelays checks that searches for collectors and their replies are
// decoded as they were encoded, and rejected if they are cut off.
func TestCollectRelays(t *testing.T) {
	c := qt.New(t)
	s := NewSealer([]byte("0123456789abcdef"))
	for _, r := range collectRelays() {
		b, err := s.SealRelay(nil, &r)
		c.Assert(err, qt.IsNil)
		got, err := s.OpenRelay(b)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty()), r)
	}
	whole := appendResults(nil, collectRelays()[4].Results)
	for n := range whole {
		_, err := decodeResults(whole[:n])
		c.Assert(balsampier.KindOf(err), qt.Equals, balsampier.KindInvalid, qt.Commentf("%d bytes", n))
	}
	targets := appendTargets(nil, collectRelays()[0].Targets)
	for n := range targets {
		_, _, err := decodeTargets(targets[:n])
		c.Assert(balsampier.KindOf(err), qt.Equals, balsampier.KindInvalid, qt.Commentf("%d bytes", n))
	}
}

// TestLargestCollectRelays checks that the largest search and reply fit into a
// datagram.
func TestLargestCollectRelays(t *testing.T) {
	c := qt.New(t)
	const keys = 100
	r := balsampier.Relay{Kind: balsampier.RelayCollect, Flow: balsampier.FlowKey{Lo: 1 << 63}, Payload: make([]byte, 8*keys)}
	a := balsampier.Relay{Kind: balsampier.RelayCollected, Flow: balsampier.FlowKey{Lo: 1 << 63}}
	for i := range balsampier.MaxCollectTargets {
		r.Targets = append(r.Targets, agentV4)
		x := balsampier.SearchResult{Agent: agentV4, Uncertain: true, SinceDeparture: time.Second}
		if i == 0 {
			x.Flows = make([]uint64, keys)
		}
		a.Results = append(a.Results, x)
	}
	s := NewSealer([]byte("0123456789abcdef"))
	for _, r := range []balsampier.Relay{r, a} {
		b, err := s.SealRelay(nil, &r)
		c.Assert(err, qt.IsNil)
		c.Assert(len(b) <= MaxEnvelopeBytes, qt.IsTrue, qt.Commentf("%v: %d bytes", r.Kind, len(b)))
	}
}

// FuzzCollectRelays checks that no payload makes the decoders of searches for
// collectors fail other than with an error.
func FuzzCollectRelays(f *testing.F) {
	for _, r := range collectRelays() {
		f.Add(append(appendTargets(nil, r.Targets), r.Payload...))
		f.Add(appendResults(nil, r.Results))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		as, _, err := decodeTargets(b)
		qt.Assert(t, err != nil || len(as) <= balsampier.MaxCollectTargets, qt.IsTrue)
		rs, err := decodeResults(b)
		qt.Assert(t, err != nil || len(rs) <= balsampier.MaxCollectTargets, qt.IsTrue)
	})
}
