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

// compiledRules is a valid rule file with its compiled time zones.
type compiledRules struct {
	// revision is zero unless the rules are the accepted ones.
	revision balsampier.Revision
	rules    []balsampier.Rule
	zones    []balsampier.ZoneTable
}

func newCheck(f *flags) *cobra.Command {
	var strict bool
	k := &cobra.Command{
		Use: "check FILE", Short: "Check a rule file without submitting it", Args: cobra.ExactArgs(1),
		Long: `Check a rule file without submitting it. A file with errors would be refused;
warnings point out likely mistakes. The check runs locally and calls no process.`,
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

// compile returns the problems of a rule file and, if there are no errors among
// them, the rules with time zones compiled as if the file was accepted at t.
func compile(text string, t time.Time) (compiledRules, []balsampier.Problem, error) {
	f, ps := rulefile.Parse(text)
	if rulefile.HasErrors(ps) {
		return compiledRules{}, ps, nil
	}
	zs, checkProblems, err := check.Check(zonetable.BuiltIn{}, f.Rules, f.ClockChanges, t)
	return compiledRules{rules: f.Rules, zones: zs}, append(ps, checkProblems...), err
}

func readRules(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", balsampier.NewError(balsampier.KindInvalid, "read "+path, "give a readable rule file", err)
	}
	return string(b), nil
}
