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
	// In servers get work as usual.
	In State = iota
	// Out servers get no new work.
	Out
	// Probation servers get one request at a time.
	Probation
)

// MaxPart bounds the ejected servers of a service to one in MaxPart.
const MaxPart = 3

type (
	// State is how a server is treated.
	State uint8

	// Settings rule when servers are ejected and come back.
	Settings struct {
		// Failures is how many failures in turn eject; positive.
		Failures int
		// Pause is how long the first ejection lasts; positive.
		Pause time.Duration
		// MaxPause bounds the pause, which doubles with each ejection in turn;
		// at least Pause.
		MaxPause time.Duration
		// Successes is how many successes end a probation; positive.
		Successes int
	}

	// Ejector treats the servers of one service. It is serialized by its
	// caller.
	Ejector struct {
		settings Settings
		servers  map[balsampier.InstanceID]*server
	}

	server struct {
		state State
		until time.Time
		// turns counts ejections without a passed probation between.
		turns int
		// failed holds the failures in turn when the probation began.
		failed int
		// since holds the successes seen when the probation began.
		since uint64
	}
)

// DefaultSettings returns the settings used unless a file names others.
func DefaultSettings() Settings {
	return Settings{Failures: 5, Pause: 5 * time.Second, MaxPause: time.Minute, Successes: 3}
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
	return In
}

// Allows reports whether the server may get one more request.
func (e *Ejector) Allows(i balsampier.InstanceID, o loadview.Observation) bool {
	switch e.State(i) {
	case Out:
		return false
	case Probation:
		return o.InFlight == 0
	default:
		return true
	}
}

// Learn takes in whether another instance, which alone observes its server,
// keeps new work from it.
func (e *Ejector) Learn(i balsampier.InstanceID, away bool) {
	s := &server{}
	if away {
		s.state = Out
	}
	e.servers[i] = s
}

// Observe takes in what was seen of one of n servers of the service.
func (e *Ejector) Observe(i balsampier.InstanceID, o loadview.Observation, n int, t time.Time) State {
	s := e.servers[i]
	if s == nil {
		s = &server{}
		e.servers[i] = s
	}
	switch s.state {
	case In:
		if o.ConsecutiveFailures >= e.settings.Failures && e.away() < n/MaxPart {
			e.eject(s, t)
		}
	case Out:
		if !t.Before(s.until) {
			s.state, s.since = Probation, o.Succeeded
			s.failed = o.ConsecutiveFailures
		}
	case Probation:
		e.probe(s, o, t)
	}
	return s.state
}

// probe ends a probation by a failure or by enough successes.
func (e *Ejector) probe(s *server, o loadview.Observation, t time.Time) {
	switch {
	case o.ConsecutiveFailures > 0 && (o.Succeeded > s.since || o.ConsecutiveFailures > s.failed):
		e.eject(s, t)
	case o.Succeeded-s.since >= uint64(e.settings.Successes):
		s.state, s.turns = In, 0
	}
}

func (e *Ejector) eject(s *server, t time.Time) {
	p := e.settings.MaxPause
	if s.turns < 16 {
		p = min(e.settings.Pause<<s.turns, e.settings.MaxPause)
	}
	s.state, s.until = Out, t.Add(p)
	s.turns++
}

// away counts the servers that are not In.
func (e *Ejector) away() int {
	n := 0
	for _, s := range e.servers {
		if s.state != In {
			n++
		}
	}
	return n
}

// Forget drops the servers that are not alive.
func (e *Ejector) Forget(alive func(balsampier.InstanceID) bool) {
	for i := range e.servers {
		if !alive(i) {
			delete(e.servers, i)
		}
	}
}
