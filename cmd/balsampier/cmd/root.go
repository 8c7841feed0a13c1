// Package cmd implements the commands of the balsampier command line.
package cmd

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/operator"
	"github.com/balsampier/balsampier/process"
	"github.com/balsampier/balsampier/settings"
)

const (
	defaultControl = "http://127.0.0.1:7100"
	defaultKeyFile = "operator.key"
	defaultTimeout = 30 * time.Second
	filePerm       = 0o644
)

// flags are the flags and the clock that all commands share.
type flags struct {
	clock balsampier.Clock
	// control lists the base URLs of the control instances' operator API.
	control []string
	// keyFile is the path of the operators' key.
	keyFile string
	// timeout limits a command that calls processes, including its retries.
	timeout time.Duration
}

// Execute runs the command line.
func Execute() error {
	root := newRoot(clock.System{})
	root.SetOut(os.Stdout)
	return process.Execute(root)
}

func newRoot(k balsampier.Clock) *cobra.Command {
	f := flags{clock: k}
	root := &cobra.Command{
		Use: "balsampier", Short: "Manage balsampier by one rule file", Version: process.Version(),
		SilenceUsage: true, SilenceErrors: true,
		Long: `Manage balsampier by one rule file: fetch it, edit it, check it, submit it.

Exit codes: 0 done, 1 failed at run time or lost a race, 2 wrong input.`,
		Example: `  balsampier rules --output rules.txt
  $EDITOR rules.txt
  balsampier check rules.txt
  balsampier explain --to 203.0.113.7:443 --from 192.0.2.10 --at 2027-03-14T02:00 --local America/Vancouver rules.txt
  balsampier submit rules.txt
  balsampier status`,
	}
	p := root.PersistentFlags()
	p.StringSliceVar(&f.control, "control", []string{defaultControl}, "operator `URLs` of the control instances")
	p.StringVar(&f.keyFile, "key-file", defaultKeyFile, "`file` with the operators' key")
	p.DurationVar(&f.timeout, "timeout", defaultTimeout, "time limit for calls, retries and waiting")
	root.AddCommand(newCheck(&f), newExplain(&f), newSubmit(&f), newRules(&f), newStatus(&f), newDump(&f), newLogLevel(&f),
		newCert(), newKey(), newVersion())
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs, Example: "  balsampier version",
		Run: func(c *cobra.Command, _ []string) { c.Println("balsampier " + process.Version()) },
	}
}

// client returns a client for the operator API at urls.
func (f *flags) client(urls []string) (*operator.Client, error) {
	k, err := settings.ReadKey(f.keyFile)
	if err != nil {
		return nil, err
	}
	return operator.NewClient(urls, k, f.clock), nil
}

// context returns the context of c with the time-out of the flag.
func (f *flags) context(c *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Context(), f.timeout)
}
