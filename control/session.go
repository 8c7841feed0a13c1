// Package control maintains the session of a member, such as a balancer or an
// agent, with the control instances. One thread renews the member's lease,
// another one watches rules and membership. The packages command/lease and
// command/follow decide when and what to send.
package control

import (
	"context"
	"fmt"
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

// maxLearned bounds the learned control instances: the log has at most nine
// replicas.
const maxLearned = 9

type (
	// State is the member's current knowledge of rules and membership.
	State struct {
		// Rules is the rule file in force; its revision never decreases.
		Rules balsampier.RuleFile
		// Table is compiled from Rules; never nil.
		Table *inforce.Table
		// Routes are parsed from Rules if these are a document and a Parser is
		// set; their version never decreases.
		Routes balsampier.RouteFile
		// View is the newest view; its epoch never decreases.
		View balsampier.View
	}

	// Options configures a session.
	Options struct {
		Client balsampier.ControlClient
		// InstanceCount is the initial number of control instances; positive.
		InstanceCount int
		// Seeds returns the initial addresses of control instances; nil if
		// these are configured. SetInstances is called with the peer addresses
		// to use from then on; it is nil exactly if Seeds is.
		Seeds        func() []netip.AddrPort
		SetInstances func([]netip.AddrPort)
		// UsesDocuments is true if the rules are a document. Parser parses it;
		// nil for members that do not need its routes.
		UsesDocuments bool
		Parser        balsampier.DocumentParser
		Clock         balsampier.Clock
		Random        balsampier.Random
		Logger        *log.Logger
		// Member returns this member; ok is false while there is nothing to
		// announce.
		Member func() (m balsampier.Member, ok bool)
		// OnState is called with each newer state, always from the same thread.
		OnState func(State)
		// ClaimEpochs returns the claim epochs to report: the one for which the
		// claims are complete, and that of the adopted claim group. It is nil
		// for members that keep no claims.
		ClaimEpochs func() (complete, group balsampier.Epoch)
		// OnLease is called with the response to a renewal sent at time t, and
		// returns the epoch of the view whose claim group has been adopted.
		// Only that view is acknowledged, because an acknowledgement states
		// that no earlier view is in use. It is nil exactly if ClaimEpochs is.
		OnLease func(c context.Context, t time.Time, l balsampier.Lease) (balsampier.Epoch, error)
	}

	// Session runs the renewal thread and the watch thread.
	Session struct {
		o     Options
		state atomic.Pointer[State]
		// renewSignal holds a token while an immediate renewal is requested.
		renewSignal chan struct{}

		mu sync.Mutex
		// All fields below are guarded by mu.
		ownLease *lease.MemberLease
		// adoptedEpoch is the highest epoch that OnLease has returned.
		adoptedEpoch balsampier.Epoch
		follower     *follow.Follower
		// controlAddrs are the addresses last passed to SetInstances.
		controlAddrs []netip.AddrPort
		// watchedAddr is the address of the newest stream; invalid if the
		// control instances are configured. The index of the stream does not
		// tell it, because the addresses may change meanwhile.
		watchedAddr netip.AddrPort
		// learnedAddrs are the replicas that the relay watched last named, at
		// most maxLearned.
		learnedAddrs []netip.AddrPort
	}

	// Status describes the member's session with control.
	Status struct {
		// Lease is waiting, held, lapsed, refused or left.
		Lease string `json:"lease"`
		// Watch is waiting, connecting, unconfirmed or following.
		Watch string `json:"watch"`
		Ready bool   `json:"ready"`
		// CutOff is true while the member keeps serving with a state that has
		// not been confirmed recently.
		CutOff    bool                `json:"cutOff"`
		Control   int                 `json:"controlInstance"`
		Revision  balsampier.Revision `json:"revision"`
		Epoch     balsampier.Epoch    `json:"epoch"`
		Active    balsampier.Epoch    `json:"activeEpoch"`
		Confirmed time.Time           `json:"confirmed"`
		Failures  int                 `json:"failures"`
	}
)

// NewSession returns a session with an empty state.
func NewSession(o Options) (*Session, error) {
	t, err := inforce.Compile(0, nil, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	now := o.Clock.Now()
	s := &Session{
		o: o, renewSignal: make(chan struct{}, 1),
		ownLease: lease.NewMemberLease(now), follower: follow.New(o.InstanceCount, now, o.Random),
	}
	s.state.Store(&State{Table: t})
	return s, nil
}

// State returns the newest state.
func (s *Session) State() State { return *s.state.Load() }

// Ready reports whether rules and membership have been confirmed at least once.
func (s *Session) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Ready()
}

// Lease returns the epoch in which the member may act now; ok is false without
// a valid lease.
func (s *Session) Lease() (e balsampier.Epoch, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownLease.Epoch(s.o.Clock.Now())
}

// Status returns the current status for dumps and metrics.
func (s *Session) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.o.Clock.Now()
	f := s.follower.Status(t)
	return Status{
		Lease: s.ownLease.State(t).String(), Watch: f.State.String(), Ready: f.Ready, CutOff: f.CutOff,
		Control: f.ControlIndex, Revision: f.Revision, Epoch: f.Epoch, Active: f.ActiveEpoch,
		Confirmed: f.ConfirmedAt, Failures: f.Failures,
	}
}

