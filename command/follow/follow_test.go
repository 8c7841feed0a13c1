package follow_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/command/follow"
	"github.com/balsampier/balsampier/query/members"
)

var (
	start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	sizes = members.Sizes{
		Member: func(balsampier.Member) int { return 78 }, File: func(balsampier.RuleFile) int { return 60 },
		Removed: 11, Message: 24,
	}
)

type (
	// commitLog is the committed state with all earlier revisions and views.
	commitLog struct {
		state apply.State
		files []balsampier.RuleFile
		views []balsampier.View
	}

	// instance is a control instance that has applied a prefix of the
	// committed files and views.
	instance struct {
		files, views int
		history      *members.History
		cutOff       bool
	}

	// watcher is a balancer or agent with its stream.
	watcher struct {
		member   balsampier.Member
		interest members.Interest
		follower *follow.Follower
		// acceptedAtStart is the newest revision when the process started.
		acceptedAtStart balsampier.Revision
		// stream is nil if none is open.
		stream   *members.Publisher
		instance int
		inFlight []members.Message
	}

	simulation struct {
		commitLog
		now        time.Time
		random     *rand.Rand
		instances  []*instance
		watchers   []*watcher
		readyCount int
	}
)

func TestMain(m *testing.M) {
	for _, f := range [][2]string{{"rapid.seed", "1"}, {"rapid.steps", "120"}, {"rapid.checks", "300"}, {"rapid.nofailfile", "true"}} {
		_ = flag.Set(f[0], f[1])
	}
	flag.Parse()
	os.Exit(m.Run())
}

func newSimulation() *simulation {
	w := &simulation{now: start, random: rand.New(rand.NewPCG(1, 2))}
	w.files, w.views = []balsampier.RuleFile{{}}, []balsampier.View{{}}
	for range 3 {
		w.instances = append(w.instances, &instance{history: members.NewHistory(balsampier.View{})})
	}
	for _, m := range []balsampier.Member{
		{ID: 101, Role: balsampier.RoleBalancer, DataCentre: "limaNorte"},
		{ID: 102, Role: balsampier.RoleAgent, Service: "reservas", DataCentre: "limaNorte"},
		{ID: 103, Role: balsampier.RoleAgent, Service: "galeria", DataCentre: "limaSur"},
	} {
		p := &watcher{member: m, interest: members.InterestOf(m, false)}
		w.watchers = append(w.watchers, p)
		w.restart(p)
	}
	return w
}

func (w *simulation) restart(p *watcher) {
	p.follower = follow.New(len(w.instances), w.now, w.random)
	p.acceptedAtStart, p.stream, p.inFlight = w.state.Rules.Revision, nil, nil
}

func (w *simulation) accept(text string) {
	w.state.Submit(balsampier.Submission{
		ID: [16]byte{byte(len(w.files)), byte(len(w.files) >> 8)}, Base: w.state.Rules.Revision, Text: text, At: w.now,
	})
	w.files = append(w.files, w.state.Rules)
}

func (w *simulation) change(c apply.MembershipChange) {
	w.state.ChangeMembers(c)
	w.views = append(w.views, w.state.View)
}

func (w *simulation) replicate(i *instance) {
	if i.cutOff {
		return
	}
	i.files, i.views = len(w.files)-1, len(w.views)-1
	i.history.Add(w.views[i.views])
}

// poll connects a watcher, or lets its instance send one message.
func (w *simulation) poll(p *watcher) {
	if p.stream == nil {
		if c, ok := p.follower.Connect(w.now); ok {
			p.instance, p.inFlight = c.ControlIndex, nil
			p.stream = members.NewPublisher(p.interest, sizes, members.DefaultBudget, c.Position, w.now)
		}
		return
	}
	i := w.instances[p.instance]
	s := members.Source{
		Rules: w.files[i.files], Earlier: w.files[max(0, i.files-3):i.files], History: i.history,
		Confirmed: !i.cutOff && i.files == len(w.files)-1 && i.views == len(w.views)-1,
	}
	if m, _, ok := p.stream.Next(s, w.now); ok {
		p.inFlight = append(p.inFlight, m)
	}
}

