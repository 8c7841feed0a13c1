package follow

import (
	"time"

	"github.com/balsampier/balsampier"
)

// Status is what a dump and the metrics tell of a follower.
type Status struct {
	State State
	// Ready is true once the follower may serve; it then stays true.
	Ready bool
	// CutOff is true when a ready follower serves on with a state that has
	// not been confirmed to be the newest for Patience.
	CutOff bool
	// ControlIndex is an index into the configured control instances.
	ControlIndex int
	// Revision and Epoch are in force.
	Revision balsampier.Revision
	Epoch    balsampier.Epoch
	// ActiveEpoch is an epoch below which no member has a lease any more.
	ActiveEpoch balsampier.Epoch
	// ConfirmedAt is when Revision and Epoch were last confirmed to be the
	// newest; zero when they never were.
	ConfirmedAt time.Time
	// Failures counts streams that broke since control was last heard of.
	Failures int
}

// String returns the name of the state as it stands in dumps.
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
