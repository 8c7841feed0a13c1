package datagram

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/control"
	"github.com/balsampier/balsampier/ring"
)

type (
	// Dump is the state of an agent, as shown to operators.
	Dump struct {
		Program    string                  `json:"program"`
		Name       string                  `json:"name"`
		DataCentre balsampier.DataCentre   `json:"dataCentre"`
		Service    balsampier.ServiceName  `json:"service"`
		Server     *balsampier.ServerState `json:"server"`
		Control    control.Status          `json:"control"`
		Stopping   bool                    `json:"stopping"`
		Flows      int                     `json:"flows"`
		Running    int                     `json:"running"`
		Relays     uint64                  `json:"relays"`
		Packets    uint64                  `json:"packets"`
		Rings      []ring.Stats            `json:"rings"`
	}

	counters struct{ relays, packets *metrics.Counter }
)

// Dump returns the state of the agent.
func (a *Agent) Dump() any {
	l := a.load.Load()
	return Dump{
		Program: "agent", Name: a.options.Name, DataCentre: a.options.DataCentre, Service: a.options.Service, Server: a.server.Load(),
		Control: a.session.Status(), Stopping: a.stopping.Load(), Flows: l.Connections, Running: l.Running,
		Relays: a.counters.relays.Get(), Packets: a.counters.packets.Get(),
		Rings: []ring.Stats{a.inputs.Stats(), a.outputs.Stats()},
	}
}

func newCounters() counters {
	return counters{
		relays:  metrics.GetOrCreateCounter("balsampier_agent_relays_total"),
		packets: metrics.GetOrCreateCounter("balsampier_agent_server_packets_total"),
	}
}

func (counters) countDropped(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_agent_dropped_packets_total{reason=%q}", reason)).Inc()
}

func (counters) countEvent(e string, r balsampier.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_agent_flow_events_total{event=%q,reason=%q}", e, r.String())).Inc()
}
