package cmd

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	_ "time/tzdata" // the same time zone data on every machine

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/process"
)

const (
	openingRules = "rule reservas to 203.0.113.7:443 from any daily 08:00-20:00 America/Lima class urgent # Rosa, opening hours\n" +
		"rule galeria to 203.0.113.8:443 from 192.0.2.0/24 # José, photos\n"
	clockChanges = "clock America/Lima at 2027-03-14T02:00 offset -04:00 # decree of 2027-02-18\n" +
		"clock America/Lima at 2027-11-07T02:00 offset -05:00 # decree of 2027-02-18\n"
	invalidRules = "rule reservas to 203.0.113.7 from any # Rosa\nrule galeria to 203.0.113.8:443 from any\n"
)

type (
	// step is one step of a session: a command, an edit of a file, or a change
	// of the fake control. A step without the fields of another kind sets
	// responsesToDrop.
	step struct {
		// commandLine is the command to run, without the program name.
		commandLine string
		// file is the file to replace by text.
		file, text string
		// responsesToDrop is how many of the next responses to submissions are
		// lost.
		responsesToDrop int
		// laggingMember is the member that keeps laggingRevision in force.
		laggingMember   string
		laggingRevision balsampier.Revision
		// unreportedMember is the member that has not reported to the new
		// leader.
		unreportedMember string
		// catchUp puts the accepted revision in force on all members.
		catchUp bool
	}

	// session runs steps and collects their output.
	session struct {
		c          *qt.C
		fake       *fakeControl
		transcript bytes.Buffer
	}
)

func TestSessions(t *testing.T) {
	for _, x := range []struct {
		name  string
		steps []step
	}{
		{"submit", []step{
			{commandLine: "status"},
			{commandLine: "rules --output rules.txt"},
			{file: "rules.txt", text: openingRules},
			{commandLine: "check rules.txt"},
			{commandLine: "submit rules.txt"},
			{commandLine: "submit rules.txt"},
			{commandLine: "status"},
			{commandLine: "status --output json"},
			{commandLine: "status --wait-for 1"},
			{file: "rules.txt", text: openingRules + clockChanges},
			{commandLine: "submit --wait=false rules.txt"},
			{commandLine: "rules"},
		}},
		{"conflict", []step{
			{commandLine: "rules --output rosa.txt"},
			{commandLine: "rules --output jose.txt"},
			{file: "rosa.txt", text: openingRules},
			{file: "jose.txt", text: openingRules + clockChanges},
			{commandLine: "submit rosa.txt"},
			{commandLine: "submit jose.txt"},
			{commandLine: "submit jose.txt"},
			{commandLine: "rules --output merged.txt"},
			{file: "merged.txt", text: openingRules + clockChanges},
			{commandLine: "submit merged.txt"},
			{commandLine: "submit jose.txt"},
		}},
		{"lost-answers", []step{
			{file: "rules.txt", text: openingRules},
			{responsesToDrop: 1},
			{commandLine: "submit rules.txt"},
			{file: "rules.txt", text: openingRules + clockChanges},
			{responsesToDrop: allResponses},
			{commandLine: "submit --timeout 2s rules.txt"},
			{commandLine: "rules --output rules.txt"},
			{responsesToDrop: 0},
			{commandLine: "submit rules.txt"},
			{commandLine: "submit rules.txt"},
		}},
		{"edited-after-a-lost-answer", []step{
			{file: "rules.txt", text: openingRules},
			{responsesToDrop: allResponses},
			{commandLine: "submit --timeout 2s rules.txt"},
			{responsesToDrop: 0},
			{file: "rules.txt", text: openingRules + clockChanges},
			{commandLine: "submit rules.txt"},
			{commandLine: "submit rules.txt"},
			{commandLine: "rules"},
		}},
		{"lagging", []step{
			{file: "rules.txt", text: openingRules},
			{laggingMember: "balancer-2", laggingRevision: 0},
			{commandLine: "submit --timeout 2s rules.txt"},
			{commandLine: "status"},
			{commandLine: "status --wait-for 1 --timeout 2s"},
			{unreportedMember: "bench-1"},
			{commandLine: "status"},
			{catchUp: true},
			{commandLine: "status --wait-for 1"},
		}},
		{"errors", []step{
			{file: "rules.txt", text: invalidRules},
			{commandLine: "check rules.txt"},
			{commandLine: "submit rules.txt"},
			{commandLine: "explain --to 203.0.113.7:443 --from 192.0.2.10 rules.txt"},
			{file: "rules.txt", text: openingRules + "rule galeria to 203.0.113.8:443 from 192.0.2.0/25 # never reached\n"},
			{commandLine: "check rules.txt"},
			{commandLine: "check --strict rules.txt"},
			{commandLine: "submit rules.txt"},
		}},
		{"explain", []step{
			{file: "rules.txt", text: openingRules + clockChanges},
			{commandLine: "explain --to 203.0.113.7:443 --from 192.0.2.10 rules.txt"},
			{commandLine: "explain --to 203.0.113.7:443 --from 192.0.2.10 --at 2027-03-14T06:59:59Z rules.txt"},
			{commandLine: "explain --to 203.0.113.7:443 --from 192.0.2.10 --at 2027-03-14T02:30 --local America/Lima rules.txt"},
			{commandLine: "explain --to 203.0.113.8:443 --from 192.0.2.10 --at 2027-03-14T02:30 rules.txt"},
			{commandLine: "explain --to 203.0.113.7:443 --from 192.0.2.10 --at 2027-11-07T01:30 --local America/Lima rules.txt"},
			{commandLine: "explain --to 203.0.113.8:443 --from 198.51.100.1 --at 2027-11-07T01:30 --local America/Vancouver rules.txt"},
			{commandLine: "submit rules.txt"},
			{commandLine: "explain --to 203.0.113.8:443 --from 198.51.100.1 --accepted"},
		}},
		{"wrong-input", []step{
			{commandLine: "submit"},
			{commandLine: "submit --now rules.txt"},
			{commandLine: "deploy rules.txt"},
			{commandLine: "submit missing.txt"},
			{commandLine: "check missing.txt"},
			{commandLine: "status --output xml"},
			{commandLine: "status --key-file missing.key"},
			{commandLine: "status --key-file short.key"},
			{commandLine: "status --key-file wrong.key"},
			{commandLine: "status --control http://127.0.0.1:1 --timeout 2s"},
			{commandLine: "explain --to 203.0.113.8 --from 192.0.2.10 --accepted"},
			{commandLine: "explain --to 203.0.113.8:443 --from 192.0.2.10"},
			{commandLine: "dump agent CONTROL-1"},
			{commandLine: "dump control CONTROL-1"},
			{commandLine: "log-level loud CONTROL-1"},
			{commandLine: "log-level debug CONTROL-1"},
			{commandLine: "key operator.key"},
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			f, stop := startFakeControl()
			defer stop()
			t.Chdir(t.TempDir())
			for _, k := range []struct{ path, key string }{
				{"operator.key", key}, {"short.key", "0123"}, {"wrong.key", strings.ToUpper(key)},
			} {
				c.Assert(os.WriteFile(k.path, []byte(k.key), secretPerm), qt.IsNil)
			}
			s := &session{c: c, fake: f}
			for _, p := range x.steps {
				s.perform(p)
			}
			golden := goldie.New(t, goldie.WithFixtureDir(filepath.Join(packageFolder, "testdata")))
			golden.Assert(t, x.name, s.transcript.Bytes())
		})
	}
}

