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
	// Dump is the state of an agent, as shown to operators.
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

	// ClaimsDump is the state of the agent's claims.
	ClaimsDump struct {
		// Leased is true while the lease lets the agent run requests with a
		// key.
		Leased bool `json:"leased"`
		// Group is the epoch of the newest claim group, Active that of the
		// group that grants keys, Complete the newest epoch whose claims have
		// been copied.
		Group    balsampier.Epoch `json:"groupEpoch"`
		Active   balsampier.Epoch `json:"activeEpoch"`
		Complete balsampier.Epoch `json:"completeEpoch"`
		Holders  int              `json:"holders"`
		Claims   int              `json:"claims"`
		Runs     int              `json:"runs"`
		Answers  int              `json:"answers"`
		Bytes    int              `json:"answerBytes"`
	}

	// LoadDump is the load of the backend server as counted by the agent.
	LoadDump struct {
		Running int `json:"running"`
		Queued  int `json:"queued"`
		Slots   int `json:"slots"`
	}

	// counters holds the metrics of the agent.
	counters struct {
		// steered counts opening packets forwarded by newer rules or a newer
		// view.
		steered *metrics.Counter
		// placed counts opening packets forwarded to other agents for their
		// load.
		placed *metrics.Counter
		// loadBytes counts the bytes of sent load reports.
		loadBytes *metrics.Counter
	}
)

// Dump returns the state of the agent.
func (a *Agent) Dump() any {
	c, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	l, _ := a.admission.load(c)
	s := a.session.State()
	m, _ := a.Member()
	d := Dump{
		Program: "agent", Name: a.settings.Name, DataCentre: a.settings.DataCentre, Incarnation: a.self.Incarnation, Service: m.Service,
		Draining: m.Draining, Revision: s.Rules.Revision, Epoch: s.View.Epoch, Control: a.session.Status(),
		Load: LoadDump{Running: l.Running, Queued: l.Queued, Slots: l.Slots}, Streams: a.streams.Load(),
		Members: members.Summarize(s.View),
		Rings: []ring.Stats{
			a.envelopes.Stats(), a.outbound.Stats(), a.admission.events.Stats(), a.health.events.Stats(),
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

func (counters) countDropped(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_agent_dropped_packets_total{reason=%q}", reason)).Inc()
}

func (counters) countRefusedConnection(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_agent_refused_connections_total{reason=%q}", reason)).Inc()
}

func (counters) countFailedHint(of string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_agent_failed_hints_total{of=%q}", of)).Inc()
}
