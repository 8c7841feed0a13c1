// Package follow decides how a balancer or agent follows the rules and the
// membership: what it takes over, when it is ready, and which control instance
// it watches.
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
	// StateConnecting followers have heard nothing on their stream yet.
	StateConnecting
	// StateUnconfirmed followers hear from an instance that has not confirmed
	// with a quorum that it knows the newest state.
	StateUnconfirmed
	// StateFollowing followers hear from an instance that has.
	StateFollowing
)

const (
	// SilenceTimeout is how long a stream may say nothing before it counts as
	// broken.
	SilenceTimeout = 4 * members.HeartbeatInterval
	// ConfirmationTimeout is how long a stream may stay without confirmation before
	// another instance is tried.
	ConfirmationTimeout = 3 * members.HeartbeatInterval
)

var (
	// reconnectBackoff spaces attempts to reach a control instance.
	reconnectBackoff = backoff.Policy{Base: 200 * time.Millisecond, Cap: 2 * time.Second}
	// startupBackoff spaces them while the follower has no state to serve by, as
	// after a loss of power, when control starts at the same time.
	startupBackoff = backoff.Policy{Base: 100 * time.Millisecond, Cap: 200 * time.Millisecond}
)

type (
	// State tells how a follower stands with control.
	State uint8

	// Follower is the watching side of a balancer or agent.
	Follower struct {
		// instanceCount is how many control instanceCount there are; positive.
		instanceCount int
		// controlIndex is the one that is watched or tried next.
		controlIndex int
		state        State
		// rules and view are in force; neither ever goes back.
		rules       balsampier.RuleFile
		view        balsampier.View
		activeEpoch balsampier.Epoch
		// ready is true from the first time at which rules and view were
		// confirmed to be the newest.
		ready bool
		// assembly holds what arrived of deltas on this stream.
		assembly members.Assembly
		// needsFullState is true from a gap until it is closed; streams ask for
		// everything meanwhile.
		needsFullState bool
		// lastMessageAt is when the stream began or said something last.
		lastMessageAt time.Time
		// unconfirmedSince is when the state was last unconfirmedSince to be the newest, or
		// when the stream began.
		unconfirmedSince time.Time
		// lastConfirmedAt is when the state was last confirmed to be the newest;
		// zero when it never was.
		lastConfirmedAt time.Time
		// retryAt is when to connect while the state is StateWaiting.
		retryAt time.Time
		// failures counts streams that broke since the last confirmation.
		failures int
	}

	// Connection says which instance to watch, from where on.
	Connection struct {
		// ControlIndex is an index into the configured control instances.
		ControlIndex int
		// Position is what the follower has; zero to ask for everything.
		Position members.Position
	}

	// Change is what a message changed. A caller takes over the whole of it
	// at once, and serves only once the follower is ready.
	Change struct {
		// Rules is nil when the rules stay.
		Rules *balsampier.RuleFile
		// View is nil when the view stays.
		View *balsampier.View
		// Ready is true when the follower became ready by this message.
		Ready bool
	}
)

// New returns the follower of a process that starts at time t. It begins with
// a random one of n control instances.
func New(n int, t time.Time, r balsampier.Random) *Follower {
	return &Follower{instanceCount: n, controlIndex: int(r.Uint64() % uint64(n)), retryAt: t}
}

// SetInstances changes how many control instances there are; n is positive.
func (f *Follower) SetInstances(n int) {
	f.instanceCount = n
	f.controlIndex %= n
}

// NextDeadline returns the time of the next call of Connect or Expire.
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

// Connect says at time t what to connect to; ok is false when it is too early
// or a stream is open.
func (f *Follower) Connect(t time.Time) (c Connection, ok bool) {
	if f.state != StateWaiting || t.Before(f.retryAt) {
		return c, false
	}
	f.state, f.lastMessageAt, f.unconfirmedSince = StateConnecting, t, t
	f.assembly = members.Assembly{}
	c.ControlIndex = f.controlIndex
	if !f.needsFullState {
		c.Position = members.Position{Revision: f.rules.Revision, Epoch: f.view.Epoch}
	}
	return c, true
}

// HandleMessage takes a message of the open stream at time t. After an error the stream
// has to be closed and Broke called.
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

// IsExpired reports whether the open stream has been silent or unconfirmed for
// too long; it has to be closed and Broke called then.
func (f *Follower) IsExpired(t time.Time) bool {
	return f.state != StateWaiting && !t.Before(f.NextDeadline())
}

// HandleDisconnect takes the end of a stream, or that none could be opened. The next
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

// applyRules returns the rule file that came into force with a part.
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

// applyView returns the view that came into force with a part.
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

// handleConfirmation takes what a message says of the newest state and reports whether
// the follower became ready.
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
