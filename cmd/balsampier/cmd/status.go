package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator"
)

const (
	outputText = "text"
	outputJSON = "json"
	// pollInterval is the interval between status queries while waiting for a
	// roll-out.
	pollInterval = 200 * time.Millisecond
)

func newStatus(f *flags) *cobra.Command {
	var (
		format  string
		awaited uint64
	)
	s := &cobra.Command{
		Use: "status", Short: "Show which members have the accepted rules in force", Args: cobra.NoArgs,
		Example: "  balsampier status\n  balsampier status --output json\n  balsampier status --wait-for 7 --timeout 10s",
		RunE: func(c *cobra.Command, _ []string) error {
			if format != outputText && format != outputJSON {
				return balsampier.NewError(balsampier.KindInvalid, "choose output "+format, "write text or json", nil)
			}
			l, err := f.client(f.control)
			if err != nil {
				return err
			}
			x, cancel := f.context(c)
			defer cancel()
			r := balsampier.Revision(awaited)
			a, err := f.waitInForce(x, l, r)
			if err != nil {
				return err
			}
			if err := printStatus(c.OutOrStdout(), format, a); err != nil {
				return err
			}
			if !a.IsInForce(r) {
				return notInForceError(r, f.timeout)
			}
			return nil
		},
	}
	s.Flags().StringVar(&format, "output", outputText, "text or json")
	s.Flags().Uint64Var(&awaited, "wait-for", 0, "wait until this `revision` is in force everywhere")
	return s
}

// waitInForce polls the roll-out status until revision r is in force
// everywhere. If c ends first, it returns the last status that it received, if
// any. Errors that the client does not retry are returned at once.
func (f *flags) waitInForce(c context.Context, l *operator.Client, r balsampier.Revision) (operator.Status, error) {
	var (
		lastStatus operator.Status
		hasStatus  bool
	)
	for {
		s, err := l.Status(c)
		if err != nil {
			return lastStatus, ignoreIf(hasStatus && c.Err() != nil, err)
		}
		if s.IsInForce(r) {
			return s, nil
		}
		lastStatus, hasStatus = s, true
		t := f.clock.NewTimer(pollInterval)
		select {
		case <-t.C():
		case <-c.Done():
			t.Stop()
			return lastStatus, nil
		}
	}
}

// ignoreIf returns nil if ok is true, and err otherwise.
func ignoreIf(ok bool, err error) error {
	if ok {
		return nil
	}
	return err
}

// notInForceError returns the error for revision r not being in force
// everywhere after d.
func notInForceError(r balsampier.Revision, d time.Duration) error {
	return balsampier.NewError(balsampier.KindUnavailable, fmt.Sprintf("wait %s for revision %d", d, r),
		fmt.Sprintf("it is not in force everywhere yet; look at the members named, then run balsampier status --wait-for %d", r), nil)
}

func printStatus(w io.Writer, format string, s operator.Status) error {
	if format == outputJSON {
		b, err := json.MarshalIndent(s, "", "  ")
		if err == nil {
			_, err = fmt.Fprintln(w, string(b))
		}
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d, epoch %d, leader %s\n", s.Revision, s.Epoch, s.Leader)
	if !s.AcceptedAt.IsZero() {
		fmt.Fprintf(&b, "accepted at %s\n", s.AcceptedAt.UTC().Format(time.RFC3339))
	}
	fmt.Fprintln(&b, formatSummary(s))
	if err := printMembers(&b, s.Members); err != nil {
		return err
	}
	if s.Omitted > 0 {
		fmt.Fprintf(&b, "and %d more members\n", s.Omitted)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// formatSummary returns one line that counts per role the members with the
// accepted revision in force.
func formatSummary(s operator.Status) string {
	if len(s.Roles) == 0 {
		return "no balancer or agent is a member"
	}
	var ps []string
	for _, r := range s.Roles {
		ps = append(ps, fmt.Sprintf("%d of %d %ss", r.InForce, r.Total, r.Role))
	}
	if s.Revision == 0 {
		return "no rule file was accepted yet"
	}
	return fmt.Sprintf("revision %d is in force on %s", s.Revision, strings.Join(ps, ", "))
}

func printMembers(w io.Writer, ms []operator.MemberStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "NAME\tROLE\tDATA CENTRE\tSERVICE\tIN FORCE\tSTATE")
	for _, m := range ms {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\n", m.Name, m.Role, m.DataCentre, m.Service, m.RevisionInForce, formatMemberState(m))
	}
	return t.Flush()
}

// formatMemberState returns the text of a member in the column STATE.
func formatMemberState(m operator.MemberStatus) string {
	s := "up to date"
	switch {
	case m.Unreported:
		s = "no report to this leader yet"
	case m.Lagging:
		s = "behind for " + time.Duration(m.Behind).Round(time.Second).String()
	}
	if m.Draining {
		s = "draining, " + s
	}
	return s
}
