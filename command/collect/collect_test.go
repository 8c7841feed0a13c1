package collect_test

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/collect"
)

var (
	start    = time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)
	balancer = netip.MustParseAddrPort("192.0.2.1:7000")
	targets  = []netip.AddrPort{
		netip.MustParseAddrPort("192.0.2.11:7000"), netip.MustParseAddrPort("192.0.2.12:7000"), netip.MustParseAddrPort("192.0.2.13:7000"),
	}
)

// TestCollect checks that a search goes to all targets, and which replies the
// balancer gets in one.
func TestCollect(t *testing.T) {
	flow := binary.BigEndian.AppendUint64(nil, 42)
	certain := balsampier.Relay{Kind: balsampier.RelayNotFound}
	for _, p := range []struct {
		name string
		// replies are those of the targets, in order.
		replies []balsampier.Relay
		// wait is the time after the replies.
		wait time.Duration
		want []balsampier.SearchResult
		// pending is true if the balancer gets no reply yet.
		pending bool
	}{
		{name: "nobody has the flow", replies: []balsampier.Relay{certain, certain, certain}},
		{
			name: "one has it", replies: []balsampier.Relay{certain, {Kind: balsampier.RelayNotFound, Payload: flow}, certain},
			want: []balsampier.SearchResult{{Agent: targets[1], Flows: []uint64{42}}},
		},
		{
			name: "one is uncertain", replies: []balsampier.Relay{{Kind: balsampier.RelayUncertain}, certain, certain},
			want: []balsampier.SearchResult{{Agent: targets[0], Uncertain: true}},
		},
		{
			name: "one saw a departure", replies: []balsampier.Relay{certain, certain, {Kind: balsampier.RelayNotFound, SinceDeparture: time.Second}},
			want: []balsampier.SearchResult{{Agent: targets[2], SinceDeparture: time.Second}},
		},
		{name: "one is late", replies: []balsampier.Relay{certain, certain}, wait: 20 * time.Millisecond, pending: true},
		{
			name: "one is silent", replies: []balsampier.Relay{certain, certain}, wait: 40 * time.Millisecond,
			want: []balsampier.SearchResult{{Agent: targets[2], Missing: true}},
		},
	} {
		t.Run(p.name, func(t *testing.T) {
			c := qt.New(t)
			var x collect.Collector
			x.HandleRequest(balancer, balsampier.Relay{
				Kind: balsampier.RelayCollect, Flow: balsampier.FlowKey{Lo: 9}, Targets: targets, Payload: flow,
			}, start)
			as := x.PopActions()
			c.Assert(as, qt.HasLen, len(targets))
			for i, a := range as {
				c.Assert(a.To, qt.Equals, targets[i])
				c.Assert(a.Relay.Kind, qt.Equals, balsampier.RelayPassedSearch)
				c.Assert(a.Relay.Targets[0], qt.Equals, balancer)
				c.Assert(string(a.Relay.Payload), qt.Equals, string(flow))
			}
			for i, r := range p.replies {
				r.Flow = as[i].Relay.Flow
				x.HandleReply(targets[i], r)
				x.HandleReply(targets[i], r)
			}
			x.Tick(start.Add(p.wait))
			got := x.PopActions()
			if p.pending {
				c.Assert(got, qt.HasLen, 0)
				return
			}
			c.Assert(got, qt.HasLen, 1)
			c.Assert(got[0].To, qt.Equals, balancer)
			c.Assert(got[0].Relay.Kind, qt.Equals, balsampier.RelayCollected)
			c.Assert(got[0].Relay.Flow.Lo, qt.Equals, uint64(9))
			c.Assert(len(got[0].Relay.Results), qt.Equals, len(p.want))
			for i, r := range got[0].Relay.Results {
				c.Assert(r, qt.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{})), p.want[i])
			}
		})
	}
}

// TestCollectionsAreBounded checks that searches beyond the limit are dropped
// and that the others end.
func TestCollectionsAreBounded(t *testing.T) {
	c := qt.New(t)
	var x collect.Collector
	for i := range 2000 {
		x.HandleRequest(balancer, balsampier.Relay{Kind: balsampier.RelayCollect, Flow: balsampier.FlowKey{Lo: uint64(i + 1)}, Targets: targets}, start)
	}
	n := len(x.PopActions()) / len(targets)
	c.Assert(n > 0 && n < 2000, qt.IsTrue)
	x.Tick(start.Add(time.Second))
	c.Assert(x.PopActions(), qt.HasLen, n)
	_, ok := x.NextTick()
	c.Assert(ok, qt.IsFalse)
}
