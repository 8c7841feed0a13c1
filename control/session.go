// Package control keeps a member in touch with the control instances: one
// thread renews its lease, one follows rules and membership.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/duty"
	"github.com/balsampier/balsampier/operator/rulefile"
	"github.com/balsampier/balsampier/query/inforce"
)

const (
	renewPeriod = 500 * time.Millisecond
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = 2 * time.Second
)

type (
	// State is what a member knows of rules and membership.
	State struct {
		// Rules is the rule file in force; its revision never falls.
		Rules balsampier.RuleFile
		// Table is compiled from Rules; never nil.
		Table *inforce.Table
		// View is the newest view; its epoch never falls.
		View balsampier.View
	}

	// Options are what a session is made of.
	Options struct {
		Client balsampier.ControlClient
		Clock  balsampier.Clock
		Random balsampier.Random
		Logger *log.Logger
		// Member returns the own member; ok is false while there is nothing
		// to announce.
		Member func() (m balsampier.Member, ok bool)
		// Changed is called with every newer state, from one thread.
		Changed func(State)
	}

	// Session runs the two threads.
	Session struct {
		o     Options
		state atomic.Pointer[State]
		// leaseUntil is when the lease ends by the own clock; nil without one.
		leaseUntil atomic.Pointer[time.Time]
		// nudge holds a token when the member changed.
		nudge chan struct{}
	}
)

// NewSession returns a session that knows nothing yet.
func NewSession(o Options) (*Session, error) {
	t, err := inforce.Compile(0, nil, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Session{o: o, nudge: make(chan struct{}, 1)}
	s.state.Store(&State{Table: t})
	return s, nil
}

// State returns the newest state.
func (s *Session) State() State { return *s.state.Load() }

// Ready reports whether rules and membership were received.
func (s *Session) Ready() bool { return s.State().View.Epoch > 0 }

// LeaseUntil returns when the lease ends by the own clock.
func (s *Session) LeaseUntil() time.Time {
	if t := s.leaseUntil.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Nudge renews at once, after the own member changed.
func (s *Session) Nudge() {
	select {
	case s.nudge <- struct{}{}:
	default:
	}
}

// Threads returns the threads of the session.
func (s *Session) Threads() []transport.Server {
	return []transport.Server{duty.New("renew lease", s.renew), duty.New("watch control", s.watch)}
}

func (s *Session) renew(c context.Context) error {
	for c.Err() == nil {
		s.renewOnce(c)
		t := s.o.Clock.NewTimer(renewPeriod)
		select {
		case <-t.C():
		case <-s.nudge:
		case <-c.Done():
		}
		t.Stop()
	}
	return c.Err()
}

func (s *Session) renewOnce(c context.Context) {
	m, ok := s.o.Member()
	if !ok {
		return
	}
	sent := s.o.Clock.Now()
	n := s.State()
	l, err := s.o.Client.Renew(c, balsampier.Renewal{Member: m, Applied: n.Rules.Revision, Acknowledged: n.View.Epoch})
	if err != nil {
		if c.Err() == nil {
			s.o.Logger.Warn().Err(err).Msg("lease not renewed")
		}
		return
	}
	t := sent.Add(l.Term)
	s.leaseUntil.Store(&t)
}

func (s *Session) watch(c context.Context) error {
	wait := minBackoff
	for c.Err() == nil {
		err := s.o.Client.Watch(c, s.instance(), func(u balsampier.Update) {
			wait = minBackoff
			s.apply(u)
		})
		if c.Err() != nil {
			break
		}
		s.o.Logger.Warn().Err(err).Msg("watch ended")
		t := s.o.Clock.NewTimer(wait/2 + time.Duration(s.o.Random.Uint64()%uint64(wait)))
		select {
		case <-t.C():
		case <-c.Done():
		}
		t.Stop()
		wait = min(2*wait, maxBackoff)
	}
	return c.Err()
}

func (s *Session) instance() balsampier.InstanceID {
	m, _ := s.o.Member()
	return m.ID
}

// apply takes what is newer and ignores the rest.
func (s *Session) apply(u balsampier.Update) {
	n := s.State()
	changed := false
	if u.Rules != nil && u.Rules.Revision > n.Rules.Revision {
		t, err := compile(*u.Rules)
		if err != nil {
			s.o.Logger.Error().Err(err).Uint64("revision", uint64(u.Rules.Revision)).Msg("accepted rules not understood; run the same version everywhere")
			return
		}
		n.Rules, n.Table, changed = *u.Rules, t, true
	}
	if u.View != nil && u.View.Epoch > n.View.Epoch {
		n.View, changed = *u.View, true
	}
	if !changed {
		return
	}
	s.state.Store(&n)
	s.o.Changed(n)
	s.o.Logger.Info().Uint64("revision", uint64(n.Rules.Revision)).Uint64("epoch", uint64(n.View.Epoch)).
		Int("members", len(n.View.Members)).Msg("in force")
	s.Nudge()
}

func compile(r balsampier.RuleFile) (*inforce.Table, error) {
	f, ps := rulefile.Parse(r.Text)
	if rulefile.Failed(ps) {
		return nil, balsampier.NewError(balsampier.KindInvalid, "parse accepted rules", "run the same version everywhere", nil)
	}
	t, err := inforce.Compile(r.Revision, f.Rules, r.Zones)
	return t, trace.Wrap(err)
}
