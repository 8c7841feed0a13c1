package cmd

import (
	"encoding/json"

	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier"
)

func newDump(f *flags) *cobra.Command {
	return &cobra.Command{
		Use: "dump [balancer|agent|control] URL", Short: "Print the state of one process as JSON", Args: cobra.RangeArgs(1, 2),
		Example: "  balsampier dump http://127.0.0.1:7100\n  balsampier dump balancer http://127.0.0.1:7100",
		RunE: func(c *cobra.Command, args []string) error {
			l, err := f.client(args[len(args)-1:])
			if err != nil {
				return err
			}
			x, cancel := f.context(c)
			defer cancel()
			b, err := l.Dump(x)
			if err != nil {
				return err
			}
			if len(args) == 2 {
				if err := checkProgram(args[0], b); err != nil {
					return err
				}
			}
			c.Println(string(b))
			return nil
		},
	}
}

// checkProgram returns an error unless the dump b is of a process of the
// program want, so that a wrong address is noticed.
func checkProgram(want string, b []byte) error {
	var d struct {
		Program string `json:"program"`
	}
	if err := json.Unmarshal(b, &d); err != nil {
		return balsampier.NewError(balsampier.KindUnavailable, "read the dump", "check that the address is an operator address", err)
	}
	if d.Program != want {
		return balsampier.NewError(balsampier.KindInvalid, "dump "+want, "the address belongs to a process of program "+d.Program, nil)
	}
	return nil
}

func newLogLevel(f *flags) *cobra.Command {
	return &cobra.Command{
		Use: "log-level LEVEL URL", Short: "Change the log level of one process until it ends", Args: cobra.ExactArgs(2),
		Example: "  balsampier log-level debug http://127.0.0.1:7100",
		RunE: func(c *cobra.Command, args []string) error {
			l, err := f.client(args[1:])
			if err != nil {
				return err
			}
			x, cancel := f.context(c)
			defer cancel()
			if err := l.SetLogLevel(x, args[0]); err != nil {
				return err
			}
			c.Printf("%s: log level %s\n", args[1], args[0])
			return nil
		},
	}
}
