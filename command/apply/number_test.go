package apply_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
)

// TestNumberedSubmissions sends documents in any order: the highest version is
// in force, and no content takes the place of another under one version.
func TestNumberedSubmissions(t *testing.T) {
	tests := []struct {
		name     string
		version  balsampier.Revision
		text     string
		accepted bool
		held     balsampier.Revision
		heldText string
	}{
		{"first", 7, "a", true, 7, "a"},
		{"resent", 7, "a", true, 7, "a"},
		{"other content under the same version", 7, "b", false, 7, "a"},
		{"higher", 12, "c", true, 12, "c"},
		{"overtaken", 9, "d", true, 12, "c"},
		{"an older one again", 7, "a", true, 12, "c"},
		{"higher again", 13, "e", true, 13, "e"},
	}
	s := new(apply.State)
	for _, v := range tests {
		a := s.Submit(balsampier.Submission{Version: v.version, Text: v.text})
		qt.Assert(t, a, qt.Equals, balsampier.SubmissionAnswer{Accepted: v.accepted, Revision: v.held}, qt.Commentf("%s", v.name))
		qt.Assert(t, s.Rules.Text, qt.Equals, v.heldText, qt.Commentf("%s", v.name))
	}
	qt.Assert(t, s.Answers, qt.HasLen, 0)
}
