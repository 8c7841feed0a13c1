// Package rulefile reads the operators' rule files. It encodes only; which
// rule is in force is decided elsewhere.
package rulefile

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// MaxBytes bounds the size of a rule file.
	MaxBytes = 4 << 20

	day         = 24 * time.Hour
	localLayout = "2006-01-02T15:04"
)

type (
	// File is a parsed rule file.
	File struct {
		// Rules are in the order of their lines.
		Rules []balsampier.Rule
		// Clocks are in the order of their lines.
		Clocks []balsampier.ClockChange
	}

	// word is one token with its place.
	word struct {
		text   string
		column int
	}

	// line parses the words of one line.
	line struct {
		number   int
		words    []word
		comment  string
		problems []balsampier.Problem
	}
)

var (
	dayNames = map[string]time.Weekday{
		"sun": time.Sunday, "mon": time.Monday, "tue": time.Tuesday, "wed": time.Wednesday,
		"thu": time.Thursday, "fri": time.Friday, "sat": time.Saturday,
	}
	serviceName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
)

// Parse reads a rule file and returns all its problems at once.
func Parse(text string) (File, []balsampier.Problem) {
	var (
		f  File
		ps []balsampier.Problem
	)
	if len(text) > MaxBytes {
		return f, []balsampier.Problem{{
			Line: 1, Column: 1, Found: fmt.Sprintf("%d bytes", len(text)),
			Message: "the file is too large", Remedy: fmt.Sprintf("keep it under %d bytes", MaxBytes),
		}}
	}
	for i, s := range strings.Split(text, "\n") {
		l := newLine(i+1, strings.TrimSuffix(s, "\r"))
		if len(l.words) == 0 {
			continue
		}
		switch w := l.words[0]; w.text {
		case "rule":
			r := l.rule()
			f.Rules = append(f.Rules, r)
		case "clock":
			k := l.clock()
			f.Clocks = append(f.Clocks, k)
		default:
			l.fail(w, "unknown statement", "start the line with rule, clock or #")
		}
		ps = append(ps, l.problems...)
	}
	return f, ps
}

// Failed reports whether any problem keeps the file from being accepted.
func Failed(ps []balsampier.Problem) bool {
	for _, p := range ps {
		if !p.Warning {
			return true
		}
	}
	return false
}

func newLine(n int, s string) *line {
	l := &line{number: n}
	if i := strings.IndexByte(s, '#'); i >= 0 {
		l.comment = strings.TrimSpace(s[i+1:])
		s = s[:i]
	}
	for i := 0; i < len(s); {
		if s[i] == ' ' || s[i] == '\t' {
			i++
			continue
		}
		j := i
		for j < len(s) && s[j] != ' ' && s[j] != '\t' {
			j++
		}
		l.words = append(l.words, word{text: s[i:j], column: i + 1})
		i = j
	}
	return l
}

func (l *line) fail(w word, message, remedy string) {
	l.problems = append(l.problems, balsampier.Problem{
		Line: l.number, Column: w.column, Found: w.text, Message: message, Remedy: remedy,
	})
}

// next takes the next word; on a missing one it records a problem.
func (l *line) next(what string) (word, bool) {
	if len(l.words) == 0 {
		l.fail(word{column: 1}, "the line ends early", "add "+what)
		return word{}, false
	}
	w := l.words[0]
	l.words = l.words[1:]
	return w, true
}

func (l *line) expect(keyword string) bool {
	w, ok := l.next("the word " + keyword)
	if ok && w.text != keyword {
		l.fail(w, "unexpected word", "write "+keyword+" here")
		return false
	}
	return ok
}

func (l *line) rule() balsampier.Rule {
	r := balsampier.Rule{Line: l.number, Comment: l.comment}
	l.next("rule")
	if w, ok := l.next("a service name"); ok {
		r.Service = balsampier.ServiceName(w.text)
		if !serviceName.MatchString(w.text) {
			l.fail(w, "not a service name", "use small letters, digits and hyphens, at most 63")
		}
	}
	if l.expect("to") {
		if w, ok := l.next("a service address"); ok {
			r.To = l.addrPort(w)
		}
	}
	if l.expect("from") {
		if w, ok := l.next("caller prefixes"); ok {
			r.From = l.prefixes(w)
		}
	}
	l.ruleTail(&r)
	if r.Comment == "" {
		l.fail(word{column: 1, text: string(r.Service)}, "the rule has no comment", "end the line with # and who asked for it")
	}
	return r
}

// ruleTail reads the windows, the zone and the class, all optional.
func (l *line) ruleTail(r *balsampier.Rule) {
	for len(l.words) > 0 {
		w, _ := l.next("")
		switch {
		case w.text == "class":
			r.Class = l.class()
		case strings.Contains(w.text, "/") && len(r.Windows) > 0 && r.Zone == "":
			r.Zone = l.zone(w)
		case isDays(w.text):
			l.windows(w, r)
		default:
			l.fail(w, "unexpected word", "write days and hours with a zone, or class urgent, or nothing")
			return
		}
	}
	if len(r.Windows) > 0 && r.Zone == "" {
		l.fail(word{column: 1}, "the hours have no zone", "add an IANA zone such as America/Lima after them")
	}
}

