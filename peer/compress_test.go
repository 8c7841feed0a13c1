package peer

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
)

// TestCompress encodes texts in a watch message and decodes them. In the second
// round, a long text comes from the cache.
func TestCompress(t *testing.T) {
	tests := []struct {
		name       string
		text       string
		compressed bool
	}{
		{"none", "", false},
		{"short", "route a", false},
		{"long", strings.Repeat("route a to b; ", 1000), true},
	}
	var k textCompressor
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			for range 2 {
				p, err := encodeWatchMessage(balsampier.WatchMessage{Rules: &balsampier.RulesPart{
					Delta: balsampier.RulesDelta{Insert: v.text},
				}}, &k)
				c.Assert(err, qt.IsNil)
				c.Assert(len(p.GetRules().GetPacked()) > 0, qt.Equals, v.compressed)
				m, err := decodeWatchMessage(p)
				c.Assert(err, qt.IsNil)
				c.Assert(m.Rules.Delta.Insert, qt.Equals, v.text)
			}
		})
	}
}

// TestDecompressErrors checks that invalid, truncated and oversized data is
// rejected.
func TestDecompressErrors(t *testing.T) {
	var k textCompressor
	long, err := k.compress(strings.Repeat("x", maxTextBytes+1))
	qt.New(t).Assert(err, qt.IsNil)
	tests := []struct {
		name string
		b    []byte
	}{
		{"not compressed", []byte("text")},
		{"truncated data", long[:len(long)/2]},
		{"too long", long},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			_, err := decompress(v.b)
			qt.New(t).Assert(err, qt.IsNotNil)
		})
	}
}
