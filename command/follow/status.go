package follow

import (
	"time"

	"github.com/balsampier/balsampier"
)

// Status is the status of a follower for dumps and metrics.
type Status struct {
	State State
	// Ready is true once the follower may serve; it stays true from then on.
	Ready bool
	// CutOff is true if a ready follower continues to serve with a state that
	// has not been confirmed to be the newest for ConfirmationTimeout.
	CutOff bool
	// ControlIndex is the index of the control instance that is watched or
	// tried next, in the list of known ones.
	ControlIndex int
	// Revision and Epoch are those of the rules and the view in force.
	Revision balsampier.Revision
	Epoch    balsampier.Epoch
	// ActiveEpoch is an epoch below which no member has a lease any more.
	ActiveEpoch balsampier.Epoch
	// ConfirmedAt is when Revision and Epoch were last confirmed to be the
	// newest; zero if they never were.
	ConfirmedAt time.Time
	// Failures counts streams that ended, or could not be opened, since the last
	// message from an instance confirmed to be up to date.
	Failures int
}

// String returns the name of the state as it appears in dumps.
func (s State) String() string {
	return [...]string{"waiting", "connecting", "unconfirmed", "following"}[s]
}

// Status returns the status at time t.
func (f *Follower) Status(t time.Time) Status {
	return Status{
		State: f.state, Ready: f.ready, CutOff: f.ready && t.Sub(f.lastConfirmedAt) >= ConfirmationTimeout,
		ControlIndex: f.controlIndex, Revision: f.rules.Revision, Epoch: f.view.Epoch, ActiveEpoch: f.activeEpoch,
		ConfirmedAt: f.lastConfirmedAt, Failures: f.failures,
	}
}

// Rules returns the rule file in force.
func (f *Follower) Rules() balsampier.RuleFile { return f.rules }

// View returns the view in force.
func (f *Follower) View() balsampier.View { return f.view }

// Ready reports whether the follower may serve.
func (f *Follower) Ready() bool { return f.ready }
