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
	// healthInterval is how often the health of the backend server is
	// evaluated, and how often the server is polled.
	healthInterval = 500 * time.Millisecond

	// turnAwayInterval is how often connected callers are asked again to
	// reconnect elsewhere, for those that connected in the meantime.
	turnAwayInterval = 5 * time.Second
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
	// healthKind says which fields of a healthEvent are set.
	healthKind uint8

	// healthEvent is one message to the health thread.
	healthEvent struct {
		kind     healthKind
		outcome  backend.Outcome
		duration time.Duration
		// hint is the load that the server reports of itself.
		hint balsampier.Load
		// from is the agent whose report says whether its server is ejected.
		from    balsampier.InstanceID
		ejected bool
	}

	// health decides from the outcomes of requests whether the backend server
	// gets new flows.
	health struct {
		self   balsampier.InstanceID
		events *ring.Ring[healthEvent]
		// ejected and down may be read by any thread.
		ejected, down atomic.Bool

		// The fields below belong to the health thread.
		view    *loadview.View
		ejector *eject.Ejector
		// lastAnnounced is when the server last announced itself.
		lastAnnounced time.Time
		// connRefused is true from a refused connection until the server is
		// reached again.
		connRefused bool
		// turningAway is true while callers are asked to reconnect elsewhere,
		// since turningAwaySince. lastTurnAway is when they were last asked.
		turningAway      bool
		turningAwaySince time.Time
		lastTurnAway     time.Time
	}
)

func newHealth(self balsampier.InstanceID, depth int) *health {
	return &health{
		self: self, events: ring.New[healthEvent]("health", depth, ring.Block),
		view: loadview.New(), ejector: eject.New(eject.DefaultSettings()),
	}
}

// unavailable reports whether the server gets no new flows.
func (h *health) unavailable() bool { return h.ejected.Load() || h.down.Load() }

// post enqueues an event that must not get lost. It blocks while the ring is
// full.
func (h *health) post(e healthEvent) { _ = h.events.Push(context.Background(), e) }

// observeRequest records that a request is sent to the server. The returned
// function records its outcome.
func (a *Agent) observeRequest() func(backend.Outcome) {
	t := a.clock.Now()
	a.health.post(healthEvent{kind: healthBegin})
	return func(o backend.Outcome) {
		a.health.post(healthEvent{kind: healthEnd, outcome: o, duration: a.clock.Now().Sub(t)})
	}
}

// monitorHealth is the health thread.
func (a *Agent) monitorHealth(c context.Context) error {
	var es [batchSize]healthEvent
	for {
		due := a.clock.Now().Add(healthInterval)
		k := a.clock.NewTimer(healthInterval)
		for t := a.clock.Now(); t.Before(due); t = a.clock.Now() {
			n, err := a.health.events.PopUntil(c, es[:], k.C())
			if err != nil {
				k.Stop()
				return err
			}
			for _, e := range es[:n] {
				a.health.handle(e, a.clock.Now())
			}
			if n == 0 {
				break
			}
		}
		k.Stop()
		a.updateHealth(a.clock.Now())
	}
}

func (h *health) handle(e healthEvent, t time.Time) {
	switch e.kind {
	case healthBegin:
		h.view.BeginRequest(h.self)
	case healthEnd:
		h.endRequest(e)
	case healthAnnounced:
		h.lastAnnounced = t
	case healthReached:
		h.connRefused = false
	case healthHint:
		h.view.RecordServerLoad(h.self, e.hint)
	case healthReport:
		h.ejector.SetRemoteState(e.from, e.ejected)
	}
}

// endRequest records the outcome of a request.
func (h *health) endRequest(e healthEvent) {
	switch e.outcome {
	case backend.OutcomeNone:
		h.view.DiscardRequest(h.self)
	case backend.OutcomeRefused:
		h.connRefused = true
		h.view.DiscardRequest(h.self)
	case backend.OutcomeServed:
		h.connRefused = false
		h.view.RecordOutcome(h.self, e.duration, false)
	case backend.OutcomeFailed:
		h.view.RecordOutcome(h.self, e.duration, true)
	}
}

// updateHealth decides whether the server gets new flows, and renews the lease
// at once when that changes.
func (a *Agent) updateHealth(t time.Time) {
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
	was := h.unavailable()
	h.ejected.Store(h.ejector.Observe(a.self.ID, h.view.Observed(a.self.ID), n, t) == eject.StateEjected)
	h.down.Store(h.connRefused || t.Sub(h.lastAnnounced) > backend.AnnouncementTTL)
	if was != h.unavailable() {
		a.log.Info().Bool("ejected", h.ejected.Load()).Bool("down", h.down.Load()).Msg("backend server health changed")
		a.session.RenewNow()
	}
	a.turnCallersAway(v.Draining, t)
}

// turnCallersAway asks callers to reconnect elsewhere: at once when the server
// asked to drain, and otherwise once it has been down for drainDelay.
func (a *Agent) turnCallersAway(asked bool, t time.Time) {
	h := a.health
	drains := asked || h.down.Load()
	if drains != h.turningAway {
		h.turningAway, h.turningAwaySince, h.lastTurnAway = drains, t, time.Time{}
	}
	if !drains || !asked && t.Sub(h.turningAwaySince) < drainDelay || t.Sub(h.lastTurnAway) < turnAwayInterval {
		return
	}
	h.lastTurnAway = t
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.endpoints {
		// No deadline: running requests are bounded only by the lifetime of the
		// process.
		e.DrainConnections(context.Background())
	}
}

// pollServer polls the backend server: whether it can be reached again, and for
// its load and health if it offers them.
func (a *Agent) pollServer(c context.Context) error {
	for {
		if err := a.wait(c, healthInterval); err != nil {
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
				a.counters.countFailedHint("load")
			}
		}
		if v.HealthPath != "" && s.Healthy(c) != nil {
			a.counters.countFailedHint("health")
		}
	}
}
