// Package apply applies committed log entries to the replicated state of the
// control instances. The state depends on the log alone, so all control
// instances reach the same state.
package apply

import (
	"cmp"
	"slices"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/claim"
)

// MaxAnswers limits how many answers to submissions are kept for resends.
const MaxAnswers = 10_000

type (
	// State is the replicated state of the control instances. It must not be
	// copied after its first use; use Snapshot and Restore instead.
	State struct {
		// Rules is the accepted rule file. Its revision never decreases.
		Rules balsampier.RuleFile
		// View is the membership. Its epoch never decreases. Its members are
		// never modified in place, so that readers may keep a view.
		View balsampier.View
		// Claims has the claim state of every service that ever had an agent.
		// Its elements are replaced, never modified in place.
		Claims map[balsampier.ServiceName]claim.Activation
		// Answers holds the newest MaxAnswers answers, oldest first.
		Answers []balsampier.SubmissionAnswer

		// answerIndex maps submission IDs to the elements of Answers. It is
		// rebuilt if Answers was set directly.
		answerIndex map[balsampier.SubmissionID]balsampier.SubmissionAnswer
	}

	// MembershipChange is a batch of members that joined, changed or left.
	MembershipChange struct {
		// Joined lists the members that are new or have changed.
		Joined []balsampier.Member
		// Left lists the members to remove. A member in both lists is kept.
		Left []balsampier.InstanceID
	}

	// Completion records that a holder has copied the claims for a claim epoch.
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

// Submit accepts a submission based on the current revision and refuses all
// others. A resend gets the recorded answer to its first copy. Once that answer
// was evicted, the base revision prevents a resend from being accepted again:
// revisions only increase, so a base on which a submission was accepted is
// never current again.
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

// submitNumbered applies a submission whose version was set by the operator.
// The highest version is in force; a lower one is accepted without effect. The
// version in force with different content is refused.
func (s *State) submitNumbered(b balsampier.Submission) balsampier.SubmissionAnswer {
	switch {
	case b.Version > s.Rules.Revision:
		s.Rules = balsampier.RuleFile{Revision: b.Version, Text: b.Text, AcceptedAt: b.At}
	case b.Version == s.Rules.Revision && b.Text != s.Rules.Text:
		return balsampier.SubmissionAnswer{Revision: s.Rules.Revision}
	}
	return balsampier.SubmissionAnswer{Accepted: true, Revision: s.Rules.Revision}
}

// ChangeMembers applies one batch and increments the view epoch.
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

// mergeMembers returns the members after the change, sorted by ID, in one pass
// over both sorted lists.
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

// sortedByID returns the members sorted by ID. Of several members with the same
// ID it keeps the last one.
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
