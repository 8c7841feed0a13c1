package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/place"
	"github.com/balsampier/balsampier/query/loadview"
)

// TestShareOfColdServers checks that cold servers receive flows in proportion
// to the time since they became ready. Two servers that started a second apart
// must not receive equal shares until both are warm.
func TestShareOfColdServers(t *testing.T) {
	now := time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)
	tests := []struct {
		name string
		// firstAge and secondAge are the times since the servers became ready.
		firstAge, secondAge time.Duration
		// minFlows and maxFlows bound the number of flows on the first server.
		minFlows, maxFlows int
	}{
		{"both warm", 10 * time.Second, 11 * time.Second, 99, 101},
		{"started together", 4 * time.Second, 4 * time.Second, 99, 101},
		{"started 4 and 5 s ago", 4 * time.Second, 5 * time.Second, 88, 90},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			l := loadview.New()
			l.RecordAgentLoad(1, balsampier.Load{Slots: 5, ReadySince: now.Add(-v.firstAge), At: now})
			l.RecordAgentLoad(2, balsampier.Load{Slots: 5, ReadySince: now.Add(-v.secondAge), At: now})
			c := place.NewChooser(place.DefaultSettings(), l)
			ms := []balsampier.Member{{ID: 1, Slots: 5}, {ID: 2, Slots: 5}}
			x, n := rand.New(rand.NewPCG(1, 1)), 0
			for range 200 {
				m, ok := c.Choose(ms, now, x)
				qt.Assert(t, ok, qt.IsTrue)
				l.RecordPlacement(m.ID, now)
				if m.ID == 1 {
					n++
				}
			}
			qt.Assert(t, n >= v.minFlows && n <= v.maxFlows, qt.IsTrue, qt.Commentf("%d", n))
		})
	}
}
