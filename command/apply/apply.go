// Package apply folds committed log entries into the state of control. It is
// a pure function of the log: every control instance reaches the same state.
package apply

import (
	"cmp"
	"slices"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/claim"
)

// MaxAnswers bounds how many submissions are remembered for resends.
const MaxAnswers = 10_000

type (
	// State is the replicated state of control. A State must not be copied
	// after its first use; Snapshot and Restore copy it.
	State struct {
		// Rules is the accepted rule file; its revision never falls.
		Rules balsampier.RuleFile
		// View is the membership; its epoch never falls. Its members are never
		// changed in place, so that readers may keep a view.
		View balsampier.View
		// Claims has the state of every service that ever had an agent. Its
		// elements are replaced, never changed in place.
		Claims map[balsampier.ServiceName]claim.Activation
		// Answers holds the newest MaxAnswers answers, oldest first.
		Answers []balsampier.SubmissionAnswer

		// answerIndex has the answer of each element of Answers; it is rebuilt when
		// Answers was set from outside.
		answerIndex map[balsampier.SubmissionID]balsampier.SubmissionAnswer
	}

	// MembershipChange is one batch of joined, changed and left members.
	MembershipChange struct {
		// Joined are members that are new or changed.
		Joined []balsampier.Member
		// Left are the members to remove. A member in Joined and in Left
		// stays.
		Left []balsampier.InstanceID
	}

	// Completion says that a holder has copied the claims for a claim epoch.
	Completion struct {
		Service balsampier.ServiceName
		Holder  balsampier.Holder
		Epoch   balsampier.Epoch
	}
)

// Answer returns the recorded answer to a submission.
func (s *State) Answer(id balsampier.SubmissionID) (balsampier.SubmissionAnswer, bool) {
	if s.answerIndex == nil || len(s.answerIndex) != len(s.Answers) {
		s.rebuildAnswerIndex()
	}
	a, ok := s.answerIndex[id]
	return a, ok
}

// Submit accepts a submission on the current revision and refuses all others.
// A resend gets its first answer. Once that is forgotten, the base revision
// keeps the resend from being accepted again: revisions only grow, so a base
// that was accepted on is never current again.
func (s *State) Submit(b balsampier.Submission) balsampier.SubmissionAnswer {
	if b.Version > 0 {
		return s.submitNumbered(b)
	}
	if a, ok := s.Answer(b.ID); ok {
		return a
	}
	if s.Rules.Revision > 0 && s.Rules.Submission == b.ID {
		return balsampier.SubmissionAnswer{ID: b.ID, Accepted: true, Revision: s.Rules.Revision}
	}
	a := balsampier.SubmissionAnswer{ID: b.ID, Accepted: b.Base == s.Rules.Revision, Revision: s.Rules.Revision}
	if a.Accepted {
		a.Revision++
		s.Rules = balsampier.RuleFile{
			Revision: a.Revision, Text: b.Text, Zones: b.Zones, Submission: b.ID, AcceptedAt: b.At,
		}
	}
	s.recordAnswer(a)
	return a
}

// submitNumbered takes a submission that the operator numbered: the highest version is
// in force, and a lower one is accepted without effect. Other content under
// the version in force is refused.
func (s *State) submitNumbered(b balsampier.Submission) balsampier.SubmissionAnswer {
	switch {
	case b.Version > s.Rules.Revision:
		s.Rules = balsampier.RuleFile{Revision: b.Version, Text: b.Text, AcceptedAt: b.At}
	case b.Version == s.Rules.Revision && b.Text != s.Rules.Text:
		return balsampier.SubmissionAnswer{Revision: s.Rules.Revision}
	}
	return balsampier.SubmissionAnswer{Accepted: true, Revision: s.Rules.Revision}
}

// ChangeMembers applies one batch and raises the epoch by one.
func (s *State) ChangeMembers(c MembershipChange) {
	s.View = balsampier.View{Epoch: s.View.Epoch + 1, Members: mergeMembers(s.View.Members, c)}
	s.publishGroups()
}

func (s *State) recordAnswer(a balsampier.SubmissionAnswer) {
	s.Answers = append(s.Answers, a)
	s.answerIndex[a.ID] = a
	for len(s.Answers) > MaxAnswers {
		delete(s.answerIndex, s.Answers[0].ID)
		s.Answers = s.Answers[1:]
	}
}

func (s *State) rebuildAnswerIndex() {
	s.answerIndex = make(map[balsampier.SubmissionID]balsampier.SubmissionAnswer, len(s.Answers))
	for _, a := range s.Answers {
		s.answerIndex[a.ID] = a
	}
}

// mergeMembers returns the members after the change, sorted by ID, in one pass over
// both sorted lists.
func mergeMembers(ms []balsampier.Member, c MembershipChange) []balsampier.Member {
	joined := sortedByID(c.Joined)
	left := slices.Sorted(slices.Values(c.Left))
	out := make([]balsampier.Member, 0, len(ms)+len(joined))
	for _, m := range ms {
		for len(joined) > 0 && joined[0].ID < m.ID {
			out = append(out, joined[0])
			joined = joined[1:]
		}
		if len(joined) > 0 && joined[0].ID == m.ID {
			continue
		}
		if _, ok := slices.BinarySearch(left, m.ID); !ok {
			out = append(out, m)
		}
	}
	return append(out, joined...)
}

// sortedByID returns the members sorted by ID; of equal IDs the last one
// stays.
func sortedByID(ms []balsampier.Member) []balsampier.Member {
	s := slices.Clone(ms)
	slices.SortStableFunc(s, func(a, b balsampier.Member) int { return cmp.Compare(a.ID, b.ID) })
	out := s[:0]
	for i, m := range s {
		if i+1 == len(s) || s[i+1].ID != m.ID {
			out = append(out, m)
		}
	}
	return out
}
