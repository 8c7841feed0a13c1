package datagram

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/control"
	"github.com/balsampier/balsampier/fabric"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/platform"
	"github.com/balsampier/balsampier/settings"
)

const testKey = "0123456789abcdef0123456789abcdef"

var (
	loopback  = netip.MustParseAddrPort("127.0.0.1:0")
	agentAddr = netip.MustParseAddrPort("192.0.2.9:7000")
	// openingPacket opens a flow from 100.64.0.7:40001 to 198.18.0.1:443.
	openingPacket = []byte{
		0, 0, 0, 0, 0xd5, 0xc3, 0xb2, 0xa1, 1, 0, 0, 0, 1, 0, 0x12, 0xc6, 0xbb, 1, 0x41, 0x9c, 7, 0, 0x40, 0x64,
		0, 0, 0x44, 0x33, 0x22, 0x11, 0, 0, 0, 0,
	}
)

// fixedRandom is a random source that always returns the same number.
type fixedRandom struct{}

func (fixedRandom) Uint64() uint64 { return 42 }

func newTestBalancer(c *qt.C) *Balancer {
	o := Options{
		Settings: Settings{ClientAddr: loopback, Seeds: []netip.AddrPort{agentAddr}, ControlPort: 7100},
		Common:   settings.Common{Name: "balancer-1", DataCentre: "lima-1", LogLevel: "error"},
		PeerAddr: loopback, Key: []byte(testKey), Random: fixedRandom{},
		Clock: clock.NewFake(time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)),
		Codec: platform.Codec{}, Parser: platform.Parser{},
	}
	b, err := New(o)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		_ = b.clientSocket.Close()
		_ = b.agentSocket.Close()
	})
	b.adoptState(control.State{
		Routes: balsampier.RouteFile{Version: 3, Routes: []balsampier.Route{{
			Name: "a", To: netip.MustParseAddrPort("198.18.0.1:443"), Targets: []balsampier.Target{{Service: "x", Weight: 1}},
		}}},
		View: balsampier.View{Epoch: 1, Members: []balsampier.Member{{
			ID: 1, Name: "agent-1", Role: balsampier.RoleAgent, Addr: agentAddr, Service: "x", Slots: 3, DataCentre: "lima-1",
		}}},
	})
	return b
}

// popOutputs removes and returns the pending outputs, at most one batch.
func (b *Balancer) popOutputs(c *qt.C) []output {
	var os [batchSize]output
	x, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	n, err := b.outputs.Pop(x, os[:])
	if err != nil {
		c.Assert(x.Err(), qt.IsNotNil)
	}
	return os[:n]
}

func (b *Balancer) receivePacket(p []byte) {
	b.handleInput(context.Background(), input{packet: fabric.Datagram{Payload: p, Caller: agentAddr, At: b.options.Clock.Now()}})
}

// TestPackets checks that an opening packet goes to an agent, and that a later
// packet of the flow follows to the same agent. Both arrive unchanged.
func TestPackets(t *testing.T) {
	c := qt.New(t)
	b := newTestBalancer(c)
	s := peer.NewSealer([]byte(testKey))
	b.receivePacket(append([]byte(nil), openingPacket...))
	os := b.popOutputs(c)
	c.Assert(os, qt.HasLen, 1)
	c.Assert(os[0].to, qt.Equals, agentAddr)
	r, err := s.OpenRelay(os[0].data)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Kind, qt.Equals, balsampier.RelayOpen)
	c.Assert(r.Payload, qt.DeepEquals, openingPacket)
	accepted, err := s.SealRelay(nil, &balsampier.Relay{Kind: balsampier.RelayAccepted, Flow: r.Flow, Load: balsampier.Load{Slots: 3}})
	c.Assert(err, qt.IsNil)
	b.handleInput(context.Background(), input{reply: fabric.Datagram{Payload: accepted, Caller: agentAddr, At: b.options.Clock.Now()}})
	later := append([]byte(nil), openingPacket...)
	later[8] = 32
	b.receivePacket(later)
	os = b.popOutputs(c)
	c.Assert(os, qt.HasLen, 1)
	r, err = s.OpenRelay(os[0].data)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Kind, qt.Equals, balsampier.RelayDeliver)
	c.Assert(r.Payload, qt.DeepEquals, later)
}

// TestBadDatagrams checks that invalid packets and invalid replies, among them
// one sealed with another key, cause no output and no flow.
func TestBadDatagrams(t *testing.T) {
	c := qt.New(t)
	b := newTestBalancer(c)
	other, err := peer.NewSealer([]byte("another key of 16 bytes")).SealRelay(nil, &balsampier.Relay{
		Kind: balsampier.RelayAccepted, Flow: balsampier.FlowKey{Hi: 1, Lo: 1},
	})
	c.Assert(err, qt.IsNil)
	own, err := peer.NewSealer([]byte(testKey)).SealRelay(nil, &balsampier.Relay{
		Kind: balsampier.RelayNotFound, Flow: balsampier.FlowKey{Hi: 1, Lo: 1}, Payload: []byte("short"),
	})
	c.Assert(err, qt.IsNil)
	b.receivePacket([]byte("short"))
	for _, a := range [][]byte{{1}, other, own} {
		b.handleInput(context.Background(), input{reply: fabric.Datagram{Payload: a, Caller: agentAddr, At: b.options.Clock.Now()}})
	}
	c.Assert(b.popOutputs(c), qt.HasLen, 0)
	c.Assert(b.director.FlowCount(), qt.Equals, 0)
}

