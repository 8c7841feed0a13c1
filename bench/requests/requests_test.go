package requests

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestMeasuresKeepTheirBounds simulates faults and floods and fails if a
// measure misses its bound.
func TestMeasuresKeepTheirBounds(t *testing.T) {
	tests := []struct {
		name     string
		measures func() []Measure
	}{
		{"claims", func() []Measure { return MeasureClaims(1, 50) }},
		{"floods", func() []Measure { return measureFloodsAt(policies[0], serverSteady, floods, 1, 1, true) }},
		{"floodsAtSheddingServer", func() []Measure { return measureFloodsAt(policies[0], serverShedding, floods, 1, 1, true) }},
		{"floodsAtColdServer", func() []Measure { return measureFloodsAt(policies[0], serverCold, floods[4:], 1, 1, true) }},
		{"floodsAtSlowServer", func() []Measure { return measureFloodsAt(policies[0], serverSlow, floods[4:], 1, 1, true) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			for _, m := range tt.measures() {
				c.Check(m.OK(), qt.IsTrue, qt.Commentf("%s", m))
			}
		})
	}
}

// TestBoundsCanFail checks that the flood measures can fail: each baseline must
// miss at least one bound.
func TestBoundsCanFail(t *testing.T) {
	for _, p := range policies[1:] {
		t.Run(p.name, func(t *testing.T) {
			failed := 0
			for _, m := range measureFloodsAt(p, serverSteady, floods[:1], 1, 1, true) {
				if !m.OK() {
					failed++
				}
			}
			qt.New(t).Assert(failed > 0, qt.IsTrue)
		})
	}
}

func TestKeepWorst(t *testing.T) {
	a, b := 0.9, 5.0
	tests := []struct {
		name string
		in   []Measure
		want Measure
	}{
		{
			"atLeast",
			[]Measure{{Name: "flood/p/s/normal/x/share", Value: 0.99, Bound: &a}, {Name: "flood/p/s/both/x/share", Value: 0.8, Bound: &a}},
			Measure{Name: "flood/p/s/share", Flood: "both/x", Value: 0.8, Bound: &a},
		},
		{
			"atMost",
			[]Measure{{Name: "flood/p/s/normal/x/running", Value: 6, Bound: &b, AtMost: true}, {Name: "flood/p/s/both/x/running", Value: 5, Bound: &b, AtMost: true}},
			Measure{Name: "flood/p/s/running", Flood: "normal/x", Value: 6, Bound: &b, AtMost: true},
		},
	}
	for _, tt := range tests {
		qt.Check(t, keepWorst(tt.in), qt.DeepEquals, []Measure{tt.want}, qt.Commentf(tt.name))
	}
}
