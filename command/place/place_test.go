package place_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/place"
	"github.com/balsampier/balsampier/command/register"
	"github.com/balsampier/balsampier/query/inforce"
	"github.com/balsampier/balsampier/query/steer"
)

// TestWindow checks that a home places no new flows shortly after a window
// begins or ends, because holders may still be registering their flows by it.
func TestWindow(t *testing.T) {
	day := time.Date(2027, 3, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name    string
		at      time.Duration
		action  balsampier.Action
		reason  balsampier.Reason
		deliver bool
	}{
		{"before", 7 * time.Hour, balsampier.ActionRefuse, balsampier.ReasonNoRule, false},
		{"started", 8*time.Hour + place.WindowGuardInterval/2, balsampier.ActionWait, balsampier.ReasonUnsettled, false},
		{"steady", 8*time.Hour + place.WindowGuardInterval, balsampier.ActionForward, balsampier.ReasonNone, true},
		{"ended", 20 * time.Hour, balsampier.ActionRefuse, balsampier.ReasonNoRule, false},
	}
	m := balsampier.Member{
		ID: 1, Name: "reservas1", Role: balsampier.RoleAgent, Incarnation: 1, Addr: addr(1), Service: "reservas", Slots: 5,
	}
	r, err := inforce.Compile(1, []balsampier.Rule{{
		Service: "reservas", To: addr(100), From: []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0")}, Zone: "UTC",
		Windows: []balsampier.Window{{Days: 0x7f, Start: 8 * time.Hour, End: 20 * time.Hour}},
	}}, []balsampier.ZoneTable{{Zone: "UTC", Transitions: []balsampier.Transition{{At: day}}}})
	qt.Assert(t, err, qt.IsNil)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := place.New(m, place.NewChooser(place.DefaultSettings(), noLoads{}),
				register.NewDirectory(m.Holder(), register.DefaultSettings()), register.NewRegistrar(m.Holder()))
			b := steer.New(r, balsampier.View{Epoch: 1, Members: []balsampier.Member{m}})
			p.Adopt(b, func(balsampier.FlowKey) []balsampier.Holder { return nil })
			p.MarkSettled(1)
			p.SetLeaseExpiry(day.Add(24 * time.Hour))
			d := p.Decide(place.Arrival{Packet: balsampier.Packet{
				Caller: addr(2), ServiceAddr: addr(100), Opening: true, Flow: balsampier.FlowKey{Hi: 1},
			}}, day.Add(tt.at), rand.New(rand.NewPCG(1, 1)))
			qt.Check(t, d.Verdict.Action, qt.Equals, tt.action)
			qt.Check(t, d.Verdict.Reason, qt.Equals, tt.reason)
			qt.Check(t, d.Deliver, qt.Equals, tt.deliver)
		})
	}
}
