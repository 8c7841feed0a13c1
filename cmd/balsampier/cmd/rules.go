package cmd

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier"
)

func newRules(f *flags) *cobra.Command {
	var (
		outputPath string
		force      bool
	)
	r := &cobra.Command{
		Use: "rules", Short: "Fetch the accepted rule file", Args: cobra.NoArgs,
		Example: "  balsampier rules\n  balsampier rules --output rules.txt",
		RunE: func(c *cobra.Command, _ []string) error {
			l, err := f.client(f.control)
			if err != nil {
				return err
			}
			if err := checkReplaceable(outputPath, force); err != nil {
				return err
			}
			x, cancel := f.context(c)
			defer cancel()
			a, err := l.Rules(x)
			if err != nil {
				return err
			}
			if outputPath == "" {
				c.Print(a.Text)
				return nil
			}
			if err := os.WriteFile(outputPath, []byte(a.Text), filePerm); err != nil {
				return balsampier.NewError(balsampier.KindInvalid, "write "+outputPath, "name a file that can be written", err)
			}
			c.Printf("%s: revision %d\n", outputPath, a.Revision)
			return writeState(outputPath, fileState{Base: a.Revision})
		},
	}
	r.Flags().StringVarP(&outputPath, "output", "o", "", "write to `file`, and its revision to a state file beside it")
	r.Flags().BoolVar(&force, "force", false, "replace a file although the outcome of its submission is unknown")
	return r
}

// checkReplaceable returns an error if the file at path has a submission whose
// outcome is unknown, as replacing it would lose the means to resend it.
func checkReplaceable(path string, force bool) error {
	if path == "" || force {
		return nil
	}
	s, err := readState(path)
	if err == nil && s.Pending != nil {
		err = balsampier.NewError(balsampier.KindInvalid, "replace "+path,
			"its submission was not answered yet: submit it again, or give another file or --force", nil)
	}
	return err
}
