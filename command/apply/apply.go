// Package apply folds committed log entries into the state of control. It is
// a pure function of the log: every control instance reaches the same state.
package apply

import (
	"cmp"
	"slices"

	"github.com/balsampier/balsampier"
)

// MaxAnswers bounds how many submissions are remembered for resends.
const MaxAnswers = 10_000

type (
	// State is the replicated state of control.
	State struct {
		// Rules is the accepted rule file; its revision never falls.
		Rules balsampier.RuleFile
		// View is the membership; its epoch never falls.
		View balsampier.View
		// Answers holds the newest MaxAnswers answers, oldest first.
		Answers []balsampier.SubmissionAnswer
	}

	// MembershipChange is one batch of joined, changed and left members.
	MembershipChange struct {
		// Joined are members that are new or changed.
		Joined []balsampier.Member
		// Left are the members to remove.
		Left []balsampier.InstanceID
	}
)

// Answer returns the recorded answer to a submission.
func (s *State) Answer(id balsampier.SubmissionID) (balsampier.SubmissionAnswer, bool) {
	for i := len(s.Answers) - 1; i >= 0; i-- {
		if s.Answers[i].ID == id {
			return s.Answers[i], true
		}
	}
	return balsampier.SubmissionAnswer{}, false
}

// Submit accepts a submission on the current revision and refuses all others.
// A resend gets its first answer.
func (s *State) Submit(b balsampier.Submission) balsampier.SubmissionAnswer {
	if a, ok := s.Answer(b.ID); ok {
		return a
	}
	a := balsampier.SubmissionAnswer{ID: b.ID, Accepted: b.Base == s.Rules.Revision, Revision: s.Rules.Revision}
	if a.Accepted {
		a.Revision++
		s.Rules = balsampier.RuleFile{
			Revision: a.Revision, Text: b.Text, Zones: b.Zones, Submission: b.ID, AcceptedAt: b.At,
		}
	}
	s.Answers = append(s.Answers, a)
	if n := len(s.Answers) - MaxAnswers; n > 0 {
		s.Answers = slices.Delete(s.Answers, 0, n)
	}
	return a
}

// ChangeMembers applies one batch and raises the epoch by one.
func (s *State) ChangeMembers(c MembershipChange) {
	next := make([]balsampier.Member, 0, len(s.View.Members)+len(c.Joined))
	for _, m := range s.View.Members {
		if !slices.Contains(c.Left, m.ID) && !slices.ContainsFunc(c.Joined, func(j balsampier.Member) bool { return j.ID == m.ID }) {
			next = append(next, m)
		}
	}
	next = append(next, c.Joined...)
	slices.SortFunc(next, func(a, b balsampier.Member) int { return cmp.Compare(a.ID, b.ID) })
	s.View = balsampier.View{Epoch: s.View.Epoch + 1, Members: next}
}