// faultyCodec panics on packets of one byte.
type faultyCodec struct{ platform.Codec }

func (f faultyCodec) Decode(b []byte, fromClient bool) (balsampier.Segment, error) {
	if len(b) == 1 {
		panic("unexpected length")
	}
	return f.Codec.Decode(b, fromClient)
}

// TestPanicOnPacket checks that a packet that causes a panic is dropped and that
// the next one is handled.
func TestPanicOnPacket(t *testing.T) {
	c := qt.New(t)
	b := newTestBalancer(c)
	b.options.Codec = faultyCodec{}
	for _, p := range [][]byte{{1}, append([]byte(nil), openingPacket...)} {
		b.handleProtected(context.Background(), input{packet: fabric.Datagram{Payload: p, Caller: agentAddr, At: b.options.Clock.Now()}})
	}
	c.Assert(b.popOutputs(c), qt.HasLen, 1)
}

// TestSlowLookups checks that the balancer notices that lookups have been slow
// for a second, and that they are fast again.
func TestSlowLookups(t *testing.T) {
	c := qt.New(t)
	b := newTestBalancer(c)
	now := b.options.Clock.Now()
	for i := range 2 * maxLookups {
		p := append([]byte(nil), openingPacket...)
		p[8], p[20], p[21] = 32, byte(i), byte(i>>8)
		b.receivePacket(p)
	}
	b.director.Tick(now.Add(time.Second))
	b.director.Tick(now.Add(2 * time.Second))
	b.watchLookups(now.Add(2 * time.Second))
	c.Assert(b.slowLogged, qt.IsFalse)
	b.watchLookups(now.Add(3 * time.Second))
	c.Assert(b.lookups.Load() > maxLookups, qt.IsTrue)
	c.Assert(b.slowLogged, qt.IsTrue)
	for i := range 20 {
		b.director.Tick(now.Add(time.Duration(4+i) * time.Second))
	}
	b.watchLookups(now.Add(30 * time.Second))
	c.Assert(b.slowLogged, qt.IsFalse)
}

// TestReset checks that a packet that opens a flow to an address without a route
// is answered with a reset, sent to the client's address and the port that the
// routers use.
func TestReset(t *testing.T) {
	c := qt.New(t)
	b := newTestBalancer(c)
	p := append([]byte(nil), openingPacket...)
	p[12] = 2
	b.receivePacket(p)
	os := b.popOutputs(c)
	c.Assert(os, qt.HasLen, 1)
	c.Assert(os[0].toClient, qt.IsTrue)
	c.Assert(os[0].to.Addr(), qt.Equals, netip.MustParseAddr("100.64.0.7"))
	d, err := platform.Codec{}.Decode(os[0].data, false)
	c.Assert(err, qt.IsNil)
	c.Assert(d.Reset, qt.IsTrue)
}

func TestDump(t *testing.T) {
	c := qt.New(t)
	b := newTestBalancer(c)
	b.receivePacket(append([]byte(nil), openingPacket...))
	o, err := json.Marshal(b.Dump())
	c.Assert(err, qt.IsNil)
	c.Assert(string(o), qt.Contains, `"program":"balancer"`)
	c.Assert(string(o), qt.Not(qt.Contains), testKey)
	c.Assert(b.Ready(), qt.IsNotNil)
}

// BenchmarkPacket measures the work on a packet of a known flow, without the
// sockets: decoding, directing and sealing.
func BenchmarkPacket(b *testing.B) {
	c := qt.New(b)
	d := newTestBalancer(c)
	d.receivePacket(append([]byte(nil), openingPacket...))
	r, err := peer.NewSealer([]byte(testKey)).OpenRelay(d.popOutputs(c)[0].data)
	c.Assert(err, qt.IsNil)
	d.director.HandleReply(agentAddr, balsampier.Relay{Kind: balsampier.RelayAccepted, Flow: r.Flow}, d.options.Clock.Now())
	p := append(append([]byte(nil), openingPacket...), make([]byte, 900)...)
	p[8], p[24], p[25] = 32, 0x84, 3
	var os [batchSize]output
	b.ReportAllocs()
	for b.Loop() {
		d.receivePacket(p)
		n, err := d.outputs.Pop(context.Background(), os[:])
		if err != nil || n != 1 {
			b.Fatal(n, err)
		}
		buffers.Put(os[0].buf)
	}
}