// packageFolder is the folder of this package, kept because the test changes
// the working directory.
var packageFolder, _ = os.Getwd()

func (s *session) perform(p step) {
	if p.commandLine != "" {
		s.runCommand(p.commandLine)
		return
	}
	// A call whose client timed out may still be in progress.
	s.fake.mu.Lock()
	defer s.fake.mu.Unlock()
	switch {
	case p.file != "":
		s.c.Assert(os.WriteFile(p.file, []byte(p.text), filePerm), qt.IsNil)
		fmt.Fprintf(&s.transcript, "[%s is edited: %d lines]\n\n", p.file, strings.Count(p.text, "\n"))
	case p.laggingMember != "":
		s.fake.laggingRevisions[p.laggingMember] = p.laggingRevision
		fmt.Fprintf(&s.transcript, "[%s stops following]\n\n", p.laggingMember)
	case p.unreportedMember != "":
		s.fake.unreportedMember = p.unreportedMember
		fmt.Fprintf(&s.transcript, "[another leader, %s has not reported to it]\n\n", p.unreportedMember)
	case p.catchUp:
		clear(s.fake.laggingRevisions)
		s.fake.unreportedMember = ""
		s.transcript.WriteString("[all members follow]\n\n")
	default:
		s.fake.responsesToDrop = p.responsesToDrop
		fmt.Fprintf(&s.transcript, "[answers to submissions get lost: %t]\n\n", p.responsesToDrop > 0)
	}
}

// runCommand runs one command line and adds its output and exit code to the
// transcript.
func (s *session) runCommand(line string) {
	toURLs := strings.NewReplacer("CONTROL-1", s.fake.urls[0], "CONTROL-2", s.fake.urls[1])
	toNames := strings.NewReplacer(s.fake.urls[0], "CONTROL-1", s.fake.urls[1], "CONTROL-2")
	var b bytes.Buffer
	root := newRoot(fixedClock{})
	root.SetOut(&b)
	root.SetErr(&b)
	args := strings.Fields(toURLs.Replace(line))
	if !strings.Contains(line, "--control") {
		args = append(args, "--control", strings.Join(s.fake.urls, ","))
	}
	root.SetArgs(args)
	err := process.Execute(root)
	if err != nil {
		fmt.Fprintln(&b, err)
	}
	fmt.Fprintf(&s.transcript, "$ balsampier %s\n%sexit code %d\n\n", line, toNames.Replace(b.String()), process.ExitCode(err))
}
