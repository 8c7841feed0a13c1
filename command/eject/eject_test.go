package eject_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/eject"
	"github.com/balsampier/balsampier/query/loadview"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

// TestEject checks that claims eject nobody, that at most a third is out, and
// that every server comes back once it serves.
func TestEject(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "servers")
		at := time.Date(2027, 3, 1, 12, 0, 0, 0, time.UTC)
		e, v := eject.New(eject.DefaultSettings()), loadview.New()
		bad := make([]bool, n)
		serve := func(i int) {
			id := balsampier.InstanceID(i + 1)
			if e.Allows(id, v.Observed(id)) {
				v.BeginRequest(id)
				v.RecordOutcome(id, time.Millisecond, bad[i])
			}
			before := e.State(id)
			s := e.Observe(id, v.Observed(id), n, at)
			if before == eject.In && s == eject.Out && !bad[i] {
				t.Fatalf("server %d was ejected while it served", i)
			}
		}
		index := rapid.IntRange(0, n-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				out := 0
				for i := range n {
					if e.State(balsampier.InstanceID(i+1)) != eject.In {
						out++
					}
				}
				if out > n/eject.MaxPart {
					t.Fatalf("%d of %d servers are out", out, n)
				}
			},
			"turn":  func(t *rapid.T) { i := index.Draw(t, "server"); bad[i] = !bad[i] },
			"serve": func(t *rapid.T) { i := index.Draw(t, "server"); serve(i); serve(i); serve(i) },
			"claim": func(t *rapid.T) {
				v.RecordServerLoad(balsampier.InstanceID(index.Draw(t, "server")+1), balsampier.Load{Running: 1 << 20, At: at})
			},
			"wait": func(*rapid.T) { at = at.Add(time.Second) },
		})
		for i := range n {
			bad[i] = false
		}
		for range 10 {
			at = at.Add(time.Minute)
			for i := range n {
				serve(i)
			}
		}
		for i := range n {
			if s := e.State(balsampier.InstanceID(i + 1)); s != eject.In {
				t.Fatalf("server %d serves and is in state %d", i, s)
			}
		}
	})
}

// TestLearn checks that servers that other instances keep away count towards
// the bound, and no more once they are back or gone.
func TestLearn(t *testing.T) {
	at := time.Date(2027, 3, 1, 12, 0, 0, 0, time.UTC)
	failing := loadview.Observation{ConsecutiveFailures: 100, Failed: 100}
	all := func(balsampier.InstanceID) bool { return true }
	tests := []struct {
		name  string
		n     int
		learn map[balsampier.InstanceID]bool
		alive func(balsampier.InstanceID) bool
		want  eject.State
	}{
		{"two", 2, nil, all, eject.In},
		{"three", 3, nil, all, eject.Out},
		{"threeOneAway", 3, map[balsampier.InstanceID]bool{2: true}, all, eject.In},
		{"threeOneBack", 3, map[balsampier.InstanceID]bool{2: false}, all, eject.Out},
		{"threeOneGone", 3, map[balsampier.InstanceID]bool{2: true}, func(i balsampier.InstanceID) bool { return i != 2 }, eject.Out},
		{"sixOneAway", 6, map[balsampier.InstanceID]bool{2: true, 3: false}, all, eject.Out},
		{"sixTwoAway", 6, map[balsampier.InstanceID]bool{2: true, 3: true}, all, eject.In},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := eject.New(eject.DefaultSettings())
			for i, away := range tt.learn {
				e.Learn(i, away)
			}
			e.Forget(tt.alive)
			if got := e.Observe(1, failing, tt.n, at); got != tt.want {
				t.Fatalf("got %d, want %d", got, tt.want)
			}
		})
	}
}
