package app

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/backend"
	"github.com/balsampier/balsampier/command/eject"
	"github.com/balsampier/balsampier/query/loadview"
	"github.com/balsampier/balsampier/ring"
)

const (
	// healthPeriod is how often the backend server is judged and asked.
	healthPeriod = 500 * time.Millisecond

	// turnAwayPeriod is how often callers that still came are turned away
	// while the agent drains.
	turnAwayPeriod = 5 * time.Second
)

const (
	healthBegin healthKind = iota
	healthEnd
	healthAnnounced
	healthReached
	healthHint
	healthReport
)

type (
	healthKind uint8

	// healthEvent is one message to the thread that judges the server.
	healthEvent struct {
		kind    healthKind
		outcome backend.Outcome
		took    time.Duration
		// hint is what the server claims of its load.
		hint balsampier.Load
		// from is the agent that reports.
		from    balsampier.InstanceID
		ejected bool
	}

	// health judges the backend server by the requests that went to it.
	health struct {
		self   balsampier.InstanceID
		events *ring.Ring[healthEvent]
		// ejected and down may be read by any thread.
		ejected, down atomic.Bool

		// What follows belongs to the judging thread.
		view    *loadview.View
		ejector *eject.Ejector
		// announced is when the server last announced itself.
		announced time.Time
		// refused is true since a connection was refused, until one succeeds.
		refused bool
		// drains is true while callers are turned away, and turned is when
		// they last were.
		drains bool
		since  time.Time
		turned time.Time
	}
)

func newHealth(self balsampier.InstanceID, depth int) *health {
	return &health{
		self: self, events: ring.New[healthEvent]("health", depth, ring.Block),
		view: loadview.New(), ejector: eject.New(eject.DefaultSettings()),
	}
}

// away reports whether the server gets no new flows.
func (h *health) away() bool { return h.ejected.Load() || h.down.Load() }

// post must not lose the event; the thread always takes it.
func (h *health) post(e healthEvent) { _ = h.events.Push(context.Background(), e) }

// observe notes a request that is sent to the server, and its outcome.
func (a *Agent) observe() func(backend.Outcome) {
	t := a.clock.Now()
	a.health.post(healthEvent{kind: healthBegin})
	return func(o backend.Outcome) {
		a.health.post(healthEvent{kind: healthEnd, outcome: o, took: a.clock.Now().Sub(t)})
	}
}

// judge decides whether the backend server gets new flows.
func (a *Agent) judge(c context.Context) error {
	var es [batchSize]healthEvent
	for {
		due := a.clock.Now().Add(healthPeriod)
		k := a.clock.NewTimer(healthPeriod)
		for t := a.clock.Now(); t.Before(due); t = a.clock.Now() {
			n, err := a.health.events.PopUntil(c, es[:], k.C())
			if err != nil {
				k.Stop()
				return err
			}
			for _, e := range es[:n] {
				a.health.take(e, a.clock.Now())
			}
			if n == 0 {
				break
			}
		}
		k.Stop()
		a.conclude(a.clock.Now())
	}
}

func (h *health) take(e healthEvent, t time.Time) {
	switch e.kind {
	case healthBegin:
		h.view.BeginRequest(h.self)
	case healthEnd:
		h.end(e)
	case healthAnnounced:
		h.announced = t
	case healthReached:
		h.refused = false
	case healthHint:
		h.view.RecordServerLoad(h.self, e.hint)
	case healthReport:
		h.ejector.SetRemoteState(e.from, e.ejected)
	}
}

func (h *health) end(e healthEvent) {
	switch e.outcome {
	case backend.OutcomeNone:
		h.view.DiscardRequest(h.self)
	case backend.OutcomeRefused:
		h.refused = true
		h.view.DiscardRequest(h.self)
	case backend.OutcomeServed:
		h.refused = false
		h.view.RecordOutcome(h.self, e.took, false)
	case backend.OutcomeFailed:
		h.view.RecordOutcome(h.self, e.took, true)
	}
}

// conclude publishes what follows from all evidence.
func (a *Agent) conclude(t time.Time) {
	v := a.server.Load()
	if v == nil {
		return
	}
	h := a.health
	s := a.session.State().View
	alive := func(i balsampier.InstanceID) bool {
		m, ok := s.Find(i)
		return i == a.self.ID || ok && m.Service == v.Service
	}
	h.ejector.RetainAlive(alive)
	n := 0
	for _, m := range s.Members {
		if m.Role == balsampier.RoleAgent && m.Service == v.Service {
			n++
		}
	}
	was := h.away()
	h.ejected.Store(h.ejector.Observe(a.self.ID, h.view.Observed(a.self.ID), n, t) == eject.StateEjected)
	h.down.Store(h.refused || t.Sub(h.announced) > backend.AnnouncementTTL)
	if was != h.away() {
		a.log.Info().Bool("ejected", h.ejected.Load()).Bool("down", h.down.Load()).Msg("backend server judged")
		a.session.RenewNow()
	}
	a.turnCallersAway(v.Draining, t)
}

// turnCallersAway asks callers to go elsewhere: at once when the server asked
// to drain, and otherwise once it was down for a while.
func (a *Agent) turnCallersAway(asked bool, t time.Time) {
	h := a.health
	drains := asked || h.down.Load()
	if drains != h.drains {
		h.drains, h.since, h.turned = drains, t, time.Time{}
	}
	if !drains || !asked && t.Sub(h.since) < turnAway || t.Sub(h.turned) < turnAwayPeriod {
		return
	}
	h.turned = t
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.endpoints {
		// Running requests have no bound but that of the process.
		e.DrainConnections(context.Background())
	}
}

// ask polls the backend server: whether it can be reached again, and for the
// hints that it offers.
func (a *Agent) ask(c context.Context) error {
	for {
		if err := a.wait(c, healthPeriod); err != nil {
			return err
		}
		v := a.server.Load()
		if v == nil {
			continue
		}
		s := backend.NewServer(v.Announcement, a.clock)
		if a.health.down.Load() && s.Reach(c) == nil {
			a.health.post(healthEvent{kind: healthReached})
		}
		if v.LoadPath != "" {
			if l, err := s.Load(c); err == nil {
				a.health.post(healthEvent{kind: healthHint, hint: l})
			} else {
				a.counters.hint("load")
			}
		}
		if v.HealthPath != "" && s.Healthy(c) != nil {
			a.counters.hint("health")
		}
	}
}
