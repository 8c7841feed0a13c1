package cmd

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator"
)

func newStatus(f *flags) *cobra.Command {
	var format string
	s := &cobra.Command{
		Use: "status", Short: "Show which members have the accepted rules in force", Args: cobra.NoArgs,
		Example: "  balsampier status\n  balsampier status --output json",
		RunE: func(c *cobra.Command, _ []string) error {
			l, err := f.client(f.control)
			if err != nil {
				return err
			}
			a, err := l.Status(c.Context())
			if err != nil {
				return err
			}
			switch format {
			case "text":
				return printStatus(c, a)
			case "json":
				b, err := json.MarshalIndent(a, "", "  ")
				c.Println(string(b))
				return err
			}
			return balsampier.NewError(balsampier.KindInvalid, "choose output "+format, "write text or json", nil)
		},
	}
	s.Flags().StringVar(&format, "output", "text", "text or json")
	return s
}

func printStatus(c *cobra.Command, s operator.Status) error {
	c.Printf("revision %d, epoch %d, leader %s\n", s.Revision, s.Epoch, s.Leader)
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NAME\tROLE\tDATA CENTRE\tSERVICE\tIN FORCE\tSTATE")
	for _, m := range s.Members {
		state := "up to date"
		switch {
		case m.Draining:
			state = "draining"
		case m.InForce != s.Revision:
			state = "behind"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", m.Name, m.Role, m.DataCentre, m.Service, m.InForce, state)
	}
	return w.Flush()
}

func newDump(f *flags) *cobra.Command {
	return &cobra.Command{
		Use: "dump URL", Short: "Print the state of one process as JSON", Args: cobra.ExactArgs(1),
		Example: "  balsampier dump http://127.0.0.1:7101",
		RunE: func(c *cobra.Command, args []string) error {
			l, err := f.client(args)
			if err != nil {
				return err
			}
			b, err := l.Dump(c.Context())
			if err != nil {
				return err
			}
			c.Println(string(b))
			return nil
		},
	}
}
