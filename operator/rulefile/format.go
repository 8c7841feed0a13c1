package rulefile

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/balsampier/balsampier"
)

// Format returns the canonical text of f: the clock changes, then the rules,
// one per line. Parse returns the same rules and clock changes for that text.
func Format(f File) string {
	var b strings.Builder
	for _, k := range f.ClockChanges {
		fmt.Fprintf(&b, "clock %s at %s offset %s # %s\n", k.Zone, k.Local.Format(localLayout), formatOffset(k.Offset), k.Comment)
	}
	for _, r := range f.Rules {
		fmt.Fprintf(&b, "rule %s to %s from %s", r.Service, r.To, formatPrefixes(r.From))
		if len(r.Windows) > 0 {
			fmt.Fprintf(&b, " %s %s", FormatWindows(r.Windows), r.Zone)
		}
		if r.Class != balsampier.ClassNormal {
			fmt.Fprintf(&b, " class %s", r.Class)
		}
		fmt.Fprintf(&b, " # %s\n", r.Comment)
	}
	return b.String()
}

func formatPrefixes(ps []netip.Prefix) string {
	if slices.Equal(ps, anyCallerPrefixes) {
		return "any"
	}
	ss := make([]string, len(ps))
	for i, p := range ps {
		ss[i] = p.String()
	}
	return strings.Join(ss, ",")
}

// FormatWindows formats windows as days and hours in the syntax of a rule.
func FormatWindows(ws []balsampier.Window) string {
	var b strings.Builder
	for i, w := range ws {
		switch {
		case i > 0 && ws[i-1].Days == w.Days:
			b.WriteByte(',')
		case i > 0:
			b.WriteByte(' ')
			fallthrough
		default:
			b.WriteString(formatDays(w.Days))
			b.WriteByte(' ')
		}
		b.WriteString(formatTime(w.Start) + "-" + formatTime(w.End))
	}
	return b.String()
}

// formatDays formats days in order from Monday. Three or more successive days
// become a range, such as mon-wed.
func formatDays(d balsampier.Weekdays) string {
	if d == everyDay {
		return "daily"
	}
	var ss []string
	for i := 1; i <= 7; i++ {
		if !d.Has(time.Weekday(i % 7)) {
			continue
		}
		j := i
		for j < 7 && d.Has(time.Weekday((j+1)%7)) {
			j++
		}
		if j-i < 2 {
			ss = append(ss, weekdayNames[i%7])
			continue
		}
		ss = append(ss, weekdayNames[i%7]+"-"+weekdayNames[j%7])
		i = j
	}
	return strings.Join(ss, ",")
}

func formatTime(d time.Duration) string {
	return fmt.Sprintf("%02d:%02d", d/time.Hour, d%time.Hour/time.Minute)
}

func formatOffset(d time.Duration) string {
	return time.Unix(0, 0).In(time.FixedZone("", int(d/time.Second))).Format(offsetLayout)
}
