package cmd

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/operator"
	"github.com/balsampier/balsampier/operator/rulefile"
	"github.com/balsampier/balsampier/query/members"
)

const (
	key   = "0123456789abcdef0123456789abcdef"
	loses = 1 << 30
)

var now = time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)

type (
	// fixedClock tells one time; its timers run.
	fixedClock struct{ clock.System }

	// fakeControl is two control instances that share one state; the second
	// one leads. Its port is the one of the programs.
	fakeControl struct {
		mu    sync.Mutex
		state apply.State
		// lose counts the answers to submissions that get lost on their way.
		lose int
		// lagging members keep this revision.
		lagging map[string]balsampier.Revision
		// silent is the member that has not reported to the leader.
		silent string
		logger log.Logger
		urls   []string
	}

	instance struct {
		*fakeControl
		leads bool
	}
)

func (fixedClock) Now() time.Time { return now }

func newFakeControl() (*fakeControl, func()) {
	f := &fakeControl{lagging: make(map[string]balsampier.Revision)}
	f.state.ChangeMembers(apply.MembershipChange{Joined: []balsampier.Member{
		{ID: 1, Name: "balancer-1", Role: balsampier.RoleBalancer, DataCentre: "lima-1"},
		{ID: 2, Name: "balancer-2", Role: balsampier.RoleBalancer, DataCentre: "lima-2"},
		{ID: 3, Name: "bench-1", Role: balsampier.RoleAgent, DataCentre: "lima-1", Service: "reservas"},
		{ID: 4, Name: "bench-2", Role: balsampier.RoleAgent, DataCentre: "lima-2", Service: "galeria", Draining: true},
	}})
	var stops []func()
	for _, leads := range []bool{false, true} {
		i := instance{f, leads}
		s := operator.NewServer(nil, []byte(key), i.Dump, func() error { return nil })
		s.AddRules(i, i)
		s.AddLogLevel(&f.logger)
		h := httptest.NewServer(f.losing(s))
		f.urls = append(f.urls, h.URL)
		stops = append(stops, h.Close)
	}
	return f, func() {
		for _, s := range stops {
			s()
		}
	}
}

// losing serves h, and breaks the connection behind a submission whose answer
// is to be lost.
func (f *fakeControl) losing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		lost := r.Method == http.MethodPost && f.lose > 0
		if lost {
			f.lose--
		}
		f.mu.Unlock()
		if lost {
			h.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

func (i instance) Submit(_ context.Context, b balsampier.Submission) (balsampier.SubmissionAnswer, []balsampier.Problem, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.leads {
		return balsampier.SubmissionAnswer{}, nil, balsampier.NewError(balsampier.KindNotLeader, "lead", "ask another control instance", nil)
	}
	r, ps, err := compile(b.Text, now)
	if err == nil && rulefile.HasErrors(ps) {
		err = balsampier.NewError(balsampier.KindInvalid, "read rule file", "correct the lines named and submit again", nil)
	}
	if err != nil {
		return balsampier.SubmissionAnswer{}, ps, err
	}
	b.Zones, b.At = r.zones, now
	return i.state.Submit(b), ps, nil
}

func (i instance) Rules(context.Context) (balsampier.RuleFile, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.Rules, nil
}

func (i instance) Status(context.Context) (operator.Status, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.leads {
		return operator.Status{}, balsampier.NewError(balsampier.KindNotLeader, "lead", "ask another control instance", nil)
	}
	var as []members.MemberRevision
	for _, m := range i.state.View.Members {
		r := i.state.Rules.Revision
		if x, ok := i.lagging[m.Name]; ok {
			r = x
		}
		a := members.MemberRevision{Member: m, Revision: r, FirstReportedAt: now}
		if m.Name == i.silent {
			a.Revision, a.FirstReportedAt = 0, time.Time{}
		}
		as = append(as, a)
	}
	o := members.NewRollout(i.state.Rules, as, members.MaxListed, now.Add(12*time.Second))
	return operator.NewStatus(o, i.state.View.Epoch, "control-2"), nil
}

func (i instance) Dump() any {
	return struct {
		Program string `json:"program"`
	}{"control"}
}
