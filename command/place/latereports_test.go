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

// TestLateReports opens 200 flows at once at two agents, each of which places
// half of them by its own load and the reports of the other. Reports and
// handshakes take long, as on busy machines. Neither agent may get more than 1.1
// times the mean.
func TestLateReports(t *testing.T) {
	const flows = 200
	for _, p := range []struct {
		name string
		// burst is the time over which the flows are opened.
		burst, reportDelay, handshake time.Duration
	}{
		{name: "within one report interval", burst: 50 * time.Millisecond, reportDelay: time.Millisecond, handshake: 3 * time.Millisecond},
		{name: "one report during the burst", burst: 200 * time.Millisecond, reportDelay: time.Millisecond, handshake: 3 * time.Millisecond},
		{name: "late reports", burst: 600 * time.Millisecond, reportDelay: 400 * time.Millisecond, handshake: 3 * time.Millisecond},
		{name: "long handshakes", burst: 600 * time.Millisecond, reportDelay: time.Millisecond, handshake: 500 * time.Millisecond},
		{name: "late reports and long handshakes", burst: time.Second, reportDelay: 400 * time.Millisecond, handshake: 500 * time.Millisecond},
	} {
		t.Run(p.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(20) {
				got := placeBurst(seed, flows, p.burst, p.reportDelay, p.handshake)
				c.Check(max(got[0], got[1]) <= flows*11/20, qt.IsTrue, qt.Commentf("seed %d: %v", seed, got))
			}
		})
	}
}

// placeBurst returns how many flows each of two agents gets.
func placeBurst(seed uint64, flows int, burst, reportDelay, handshake time.Duration) [2]int {
	type report struct {
		at   time.Time
		from int
		load balsampier.Load
	}
	var (
		x       = rand.New(rand.NewPCG(seed, 1))
		v       = balsampier.View{Epoch: 1}
		first   = time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)
		placers [2]*place.HintedPlacer
		loads   [2]*loadview.View
		reports []report
		// openAt holds when the handshake of each flow completes, by agent.
		openAt [2][]time.Time
		got    [2]int
	)
	for i := range 2 {
		v.Members = append(v.Members, balsampier.Member{
			ID: balsampier.InstanceID(i + 1), Incarnation: 1, Role: balsampier.RoleAgent, Service: "reservas", Slots: 5,
		})
	}
	for i := range placers {
		loads[i] = loadview.New()
		placers[i] = place.NewHintedPlacer(v.Members[i].Holder(), loads[i], x)
		placers[i].Adopt(v, "reservas", false)
		for _, m := range v.Members {
			loads[i].RecordAgentLoad(m.ID, balsampier.Load{Slots: 5, At: first.Add(-time.Millisecond)})
		}
	}
	for d := time.Duration(0); d < burst; d += time.Millisecond {
		t := first.Add(d)
		for i := range openAt {
			// The agents report at different moments.
			if (d+time.Duration(i)*100*time.Millisecond)%place.ReportInterval != 0 {
				continue
			}
			n := 0
			for _, o := range openAt[i] {
				if !o.After(t) {
					n++
				}
			}
			l := balsampier.Load{Connections: n, Slots: 5, At: t}
			loads[i].RecordAgentLoad(v.Members[i].ID, l)
			reports = append(reports, report{at: t.Add(reportDelay), from: i, load: l})
		}
		for len(reports) > 0 && !reports[0].at.After(t) {
			r := reports[0]
			reports = reports[1:]
			r.load.At = t
			loads[1-r.from].RecordAgentLoad(v.Members[r.from].ID, r.load)
		}
		for k := int(d) * flows / int(burst); k < int(d+time.Millisecond)*flows/int(burst); k++ {
			home := k % 2
			to := home
			if y := placers[home].Place(balsampier.Packet{
				Flow: balsampier.FlowKey{Hi: x.Uint64(), Lo: x.Uint64()}, Opening: true, At: t,
			}, false); !y.Deliver {
				to = 1 - home
			}
			got[to]++
			openAt[to] = append(openAt[to], t.Add(handshake))
		}
	}
	return got
}
