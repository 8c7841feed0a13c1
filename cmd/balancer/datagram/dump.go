package datagram

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/control"
	"github.com/balsampier/balsampier/query/members"
	"github.com/balsampier/balsampier/ring"
)

type (
	// Dump is the state that an operator sees of a balancer.
	Dump struct {
		Program    string                `json:"program"`
		Name       string                `json:"name"`
		DataCentre balsampier.DataCentre `json:"dataCentre"`
		Revision   balsampier.Revision   `json:"revision"`
		Epoch      balsampier.Epoch      `json:"epoch"`
		Control    control.Status        `json:"control"`
		Draining   bool                  `json:"draining"`
		Members    members.Summary       `json:"members"`
		Flows      int64                 `json:"flows"`
		// Lookups is how many flows wait for a search, and ReplyTimeout the
		// time-out for replies of agents.
		Lookups      int64         `json:"lookups"`
		ReplyTimeout time.Duration `json:"replyTimeout"`
		Packets      uint64        `json:"packets"`
		Rings        []ring.Stats  `json:"rings"`
	}

	counters struct{ packets *metrics.Counter }
)

// Dump returns the state of the balancer, of type Dump, for operators.
func (b *Balancer) Dump() any {
	s := b.session.State()
	return Dump{
		Program: "balancer", Name: b.options.Name, DataCentre: b.options.DataCentre, Revision: s.Rules.Revision, Epoch: s.View.Epoch,
		Control: b.session.Status(), Draining: b.draining.Load(), Members: members.Summarize(s.View),
		Flows: b.flows.Load(), Lookups: b.lookups.Load(), ReplyTimeout: time.Duration(b.replyTimeout.Load()), Packets: b.counters.packets.Get(), Rings: []ring.Stats{b.inputs.Stats(), b.outputs.Stats()},
	}
}

// exportMetrics exports the state of the flows as gauges.
func (b *Balancer) exportMetrics() {
	metrics.GetOrCreateGauge("balsampier_balancer_flows", func() float64 { return float64(b.flows.Load()) })
	metrics.GetOrCreateGauge("balsampier_balancer_waiting_lookups", func() float64 { return float64(b.lookups.Load()) })
	metrics.GetOrCreateGauge("balsampier_balancer_reply_timeout_seconds", func() float64 {
		return time.Duration(b.replyTimeout.Load()).Seconds()
	})
}

func newCounters() counters {
	return counters{packets: metrics.GetOrCreateCounter("balsampier_balancer_client_packets_total")}
}

func (counters) countDrop(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_balancer_dropped_packets_total{reason=%q}", reason)).Inc()
}

func (counters) countEvent(e string, r balsampier.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_balancer_flow_events_total{event=%q,reason=%q}", e, r.String())).Inc()
}
