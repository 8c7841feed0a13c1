package measure

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFit(t *testing.T) {
	tests := []struct {
		points           []Point
		slope, intercept float64
	}{
		{[]Point{{0, 1}, {1, 3}, {2, 5}}, 2, 1},
		{[]Point{{1, 4}, {2, 4}, {3, 4}}, 0, 4},
	}
	for _, tt := range tests {
		s, i := Fit(tt.points)
		qt.Check(t, s, qt.Equals, tt.slope)
		qt.Check(t, i, qt.Equals, tt.intercept)
	}
}

func TestReport(t *testing.T) {
	c := qt.New(t)
	var w bytes.Buffer
	r := New(&w)
	r.AtMost("kept", 1, 1)
	r.AtMost("exceeded", 2, 1)
	r.AtLeast("belowBound", 1, 2)
	r.Figure("ok=false", 1)
	for i := range 3 {
		r.Sized("size", i, float64(2*i+1))
	}
	r.PrintSlopes("Agent")
	_, err := fmt.Fprint(r, "measure=passed value=3 bound=2 ", "ok=false\nother line\n")
	c.Assert(err, qt.IsNil)
	c.Assert(r.Err(), qt.IsNil)
	c.Assert(r.Missed(), qt.DeepEquals, []string{"exceeded", "belowBound", "passed"})
	c.Assert(w.String(), qt.Equals, `measure=kept value=1 bound=1 ok=true
measure=exceeded value=2 bound=1 ok=false
measure=belowBound value=1 bound=2 ok=false
measure=ok=false value=1
measure=size.0 value=1
measure=size.1 value=3
measure=size.2 value=5
measure=size.perAgent value=2 intercept=1
measure=passed value=3 bound=2 ok=false
other line
`)
}
