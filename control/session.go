// Package control keeps a member in touch with the control instances: one
// thread renews its lease, one follows rules and membership. What to do is
// decided elsewhere.
package control

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/follow"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/duty"
	"github.com/balsampier/balsampier/operator/rulefile"
	"github.com/balsampier/balsampier/query/inforce"
)

type (
	// State is what a member knows of rules and membership.
	State struct {
		// Rules is the rule file in force; its revision never falls.
		Rules balsampier.RuleFile
		// Table is compiled from Rules; never nil.
		Table *inforce.Table
		// Routes are read from Rules where these are a document; their version
		// never falls.
		Routes balsampier.RouteFile
		// View is the newest view; its epoch never falls.
		View balsampier.View
	}

	// Options are what a session is made of.
	Options struct {
		Client balsampier.ControlClient
		// Instances is how many control instances there are; positive.
		Instances int
		// Seeds returns where control instances are found at first; nil where
		// they are configured. Use is called with the peer addresses to use
		// from then on, and is nil exactly when Seeds is.
		Seeds func() []netip.AddrPort
		Use   func([]netip.AddrPort)
		// Documents is true where the rules are a document, which Parser reads
		// for members that need its routes.
		Documents bool
		Parser    balsampier.DocumentParser
		Clock     balsampier.Clock
		Random    balsampier.Random
		Logger    *log.Logger
		// Member returns the own member; ok is false while there is nothing
		// to announce.
		Member func() (m balsampier.Member, ok bool)
		// Changed is called with every newer state, from one thread.
		Changed func(State)
		// Complete returns the claim epochs to report, which is complete and
		// whose group was adopted; nil for members that keep no claims.
		Complete func() (complete, group balsampier.Epoch)
		// Told hands over the answer to a renewal sent at time t, and returns
		// the view whose claim group has been adopted. Only that view is
		// acknowledged, as acknowledging says that no earlier one is used. It
		// is nil exactly when Complete is.
		Told func(c context.Context, t time.Time, l balsampier.Lease) (balsampier.Epoch, error)
	}

	// Session runs the two threads.
	Session struct {
		o     Options
		state atomic.Pointer[State]
		// nudge holds a token when the member changed.
		nudge chan struct{}

		mu sync.Mutex
		// own, adopted and follower are guarded by mu.
		own *lease.MemberLease
		// adopted is what Told returned last.
		adopted  balsampier.Epoch
		follower *follow.Follower
		// used are the addresses that Use was last called with.
		used []netip.AddrPort
	}

	// Status tells how a member stands with control.
	Status struct {
		// Lease is waiting, held, lapsed, refused or left.
		Lease string `json:"lease"`
		// Watch is waiting, connecting, unconfirmed or following.
		Watch string `json:"watch"`
		Ready bool   `json:"ready"`
		// CutOff is true when the member serves on with a state that was not
		// confirmed for a while.
		CutOff    bool                `json:"cutOff"`
		Control   int                 `json:"controlInstance"`
		Revision  balsampier.Revision `json:"revision"`
		Epoch     balsampier.Epoch    `json:"epoch"`
		Active    balsampier.Epoch    `json:"activeEpoch"`
		Confirmed time.Time           `json:"confirmed"`
		Failures  int                 `json:"failures"`
	}
)

// NewSession returns a session that knows nothing yet.
func NewSession(o Options) (*Session, error) {
	t, err := inforce.Compile(0, nil, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	now := o.Clock.Now()
	s := &Session{
		o: o, nudge: make(chan struct{}, 1),
		own: lease.NewMemberLease(now), follower: follow.New(o.Instances, now, o.Random),
	}
	s.state.Store(&State{Table: t})
	return s, nil
}

// State returns the newest state.
func (s *Session) State() State { return *s.state.Load() }

// Ready reports whether rules and membership were confirmed once.
func (s *Session) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Ready()
}

// Lease returns the epoch that the member may act in now; ok is false without
// a valid lease.
func (s *Session) Lease() (e balsampier.Epoch, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own.Epoch(s.o.Clock.Now())
}

// Status returns the status for dumps.
func (s *Session) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.o.Clock.Now()
	f := s.follower.Status(t)
	return Status{
		Lease: s.own.State(t).String(), Watch: f.State.String(), Ready: f.Ready, CutOff: f.CutOff,
		Control: f.ControlIndex, Revision: f.Revision, Epoch: f.Epoch, Active: f.ActiveEpoch,
		Confirmed: f.ConfirmedAt, Failures: f.Failures,
	}
}

// Watched returns the peer address of the control instance that the session
// follows; ok is false while it follows none.
func (s *Session) Watched() (a netip.AddrPort, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.follower.Status(s.o.Clock.Now())
	if f.State != follow.StateFollowing || len(s.used) == 0 {
		return a, false
	}
	return s.used[f.ControlIndex%len(s.used)], true
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

// locate follows the control instances of the view, and the seeds behind them.
func (s *Session) locate() {
	if s.o.Seeds == nil {
		return
	}
	var as []netip.AddrPort
	for _, m := range s.State().View.Members {
		if m.Role == balsampier.RoleControl && m.PeerAddr.IsValid() {
			as = append(as, m.PeerAddr)
		}
	}
	for _, a := range s.o.Seeds() {
		if !slices.Contains(as, a) {
			as = append(as, a)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(as) == 0 || slices.Equal(as, s.used) {
		return
	}
	s.used = as
	s.o.Use(as)
	s.follower.SetInstances(len(as))
	s.o.Logger.Info().Int("instances", len(as)).Msg("control instances")
}

func compile(r balsampier.RuleFile) (*inforce.Table, error) {
	f, ps := rulefile.Parse(r.Text)
	if rulefile.Failed(ps) {
		return nil, balsampier.NewError(balsampier.KindInvalid, "parse accepted rules", "run the same version everywhere", nil)
	}
	t, err := inforce.Compile(r.Revision, f.Rules, r.Zones)
	return t, trace.Wrap(err)
}
