package cmd

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator/report"
	"github.com/balsampier/balsampier/operator/rulefile"
	"github.com/balsampier/balsampier/query/check"
	"github.com/balsampier/balsampier/query/zonetable"
)

// compiledRules is a rule file that is ready to answer.
type compiledRules struct {
	revision balsampier.Revision
	rules    []balsampier.Rule
	zones    []balsampier.ZoneTable
}

func newCheck(f *flags) *cobra.Command {
	var strict bool
	k := &cobra.Command{
		Use: "check FILE", Short: "Check a rule file without submitting it", Args: cobra.ExactArgs(1),
		Long: `Check a rule file without submitting it: errors refuse a file, warnings name
what was probably not meant. No process is asked.`,
		Example: "  balsampier check rules.txt\n  balsampier check --strict rules.txt",
		RunE: func(c *cobra.Command, args []string) error {
			text, err := readRules(args[0])
			if err != nil {
				return err
			}
			_, ps, err := compile(text, f.clock.Now())
			if err != nil {
				return err
			}
			if err := report.WriteProblems(c.OutOrStdout(), ps); err != nil {
				return err
			}
			if rulefile.HasErrors(ps) || (strict && len(ps) > 0) {
				return balsampier.NewError(balsampier.KindInvalid, "check "+args[0], "correct the lines named", nil)
			}
			return nil
		},
	}
	k.Flags().BoolVar(&strict, "strict", false, "fail on warnings too")
	return k
}

// compile returns the problems of a rule file; without errors among them the
// file is ready to answer as if it was accepted at t.
func compile(text string, t time.Time) (compiledRules, []balsampier.Problem, error) {
	f, ps := rulefile.Parse(text)
	if rulefile.HasErrors(ps) {
		return compiledRules{}, ps, nil
	}
	zs, more, err := check.Check(zonetable.BuiltIn{}, f.Rules, f.ClockChanges, t)
	return compiledRules{rules: f.Rules, zones: zs}, append(ps, more...), err
}

func readRules(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", balsampier.NewError(balsampier.KindInvalid, "read "+path, "give a readable rule file", err)
	}
	return string(b), nil
}
