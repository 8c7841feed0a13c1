package peer_test

import (
	"flag"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/place"
	"github.com/balsampier/balsampier/peer"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func drawAddr(t *rapid.T, n string) netip.AddrPort {
	b := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, n)
	a := netip.AddrFrom16([16]byte(b))
	if rapid.Bool().Draw(t, n+"Short") {
		a = netip.AddrFrom4([4]byte(b[:4]))
	}
	return netip.AddrPortFrom(a.Unmap(), rapid.Uint16().Draw(t, n+"Port"))
}

func drawEnvelope(t *rapid.T) *peer.Envelope {
	return &peer.Envelope{
		ToCaller: rapid.Bool().Draw(t, "toCaller"),
		Service:  balsampier.ServiceName(rapid.StringMatching("[a-z-]{0,20}").Draw(t, "service")),
		Caller:   drawAddr(t, "caller"), ServiceAddr: drawAddr(t, "serviceAddr"), ReplyTo: drawAddr(t, "replyTo"),
		Revision:    balsampier.Revision(rapid.Uint64().Draw(t, "revision")),
		Epoch:       balsampier.Epoch(rapid.Uint64().Draw(t, "epoch")),
		Incarnation: balsampier.Incarnation(rapid.Uint32().Draw(t, "incarnation")),
		Hops:        rapid.IntRange(0, balsampier.MaxHops).Draw(t, "hops"),
		Opening:     rapid.Bool().Draw(t, "opening"), Placed: rapid.Bool().Draw(t, "placed"),
		Flow:    balsampier.FlowKey{Hi: rapid.Uint64().Draw(t, "hi"), Lo: rapid.Uint64().Draw(t, "lo")},
		Payload: rapid.SliceOfN(rapid.Byte(), 1, peer.MaxPayloadBytes).Draw(t, "payload"),
	}
}

func drawLoadReport(t *rapid.T) *peer.LoadReport {
	count := rapid.IntRange(0, 1<<20)
	return &peer.LoadReport{
		Holder: balsampier.Holder{
			Instance: balsampier.InstanceID(rapid.Uint64Min(1).Draw(t, "instance")), Incarnation: balsampier.Incarnation(rapid.Uint32Min(1).Draw(t, "run")),
		},
		Sequence: rapid.Uint64().Draw(t, "sequence"),
		Service:  balsampier.ServiceName(rapid.StringMatching("[a-z-]{0,20}").Draw(t, "reportService")),
		Load: balsampier.Load{
			Running: count.Draw(t, "running"), Queued: count.Draw(t, "queued"),
			Connections: count.Draw(t, "connections"), Slots: count.Draw(t, "slots") + 1,
		},
		ReadyDuration: time.Duration(rapid.Int64Min(0).Draw(t, "ready")),
		Ejected:       rapid.Bool().Draw(t, "ejected"),
	}
}

// TestSealer checks that envelopes and load reports are decoded to what was
// encoded and stay within MaxEnvelopeBytes, and that they are rejected if a byte
// was changed, cut off or added, or if another key was used.
func TestSealer(t *testing.T) {
	s, other := peer.NewSealer([]byte("one key")), peer.NewSealer([]byte("another key"))
	rapid.Check(t, func(t *rapid.T) {
		e := &peer.Envelope{}
		var b []byte
		var err error
		if rapid.Bool().Draw(t, "load") {
			e.Load = drawLoadReport(t)
			b, err = s.SealLoad(nil, e.Load)
		} else {
			e = drawEnvelope(t)
			b, err = s.Seal(nil, e)
		}
		if err != nil || len(b) > peer.MaxEnvelopeBytes {
			t.Fatalf("%d bytes, %v", len(b), err)
		}
		if got, err := s.Open(b); err != nil || !reflect.DeepEqual(got, e) {
			t.Fatalf("got %+v, %v, want %+v", got, err, e)
		}
		at := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		changed := slices.Clone(b)
		changed[at] ^= rapid.ByteRange(1, 255).Draw(t, "change")
		for i, x := range [][]byte{changed, b[:at], append(slices.Clone(b), b[at])} {
			if _, err := s.Open(x); err == nil {
				t.Fatalf("modification %d at byte %d was not detected", i, at)
			}
		}
		if _, err := other.Open(b); balsampier.KindOf(err) != balsampier.KindUnauthenticated {
			t.Fatalf("opened with another key: %v", err)
		}
	})
}

