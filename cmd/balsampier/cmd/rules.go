package cmd

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator/rulefile"
)

const filePerm = 0o644

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Check a rule file without submitting it", Args: cobra.ExactArgs(1),
		Example: "  balsampier check rules.txt",
		RunE: func(c *cobra.Command, args []string) error {
			text, err := readRules(args[0])
			if err != nil {
				return err
			}
			f, ps := rulefile.Parse(text)
			printProblems(c, args[0], ps)
			if rulefile.Failed(ps) {
				return balsampier.NewError(balsampier.KindInvalid, "check "+args[0], "correct the lines named", nil)
			}
			c.Printf("%s: %d rules and %d clock changes, no faults\n", args[0], len(f.Rules), len(f.Clocks))
			return nil
		},
	}
}

func newRules(f *flags) *cobra.Command {
	var out string
	r := &cobra.Command{
		Use: "rules", Short: "Fetch the accepted rule file", Args: cobra.NoArgs,
		Example: "  balsampier rules --output rules.txt",
		RunE: func(c *cobra.Command, _ []string) error {
			l, err := f.client(f.control)
			if err != nil {
				return err
			}
			a, err := l.Rules(c.Context())
			if err != nil {
				return err
			}
			if out == "" {
				c.Print(a.Text)
				return nil
			}
			if err := os.WriteFile(out, []byte(a.Text), filePerm); err != nil {
				return err
			}
			c.Printf("%s: revision %d\n", out, a.Revision)
			return writeState(out, fileState{Base: a.Revision})
		},
	}
	r.Flags().StringVarP(&out, "output", "o", "", "write to `file` and remember its revision beside it")
	return r
}

func readRules(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", balsampier.NewError(balsampier.KindInvalid, "read "+path, "give a readable rule file", err)
	}
	return string(b), nil
}

func printProblems(c *cobra.Command, path string, ps []balsampier.Problem) {
	for _, p := range ps {
		kind := "error"
		if p.Warning {
			kind = "warning"
		}
		c.PrintErrln(fmt.Sprintf("%s:%d:%d: %s: %s, found %q: %s", path, p.Line, p.Column, kind, p.Message, p.Found, p.Remedy))
	}
}
