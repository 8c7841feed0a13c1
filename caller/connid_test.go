package caller_test

import (
	"flag"
	"net/netip"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/caller"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

// TestIDCodec checks that Decode returns the encoded holder, that consecutive IDs
// differ, and that IDs of another key, of another length or with a changed byte
// are rejected.
func TestIDCodec(t *testing.T) {
	one, err := caller.NewIDCodec([]byte("one key"))
	qt.Assert(t, err, qt.IsNil)
	other, err := caller.NewIDCodec([]byte("another key"))
	qt.Assert(t, err, qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		h := balsampier.Holder{
			Instance: balsampier.InstanceID(rapid.Uint64Min(1).Draw(t, "instance")), Incarnation: balsampier.Incarnation(rapid.Uint32Min(1).Draw(t, "run")),
		}
		n := rapid.Uint32().Draw(t, "number")
		id := one.Encode(h, n)
		if got, ok := one.Decode(id[:]); !ok || got != h {
			t.Fatalf("got %v, %t, want %v", got, ok, h)
		}
		if next := one.Encode(h, n+1); next == id {
			t.Fatalf("numbers %d and %d have the same ID", n, n+1)
		}
		if _, ok := other.Decode(id[:]); ok {
			t.Fatal("Decode accepted an ID of another key")
		}
		changed := id
		changed[rapid.IntRange(0, len(id)-1).Draw(t, "at")] ^= rapid.ByteRange(1, 255).Draw(t, "change")
		if _, ok := one.Decode(changed[:]); ok {
			t.Fatal("Decode accepted an ID with a changed byte")
		}
		if _, ok := one.Decode(id[:rapid.IntRange(0, len(id)-1).Draw(t, "length")]); ok {
			t.Fatal("Decode accepted a shortened ID")
		}
	})
}

// TestReadPacket checks that ReadPacket accepts arbitrary bytes without a panic,
// and that only long headers with an ID that no agent issued open flows.
func TestReadPacket(t *testing.T) {
	codec, err := caller.NewIDCodec([]byte("one key"))
	qt.Assert(t, err, qt.IsNil)
	a := netip.MustParseAddrPort("192.0.2.1:7000")
	h := balsampier.Holder{Instance: 5, Incarnation: 6}
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, "bytes")
		p, ok := codec.ReadPacket(b, a, a, time.Time{})
		if ok && p.Opening && b[0]&0x80 == 0 {
			t.Fatal("a packet with a short header opens a flow")
		}
		id := codec.Encode(h, 1)
		long := append([]byte{0xc0, 0, 0, 0, 1, byte(len(id))}, id[:]...)
		for _, v := range [][]byte{append([]byte{0x40}, id[:]...), long} {
			p, ok := codec.ReadPacket(append(v, b...), a, a, time.Time{})
			if !ok || p.Opening || p.Holder != h {
				t.Fatalf("ID of an agent in %x: %+v, %t", v, p, ok)
			}
		}
		foreign := append([]byte{0xc0, 0, 0, 0, 1, 8}, id[:8]...)
		if p, ok := codec.ReadPacket(append(foreign, b...), a, a, time.Time{}); !ok || !p.Opening || !p.Holder.IsZero() {
			t.Fatalf("ID of a caller: %+v, %t", p, ok)
		}
	})
}
