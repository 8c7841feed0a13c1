package claim_test

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/balsampier/balsampier/bench/requests"
)

// rapidSource draws random numbers from a rapid test.
type rapidSource struct{ t *rapid.T }

func (d rapidSource) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "n") }

// TestMain sets a fixed seed; a seed on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

// TestAtMostOnceUnderFaults runs a fleet with random faults. No keyed request
// may run twice, and the fleet must serve keyed requests again once the faults
// are healed.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := requests.NewFleet(rapidSource{t})
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			f.Step()
			if len(f.Violations) > 0 {
				t.Fatal(f.Violations)
			}
		}
		if !f.ServesAfterHeal() {
			t.Fatalf("healed fleet serves no keyed request: %+v", f.Stats)
		}
		if len(f.Violations) > 0 {
			t.Fatal(f.Violations)
		}
	})
}