func (l *line) class() balsampier.Class {
	w, ok := l.next("urgent or normal")
	switch {
	case !ok, w.text == "normal":
		return balsampier.ClassNormal
	case w.text == "urgent":
		return balsampier.ClassUrgent
	}
	l.fail(w, "unknown class", "write urgent or normal")
	return balsampier.ClassNormal
}

func (l *line) addrPort(w word) netip.AddrPort {
	a, err := netip.ParseAddrPort(w.text)
	if err != nil || a.Port() == 0 {
		l.fail(w, "not a service address", "write address:port, such as 198.51.100.7:443 or [2001:db8::7]:443")
	}
	return a
}

func (l *line) prefixes(w word) []netip.Prefix {
	var ps []netip.Prefix
	for s := range strings.SplitSeq(w.text, ",") {
		p, err := netip.ParsePrefix(s)
		if err != nil {
			l.fail(word{text: s, column: w.column}, "not a caller prefix", "write address/bits, such as 0.0.0.0/0 or 2001:db8::/32")
			continue
		}
		if p != p.Masked() {
			l.fail(word{text: s, column: w.column}, "the prefix has bits beyond its length", "write "+p.Masked().String())
		}
		ps = append(ps, p)
	}
	return ps
}

func (l *line) zone(w word) string {
	if _, err := time.LoadLocation(w.text); err != nil {
		l.fail(w, "unknown zone", "use an IANA name such as America/Vancouver")
	}
	return w.text
}

func isDays(s string) bool {
	if s == "daily" {
		return true
	}
	_, ok := dayNames[s[:min(3, len(s))]]
	return ok
}

// windows reads days and the hours behind them.
func (l *line) windows(w word, r *balsampier.Rule) {
	d := l.days(w)
	h, ok := l.next("hours such as 08:00-20:00")
	if !ok {
		return
	}
	for s := range strings.SplitSeq(h.text, ",") {
		a, b, found := strings.Cut(s, "-")
		start, okA := timeOfDay(a)
		end, okB := timeOfDay(b)
		if !found || !okA || !okB || start == day || end == 0 || start == end {
			l.fail(word{text: s, column: h.column}, "not a span of hours", "write HH:MM-HH:MM; the end may be 24:00, or before the start to pass midnight")
			continue
		}
		r.Windows = append(r.Windows, balsampier.Window{Days: d, Start: start, End: end})
	}
}

func (l *line) days(w word) balsampier.Weekdays {
	var d balsampier.Weekdays
	if w.text == "daily" {
		return 1<<7 - 1
	}
	for s := range strings.SplitSeq(w.text, ",") {
		a, b, span := strings.Cut(s, "-")
		from, okA := dayNames[a]
		to, okB := dayNames[b]
		if !okA || (span && !okB) {
			l.fail(word{text: s, column: w.column}, "not a day", "write daily, mon, mon-sat or mon,wed")
			continue
		}
		if !span {
			to = from
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

func timeOfDay(s string) (time.Duration, bool) {
	if len(s) != 5 || s[2] != ':' {
		return 0, false
	}
	h, errH := strconv.ParseUint(s[:2], 10, 8)
	m, errM := strconv.ParseUint(s[3:], 10, 8)
	d := time.Duration(h)*time.Hour + time.Duration(m)*time.Minute
	return d, errH == nil && errM == nil && m < 60 && d <= day
}

func (l *line) clock() balsampier.ClockChange {
	k := balsampier.ClockChange{Line: l.number, Comment: l.comment}
	l.next("clock")
	if w, ok := l.next("a zone"); ok {
		k.Zone = l.zone(w)
	}
	if l.expect("at") {
		if w, ok := l.next("a local time"); ok {
			t, err := time.Parse(localLayout, w.text)
			if err != nil {
				l.fail(w, "not a local time", "write it as 2027-03-14T02:00")
			}
			k.Local = t
		}
	}
	if l.expect("offset") {
		if w, ok := l.next("an offset"); ok {
			k.Offset = l.offset(w)
		}
	}
	if len(l.words) > 0 {
		l.fail(l.words[0], "unexpected word", "end the line after the offset")
	}
	if k.Comment == "" {
		l.fail(word{column: 1, text: k.Zone}, "the clock change has no comment", "end the line with # and the decree")
	}
	return k
}

func (l *line) offset(w word) time.Duration {
	t, err := time.Parse("-07:00", w.text)
	if err != nil {
		l.fail(w, "not an offset", "write it as -07:00 or +05:30")
		return 0
	}
	_, s := t.Zone()
	return time.Duration(s) * time.Second
}
