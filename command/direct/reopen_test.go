package direct_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
)

// TestRouteChangesWhileOpening checks that a flow that waits for an agent is
// offered by the routes in force. Guards against new flows at the old service.
func TestRouteChangesWhileOpening(t *testing.T) {
	route := func(to balsampier.ServiceName) []balsampier.Route {
		return []balsampier.Route{{Name: "r", To: routeAddr, Targets: []balsampier.Target{{Service: to, Weight: 1}}}}
	}
	tests := []struct {
		name   string
		routes []balsampier.Route
		// offers is the number of agents of reservas that the flow is offered to
		// after the change, others that of galeria.
		offers, others, resets int
	}{
		{"the route stays", route("reservas"), 1, 0, 0},
		{"the route moves to another service", route("galeria"), 0, 1, 0},
		{"the route is gone", nil, 0, 0, 1},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newWorld(qt.New(t), 3)
			w.Assert(relayTargets(w.sendPacket(true), balsampier.RelayOpen), qt.HasLen, 1)
			w.d.AdoptRoutes(balsampier.RouteFile{Version: 2, Routes: v.routes})
			as := w.advanceTime(50 * time.Millisecond)
			offers, others := 0, 0
			for _, a := range relayTargets(as, balsampier.RelayOpen) {
				if a == agentAddr(99) {
					others++
				} else {
					offers++
				}
			}
			w.Assert(offers, qt.Equals, v.offers)
			w.Assert(others, qt.Equals, v.others)
			w.Assert(countResets(as), qt.Equals, v.resets)
		})
	}
}
