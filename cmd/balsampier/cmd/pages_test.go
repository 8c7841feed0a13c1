package cmd

import (
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/cobra"
)

var (
	commandPattern = regexp.MustCompile("balsampier ((?:--control \\$CONTROL )?[a-z][a-z-]*[^`\n]*)")
	flagPattern    = regexp.MustCompile(`--([a-z][a-z-]*)`)
)

// TestPagesNameRealCommands checks that the commands and flags in
// docs/OPERATIONS.md and in the examples of --help exist, and that every
// command has an example.
func TestPagesNameRealCommands(t *testing.T) {
	c := qt.New(t)
	commandCount := 0
	check := func(where, text string) {
		for _, m := range commandPattern.FindAllStringSubmatch(text, -1) {
			args := strings.Fields(strings.Replace(m[1], "--control $CONTROL ", "", 1))
			root := newRoot(fixedClock{})
			root.InitDefaultCompletionCmd()
			k, _, err := root.Find(args)
			c.Assert(err, qt.IsNil, qt.Commentf("%s: %s", where, m[0]))
			if k.HasParent() {
				commandCount++
			}
			for _, f := range flagPattern.FindAllStringSubmatch(m[1], -1) {
				known := k.Flag(f[1]) != nil || f[1] == "help"
				c.Assert(known, qt.IsTrue, qt.Commentf("%s: %s has no --%s", where, k.Name(), f[1]))
			}
		}
	}
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	for _, l := range strings.Split(string(page), "\n") {
		for i, code := range strings.Split(l, "`") {
			if i%2 == 1 || strings.HasPrefix(l, "    ") {
				check("OPERATIONS.md", code)
			}
		}
	}
	var walk func(k *cobra.Command)
	walk = func(k *cobra.Command) {
		check(k.Name()+" --help", k.Example)
		for _, s := range k.Commands() {
			c.Assert(s.Example, qt.Not(qt.Equals), "", qt.Commentf("%s has no example", s.Name()))
			walk(s)
		}
	}
	walk(newRoot(fixedClock{}))
	c.Assert(commandCount > 30, qt.IsTrue, qt.Commentf("%d commands found", commandCount))
}
