package apply_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
)

// TestNumberedSubmissions submits numbered documents out of order. The highest
// version must be in force, and the content of a version must never change.
func TestNumberedSubmissions(t *testing.T) {
	tests := []struct {
		name         string
		version      balsampier.Revision
		text         string
		wantAccepted bool
		wantRevision balsampier.Revision
		wantText     string
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
		qt.Assert(t, a, qt.Equals, balsampier.SubmissionAnswer{Accepted: v.wantAccepted, Revision: v.wantRevision}, qt.Commentf("%s", v.name))
		qt.Assert(t, s.Rules.Text, qt.Equals, v.wantText, qt.Commentf("%s", v.name))
	}
	qt.Assert(t, s.Answers, qt.HasLen, 0)
}
