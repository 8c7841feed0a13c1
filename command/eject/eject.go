// Package eject keeps new work from backend servers that fail it. It needs the
// instance's own evidence; health endpoints can neither eject a server nor
// bring one back.
package eject

import (
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/query/loadview"
)

const (
	// StateActive servers get work as usual.
	StateActive State = iota
	// StateEjected servers get no new work.
	StateEjected
	// StateProbation servers get one request at a time.
	StateProbation
)

// MaxEjectedDivisor bounds the ejected servers of a service to one in MaxEjectedDivisor.
const MaxEjectedDivisor = 3

type (
	// State is how a server is treated.
	State uint8

	// Settings rule when servers are ejected and come back.
	Settings struct {
		// FailureThreshold is how many failures in turn eject; positive.
		FailureThreshold int
		// EjectionWindow is how long the first ejection lasts; positive.
		EjectionWindow time.Duration
		// MaxEjectionWindow bounds the pause, which doubles with each ejection in turn;
		// at least Pause.
		MaxEjectionWindow time.Duration
		// SuccessThreshold is how many successes end a probation; positive.
		SuccessThreshold int
	}

	// Ejector treats the servers of one service. It is serialized by its
	// caller.
	Ejector struct {
		settings Settings
		servers  map[balsampier.InstanceID]*server
	}

	server struct {
		state        State
		ejectedUntil time.Time
		// ejections counts ejections without a passed probation between.
		ejections int
		// initialFailures holds the failures in turn when the probation began.
		initialFailures int
		// initialSuccesses holds the successes seen when the probation began.
		initialSuccesses uint64
	}
)

// DefaultSettings returns the settings used unless a file names others.
func DefaultSettings() Settings {
	return Settings{FailureThreshold: 5, EjectionWindow: 5 * time.Second, MaxEjectionWindow: time.Minute, SuccessThreshold: 3}
}

// New returns an ejector that treats all servers as In.
func New(s Settings) *Ejector {
	return &Ejector{settings: s, servers: make(map[balsampier.InstanceID]*server)}
}

// State returns how the server is treated.
func (e *Ejector) State(i balsampier.InstanceID) State {
	if s := e.servers[i]; s != nil {
		return s.state
	}
	return StateActive
}

// Allows reports whether the server may get one more request.
func (e *Ejector) Allows(i balsampier.InstanceID, o loadview.Observed) bool {
	switch e.State(i) {
	case StateEjected:
		return false
	case StateProbation:
		return o.InFlight == 0
	default:
		return true
	}
}

// SetRemoteState takes in whether another instance, which alone observes its server,
// keeps new work from it.
func (e *Ejector) SetRemoteState(i balsampier.InstanceID, away bool) {
	s := &server{}
	if away {
		s.state = StateEjected
	}
	e.servers[i] = s
}

// Observe takes in what was seen of one of n servers of the service.
func (e *Ejector) Observe(i balsampier.InstanceID, o loadview.Observed, n int, t time.Time) State {
	s := e.servers[i]
	if s == nil {
		s = &server{}
		e.servers[i] = s
	}
	switch s.state {
	case StateActive:
		if o.FailedInTurn >= e.settings.FailureThreshold && e.countInactive() < n/MaxEjectedDivisor {
			e.eject(s, t)
		}
	case StateEjected:
		if !t.Before(s.ejectedUntil) {
			s.state, s.initialSuccesses = StateProbation, o.Succeeded
			s.initialFailures = o.FailedInTurn
		}
	case StateProbation:
		e.evaluateProbation(s, o, t)
	}
	return s.state
}

// evaluateProbation ends a probation by a failure or by enough successes.
func (e *Ejector) evaluateProbation(s *server, o loadview.Observed, t time.Time) {
	switch {
	case o.FailedInTurn > 0 && (o.Succeeded > s.initialSuccesses || o.FailedInTurn > s.initialFailures):
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

// countInactive counts the servers that are not In.
func (e *Ejector) countInactive() int {
	n := 0
	for _, s := range e.servers {
		if s.state != StateActive {
			n++
		}
	}
	return n
}

// RetainAlive drops the servers that are not alive.
func (e *Ejector) RetainAlive(alive func(balsampier.InstanceID) bool) {
	for i := range e.servers {
		if !alive(i) {
			delete(e.servers, i)
		}
	}
}
