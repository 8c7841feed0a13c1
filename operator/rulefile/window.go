package rulefile

import (
	"strconv"
	"strings"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	day      = 24 * time.Hour
	everyDay = balsampier.Weekdays(1<<7 - 1)
)

// weekdayNames are the names of the days in rule files, indexed by
// time.Weekday.
var weekdayNames = [...]string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// parseDay returns the day with the name s, or -1 if there is none.
func parseDay(s string) time.Weekday {
	for i, n := range weekdayNames {
		if n == s {
			return time.Weekday(i)
		}
	}
	return -1
}

// looksLikeDays reports whether s is meant as days, even if misspelt.
func looksLikeDays(s string) bool {
	s = strings.ToLower(s)
	return strings.HasPrefix(s, "daily") || parseDay(s[:min(3, len(s))]) >= 0
}

// looksLikeHours reports whether s is meant as hours, even if invalid.
func looksLikeHours(s string) bool {
	return startsWithDigit(s) && strings.ContainsAny(s, ":-")
}

// parseWindows parses the days w and the hours in the next word.
func (l *lineParser) parseWindows(w word, r *balsampier.Rule) {
	d := l.parseDays(w)
	if !looksLikeHours(l.peek()) && !startsWithDigit(l.peek()) {
		l.addProblem(w, "the days have no hours", "write hours after them, such as 08:00-20:00")
		return
	}
	h, _ := l.next("")
	l.parseHours(h, d, r)
}

// parseHours adds a window on the days d to r for each valid time range in w.
func (l *lineParser) parseHours(w word, d balsampier.Weekdays, r *balsampier.Rule) {
	for _, p := range w.splitCommas() {
		a, b, found := strings.Cut(p.text, "-")
		start, okA := parseTimeOfDay(a)
		end, okB := parseTimeOfDay(b)
		switch {
		case !found || !okA || !okB:
			l.addProblem(p, "not a span of hours", "write HH:MM-HH:MM, several with commas and no blanks between them")
		case start == day:
			l.addProblem(p, "no hours start at 24:00", "start them at 00:00 on the day after")
		case end == 0:
			l.addProblem(p, "the end 00:00 is before the day", "write 24:00 for midnight")
		case start == end:
			l.addProblem(p, "the hours start and end at one time", "write 00:00-24:00 for the whole day")
		default:
			r.Windows = append(r.Windows, balsampier.Window{Days: d, Start: start, End: end, Column: p.ruleColumn()})
		}
	}
}

func (l *lineParser) parseDays(w word) balsampier.Weekdays {
	var d balsampier.Weekdays
	if w.text == "daily" {
		return everyDay
	}
	for _, p := range w.splitCommas() {
		a, b, isRange := strings.Cut(p.text, "-")
		if !isRange {
			b = a
		}
		from, to := parseDay(a), parseDay(b)
		if from < 0 || to < 0 {
			l.addProblem(p, "not a day or a span of days", "write daily, mon, mon-sat or mon,wed in small letters")
			continue
		}
		for i := from; ; i = (i + 1) % 7 {
			d |= 1 << i
			if i == to {
				break
			}
		}
	}
	return d
}

// parseTimeOfDay parses HH:MM from 00:00 to 24:00.
func parseTimeOfDay(s string) (time.Duration, bool) {
	if len(s) != 5 || s[2] != ':' {
		return 0, false
	}
	h, errH := strconv.ParseUint(s[:2], 10, 8)
	m, errM := strconv.ParseUint(s[3:], 10, 8)
	d := time.Duration(h)*time.Hour + time.Duration(m)*time.Minute
	return d, errH == nil && errM == nil && m < 60 && d <= day
}