// WatchedAddr returns the peer address of the control instance that the session
// follows; ok is false if there is none.
func (s *Session) WatchedAddr() (a netip.AddrPort, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.follower.Status(s.o.Clock.Now())
	return s.watchedAddr, f.State == follow.StateFollowing && s.watchedAddr.IsValid()
}

// RenewNow requests an immediate renewal, for example after the member has
// changed.
func (s *Session) RenewNow() {
	select {
	case s.renewSignal <- struct{}{}:
	default:
	}
}

// Threads returns the threads of the session.
func (s *Session) Threads() []transport.Server {
	return []transport.Server{duty.New("renew lease", s.renew), duty.New("watch control", s.watch)}
}

// LearnInstances adds control instances that another one named to those of the
// view and the seeds. They replace the ones learned before.
func (s *Session) LearnInstances(as []netip.AddrPort) {
	s.mu.Lock()
	s.learnedAddrs = slices.Clone(as[:min(len(as), maxLearned)])
	s.mu.Unlock()
}

// ReplicaAddrs returns the peer addresses of the replicas in the current view.
func (s *Session) ReplicaAddrs() []netip.AddrPort { return controlAddrs(s.State().View) }

// updateInstances replaces the control instances by those of the current view,
// followed by the learned ones and the seeds that it lacks.
func (s *Session) updateInstances() {
	if s.o.Seeds == nil {
		return
	}
	as := controlAddrs(s.State().View)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range slices.Concat(s.learnedAddrs, s.o.Seeds()) {
		if !slices.Contains(as, a) {
			as = append(as, a)
		}
	}
	if len(as) == 0 || slices.Equal(as, s.controlAddrs) {
		return
	}
	s.controlAddrs = as
	s.o.SetInstances(as)
	s.follower.SetInstances(len(as))
	s.o.Logger.Info().Int("instances", len(as)).Str("addresses", fmt.Sprint(as)).Msg("control instances updated")
}

// controlAddrs returns the peer addresses of the replicas in a view.
func controlAddrs(v balsampier.View) []netip.AddrPort {
	var as []netip.AddrPort
	for _, m := range v.Members {
		if m.Role == balsampier.RoleControl && m.PeerAddr.IsValid() {
			as = append(as, m.PeerAddr)
		}
	}
	return as
}

func compileRules(r balsampier.RuleFile) (*inforce.Table, error) {
	f, ps := rulefile.Parse(r.Text)
	if rulefile.HasErrors(ps) {
		return nil, balsampier.NewError(balsampier.KindInvalid, "parse accepted rules", "run the same version on all instances", nil)
	}
	t, err := inforce.Compile(r.Revision, f.Rules, r.Zones)
	return t, trace.Wrap(err)
}
