package cmd

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	_ "time/tzdata" // zones are the same on every machine

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/process"
)

const (
	first = "rule reservas to 203.0.113.7:443 from any daily 08:00-20:00 America/Lima class urgent # Rosa, opening hours\n" +
		"rule galeria to 203.0.113.8:443 from 192.0.2.0/24 # José, photos\n"
	decree = "clock America/Lima at 2027-03-14T02:00 offset -04:00 # decree of 2027-02-18\n" +
		"clock America/Lima at 2027-11-07T02:00 offset -05:00 # decree of 2027-02-18\n"
	broken = "rule reservas to 203.0.113.7 from any # Rosa\nrule galeria to 203.0.113.8:443 from any\n"
)

type (
	// step is one thing that happens in a session: a command, or a change
	// around it.
	step struct {
		// run is a command line; empty for other steps.
		run string
		// write puts text into file.
		file, text string
		// lose is how many answers to submissions get lost from now on.
		lose int
		// lag is the member that keeps revision at.
		lag string
		at  balsampier.Revision
		// silence is the member that has not reported to the leader.
		silence string
		// catchUp lets all members follow.
		catchUp bool
	}

	session struct {
		c   *qt.C
		f   *fakeControl
		out bytes.Buffer
	}
)

func TestSessions(t *testing.T) {
	for _, x := range []struct {
		name  string
		steps []step
	}{
		{"submit", []step{
			{run: "status"},
			{run: "rules --output rules.txt"},
			{file: "rules.txt", text: first},
			{run: "check rules.txt"},
			{run: "submit rules.txt"},
			{run: "submit rules.txt"},
			{run: "status"},
			{run: "status --output json"},
			{run: "status --wait-for 1"},
			{file: "rules.txt", text: first + decree},
			{run: "submit --wait=false rules.txt"},
			{run: "rules"},
		}},
		{"conflict", []step{
			{run: "rules --output rosa.txt"},
			{run: "rules --output jose.txt"},
			{file: "rosa.txt", text: first},
			{file: "jose.txt", text: first + decree},
			{run: "submit rosa.txt"},
			{run: "submit jose.txt"},
			{run: "submit jose.txt"},
			{run: "rules --output merged.txt"},
			{file: "merged.txt", text: first + decree},
			{run: "submit merged.txt"},
			{run: "submit jose.txt"},
		}},
		{"lost-answers", []step{
			{file: "rules.txt", text: first},
			{lose: 1},
			{run: "submit rules.txt"},
			{file: "rules.txt", text: first + decree},
			{lose: loses},
			{run: "submit --timeout 2s rules.txt"},
			{run: "rules --output rules.txt"},
			{lose: 0},
			{run: "submit rules.txt"},
			{run: "submit rules.txt"},
		}},
		{"edited-after-a-lost-answer", []step{
			{file: "rules.txt", text: first},
			{lose: loses},
			{run: "submit --timeout 2s rules.txt"},
			{lose: 0},
			{file: "rules.txt", text: first + decree},
			{run: "submit rules.txt"},
			{run: "submit rules.txt"},
			{run: "rules"},
		}},
		{"lagging", []step{
			{file: "rules.txt", text: first},
			{lag: "balancer-2", at: 0},
			{run: "submit --timeout 2s rules.txt"},
			{run: "status"},
			{run: "status --wait-for 1 --timeout 2s"},
			{silence: "bench-1"},
			{run: "status"},
			{catchUp: true},
			{run: "status --wait-for 1"},
		}},
		{"errors", []step{
			{file: "rules.txt", text: broken},
			{run: "check rules.txt"},
			{run: "submit rules.txt"},
			{run: "explain --to 203.0.113.7:443 --from 192.0.2.10 rules.txt"},
			{file: "rules.txt", text: first + "rule galeria to 203.0.113.8:443 from 192.0.2.0/25 # never reached\n"},
			{run: "check rules.txt"},
			{run: "check --strict rules.txt"},
			{run: "submit rules.txt"},
		}},
		{"explain", []step{
			{file: "rules.txt", text: first + decree},
			{run: "explain --to 203.0.113.7:443 --from 192.0.2.10 rules.txt"},
			{run: "explain --to 203.0.113.7:443 --from 192.0.2.10 --at 2027-03-14T06:59:59Z rules.txt"},
			{run: "explain --to 203.0.113.7:443 --from 192.0.2.10 --at 2027-03-14T02:30 --local America/Lima rules.txt"},
			{run: "explain --to 203.0.113.8:443 --from 192.0.2.10 --at 2027-03-14T02:30 rules.txt"},
			{run: "explain --to 203.0.113.7:443 --from 192.0.2.10 --at 2027-11-07T01:30 --local America/Lima rules.txt"},
			{run: "explain --to 203.0.113.8:443 --from 198.51.100.1 --at 2027-11-07T01:30 --local America/Vancouver rules.txt"},
			{run: "submit rules.txt"},
			{run: "explain --to 203.0.113.8:443 --from 198.51.100.1 --accepted"},
		}},
		{"wrong-input", []step{
			{run: "submit"},
			{run: "submit --now rules.txt"},
			{run: "deploy rules.txt"},
			{run: "submit missing.txt"},
			{run: "check missing.txt"},
			{run: "status --output xml"},
			{run: "status --key-file missing.key"},
			{run: "status --key-file short.key"},
			{run: "status --key-file wrong.key"},
			{run: "status --control http://127.0.0.1:1 --timeout 2s"},
			{run: "explain --to 203.0.113.8 --from 192.0.2.10 --accepted"},
			{run: "explain --to 203.0.113.8:443 --from 192.0.2.10"},
			{run: "dump agent CONTROL-1"},
			{run: "dump control CONTROL-1"},
			{run: "log-level loud CONTROL-1"},
			{run: "log-level debug CONTROL-1"},
			{run: "key operator.key"},
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			f, stop := newFakeControl()
			defer stop()
			t.Chdir(t.TempDir())
			for _, k := range []struct{ path, key string }{
				{"operator.key", key}, {"short.key", "0123"}, {"wrong.key", strings.ToUpper(key)},
			} {
				c.Assert(os.WriteFile(k.path, []byte(k.key), secretPerm), qt.IsNil)
			}
			s := &session{c: c, f: f}
			for _, p := range x.steps {
				s.do(p)
			}
			golden := goldie.New(t, goldie.WithFixtureDir(filepath.Join(source, "testdata")))
			golden.Assert(t, x.name, s.out.Bytes())
		})
	}
}

