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

// submitCommand is one run of the submit command.
type submitCommand struct {
	*flags
	command        *cobra.Command
	operatorClient *operator.Client
	filePath       string
	fileText       string
}

func newSubmit(f *flags) *cobra.Command {
	var wait bool
	s := &cobra.Command{
		Use: "submit FILE", Short: "Submit a rule file and wait until it is in force", Args: cobra.ExactArgs(1),
		Long: `Submit a rule file and wait until it is in force on every balancer and agent.

An accepted file is final, also before it is in force everywhere. A submission
whose response was lost is kept beside the file; submitting the same text again
resends the same submission, which is accepted at most once.`,
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
			r, err := submitCommand{flags: f, command: c, operatorClient: l, filePath: args[0], fileText: text}.submitFile(x)
			if err != nil || !wait {
				return err
			}
			return f.reportRollout(x, c, l, args[0], r)
		},
	}
	s.Flags().BoolVar(&wait, "wait", true, "wait until the file is in force everywhere")
	return s
}

// submitFile submits the file, unless its text is the accepted one already, and
// returns the revision as which it was accepted.
func (s submitCommand) submitFile(c context.Context) (balsampier.Revision, error) {
	st, err := readState(s.filePath)
	if err != nil {
		return 0, err
	}
	if st.Pending == nil {
		a, err := s.operatorClient.Rules(c)
		if err != nil {
			return 0, err
		}
		if a.Revision > 0 && a.Text == s.fileText {
			s.command.Printf("%s: unchanged, it is revision %d already\n", s.filePath, a.Revision)
			return a.Revision, writeState(s.filePath, fileState{Base: a.Revision})
		}
	}
	if st, err = s.recordPending(st); err != nil {
		return 0, err
	}
	a, err := s.operatorClient.Submit(c, *st.Pending)
	if err != nil {
		return 0, s.handleError(st, err)
	}
	if !a.Accepted {
		return 0, s.handleConflict(c, st, a.Revision)
	}
	if ws := a.Warnings(); len(ws) > 0 {
		if err := report.WriteProblems(s.command.ErrOrStderr(), ws); err != nil {
			return 0, err
		}
	}
	s.command.Printf("%s: accepted as revision %d\n", s.filePath, a.Revision)
	return a.Revision, writeState(s.filePath, fileState{Base: a.Revision})
}

// recordPending writes the submission to the state file before it is sent. If
// the outcome of an earlier submission is unknown, the same text is resent as
// that submission. An edited text becomes a new submission with its own ID on
// the same base, so that at most one of the two is accepted.
func (s submitCommand) recordPending(st fileState) (fileState, error) {
	if st.Pending != nil {
		if st.Pending.Text == s.fileText {
			s.command.Printf("%s: sending the submission again whose answer is not known\n", s.filePath)
			return st, nil
		}
		s.command.Printf("%s: the answer to an earlier text is not known; at most one of the two is accepted\n", s.filePath)
		st.EarlierText = st.Pending.Text
	}
	id, err := uuid.NewV7()
	if err != nil {
		return st, err
	}
	st.Pending = &operator.SubmitBody{ID: id, Base: st.Base, Text: s.fileText}
	return st, writeState(s.filePath, st)
}

// handleError returns the error to report for a submission that failed with
// err. The pending submission is kept for a resend unless the file was refused
// as invalid.
func (s submitCommand) handleError(st fileState, err error) error {
	var r *operator.RefusedError
	if errors.As(err, &r) && balsampier.KindOf(err) == balsampier.KindInvalid {
		return errors.Join(err, report.WriteProblems(s.command.ErrOrStderr(), r.Problems), writeState(s.filePath, fileState{Base: st.Base}))
	}
	if balsampier.KindOf(err) == balsampier.KindUnauthenticated {
		return err
	}
	return balsampier.NewError(balsampier.KindUnknown, "submit "+s.filePath,
		"the answer is not known: submit again, which sends the same submission and is accepted at most once", err)
}

// handleConflict returns the error for a submission that lost to the accepted
// revision. If that revision is the earlier text of this file, it becomes the
// new base, so that the next submission replaces it.
func (s submitCommand) handleConflict(c context.Context, st fileState, accepted balsampier.Revision) error {
	remedy := fmt.Sprintf("revision %d won: fetch it with balsampier rules --output to another file, carry your change over and submit that file", accepted)
	nextState := fileState{Base: st.Base}
	if a, err := s.operatorClient.Rules(c); err == nil && st.EarlierText != "" && a.Text == st.EarlierText {
		nextState.Base = a.Revision
		remedy = fmt.Sprintf("the earlier text of this file was accepted as revision %d: submit again to replace it", a.Revision)
	}
	return errors.Join(balsampier.NewError(balsampier.KindConflict, "submit "+s.filePath, remedy, nil), writeState(s.filePath, nextState))
}

// reportRollout waits until revision r is in force everywhere, and prints the
// members that do not have it in force when the time-out ends the wait.
func (f *flags) reportRollout(c context.Context, k *cobra.Command, l *operator.Client, path string, r balsampier.Revision) error {
	s, err := f.waitInForce(c, l, r)
	if err != nil {
		return balsampier.NewError(balsampier.KindUnavailable, "wait for the roll-out of "+path,
			fmt.Sprintf("the file is accepted; run balsampier status --wait-for %d", r), err)
	}
	k.Printf("%s: %s\n", path, formatSummary(s))
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
	return errors.Join(printMembers(k.OutOrStdout(), ms), notInForceError(r, f.timeout))
}
