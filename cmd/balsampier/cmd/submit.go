package cmd

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator"
	"github.com/balsampier/balsampier/operator/report"
)

// submission is one run of the submit command.
type submission struct {
	*flags
	c    *cobra.Command
	l    *operator.Client
	path string
	text string
}

func newSubmit(f *flags) *cobra.Command {
	var wait bool
	s := &cobra.Command{
		Use: "submit FILE", Short: "Submit a rule file and wait until it is in force", Args: cobra.ExactArgs(1),
		Long: `Submit a rule file and wait until it is in force on every balancer and agent.

An accepted file is final, also before it is in force everywhere. A submission
whose answer was lost stays beside the file; submitting the same text again
sends the very same submission, which is accepted at most once.`,
		Example: "  balsampier rules --output rules.txt\n  $EDITOR rules.txt\n  balsampier submit rules.txt\n  balsampier submit --wait=false rules.txt",
		RunE: func(c *cobra.Command, args []string) error {
			text, err := readRules(args[0])
			if err != nil {
				return err
			}
			l, err := f.client(f.control)
			if err != nil {
				return err
			}
			x, cancel := f.context(c)
			defer cancel()
			r, err := submission{flags: f, c: c, l: l, path: args[0], text: text}.run(x)
			if err != nil || !wait {
				return err
			}
			return f.follow(x, c, l, args[0], r)
		},
	}
	s.Flags().BoolVar(&wait, "wait", true, "wait until the file is in force everywhere")
	return s
}

// run returns the revision that the text was accepted as.
func (s submission) run(c context.Context) (balsampier.Revision, error) {
	st, err := readState(s.path)
	if err != nil {
		return 0, err
	}
	if st.Pending == nil {
		a, err := s.l.Rules(c)
		if err != nil {
			return 0, err
		}
		if a.Revision > 0 && a.Text == s.text {
			s.c.Printf("%s: unchanged, it is revision %d already\n", s.path, a.Revision)
			return a.Revision, writeState(s.path, fileState{Base: a.Revision})
		}
	}
	if st, err = s.open(st); err != nil {
		return 0, err
	}
	a, err := s.l.Submit(c, *st.Pending)
	if err != nil {
		return 0, s.failed(st, err)
	}
	if !a.Accepted {
		return 0, s.lost(c, st, a.Revision)
	}
	if ws := a.Warnings(); len(ws) > 0 {
		if err := report.WriteProblems(s.c.ErrOrStderr(), ws); err != nil {
			return 0, err
		}
	}
	s.c.Printf("%s: accepted as revision %d\n", s.path, a.Revision)
	return a.Revision, writeState(s.path, fileState{Base: a.Revision})
}

// open records the submission beside the file before it is sent. A text that
// was edited since an unanswered submission goes out under a new ID on the same
// base, on which at most one of the two is accepted.
func (s submission) open(st fileState) (fileState, error) {
	if st.Pending != nil {
		if st.Pending.Text == s.text {
			s.c.Printf("%s: sending the submission again whose answer is not known\n", s.path)
			return st, nil
		}
		s.c.Printf("%s: the answer to an earlier text is not known; at most one of the two is accepted\n", s.path)
		st.Earlier = st.Pending.Text
	}
	id, err := uuid.NewV7()
	if err != nil {
		return st, err
	}
	st.Pending = &operator.SubmitBody{ID: id, Base: st.Base, Text: s.text}
	return st, writeState(s.path, st)
}

// failed keeps the submission for a resend unless it was refused for good.
func (s submission) failed(st fileState, err error) error {
	var r *operator.RefusedError
	if errors.As(err, &r) && balsampier.KindOf(err) == balsampier.KindInvalid {
		return errors.Join(err, report.WriteProblems(s.c.ErrOrStderr(), r.Problems), writeState(s.path, fileState{Base: st.Base}))
	}
	if balsampier.KindOf(err) == balsampier.KindUnauthenticated {
		return err
	}
	return balsampier.NewError(balsampier.KindUnknown, "submit "+s.path,
		"the answer is not known: submit again, which sends the same submission and is accepted at most once", err)
}

// lost reports the revision that won.
func (s submission) lost(c context.Context, st fileState, won balsampier.Revision) error {
	remedy := fmt.Sprintf("revision %d won: fetch it with balsampier rules --output to another file, carry your change over and submit that file", won)
	next := fileState{Base: st.Base}
	if a, err := s.l.Rules(c); err == nil && st.Earlier != "" && a.Text == st.Earlier {
		next.Base = a.Revision
		remedy = fmt.Sprintf("the earlier text of this file was accepted as revision %d: submit again to replace it", a.Revision)
	}
	return errors.Join(balsampier.NewError(balsampier.KindConflict, "submit "+s.path, remedy, nil), writeState(s.path, next))
}

// follow waits until revision r is in force and tells where it is not.
func (f *flags) follow(c context.Context, k *cobra.Command, l *operator.Client, path string, r balsampier.Revision) error {
	s, err := f.waitInForce(c, l, r)
	if err != nil {
		return balsampier.NewError(balsampier.KindUnavailable, "follow the roll-out of "+path,
			fmt.Sprintf("the file is accepted; run balsampier status --wait-for %d", r), err)
	}
	k.Printf("%s: %s\n", path, summary(s))
	if s.IsInForce(r) {
		return nil
	}
	var ms []operator.MemberStatus
	for _, m := range s.Members {
		if m.RevisionInForce < r {
			ms = append(ms, m)
		}
	}
	k.Printf("accepted, yet not in force on:\n")
	return errors.Join(printMembers(k.OutOrStdout(), ms), notInForce(r, f.timeout))
}
