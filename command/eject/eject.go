// Package eject keeps new requests away from backend servers that fail them
// (outlier ejection). It relies only on what the instance observed of the
// requests; health endpoints can neither eject a server nor reinstate one.
package eject

import (
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/query/loadview"
)

const (
	// StateActive servers get requests as usual.
	StateActive State = iota
	// StateEjected servers get no new requests.
	StateEjected
	// StateProbation servers get one request at a time.
	StateProbation
)

// MaxEjectedDivisor limits the servers of a service that are ejected or on
// probation to 1/MaxEjectedDivisor of all.
const MaxEjectedDivisor = 3

type (
	// State determines which requests a server gets.
	State uint8

	// Settings configures when servers are ejected and reinstated.
	Settings struct {
		// FailureThreshold is the number of consecutive failures that eject a
		// server; it must be positive.
		FailureThreshold int
		// EjectionWindow is how long the first ejection lasts; it must be
		// positive.
		EjectionWindow time.Duration
		// MaxEjectionWindow limits the window, which doubles with each
		// consecutive ejection. It must be at least EjectionWindow.
		MaxEjectionWindow time.Duration
		// SuccessThreshold is the number of successes that end a probation; it
		// must be positive.
		SuccessThreshold int
	}

	// Ejector tracks the states of the servers of one service. It is not safe
	// for concurrent use.
	Ejector struct {
		settings Settings
		servers  map[balsampier.InstanceID]*server
	}

	server struct {
		state        State
		ejectedUntil time.Time
		// ejections counts the ejections since the last passed probation.
		ejections int
		// initialFailures is the number of consecutive failures when the
		// probation began.
		initialFailures int
		// initialSuccesses is the total number of successes when the probation
		// began.
		initialSuccesses uint64
	}
)

// DefaultSettings returns the settings that are used unless the settings file
// contains others.
func DefaultSettings() Settings {
	return Settings{FailureThreshold: 5, EjectionWindow: 5 * time.Second, MaxEjectionWindow: time.Minute, SuccessThreshold: 3}
}

// New returns an ejector in which every server is active.
func New(s Settings) *Ejector {
	return &Ejector{settings: s, servers: make(map[balsampier.InstanceID]*server)}
}

// State returns the state of the server.
func (e *Ejector) State(i balsampier.InstanceID) State {
	if s := e.servers[i]; s != nil {
		return s.state
	}
	return StateActive
}

// Allows reports whether the server may get one more request.
func (e *Ejector) Allows(i balsampier.InstanceID, o loadview.Observation) bool {
	switch e.State(i) {
	case StateEjected:
		return false
	case StateProbation:
		return o.InFlight == 0
	default:
		return true
	}
}

// SetRemoteState records whether another instance, the only one that observes
// its server, has ejected that server.
func (e *Ejector) SetRemoteState(i balsampier.InstanceID, isEjected bool) {
	s := &server{}
	if isEjected {
		s.state = StateEjected
	}
	e.servers[i] = s
}

// Observe updates the state of a server from what was observed of it; n is the
// number of servers of the service. It returns the new state.
func (e *Ejector) Observe(i balsampier.InstanceID, o loadview.Observation, n int, t time.Time) State {
	s := e.servers[i]
	if s == nil {
		s = &server{}
		e.servers[i] = s
	}
	switch s.state {
	case StateActive:
		if o.ConsecutiveFailures >= e.settings.FailureThreshold && e.countInactive() < n/MaxEjectedDivisor {
			e.eject(s, t)
		}
	case StateEjected:
		if !t.Before(s.ejectedUntil) {
			s.state, s.initialSuccesses = StateProbation, o.Succeeded
			s.initialFailures = o.ConsecutiveFailures
		}
	case StateProbation:
		e.evaluateProbation(s, o, t)
	}
	return s.state
}

// evaluateProbation ends a probation after a failure or after enough successes.
func (e *Ejector) evaluateProbation(s *server, o loadview.Observation, t time.Time) {
	switch {
	case o.ConsecutiveFailures > 0 && (o.Succeeded > s.initialSuccesses || o.ConsecutiveFailures > s.initialFailures):
		e.eject(s, t)
	case o.Succeeded-s.initialSuccesses >= uint64(e.settings.SuccessThreshold):
		s.state, s.ejections = StateActive, 0
	}
}

func (e *Ejector) eject(s *server, t time.Time) {
	p := e.settings.MaxEjectionWindow
	if s.ejections < 16 {
		p = min(e.settings.EjectionWindow<<s.ejections, e.settings.MaxEjectionWindow)
	}
	s.state, s.ejectedUntil = StateEjected, t.Add(p)
	s.ejections++
}

// countInactive returns the number of servers that are ejected or on probation.
func (e *Ejector) countInactive() int {
	n := 0
	for _, s := range e.servers {
		if s.state != StateActive {
			n++
		}
	}
	return n
}

// RetainAlive removes the servers for which alive returns false.
func (e *Ejector) RetainAlive(alive func(balsampier.InstanceID) bool) {
	for i := range e.servers {
		if !alive(i) {
			delete(e.servers, i)
		}
	}
}
