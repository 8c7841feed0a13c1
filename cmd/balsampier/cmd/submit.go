package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator"
)

// stateSuffix names the file that is kept beside a rule file.
const stateSuffix = ".state"

// fileState is kept beside a rule file between commands.
type fileState struct {
	// Base is the revision that the file was edited from.
	Base balsampier.Revision `json:"base"`
	// Pending is the submission that was not answered yet; nil without one.
	Pending *operator.SubmitBody `json:"pending,omitempty"`
}

func newSubmit(f *flags) *cobra.Command {
	return &cobra.Command{
		Use: "submit FILE", Short: "Submit a rule file; a submission that was not answered is sent again as it was",
		Args: cobra.ExactArgs(1), Example: "  balsampier rules -o rules.txt\n  $EDITOR rules.txt\n  balsampier submit rules.txt",
		RunE: func(c *cobra.Command, args []string) error {
			l, err := f.client(f.control)
			if err != nil {
				return err
			}
			b, err := pending(args[0])
			if err != nil {
				return err
			}
			a, err := l.Submit(c.Context(), b)
			return answer(c, args[0], b, a, err)
		},
	}
}

// pending returns the submission to send and records it beside the file
// before it is sent.
func pending(path string) (operator.SubmitBody, error) {
	var b operator.SubmitBody
	text, err := readRules(path)
	if err != nil {
		return b, err
	}
	s, err := readState(path)
	if err != nil {
		return b, err
	}
	if s.Pending != nil {
		if s.Pending.Text != text {
			return b, balsampier.NewError(balsampier.KindConflict, "submit "+path,
				fmt.Sprintf("an earlier text was sent and its answer is not known: restore it and submit, or fetch the rules anew; it is kept in %s", path+stateSuffix), nil)
		}
		return *s.Pending, nil
	}
	id, err := uuid.NewV7()
	if err != nil {
		return b, err
	}
	b = operator.SubmitBody{ID: id, Base: s.Base, Text: text}
	s.Pending = &b
	return b, writeState(path, s)
}

// answer reports the outcome and forgets the pending submission once the
// outcome is known.
func answer(c *cobra.Command, path string, b operator.SubmitBody, a operator.SubmitAnswer, err error) error {
	var r *operator.Refused
	switch k := balsampier.KindOf(err); {
	case errors.As(err, &r) && (k == balsampier.KindInvalid || k == balsampier.KindUnauthenticated):
		printProblems(c, path, r.Problems)
		return errors.Join(err, writeState(path, fileState{Base: b.Base}))
	case err != nil:
		return err
	case !a.Accepted:
		return errors.Join(balsampier.NewError(balsampier.KindConflict, "submit "+path,
			fmt.Sprintf("revision %d won; fetch it with balsampier rules -o, add your change and submit again", a.Revision), nil),
			writeState(path, fileState{Base: b.Base}))
	}
	printProblems(c, path, a.Problems)
	c.Printf("%s: accepted as revision %d\n", path, a.Revision)
	return writeState(path, fileState{Base: a.Revision})
}

func readState(path string) (fileState, error) {
	var s fileState
	b, err := os.ReadFile(path + stateSuffix)
	if errors.Is(err, os.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(b, &s); err != nil {
		return s, balsampier.NewError(balsampier.KindInvalid, "read "+path+stateSuffix, "fetch the rules anew with balsampier rules -o", err)
	}
	return s, nil
}

// writeState replaces the file whole or not at all.
func writeState(path string, s fileState) error {
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	t := path + stateSuffix + ".new"
	if err := os.WriteFile(t, b, filePerm); err != nil {
		return err
	}
	return os.Rename(t, path+stateSuffix)
}
