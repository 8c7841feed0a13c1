package peer

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/collect"
	"github.com/balsampier/balsampier/command/direct"
	"github.com/balsampier/balsampier/command/hold"
	"github.com/balsampier/balsampier/peer/peerpb"
)

var fuzzStart = time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)

// FuzzRelay checks that no datagram with the shared key makes its decoders or the
// state machines behind them panic.
func FuzzRelay(f *testing.F) {
	key := []byte("0123456789abcdef")
	for _, r := range append(collectRelays(),
		balsampier.Relay{Kind: balsampier.RelaySearch, Flow: balsampier.FlowKey{Lo: 1}, Payload: []byte("12345678")},
		balsampier.Relay{Kind: balsampier.RelayNotFound, Flow: balsampier.FlowKey{Lo: 1}, Payload: []byte("12345678")},
		balsampier.Relay{Kind: balsampier.RelayRefused, Flow: balsampier.FlowKey{Hi: 1, Lo: 1}, Reason: balsampier.ReasonFull, Payload: []byte("1")},
	) {
		b, err := NewSealer(key).SealRelay(nil, &r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b[:len(b)-macBytes])
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		s := NewSealer(key)
		_, _ = s.Open(s.appendMAC(append([]byte(nil), b...), b))
		r, err := s.OpenRelay(s.appendMAC(append([]byte(nil), b...), b))
		if err != nil {
			return
		}
		d := direct.New(direct.Config{})
		d.AdoptView(balsampier.View{Epoch: 1, Members: []balsampier.Member{{ID: 1, Role: balsampier.RoleAgent, Addr: agentV4, Service: "x"}}}, fuzzStart)
		d.HandlePacket(balsampier.Segment{Key: r.Flow}, []byte("packet"), fuzzStart)
		d.HandleReply(agentV4, r, fuzzStart)
		d.Tick(fuzzStart.Add(time.Second))
		h := hold.New(hold.Config{Allowed: func(netip.AddrPort) (bool, balsampier.Revision) { return true, 1 }}, fuzzStart)
		h.HandleRelay(agentV4, r, balsampier.Segment{Key: r.Flow}, fuzzStart)
		var c collect.Collector
		c.HandleRequest(agentV4, r, fuzzStart)
		c.HandleReply(agentV4, r)
	})
}

// FuzzStored checks that no bytes of a log record, a snapshot, packed text or a
// watch message make their decoders panic.
func FuzzStored(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{10, 2, 8, 1})
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _, _, _ = DecodeEntry(b)
		_, _ = DecodeSnapshot(b)
		_, _ = decompress(b)
		var m peerpb.WatchResponse
		if proto.Unmarshal(b, &m) == nil {
			_, _ = decodeWatchMessage(&m)
		}
	})
}
