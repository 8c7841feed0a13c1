// Package rulefile parses and formats the rule files of operators. It checks
// the syntax only and uses no time zone data, so that a file gives the same
// rules on every instance. Which rule is in force, and whether a time zone
// exists, is decided elsewhere.
package rulefile

import (
	"fmt"
	"strings"

	"github.com/balsampier/balsampier"
)

const (
	// MaxBytes limits the size of a rule file.
	MaxBytes = 4 << 20
	// MaxLineBytes limits the length of a line.
	MaxLineBytes = 4096
	// MaxProblems limits how many problems of one file are listed.
	MaxProblems = 1000

	byteOrderMark = "\ufeff"
)

// File is a parsed rule file.
type File struct {
	// Rules are the rules in the order of their lines.
	Rules []balsampier.Rule
	// ClockChanges are the clock changes in the order of their lines.
	ClockChanges []balsampier.ClockChange
}

// Parse parses a rule file and returns all its problems. After the line with
// problem number MaxProblems it stops and adds a last problem that says so. The
// File is complete only if HasErrors reports false for the problems.
func Parse(text string) (File, []balsampier.Problem) {
	var (
		f  File
		ps []balsampier.Problem
	)
	if len(text) > MaxBytes {
		return f, []balsampier.Problem{{
			Line: 1, Column: 1, Found: fmt.Sprintf("%d bytes", len(text)),
			Message: "the file is too large", Remedy: fmt.Sprintf("keep it within %d bytes", MaxBytes),
		}}
	}
	if strings.HasPrefix(text, byteOrderMark) {
		ps = append(ps, balsampier.Problem{
			Line: 1, Column: 1, Found: byteOrderMark,
			Message: "the file starts with a byte order mark", Remedy: "save it as plain UTF-8 without one",
		})
		text = strings.TrimPrefix(text, byteOrderMark)
	}
	n := 0
	for s := range strings.SplitSeq(text, "\n") {
		n++
		l := newLineParser(n, strings.TrimSuffix(s, "\r"))
		l.parseStatement(&f)
		ps = append(ps, l.problems...)
		if len(ps) >= MaxProblems {
			return f, appendTooManyProblems(ps, n)
		}
	}
	return f, append(ps, duplicateClockChanges(f.ClockChanges)...)
}

// HasErrors reports whether any problem prevents the file from being accepted.
func HasErrors(ps []balsampier.Problem) bool {
	for _, p := range ps {
		if !p.Warning {
			return true
		}
	}
	return false
}

// appendTooManyProblems adds the problem that parsing stopped at a line.
func appendTooManyProblems(ps []balsampier.Problem, line int) []balsampier.Problem {
	return append(ps, balsampier.Problem{
		Line: line, Column: 1,
		Message: "too many problems, the rest of the file was not read", Remedy: "correct the ones above and check again",
	})
}

// parseStatement parses the line and adds its rule or clock change to f.
func (l *lineParser) parseStatement(f *File) {
	if len(l.words) == 0 {
		return
	}
	switch w := l.words[0]; w.text {
	case "rule":
		l.words = l.words[1:]
		f.Rules = append(f.Rules, l.parseRule())
	case "clock":
		l.words = l.words[1:]
		f.ClockChanges = append(f.ClockChanges, l.parseClockChange())
	default:
		l.addProblem(w, "unknown statement", "start the line with rule, clock or #")
	}
}
