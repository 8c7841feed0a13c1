package claim_test

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/balsampier/balsampier/bench/requests"
)

type drawn struct{ t *rapid.T }

func (d drawn) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "n") }

// TestMain fixes the seed; one given on the command line wins.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := requests.NewFleet(drawn{t})
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			f.Step()
			if len(f.Faults) > 0 {
				t.Fatal(f.Faults)
			}
		}
		if !f.Serves() {
			t.Fatalf("healed fleet serves no keyed request: %+v", f.Stats)
		}
		if len(f.Faults) > 0 {
			t.Fatal(f.Faults)
		}
	})
}