// source is the folder of the package.
var source, _ = os.Getwd()

func (s *session) do(p step) {
	if p.run != "" {
		s.run(p.run)
		return
	}
	// A call that its client gave up may still be under way.
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	switch {
	case p.file != "":
		s.c.Assert(os.WriteFile(p.file, []byte(p.text), filePerm), qt.IsNil)
		fmt.Fprintf(&s.out, "[%s is edited: %d lines]\n\n", p.file, strings.Count(p.text, "\n"))
	case p.lag != "":
		s.f.lagging[p.lag] = p.at
		fmt.Fprintf(&s.out, "[%s stops following]\n\n", p.lag)
	case p.silence != "":
		s.f.silent = p.silence
		fmt.Fprintf(&s.out, "[another leader, %s has not reported to it]\n\n", p.silence)
	case p.catchUp:
		clear(s.f.lagging)
		s.f.silent = ""
		s.out.WriteString("[all members follow]\n\n")
	default:
		s.f.lose = p.lose
		fmt.Fprintf(&s.out, "[answers to submissions get lost: %t]\n\n", p.lose > 0)
	}
}

// run runs one command line and writes down what it says.
func (s *session) run(line string) {
	names := strings.NewReplacer("CONTROL-1", s.f.urls[0], "CONTROL-2", s.f.urls[1])
	urls := strings.NewReplacer(s.f.urls[0], "CONTROL-1", s.f.urls[1], "CONTROL-2")
	var b bytes.Buffer
	root := newRoot(fixedClock{})
	root.SetOut(&b)
	root.SetErr(&b)
	args := strings.Fields(names.Replace(line))
	if !strings.Contains(line, "--control") {
		args = append(args, "--control", strings.Join(s.f.urls, ","))
	}
	root.SetArgs(args)
	err := process.Execute(root)
	if err != nil {
		fmt.Fprintln(&b, err)
	}
	fmt.Fprintf(&s.out, "$ balsampier %s\n%sexit code %d\n\n", line, urls.Replace(b.String()), process.ExitCode(err))
}