// receive delivers up to n messages in flight to a watcher.
func (w *simulation) receive(p *watcher, n int) error {
	for range min(n, len(p.inFlight)) {
		m := p.inFlight[0]
		p.inFlight = p.inFlight[1:]
		c, err := p.follower.HandleMessage(m, w.now)
		if err != nil {
			w.disconnect(p)
			break
		}
		if !c.Ready {
			continue
		}
		w.readyCount++
		if r := p.follower.Rules().Revision; r < p.acceptedAtStart {
			return fmt.Errorf("ready on revision %d, started when %d was accepted", r, p.acceptedAtStart)
		}
	}
	return nil
}

func (w *simulation) disconnect(p *watcher) {
	if p.stream != nil {
		p.stream, p.inFlight = nil, nil
		p.follower.HandleDisconnect(w.now, w.random)
	}
}

// check compares the rules and view in force at a watcher with the committed
// ones.
func (w *simulation) check(p *watcher) error {
	f, v := p.follower.Rules(), p.follower.View()
	if g := w.files[f.Revision]; g.Text != f.Text || g.Submission != f.Submission {
		return fmt.Errorf("revision %d is %q, want %q", f.Revision, f.Text, g.Text)
	}
	var want []balsampier.Member
	for _, m := range w.views[v.Epoch].Members {
		if p.interest.Includes(m) {
			want = append(want, m)
		}
	}
	if !slices.Equal(v.Members, want) {
		return fmt.Errorf("epoch %d is %+v, want %+v", v.Epoch, v.Members, want)
	}
	return nil
}

// run advances the time by d without faults.
func (w *simulation) run(d time.Duration) error {
	for u := w.now.Add(d); w.now.Before(u); w.now = w.now.Add(100 * time.Millisecond) {
		for _, i := range w.instances {
			w.replicate(i)
		}
		for _, p := range w.watchers {
			if p.stream != nil && p.follower.IsExpired(w.now) {
				w.disconnect(p)
			}
			w.poll(p)
			if err := w.receive(p, 10); err != nil {
				return err
			}
		}
	}
	return nil
}

// TestFollowers checks that no watcher ever returns to an older state, has an
// uncommitted or partial one, or becomes ready on a revision older than the
// newest at its start, and that all reach the newest state once faults end.
func TestFollowers(t *testing.T) {
	readies := 0
	rapid.Check(t, func(r *rapid.T) {
		w := newSimulation()
		before := map[*follow.Follower]members.Position{}
		r.Repeat(w.actions(func(r *rapid.T) {
			for _, p := range w.watchers {
				n := members.Position{Revision: p.follower.Rules().Revision, Epoch: p.follower.View().Epoch}
				if o := before[p.follower]; n.Revision < o.Revision || n.Epoch < o.Epoch {
					r.Fatalf("state went from %+v to the older %+v", o, n)
				}
				before[p.follower] = n
				if err := w.check(p); err != nil {
					r.Fatal(err)
				}
			}
		}))
		for _, i := range w.instances {
			i.cutOff = false
		}
		if err := w.run(40 * time.Second); err != nil {
			r.Fatal(err)
		}
		for _, p := range w.watchers {
			s := p.follower.Status(w.now)
			if !s.Ready || s.CutOff || s.Revision != w.state.Rules.Revision || s.Epoch != w.state.View.Epoch {
				r.Fatalf("%+v after all faults ended, newest is revision %d in epoch %d", s, w.state.Rules.Revision, w.state.View.Epoch)
			}
		}
		readies += w.readyCount
	})
	if readies == 0 {
		t.Fatal("no follower became ready")
	}
}

