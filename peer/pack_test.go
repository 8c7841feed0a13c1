package peer

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
)

// TestPack sends texts in a watch message and reads them back.
func TestPack(t *testing.T) {
	tests := []struct {
		name   string
		text   string
		packed bool
	}{
		{"none", "", false},
		{"short", "route a", false},
		{"long", strings.Repeat("route a to b; ", 1000), true},
	}
	var k packer
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			for range 2 {
				p, err := putWatchMessage(balsampier.WatchMessage{Rules: &balsampier.RulesPart{
					Delta: balsampier.RulesDelta{Insert: v.text},
				}}, &k)
				c.Assert(err, qt.IsNil)
				c.Assert(len(p.GetRules().GetPacked()) > 0, qt.Equals, v.packed)
				m, err := watchMessage(p)
				c.Assert(err, qt.IsNil)
				c.Assert(m.Rules.Delta.Insert, qt.Equals, v.text)
			}
		})
	}
}

// TestUnpackFaults reads what no instance packed.
func TestUnpackFaults(t *testing.T) {
	var k packer
	long, err := k.pack(strings.Repeat("x", maxText+1))
	qt.New(t).Assert(err, qt.IsNil)
	tests := []struct {
		name string
		b    []byte
	}{
		{"no packed text", []byte("text")},
		{"cut short", long[:len(long)/2]},
		{"too long", long},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			_, err := unpack(v.b)
			qt.New(t).Assert(err, qt.IsNotNil)
		})
	}
}