// TestOpenRejectsMalformedEnvelopes checks that an invalid envelope is rejected
// although it was sealed with the right key.
func TestOpenRejectsMalformedEnvelopes(t *testing.T) {
	a := netip.MustParseAddrPort("192.0.2.1:7000")
	good := peer.Envelope{Caller: a, ServiceAddr: a, ReplyTo: a, Payload: []byte{1}}
	tests := []struct {
		name   string
		change func(*peer.Envelope)
	}{
		{"noCaller", func(e *peer.Envelope) { e.Caller = netip.AddrPort{} }},
		{"noServiceAddr", func(e *peer.Envelope) { e.ServiceAddr = netip.AddrPort{} }},
		{"noPayload", func(e *peer.Envelope) { e.Payload = nil }},
		{"payloadTooLarge", func(e *peer.Envelope) { e.Payload = make([]byte, peer.MaxPayloadBytes+1) }},
		{"hops", func(e *peer.Envelope) { e.Hops = balsampier.MaxHops + 1 }},
		{"loadOfNoRun", func(e *peer.Envelope) { e.Load = &peer.LoadReport{Load: balsampier.Load{Slots: 1}} }},
	}
	s := peer.NewSealer([]byte("one key"))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := good
			tt.change(&e)
			b, err := s.Seal(nil, &e)
			if e.Load != nil {
				b, err = s.SealLoad(nil, e.Load)
			}
			qt.Assert(t, err, qt.IsNil)
			_, err = s.Open(b)
			qt.Assert(t, balsampier.KindOf(err), qt.Equals, balsampier.KindInvalid)
		})
	}
}

// BenchmarkLoadReport reports the size of a load report and the bandwidth of an
// agent that sends reports to the maximum number of targets.
func BenchmarkLoadReport(b *testing.B) {
	s := peer.NewSealer([]byte("one key"))
	r := &peer.LoadReport{
		Holder: balsampier.Holder{Instance: ^balsampier.InstanceID(0), Incarnation: ^balsampier.Incarnation(0)}, Sequence: 1 << 32,
		Service: "pleat-status", Load: balsampier.Load{Running: 200, Queued: 500, Connections: 2000, Slots: 200}, ReadyDuration: time.Hour,
	}
	n := 0
	for b.Loop() {
		o, err := s.SealLoad(nil, r)
		if err != nil {
			b.Fatal(err)
		}
		n = len(o)
	}
	b.ReportMetric(float64(n), "bytes/report")
	b.ReportMetric(float64(n*place.MaxReportTargets)/place.ReportInterval.Seconds(), "bytes/s")
}

// BenchmarkSealer measures sealing a packet at the balancer and opening it at
// the agent.
func BenchmarkSealer(b *testing.B) {
	s := peer.NewSealer([]byte("one key"))
	a := netip.MustParseAddrPort("192.0.2.1:7000")
	e := &peer.Envelope{Service: "reservas", Caller: a, ServiceAddr: a, ReplyTo: a, Payload: make([]byte, 1200)}
	o, err := s.Seal(nil, e)
	qt.Assert(b, err, qt.IsNil)
	b.Run("seal", func(b *testing.B) {
		b.ReportAllocs()
		buf := make([]byte, 0, peer.MaxEnvelopeBytes)
		for b.Loop() {
			_, _ = s.Seal(buf, e)
		}
	})
	b.Run("open", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = s.Open(o)
		}
	})
}