func (w *simulation) actions(check func(*rapid.T)) map[string]func(*rapid.T) {
	anyOf := func(r *rapid.T) *watcher { return w.watchers[rapid.IntRange(0, 2).Draw(r, "watcher")] }
	anyInstance := func(r *rapid.T) *instance { return w.instances[rapid.IntRange(0, 2).Draw(r, "instance")] }
	return map[string]func(*rapid.T){
		"": check,
		"accept": func(r *rapid.T) {
			b := w.state.Rules.Text
			i, j := rapid.IntRange(0, len(b)).Draw(r, "start"), rapid.IntRange(0, len(b)).Draw(r, "end")
			n := rapid.SampledFrom([]int{1, 40, 4000}).Draw(r, "insert")
			w.accept(b[:min(i, j)] + strings.Repeat(rapid.SampledFrom([]string{"a", "b"}).Draw(r, "text"), n) + b[max(i, j):])
		},
		"change": func(r *rapid.T) {
			var c apply.MembershipChange
			for _, id := range rapid.SliceOfNDistinct(rapid.IntRange(1, 60), 0, 40, rapid.ID).Draw(r, "members") {
				m := balsampier.Member{ID: balsampier.InstanceID(id), Incarnation: balsampier.Incarnation(len(w.views))}
				m.Role = []balsampier.Role{balsampier.RoleBalancer, balsampier.RoleAgent, balsampier.RoleControl}[id%3]
				m.DataCentre = []balsampier.DataCentre{"limaNorte", "limaSur"}[id%2]
				m.Service = []balsampier.ServiceName{"reservas", "galeria"}[len(w.views)%2]
				if id%5 == len(w.views)%5 {
					c.Left = append(c.Left, m.ID)
				} else {
					c.Joined = append(c.Joined, m)
				}
			}
			w.change(c)
		},
		"replicate": func(r *rapid.T) { w.replicate(anyInstance(r)) },
		"cut": func(r *rapid.T) {
			i := anyInstance(r)
			i.cutOff = !i.cutOff
		},
		"advance": func(r *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{10, 200, 1000, 9000}).Draw(r, "ms")) * time.Millisecond)
		},
		"poll": func(r *rapid.T) {
			p := anyOf(r)
			for range rapid.IntRange(1, 20).Draw(r, "messages") {
				w.poll(p)
				w.now = w.now.Add(130 * time.Millisecond)
			}
		},
		"receive": func(r *rapid.T) {
			if err := w.receive(anyOf(r), rapid.IntRange(1, 20).Draw(r, "messages")); err != nil {
				r.Fatal(err)
			}
		},
		"interrupt": func(r *rapid.T) {
			p := anyOf(r)
			for range rapid.IntRange(1, 8).Draw(r, "messages") {
				w.now = w.now.Add(200 * time.Millisecond)
				w.poll(p)
				if err := w.receive(p, 1); err != nil {
					r.Fatal(err)
				}
			}
			w.disconnect(p)
		},
		"break":   func(r *rapid.T) { w.disconnect(anyOf(r)) },
		"restart": func(r *rapid.T) { w.restart(anyOf(r)) },
	}
}

// TestCutOff checks that a follower without control stays ready with its last
// state, reports that it is cut off and tries every control instance.
func TestCutOff(t *testing.T) {
	c := qt.New(t)
	w := newSimulation()
	w.accept("first")
	c.Assert(w.run(10*time.Second), qt.IsNil)
	p := w.watchers[0]
	c.Assert(p.follower.Status(w.now).State, qt.Equals, follow.StateFollowing)
	tried := map[int]bool{}
	for range 2000 {
		w.now = w.now.Add(100 * time.Millisecond)
		if k, ok := p.follower.Connect(w.now); ok {
			tried[k.ControlIndex] = true
		}
		if p.follower.IsExpired(w.now) {
			p.follower.HandleDisconnect(w.now, w.random)
		}
		c.Assert(p.follower.Ready(), qt.IsTrue)
	}
	s := p.follower.Status(w.now)
	c.Assert(s.CutOff, qt.IsTrue)
	c.Assert(s.Revision, qt.Equals, balsampier.Revision(1))
	c.Assert(tried, qt.HasLen, 3)
}
