package direct_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/direct"
)

// TestBulkOpeningsAreRefused checks that an opening is refused at once only if
// its route has bulk flows and the balancer's own link is congested: it is in use
// and replies of agents are slow.
func TestBulkOpeningsAreRefused(t *testing.T) {
	const thin = 250e3
	for _, p := range []struct {
		name string
		link float64
		// packetBytes and packets are those of each flow so far.
		packetBytes, packets int
		replyTime            time.Duration
		// lost is true if two of three replies are lost.
		lost    bool
		refused bool
	}{
		{name: "bulk on a congested link", link: thin, packetBytes: 1200, packets: 60, replyTime: 200 * time.Millisecond, refused: true},
		{name: "bulk on a link with room", link: 100 * thin, packetBytes: 1200, packets: 60, replyTime: 200 * time.Millisecond},
		{name: "bulk on a link that drops replies", link: thin, packetBytes: 1200, packets: 60, lost: true, refused: true},
		{name: "bulk, replies are fast", link: thin, packetBytes: 1200, packets: 60, replyTime: 5 * time.Millisecond},
		{name: "bulk, link without limit", packetBytes: 1200, packets: 60, replyTime: 200 * time.Millisecond},
		{name: "small flows on a congested link", link: thin, packetBytes: 100, packets: 100, replyTime: 200 * time.Millisecond},
	} {
		t.Run(p.name, func(t *testing.T) {
			w := newWorld(qt.New(t), 3)
			w.d = direct.New(direct.Config{DataCentre: "lima-1", LinkBytesPerSecond: p.link})
			w.d.AdoptRoutes(balsampier.RouteFile{Version: 1, Routes: []balsampier.Route{{
				Name: "r", To: routeAddr, Targets: []balsampier.Target{{Service: "reservas", Weight: 1}},
			}}})
			w.adoptView(1, 3)
			var last []direct.Action
			for i := range 20 {
				s := segment(true)
				s.Client = netip.AddrPortFrom(client.Addr(), uint16(i+1))
				s.Key = balsampier.NewFlowKey(s.Client, routeAddr, nil)
				w.d.HandlePacket(s, []byte("packet"), w.t)
				last = append([]direct.Action(nil), w.d.PopActions()...)
				at := relayTargets(last, balsampier.RelayOpen)
				if len(at) == 0 {
					continue
				}
				w.advanceTime(p.replyTime)
				if p.lost {
					w.advanceTime(45 * time.Millisecond)
					at = relayTargets(w.advanceTime(45*time.Millisecond), balsampier.RelayOpen)
				}
				if len(at) > 0 {
					w.d.HandleReply(at[0], balsampier.Relay{Kind: balsampier.RelayAccepted, Flow: s.Key}, w.t)
				}
				s.Opening, s.Length = false, p.packetBytes
				for range p.packets {
					w.d.HandlePacket(s, make([]byte, p.packetBytes), w.t)
				}
				w.d.PopActions()
			}
			w.Assert(countResets(last) == 1, qt.Equals, p.refused)
			w.Assert(len(relayTargets(last, balsampier.RelayOpen)) == 0, qt.Equals, p.refused)
		})
	}
}
