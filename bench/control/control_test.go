package control

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDataCentreLost holds the removal of a data centre's members against the
// bounds at the largest size.
func TestDataCentreLost(t *testing.T) {
	c := qt.New(t)
	var w bytes.Buffer
	b := &bench{w: &w, random: newRandom(1), points: make(map[string][]point)}
	b.lost(newFleet(largest, b.random))
	c.Assert(b.err, qt.IsNil)
	ls := strings.Split(strings.TrimSpace(w.String()), "\n")
	c.Assert(ls, qt.HasLen, 7)
	for _, l := range ls {
		c.Check(strings.HasSuffix(l, " ok=true"), qt.IsTrue, qt.Commentf(l))
	}
}

func TestFit(t *testing.T) {
	tests := []struct {
		points      []point
		slope, base float64
	}{
		{[]point{{0, 1}, {1, 3}, {2, 5}}, 2, 1},
		{[]point{{1, 4}, {2, 4}, {3, 4}}, 0, 4},
	}
	for _, tt := range tests {
		s, k := fit(tt.points)
		qt.Check(t, s, qt.Equals, tt.slope)
		qt.Check(t, k, qt.Equals, tt.base)
	}
}
