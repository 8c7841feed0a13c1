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

// TestMain sets a fixed seed; a seed on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

// TestEject checks that load reports never eject a server, that at most a third
// of the servers is ejected, and that every server is reinstated once it serves
// requests again.
func TestEject(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "servers")
		at := time.Date(2027, 3, 1, 12, 0, 0, 0, time.UTC)
		e, v := eject.New(eject.DefaultSettings()), loadview.New()
		failingServers := make([]bool, n)
		serve := func(i int) {
			id := balsampier.InstanceID(i + 1)
			if e.Allows(id, v.Observed(id)) {
				v.BeginRequest(id)
				v.RecordOutcome(id, time.Millisecond, failingServers[i])
			}
			before := e.State(id)
			s := e.Observe(id, v.Observed(id), n, at)
			if before == eject.StateActive && s == eject.StateEjected && !failingServers[i] {
				t.Fatalf("server %d was ejected although it served its requests", i)
			}
		}
		index := rapid.IntRange(0, n-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				inactive := 0
				for i := range n {
					if e.State(balsampier.InstanceID(i+1)) != eject.StateActive {
						inactive++
					}
				}
				if inactive > n/eject.MaxEjectedDivisor {
					t.Fatalf("%d of %d servers are inactive", inactive, n)
				}
			},
			"turn":  func(t *rapid.T) { i := index.Draw(t, "server"); failingServers[i] = !failingServers[i] },
			"serve": func(t *rapid.T) { i := index.Draw(t, "server"); serve(i); serve(i); serve(i) },
			"claim": func(t *rapid.T) {
				v.RecordServerLoad(balsampier.InstanceID(index.Draw(t, "server")+1), balsampier.Load{Running: 1 << 20, At: at})
			},
			"wait": func(*rapid.T) { at = at.Add(time.Second) },
		})
		for i := range n {
			failingServers[i] = false
		}
		for range 10 {
			at = at.Add(time.Minute)
			for i := range n {
				serve(i)
			}
		}
		for i := range n {
			if s := e.State(balsampier.InstanceID(i + 1)); s != eject.StateActive {
				t.Fatalf("server %d serves requests but is in state %d", i, s)
			}
		}
	})
}

// TestSetRemoteState checks that servers ejected by other instances count
// towards the limit, and no longer once they are reinstated or removed.
func TestSetRemoteState(t *testing.T) {
	at := time.Date(2027, 3, 1, 12, 0, 0, 0, time.UTC)
	failing := loadview.Observation{ConsecutiveFailures: 100, Failed: 100}
	all := func(balsampier.InstanceID) bool { return true }
	tests := []struct {
		name            string
		n               int
		ejectedRemotely map[balsampier.InstanceID]bool
		alive           func(balsampier.InstanceID) bool
		want            eject.State
	}{
		{"two", 2, nil, all, eject.StateActive},
		{"three", 3, nil, all, eject.StateEjected},
		{"threeOneAway", 3, map[balsampier.InstanceID]bool{2: true}, all, eject.StateActive},
		{"threeOneBack", 3, map[balsampier.InstanceID]bool{2: false}, all, eject.StateEjected},
		{"threeOneGone", 3, map[balsampier.InstanceID]bool{2: true}, func(i balsampier.InstanceID) bool { return i != 2 }, eject.StateEjected},
		{"sixOneAway", 6, map[balsampier.InstanceID]bool{2: true, 3: false}, all, eject.StateEjected},
		{"sixTwoAway", 6, map[balsampier.InstanceID]bool{2: true, 3: true}, all, eject.StateActive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := eject.New(eject.DefaultSettings())
			for i, isEjected := range tt.ejectedRemotely {
				e.SetRemoteState(i, isEjected)
			}
			e.RetainAlive(tt.alive)
			if got := e.Observe(1, failing, tt.n, at); got != tt.want {
				t.Fatalf("got %d, want %d", got, tt.want)
			}
		})
	}
}
