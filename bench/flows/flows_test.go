package flows_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier/bench/flows"
)

// TestSimulate checks that the simulated measures are within their bounds, and
// that a second run with the same seed gives the same values.
func TestSimulate(t *testing.T) {
	c := qt.New(t)
	var a, b bytes.Buffer
	c.Assert(flows.Simulate(&a, 1), qt.IsNil)
	c.Assert(flows.Simulate(&b, 1), qt.IsNil)
	c.Assert(a.String(), qt.Equals, b.String())
	ls := strings.Split(strings.TrimSpace(a.String()), "\n")
	bounded := 0
	for _, l := range ls {
		c.Check(l, qt.Not(qt.Contains), "ok=false")
		if strings.Contains(l, " bound=") {
			bounded++
		}
	}
	c.Assert(bounded, qt.Equals, 6)
}
