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
	b := newBench(&w, 1)
	b.lost(newFleet(largest, b.random))
	c.Assert(b.Err(), qt.IsNil)
	ls := strings.Split(strings.TrimSpace(w.String()), "\n")
	c.Assert(ls, qt.HasLen, 7)
	for _, l := range ls {
		c.Check(strings.HasSuffix(l, " ok=true"), qt.IsTrue, qt.Commentf(l))
	}
}
