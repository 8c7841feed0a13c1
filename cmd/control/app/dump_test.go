package app

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/peer"
)

const (
	testKey      = "0123456789abcdef0123456789abcdef"
	maxDumpBytes = 128 << 10
)

// fixedRandom is a random source that always returns the same number.
type fixedRandom struct{}

func (fixedRandom) Uint64() uint64 { return 42 }

func newTestControl(c *qt.C) *Control {
	s := Settings{DataFolder: c.TempDir(), Instances: []Instance{{Name: "control-1"}, {Name: "control-2"}}}
	s.Name = "control-1"
	s.SetDefaults()
	t, err := New(s, clock.NewFake(time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)), fixedRandom{}, peer.NewKey([]byte(testKey)))
	c.Assert(err, qt.IsNil)
	return t
}

func TestDump(t *testing.T) {
	c := qt.New(t)
	d := newTestControl(c)
	d.published.Store(&publishedState{
		rules: balsampier.RuleFile{Revision: 7, Text: "rule"}, applied: 9,
		view: balsampier.View{Epoch: 3, Members: []balsampier.Member{{
			ID: 1, Name: "balancer-1", Role: balsampier.RoleBalancer, Incarnation: 5, Addr: netip.MustParseAddrPort("192.0.2.1:7000"),
		}}},
	})
	b, err := json.MarshalIndent(d.Dump(), "", "  ")
	c.Assert(err, qt.IsNil)
	c.Assert(string(b), qt.Not(qt.Contains), testKey)
	goldie.New(t).Assert(t, "dump", b)
}

func TestDumpIsBounded(t *testing.T) {
	c := qt.New(t)
	d := newTestControl(c)
	v := balsampier.View{Epoch: 1}
	for i := range 13_000 {
		v.Members = append(v.Members, balsampier.Member{
			ID: balsampier.InstanceID(i + 1), Name: fmt.Sprintf("bench-%d", i), Role: balsampier.RoleAgent,
			Service: "reservas", Addr: netip.MustParseAddrPort("192.0.2.1:7000"),
		})
	}
	d.published.Store(&publishedState{view: v})
	b, err := json.MarshalIndent(d.Dump(), "", "  ")
	c.Assert(err, qt.IsNil)
	c.Assert(len(b) < maxDumpBytes, qt.IsTrue, qt.Commentf("%d bytes", len(b)))
}
