package app

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/control"
	"github.com/balsampier/balsampier/query/members"
	"github.com/balsampier/balsampier/ring"
)

type (
	// Dump is the state that an operator sees of a balancer.
	Dump struct {
		Program     string                 `json:"program"`
		Name        string                 `json:"name"`
		DataCentre  balsampier.DataCentre  `json:"dataCentre"`
		Incarnation balsampier.Incarnation `json:"incarnation"`
		Revision    balsampier.Revision    `json:"revision"`
		Epoch       balsampier.Epoch       `json:"epoch"`
		Control     control.Status         `json:"control"`
		Draining    bool                   `json:"draining"`
		Services    []string               `json:"services"`
		Members     members.Summary        `json:"members"`
		Forwarded   uint64                 `json:"forwarded"`
		Answered    uint64                 `json:"answered"`
		Rings       []ring.Stats           `json:"rings"`
	}

	counters struct {
		forwarded, answered *metrics.Counter
	}
)

// Dump returns the state of the balancer, of type Dump, for operators.
func (b *Balancer) Dump() any {
	s := b.session.State()
	d := Dump{
		Program: "balancer", Name: b.settings.Name, DataCentre: b.settings.DataCentre, Incarnation: b.member.Incarnation,
		Revision: s.Rules.Revision, Epoch: s.View.Epoch, Control: b.session.Status(),
		Draining: b.draining.Load(), Members: members.Summarize(s.View),
		Forwarded: b.counters.forwarded.Get(), Answered: b.counters.answered.Get(),
		Rings: []ring.Stats{b.packets.Stats(), b.envelopes.Stats(), b.responses.Stats()},
	}
	for _, v := range b.settings.Services {
		d.Services = append(d.Services, v.Addr.String())
	}
	return d
}

func newCounters() counters {
	return counters{
		forwarded: metrics.GetOrCreateCounter("balsampier_balancer_forwarded_packets_total"),
		answered:  metrics.GetOrCreateCounter("balsampier_balancer_answered_packets_total"),
	}
}

func (counters) countDrop(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_balancer_dropped_packets_total{reason=%q}", reason)).Inc()
}

func (counters) countRefusal(r balsampier.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_balancer_refused_packets_total{reason=%q}", r.String())).Inc()
}
