package rulefile

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/balsampier/balsampier"
)

// maxFoundRunes bounds how many characters of the offending text a problem quotes.
const maxFoundRunes = 60

type (
	// word is one token with its place.
	word struct {
		text string
		// column counts characters from 1.
		column int
	}

	// lineParser parses the words of one lineParser.
	lineParser struct {
		number int
		// endColumn is the column behind the last word.
		endColumn int
		// words are those not yet read.
		words    []word
		comment  string
		problems []balsampier.Problem
	}
)

// newLine splits s into words and a comment. Text that cannot be shown is a
// problem, wherever it stands.
func newLine(n int, s string) *lineParser {
	l := &lineParser{number: n, endColumn: 1}
	if len(s) > MaxLineBytes {
		l.addProblem(word{text: s[:maxFoundRunes], column: 1}, fmt.Sprintf("the line has %d bytes", len(s)),
			fmt.Sprintf("keep it within %d bytes, or split it into several rules", MaxLineBytes))
		return l
	}
	l.checkCharacters(s)
	if i := strings.IndexByte(s, '#'); i >= 0 {
		l.comment = strings.TrimSpace(s[i+1:])
		s = s[:i]
	}
	column := 1
	for len(s) > 0 {
		i := strings.IndexAny(s, " \t")
		if i < 0 {
			i = len(s)
		}
		if i > 0 {
			l.words = append(l.words, word{text: s[:i], column: column})
			column += utf8.RuneCountInString(s[:i])
			l.endColumn = column
		}
		if i < len(s) {
			i++
			column++
		}
		s = s[i:]
	}
	return l
}

// checkCharacters reports the first character of each kind that no line may hold.
func (l *lineParser) checkCharacters(s string) {
	var control, invalid, nonASCII bool
	inComment := false
	column := 0
	for i, r := range s {
		column++
		_, n := utf8.DecodeRuneInString(s[i:])
		w := word{text: s[i : i+n], column: column}
		inComment = inComment || r == '#'
		switch {
		case r == utf8.RuneError && n == 1:
			if !invalid {
				l.addProblem(w, "the text is not UTF-8", "save the file as UTF-8")
			}
			invalid = true
		case unicode.IsControl(r) && r != '\t':
			if !control {
				l.addProblem(w, "the line holds a control character", "delete it")
			}
			control = true
		case r >= utf8.RuneSelf && !inComment:
			if !nonASCII {
				l.addProblem(w, "only comments may hold letters, signs or spaces beyond ASCII", "write it in ASCII")
			}
			nonASCII = true
		}
	}
}

// slice returns the text of w between the byte offsets i and j.
func (w word) slice(i, j int) word {
	return word{text: w.text[i:j], column: w.column + utf8.RuneCountInString(w.text[:i])}
}

// splitCommas returns the parts of w between commas.
func (w word) splitCommas() []word {
	var ws []word
	i := 0
	for s := range strings.SplitSeq(w.text, ",") {
		ws = append(ws, w.slice(i, i+len(s)))
		i += len(s) + 1
	}
	return ws
}

// ruleColumn returns the column as rules carry it. Lines are short enough for it.
func (w word) ruleColumn() uint16 { return uint16(w.column) }

func (l *lineParser) addProblem(w word, message, remedy string) {
	f := w.text
	if r := []rune(f); len(r) > maxFoundRunes {
		f = string(r[:maxFoundRunes]) + "..."
	}
	l.problems = append(l.problems, balsampier.Problem{
		Line: l.number, Column: w.column, Found: f, Message: message, Remedy: remedy,
	})
}

// next takes the next word; on a missing one it records a problem.
func (l *lineParser) next(what string) (word, bool) {
	if len(l.words) == 0 {
		l.addProblem(word{column: l.endColumn}, "the line ends early", "add "+what)
		return word{}, false
	}
	w := l.words[0]
	l.words = l.words[1:]
	return w, true
}

// peek returns the next word without taking it; empty at the end.
func (l *lineParser) peek() string {
	if len(l.words) == 0 {
		return ""
	}
	return l.words[0].text
}

// expectKeyword takes the word k. Where it is not next, parsing goes on behind it
// when it stands further on, else behind a misspelt one, or right here when
// the value follows at once.
func (l *lineParser) expectKeyword(k string, value func(string) bool) {
	if l.peek() == k {
		l.words = l.words[1:]
		return
	}
	if len(l.words) == 0 {
		return
	}
	w := l.words[0]
	l.addProblem(w, "unexpected word", "write "+k+" here")
	for i := range l.words {
		if l.words[i].text == k {
			l.words = l.words[i+1:]
			return
		}
	}
	if !value(w.text) {
		l.words = l.words[1:]
	}
}

// requireComment reports missing comments.
func (l *lineParser) requireComment(message, remedy string) {
	if l.comment == "" {
		l.addProblem(word{column: l.endColumn}, message, remedy)
	}
}
