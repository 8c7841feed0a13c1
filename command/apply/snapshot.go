package apply

import (
	"slices"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/claim"
)

// Snapshot is the complete replicated state. It shares no values with the State
// that it was taken from, except members, claims and zones, which are never
// modified in place.
type Snapshot struct {
	// Rules is the accepted rule file.
	Rules balsampier.RuleFile
	// View is the membership.
	View balsampier.View
	// Claims has the claim state of every service that ever had an agent.
	Claims map[balsampier.ServiceName]claim.Activation
	// Answers holds at most MaxAnswers answers, oldest first, with unique IDs.
	Answers []balsampier.SubmissionAnswer
}

// Snapshot returns the state as of the last applied entry.
func (s *State) Snapshot() Snapshot {
	return Snapshot{Rules: s.Rules, View: s.View, Claims: s.Claims, Answers: slices.Clone(s.Answers)}
}

// Restore returns the state from a snapshot. It returns an error of KindCorrupt
// if the snapshot is inconsistent.
func Restore(p Snapshot) (*State, error) {
	s := &State{Rules: p.Rules, View: p.View, Claims: p.Claims, Answers: slices.Clone(p.Answers)}
	s.rebuildAnswerIndex()
	if len(s.answerIndex) != len(s.Answers) || len(s.Answers) > MaxAnswers {
		return nil, trace.Wrap(errCorrupt(), "snapshot has %d answers with %d distinct submission IDs", len(s.Answers), len(s.answerIndex))
	}
	for i := 1; i < len(s.View.Members); i++ {
		if s.View.Members[i-1].ID >= s.View.Members[i].ID {
			return nil, trace.Wrap(errCorrupt(), "snapshot view: member %d is not in the order of IDs", i)
		}
	}
	return s, nil
}

func errCorrupt() error {
	return balsampier.NewError(balsampier.KindCorrupt, "restore snapshot",
		"replace the disk of this control instance and start it blank", nil)
}
