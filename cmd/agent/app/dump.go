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
		Connections int                    `json:"connections"`
		Ejected     bool                   `json:"ejected"`
		Down        bool                   `json:"down"`
		Claims      ClaimsDump             `json:"claims"`
	}

	// ClaimsDump is what the agent knows of claims.
	ClaimsDump struct {
		// Leased is true while the agent may run requests with a key.
		Leased bool `json:"leased"`
		// Group is the newest claim group, Active the one in which keys are
		// granted, Complete the one whose claims were copied.
		Group    balsampier.Epoch `json:"groupEpoch"`
		Active   balsampier.Epoch `json:"activeEpoch"`
		Complete balsampier.Epoch `json:"completeEpoch"`
		Holders  int              `json:"holders"`
		Claims   int              `json:"claims"`
		Runs     int              `json:"runs"`
		Answers  int              `json:"answers"`
		Bytes    int              `json:"answerBytes"`
	}

	// LoadDump is the load of the backend server as the agent sees it.
	LoadDump struct {
		Running int `json:"running"`
		Queued  int `json:"queued"`
		Slots   int `json:"slots"`
	}

	counters struct {
		steered *metrics.Counter
		// placed counts opening packets given to other agents.
		placed *metrics.Counter
		// loadBytes counts bytes of load reports.
		loadBytes *metrics.Counter
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
		Rings: []ring.Stats{
			a.envelopes.Stats(), a.out.Stats(), a.admission.events.Stats(), a.health.events.Stats(),
			a.claims.messages.Stats(), a.claims.calls.Stats(),
		},
		Connections: a.connections(), Ejected: a.health.ejected.Load(), Down: a.health.down.Load(),
		Claims: a.claims.dump(c),
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
	return counters{
		steered:   metrics.GetOrCreateCounter("balsampier_agent_steered_packets_total"),
		placed:    metrics.GetOrCreateCounter("balsampier_agent_placed_packets_total"),
		loadBytes: metrics.GetOrCreateCounter("balsampier_agent_load_report_bytes_total"),
	}
}

func (counters) drop(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_agent_dropped_packets_total{reason=%q}", reason)).Inc()
}

func (counters) refuseConnection(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_agent_refused_connections_total{reason=%q}", reason)).Inc()
}

func (counters) hint(of string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_agent_failed_hints_total{of=%q}", of)).Inc()
}
