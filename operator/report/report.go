// Package report formats results for operators as text: the problems of a rule
// file and the explanation of which rule applies to a packet.
package report

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator/rulefile"
	"github.com/balsampier/balsampier/query/explain"
)

const localLayout = "Mon 2006-01-02 15:04:05 -07:00"

// WriteProblems writes one line per problem and a line with the number of
// errors and warnings.
func WriteProblems(w io.Writer, ps []balsampier.Problem) error {
	var b strings.Builder
	errors := 0
	for _, p := range ps {
		fmt.Fprintln(&b, p)
		if !p.Warning {
			errors++
		}
	}
	switch {
	case errors > 0:
		fmt.Fprintf(&b, "refused: %s, %s\n", formatCount(errors, "error"), formatCount(len(ps)-errors, "warning"))
	default:
		fmt.Fprintf(&b, "no errors, %s\n", formatCount(len(ps), "warning"))
	}
	_, err := io.WriteString(w, b.String())
	return trace.Wrap(err)
}

// WriteExplanation writes the packet, the local times, why each rule matches or
// does not, the resulting rule and the next change of that result.
func WriteExplanation(w io.Writer, e explain.Explanation) error {
	var b strings.Builder
	fmt.Fprintf(&b, "packet from %s to %s at %s, revision %d\n",
		e.Packet.Caller.Addr(), e.Packet.ServiceAddr, e.Packet.At.UTC().Format(time.RFC3339), e.Revision)
	for _, c := range e.Clocks {
		writeClock(&b, c)
	}
	for _, l := range e.Lines {
		writeLine(&b, e, l)
	}
	if e.OtherAddressRules > 0 {
		fmt.Fprintf(&b, "%s for other service addresses\n", formatCount(e.OtherAddressRules, "rule"))
	}
	writeVerdict(&b, e)
	_, err := io.WriteString(w, b.String())
	return trace.Wrap(err)
}

func writeClock(b *strings.Builder, c explain.Clock) {
	fmt.Fprintf(b, "clock %s shows %s", c.Zone, c.Local.Format(localLayout))
	if !c.NextTransition.At.IsZero() {
		z := time.FixedZone("", int(c.NextTransition.Offset/time.Second))
		fmt.Fprintf(b, ", next change to %s", c.NextTransition.At.In(z).Format(localLayout))
	}
	b.WriteByte('\n')
}

func writeLine(b *strings.Builder, e explain.Explanation, l explain.Line) {
	fmt.Fprintf(b, "line %d, %s: %s", l.Rule.Line, l.Rule.Service, l.Outcome)
	switch l.Outcome {
	case explain.OtherPort:
		fmt.Fprintf(b, ", %s", l.Rule.To)
	case explain.OtherDay, explain.OtherHours:
		fmt.Fprintf(b, ", %s %s", rulefile.FormatWindows(l.Rule.Windows), l.Rule.Zone)
	case explain.Matched:
		if e.Rule.Line != l.Rule.Line {
			fmt.Fprintf(b, ", yet line %d comes first", e.Rule.Line)
		}
	}
	b.WriteByte('\n')
}

func writeVerdict(b *strings.Builder, e explain.Explanation) {
	if e.Found {
		fmt.Fprintf(b, "verdict: %s, class %s, by line %d # %s\n", e.Rule.Service, e.Rule.Class, e.Rule.Line, e.Rule.Comment)
	} else {
		b.WriteString("verdict: refused, no rule is in force\n")
	}
	if e.NextRuleChange.IsZero() {
		b.WriteString("no change ahead\n")
		return
	}
	fmt.Fprintf(b, "changes at %s", e.NextRuleChange.UTC().Format(time.RFC3339))
	for _, c := range e.Clocks {
		fmt.Fprintf(b, ", %s in %s", c.NextRuleChange.Format(localLayout), c.Zone)
	}
	b.WriteByte('\n')
}

// formatCount formats a number with its noun in the singular or plural.
func formatCount(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
