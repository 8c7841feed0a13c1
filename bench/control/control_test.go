package control

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDataCentreLost guards against a removal of a data centre's members that
// takes more time, bytes or batches than the bounds allow at the largest size.
func TestDataCentreLost(t *testing.T) {
	c := qt.New(t)
	var w bytes.Buffer
	b := newBench(&w, 1)
	b.measureDataCentreLoss(newFleet(maxAgents, b.random))
	c.Assert(b.Err(), qt.IsNil)
	ls := strings.Split(strings.TrimSpace(w.String()), "\n")
	c.Assert(ls, qt.HasLen, 7)
	for _, l := range ls {
		c.Check(strings.HasSuffix(l, " ok=true"), qt.IsTrue, qt.Commentf(l))
	}
}
