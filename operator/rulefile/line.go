package rulefile

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/balsampier/balsampier"
)

// maxFoundRunes limits how many characters of the offending text a problem
// quotes.
const maxFoundRunes = 60

type (
	// word is one token and its position in the line.
	word struct {
		text string
		// column counts characters from 1.
		column int
	}

	// lineParser parses one line and collects its problems.
	lineParser struct {
		// number counts the lines of the file from 1.
		number int
		// endColumn is the column after the last word.
		endColumn int
		// words are the words that are not parsed yet.
		words []word
		// comment is the text after the first #, without outer spaces.
		comment  string
		problems []balsampier.Problem
	}
)

// newLineParser splits s, line n of the file, into words and a comment. It
// reports control characters and invalid UTF-8 even in the comment.
func newLineParser(n int, s string) *lineParser {
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

// checkCharacters reports the first character of each invalid kind: invalid
// UTF-8, control characters, and non-ASCII characters outside of the comment.
func (l *lineParser) checkCharacters(s string) {
	var hasControl, hasInvalid, hasNonASCII bool
	inComment := false
	column := 0
	for i, r := range s {
		column++
		_, n := utf8.DecodeRuneInString(s[i:])
		w := word{text: s[i : i+n], column: column}
		inComment = inComment || r == '#'
		switch {
		case r == utf8.RuneError && n == 1:
			if !hasInvalid {
				l.addProblem(w, "the text is not UTF-8", "save the file as UTF-8")
			}
			hasInvalid = true
		case unicode.IsControl(r) && r != '\t':
			if !hasControl {
				l.addProblem(w, "the line contains a control character", "delete it")
			}
			hasControl = true
		case r >= utf8.RuneSelf && !inComment:
			if !hasNonASCII {
				l.addProblem(w, "only comments may contain non-ASCII characters", "write it in ASCII")
			}
			hasNonASCII = true
		}
	}
}

// subword returns the part of w between the byte offsets i and j.
func (w word) subword(i, j int) word {
	return word{text: w.text[i:j], column: w.column + utf8.RuneCountInString(w.text[:i])}
}

// splitCommas returns the comma-separated parts of w.
func (w word) splitCommas() []word {
	var ws []word
	i := 0
	for s := range strings.SplitSeq(w.text, ",") {
		ws = append(ws, w.subword(i, i+len(s)))
		i += len(s) + 1
	}
	return ws
}

// ruleColumn returns the column in the type that rules use for it. It does not
// overflow, as no line is longer than MaxLineBytes.
func (w word) ruleColumn() uint16 { return uint16(w.column) }

// addProblem adds an error about w.
func (l *lineParser) addProblem(w word, message, remedy string) {
	f := w.text
	if r := []rune(f); len(r) > maxFoundRunes {
		f = string(r[:maxFoundRunes]) + "..."
	}
	l.problems = append(l.problems, balsampier.Problem{
		Line: l.number, Column: w.column, Found: f, Message: message, Remedy: remedy,
	})
}

// next consumes and returns the next word. If there is none, it adds a problem
// that names the expected part.
func (l *lineParser) next(expected string) (word, bool) {
	if len(l.words) == 0 {
		l.addProblem(word{column: l.endColumn}, "the line ends early", "add "+expected)
		return word{}, false
	}
	w := l.words[0]
	l.words = l.words[1:]
	return w, true
}

// peek returns the next word without consuming it, or an empty string at the
// end of the line.
func (l *lineParser) peek() string {
	if len(l.words) == 0 {
		return ""
	}
	return l.words[0].text
}

// expectKeyword consumes the keyword k. If another word is next, it adds a
// problem and resumes parsing after k if that follows later in the line.
// Otherwise it skips the word as a misspelt keyword, unless isValue reports
// that it is the value after an omitted keyword.
func (l *lineParser) expectKeyword(k string, isValue func(string) bool) {
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
	if !isValue(w.text) {
		l.words = l.words[1:]
	}
}

// requireComment adds a problem if the line has no comment.
func (l *lineParser) requireComment(message, remedy string) {
	if l.comment == "" {
		l.addProblem(word{column: l.endColumn}, message, remedy)
	}
}
