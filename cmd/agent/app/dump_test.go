package app

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/balsampier/balsampier/backend"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/process/processtest"
)

// fixedRandom is a random source that always returns the same number.
type fixedRandom struct{}

func (fixedRandom) Uint64() uint64 { return 42 }

func TestDump(t *testing.T) {
	c := qt.New(t)
	d := c.TempDir()
	processtest.WriteSecrets(c, d)
	s := Settings{
		PeerAddr: netip.MustParseAddrPort("127.0.0.1:0"), Control: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.9:7000")},
		CertFile: d + "/cert.pem", KeyFile: d + "/key.pem",
	}
	s.Name, s.DataCentre, s.PeerKeyFile = "bench-1", "lima-1", d+"/peer.key"
	s.SetDefaults()
	a, err := New(s, clock.NewFake(time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)), fixedRandom{})
	c.Assert(err, qt.IsNil)
	defer func() { _ = a.peerConn.Close() }()
	x, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = a.admission.run(x) }()
	c.Assert(a.handleAnnouncement(backend.Announcement{
		Service: "reservas", Addr: netip.MustParseAddrPort("127.0.0.1:9000"), Slots: 5, Connections: 2000,
	}), qt.IsNil)

	b, err := json.MarshalIndent(a.Dump(), "", "  ")
	c.Assert(err, qt.IsNil)
	c.Assert(string(b), qt.Not(qt.Contains), processtest.Key)
	goldie.New(t).Assert(t, "dump", b)
}
