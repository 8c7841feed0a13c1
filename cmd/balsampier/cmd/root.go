// Package cmd is the command line of operators.
package cmd

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier/operator"
	"github.com/balsampier/balsampier/settings"
)

// flags are shared by all commands.
type flags struct {
	// control lists base URLs of control instances.
	control []string
	keyFile string
}

// Execute runs the command line.
func Execute() error { return newRoot().Execute() }

func newRoot() *cobra.Command {
	var f flags
	root := &cobra.Command{
		Use: "balsampier", Short: "Drive balsampier by one rule file", SilenceUsage: true, SilenceErrors: true,
		Long: `Drive balsampier by one rule file: edit it, check it, submit it.

Exit codes: 0 done, 1 failed at run time or lost a race, 2 wrong input.`,
	}
	root.SetOut(os.Stdout)
	root.PersistentFlags().StringSliceVar(&f.control, "control", []string{"http://127.0.0.1:7100"}, "operator `URLs` of the control instances")
	root.PersistentFlags().StringVar(&f.keyFile, "key-file", "operator.key", "`file` with the operators' key")
	root.AddCommand(newCheck(), newSubmit(&f), newRules(&f), newStatus(&f), newDump(&f), newCert(), newKey())
	return root
}

func (f *flags) client(urls []string) (*operator.Client, error) {
	k, err := settings.ReadKey(f.keyFile)
	if err != nil {
		return nil, err
	}
	return operator.NewClient(urls, k), nil
}
