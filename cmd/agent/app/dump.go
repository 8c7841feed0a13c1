package app

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/control"
	"github.com/balsampier/balsampier/query/members"
	"github.com/balsampier/balsampier/ring"
)

const dumpTimeout = time.Second

type (
	// Dump is the state of an agent.
	Dump struct {
		Program     string                 `json:"program"`
		Name        string                 `json:"name"`
		DataCentre  balsampier.DataCentre  `json:"dataCentre"`
		Incarnation balsampier.Incarnation `json:"incarnation"`
		Service     balsampier.ServiceName `json:"service"`
		Backend     string                 `json:"backendServer"`
		Draining    bool                   `json:"draining"`
		Revision    balsampier.Revision    `json:"revision"`
		Epoch       balsampier.Epoch       `json:"epoch"`
		Control     control.Status         `json:"control"`
		Load        LoadDump               `json:"load"`
		Streams     int64                  `json:"streams"`
		Endpoints   []string               `json:"endpoints"`
		Members     members.Summary        `json:"members"`
		Rings       []ring.Stats           `json:"rings"`
	}

	// LoadDump is the load of the backend server as the agent sees it.
	LoadDump struct {
		Running int `json:"running"`
		Queued  int `json:"queued"`
		Slots   int `json:"slots"`
	}

	counters struct {
		steered *metrics.Counter
	}
)

// Dump returns the state for operators.
func (a *Agent) Dump() any {
	c, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	l, _ := a.admission.load(c)
	s := a.session.State()
	m, _ := a.Member()
	d := Dump{
		Program: "agent", Name: a.s.Name, DataCentre: a.s.DataCentre, Incarnation: a.self.Incarnation, Service: m.Service,
		Draining: m.Draining, Revision: s.Rules.Revision, Epoch: s.View.Epoch, Control: a.session.Status(),
		Load: LoadDump{Running: l.Running, Queued: l.Queued, Slots: l.Slots}, Streams: a.streams.Load(),
		Members: members.Summarize(s.View),
		Rings:   []ring.Stats{a.envelopes.Stats(), a.out.Stats(), a.admission.events.Stats()},
	}
	if v := a.server.Load(); v != nil {
		d.Backend = v.Addr.String()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for p := range a.endpoints {
		d.Endpoints = append(d.Endpoints, p.String())
	}
	slices.Sort(d.Endpoints)
	return d
}

func newCounters() counters {
	return counters{steered: metrics.GetOrCreateCounter("balsampier_agent_steered_packets_total")}
}

func (counters) drop(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_agent_dropped_packets_total{reason=%q}", reason)).Inc()
}

func (counters) refuse(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_agent_refused_total{reason=%q}", reason)).Inc()
}
