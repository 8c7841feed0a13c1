package apply_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
)

func TestMain(m *testing.M) {
	_, _ = flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// TestSubmissions submits concurrent changes on the same base revision, with
// resends at any time and snapshots in between. At most one submission per base
// may be accepted, and a resend must get the answer to its first copy.
func TestSubmissions(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := &apply.State{}
		firstAnswers := map[balsampier.SubmissionID]balsampier.SubmissionAnswer{}
		sent := []balsampier.Submission{}
		acceptedCount := map[balsampier.Revision]int{}
		submit := func(b balsampier.Submission) {
			before := s.Rules.Revision
			a := s.Submit(b)
			if f, ok := firstAnswers[b.ID]; ok {
				if f != a || s.Rules.Revision != before {
					r.Fatalf("resend of %v got answer %+v, first answer was %+v", b.ID, a, f)
				}
				return
			}
			firstAnswers[b.ID] = a
			if a.Accepted {
				acceptedCount[b.Base]++
			}
			if acceptedCount[b.Base] > 1 || s.Rules.Revision < before || a.Accepted != (s.Rules.Revision == before+1) {
				r.Fatalf("base %d: %d accepted, revision %d after %d", b.Base, acceptedCount[b.Base], s.Rules.Revision, before)
			}
		}
		r.Repeat(map[string]func(*rapid.T){
			"submit": func(r *rapid.T) {
				base := balsampier.Revision(rapid.Uint64Range(0, 2).Draw(r, "behind"))
				base = max(s.Rules.Revision, base) - base
				for i := range rapid.IntRange(1, 3).Draw(r, "operators") {
					b := balsampier.Submission{ID: newID(len(sent)), Base: base, Text: fmt.Sprint(i)}
					sent = append(sent, b)
					submit(b)
				}
			},
			"resend": func(r *rapid.T) {
				if len(sent) > 0 {
					submit(rapid.SampledFrom(sent).Draw(r, "submission"))
				}
			},
			"snapshot": func(r *rapid.T) {
				n, err := apply.Restore(s.Snapshot())
				if err != nil {
					r.Fatal(err)
				}
				s = n
			},
			"decoded": func(*rapid.T) {
				s = &apply.State{Rules: s.Rules, View: s.View, Answers: s.Answers}
			},
		})
	})
}

func TestForgottenResendIsNotAcceptedAgain(t *testing.T) {
	c := qt.New(t)
	s := &apply.State{}
	b := balsampier.Submission{ID: newID(0), Text: "first"}
	c.Assert(s.Submit(b).Accepted, qt.IsTrue)
	for i := range apply.MaxAnswers {
		s.Submit(balsampier.Submission{ID: newID(i + 1), Base: 99_999_999})
	}
	c.Assert(s.Answers, qt.HasLen, apply.MaxAnswers)
	_, ok := s.Answer(b.ID)
	c.Assert(ok, qt.IsFalse)
	c.Assert(s.Submit(b), qt.Equals, balsampier.SubmissionAnswer{ID: b.ID, Accepted: true, Revision: 1})
	c.Assert(s.Submit(balsampier.Submission{ID: newID(99_999), Base: 1}).Accepted, qt.IsTrue)
	c.Assert(s.Submit(b), qt.Equals, balsampier.SubmissionAnswer{ID: b.ID, Revision: 2})
	c.Assert(s.Rules.Revision, qt.Equals, balsampier.Revision(2))
}

// TestChangeMembers compares the merged members with a map.
func TestChangeMembers(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s, want := &apply.State{}, map[balsampier.InstanceID]balsampier.Member{}
		for e := range rapid.IntRange(1, 20).Draw(r, "changes") {
			var c apply.MembershipChange
			for _, id := range rapid.SliceOfN(rapid.Uint64Range(1, 12), 0, 6).Draw(r, "left") {
				c.Left = append(c.Left, balsampier.InstanceID(id))
				delete(want, balsampier.InstanceID(id))
			}
			for i, id := range rapid.SliceOfN(rapid.Uint64Range(1, 12), 0, 6).Draw(r, "joined") {
				m := balsampier.Member{ID: balsampier.InstanceID(id), Incarnation: balsampier.Incarnation(100*e + i)}
				c.Joined = append(c.Joined, m)
				want[m.ID] = m
			}
			s.ChangeMembers(c)
			if s.View.Epoch != balsampier.Epoch(e+1) || len(s.View.Members) != len(want) {
				r.Fatalf("epoch %d has %d members, want %d", s.View.Epoch, len(s.View.Members), len(want))
			}
			for i, m := range s.View.Members {
				if want[m.ID] != m || i > 0 && s.View.Members[i-1].ID >= m.ID {
					r.Fatalf("member %d is %+v, want %+v", i, m, want[m.ID])
				}
			}
		}
	})
}

func TestRestoreRefusesCorruptSnapshots(t *testing.T) {
	a := balsampier.SubmissionAnswer{ID: newID(1)}
	tests := []struct {
		name string
		p    apply.Snapshot
	}{
		{"repeated answer", apply.Snapshot{Answers: []balsampier.SubmissionAnswer{a, a}}},
		{"repeated member", apply.Snapshot{View: balsampier.View{Members: []balsampier.Member{{ID: 1}, {ID: 1}}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := apply.Restore(tt.p)
			qt.Assert(t, balsampier.KindOf(err), qt.Equals, balsampier.KindCorrupt)
		})
	}
}

func newID(n int) balsampier.SubmissionID {
	return uuid.NewSHA1(uuid.Nil, fmt.Append(nil, n))
}
