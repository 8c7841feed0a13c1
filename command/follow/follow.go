// Package follow decides how a balancer or agent follows the rules and the
// membership: which changes it applies, when it is ready, and which control
// instance it watches.
package follow

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/backoff"
	"github.com/balsampier/balsampier/query/members"
)

const (
	// StateWaiting followers wait before they connect again.
	StateWaiting State = iota
	// StateConnecting followers have received no message on their stream yet.
	StateConnecting
	// StateUnconfirmed followers receive messages from an instance that has not
	// confirmed with a quorum that it knows the newest state.
	StateUnconfirmed
	// StateFollowing followers receive messages from an instance that has
	// confirmed it.
	StateFollowing
)

const (
	// SilenceTimeout is how long a stream may carry no message before it counts
	// as broken.
	SilenceTimeout = 4 * members.HeartbeatInterval
	// ConfirmationTimeout is how long a stream may carry no confirmation before
	// another instance is tried.
	ConfirmationTimeout = 3 * members.HeartbeatInterval
)

var (
	// reconnectBackoff spaces the attempts to connect to a control instance.
	reconnectBackoff = backoff.Policy{BaseDelay: 200 * time.Millisecond, MaxDelay: 2 * time.Second}
	// startupBackoff spaces them while the follower has no confirmed state to
	// serve with, for example after a power failure, when control starts at the
	// same time.
	startupBackoff = backoff.Policy{BaseDelay: 100 * time.Millisecond, MaxDelay: 200 * time.Millisecond}
)

type (
	// State is the state of a follower's connection to control.
	State uint8

	// Follower decides for a balancer or agent how it watches control. It
	// performs no I/O.
	Follower struct {
		// instanceCount is the number of control instances; positive.
		instanceCount int
		// controlIndex is the index of the one that is watched or tried next.
		controlIndex int
		state        State
		// rules and view are in force; neither is ever replaced by an older
		// one.
		rules       balsampier.RuleFile
		view        balsampier.View
		activeEpoch balsampier.Epoch
		// ready is true once rules and view have been confirmed to be the
		// newest.
		ready bool
		// assembly holds the parts of deltas received on this stream.
		assembly members.Assembler
		// needsFullState is true from a gap in the deltas until it is closed;
		// streams opened meanwhile request the full state.
		needsFullState bool
		// lastMessageAt is when the stream began or last carried a message.
		lastMessageAt time.Time
		// unconfirmedSince is when the instance last confirmed that it is up to
		// date, or when the stream began.
		unconfirmedSince time.Time
		// lastConfirmedAt is when rules and view were last confirmed to be the
		// newest; zero if they never were.
		lastConfirmedAt time.Time
		// retryAt is when to connect next while the state is StateWaiting.
		retryAt time.Time
		// failures counts streams that ended since the last confirmation.
		failures int
	}

	// Connection describes the stream to open.
	Connection struct {
		// ControlIndex is the index of the control instance to watch.
		ControlIndex int
		// Position is the state that the follower has; zero to request the full
		// state.
		Position members.Position
	}

	// Change is what a message changed. The caller applies all of it at once
	// and serves only once the follower is ready.
	Change struct {
		// Rules is nil if the rules did not change.
		Rules *balsampier.RuleFile
		// View is nil if the view did not change.
		View *balsampier.View
		// Ready is true if the follower became ready with this message.
		Ready bool
	}
)

// New returns the follower of a process that starts at time t. It first tries
// a random one of n control instances.
func New(n int, t time.Time, r balsampier.Random) *Follower {
	return &Follower{instanceCount: n, controlIndex: int(r.Uint64() % uint64(n)), retryAt: t}
}

// SetInstances sets the number of control instances; n is positive.
func (f *Follower) SetInstances(n int) {
	f.instanceCount = n
	f.controlIndex %= n
}

// NextDeadline returns when to call Connect or IsExpired next.
func (f *Follower) NextDeadline() time.Time {
	if f.state == StateWaiting {
		return f.retryAt
	}
	u := f.lastMessageAt.Add(SilenceTimeout)
	if p := f.unconfirmedSince.Add(ConfirmationTimeout); p.Before(u) {
		return p
	}
	return u
}

// Connect returns the stream to open at time t; ok is false if it is too early
// or a stream is open.
func (f *Follower) Connect(t time.Time) (c Connection, ok bool) {
	if f.state != StateWaiting || t.Before(f.retryAt) {
		return c, false
	}
	f.state, f.lastMessageAt, f.unconfirmedSince = StateConnecting, t, t
	f.assembly = members.Assembler{}
	c.ControlIndex = f.controlIndex
	if !f.needsFullState {
		c.Position = members.Position{Revision: f.rules.Revision, Epoch: f.view.Epoch}
	}
	return c, true
}

// HandleMessage handles a message that the open stream carried at time t. After
// an error the caller must close the stream and call HandleDisconnect.
func (f *Follower) HandleMessage(m members.Message, t time.Time) (c Change, err error) {
	f.lastMessageAt = t
	f.activeEpoch = max(f.activeEpoch, m.Active)
	if m.Rules != nil {
		if c.Rules, err = f.applyRules(*m.Rules); err != nil {
			f.needsFullState = true
			return Change{}, trace.Wrap(err)
		}
	}
	if m.View != nil {
		if c.View, err = f.applyView(*m.View); err != nil {
			f.needsFullState = true
			return c, trace.Wrap(err)
		}
	}
	c.Ready = f.handleConfirmation(m, t)
	return c, nil
}

// IsExpired reports whether the open stream has carried no message or no
// confirmation for too long. The caller must then close it and call
// HandleDisconnect.
func (f *Follower) IsExpired(t time.Time) bool {
	return f.state != StateWaiting && !t.Before(f.NextDeadline())
}

// HandleDisconnect records that a stream ended or could not be opened. The next
// attempt goes to the next instance, after a random delay.
func (f *Follower) HandleDisconnect(t time.Time, r balsampier.Random) {
	f.state = StateWaiting
	f.controlIndex = (f.controlIndex + 1) % f.instanceCount
	p := reconnectBackoff
	if !f.ready {
		p = startupBackoff
	}
	f.retryAt = t.Add(p.Delay(f.failures, r))
	f.failures++
}

// applyRules adds a part of a delta and returns the rule file that came into
// force with it, or nil.
func (f *Follower) applyRules(p members.RulesPart) (*balsampier.RuleFile, error) {
	d, ok := f.assembly.AddRules(p)
	if !ok || d.File.Revision <= f.rules.Revision {
		return nil, nil
	}
	g, err := members.ApplyRules(f.rules, d)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f.rules, f.needsFullState = g, false
	return &g, nil
}

// applyView adds a part of a delta and returns the view that came into force
// with it, or nil.
func (f *Follower) applyView(p members.ViewPart) (*balsampier.View, error) {
	d, ok := f.assembly.AddView(p)
	if !ok || d.To <= f.view.Epoch {
		return nil, nil
	}
	v, err := members.Apply(f.view, d)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f.view, f.needsFullState = v, false
	return &v, nil
}

// handleConfirmation updates the state from what a message confirms and reports
// whether the follower became ready.
func (f *Follower) handleConfirmation(m members.Message, t time.Time) bool {
	f.state = StateUnconfirmed
	if !m.Confirmed {
		return false
	}
	f.state = StateFollowing
	f.unconfirmedSince, f.failures = t, 0
	if m.Revision > f.rules.Revision || m.Epoch > f.view.Epoch {
		return false
	}
	f.lastConfirmedAt, f.needsFullState = t, false
	first := !f.ready
	f.ready = true
	return first
}
