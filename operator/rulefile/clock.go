package rulefile

import (
	"fmt"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	localLayout  = "2006-01-02T15:04"
	offsetLayout = "-07:00"
	// maxOffset exceeds every UTC offset that a time zone has ever had.
	maxOffset = 16 * time.Hour
)

// parseClockChange parses the words after the keyword clock.
func (l *lineParser) parseClockChange() balsampier.ClockChange {
	k := balsampier.ClockChange{Line: l.number, Comment: l.comment}
	switch w, ok := l.next("a zone"); {
	case !ok:
	case w.text == "at":
		l.addProblem(w, "the zone is missing", "write it between clock and at")
		l.words = append([]word{w}, l.words...)
	default:
		k.Zone, k.Columns.Zone = l.parseZone(w), w.ruleColumn()
	}
	l.expectKeyword("at", isLocalTime)
	if w, ok := l.next("at and a local time, such as at 2027-03-14T02:00"); ok {
		k.Local, k.Columns.Local = l.parseLocalTime(w), w.ruleColumn()
	}
	l.expectKeyword("offset", isOffset)
	if w, ok := l.next("offset and the new offset, such as offset -07:00"); ok {
		k.Offset, k.Columns.Offset = l.parseOffset(w), w.ruleColumn()
	}
	for _, w := range l.words {
		l.addProblem(w, "unexpected word", "end the line after the offset")
	}
	l.requireComment("the clock change has no comment", "end the line with # and the decree")
	return k
}

func isLocalTime(s string) bool {
	_, err := time.Parse(localLayout, s)
	return err == nil && len(s) == len(localLayout)
}

func (l *lineParser) parseLocalTime(w word) time.Time {
	if !isLocalTime(w.text) {
		l.addProblem(w, "not a local time", "write it as 2027-03-14T02:00")
		return time.Time{}
	}
	t, _ := time.Parse(localLayout, w.text)
	return t
}

func isOffset(s string) bool {
	t, err := time.Parse(offsetLayout, s)
	if err != nil {
		return false
	}
	_, n := t.Zone()
	return (time.Duration(n) * time.Second).Abs() <= maxOffset
}

func (l *lineParser) parseOffset(w word) time.Duration {
	if !isOffset(w.text) {
		l.addProblem(w, "not an offset from UTC", "write it as -07:00 or +05:30")
		return 0
	}
	t, _ := time.Parse(offsetLayout, w.text)
	_, n := t.Zone()
	return time.Duration(n) * time.Second
}

// duplicateClockChanges returns a problem for each clock change whose time zone
// and local time occur on an earlier line.
func duplicateClockChanges(ks []balsampier.ClockChange) []balsampier.Problem {
	type key struct {
		zone  string
		local time.Time
	}
	var (
		ps    []balsampier.Problem
		lines = make(map[key]int, len(ks))
	)
	for _, k := range ks {
		i := key{zone: k.Zone, local: k.Local}
		n, ok := lines[i]
		if !ok {
			lines[i] = k.Line
			continue
		}
		if k.Columns.Local == 0 || k.Local.IsZero() {
			continue
		}
		ps = append(ps, balsampier.Problem{
			Line: k.Line, Column: int(k.Columns.Local), Found: k.Local.Format(localLayout),
			Message: fmt.Sprintf("line %d changes the clocks of %s at the same time", n, k.Zone), Remedy: "keep one of the two lines",
		})
	}
	return ps
}
