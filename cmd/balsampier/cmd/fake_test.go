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
	key          = "0123456789abcdef0123456789abcdef"
	allResponses = 1 << 30
)

var now = time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)

type (
	// fixedClock always returns the same time; its timers are real.
	fixedClock struct{ clock.System }

	// fakeControl simulates two control instances that share one state; the
	// second one is the leader. They serve the real operator API.
	fakeControl struct {
		mu    sync.Mutex
		state apply.State
		// responsesToDrop is the number of responses to submissions still to
		// be lost.
		responsesToDrop int
		// laggingRevisions maps the names of lagging members to the revision
		// that they have in force.
		laggingRevisions map[string]balsampier.Revision
		// unreportedMember is the member that has not reported to the leader.
		unreportedMember string
		logger           log.Logger
		urls             []string
	}

	// fakeInstance is one instance of a fakeControl.
	fakeInstance struct {
		*fakeControl
		isLeader bool
	}
)

func (fixedClock) Now() time.Time { return now }

// startFakeControl starts both instances and returns a function that stops
// them.
func startFakeControl() (*fakeControl, func()) {
	f := &fakeControl{laggingRevisions: make(map[string]balsampier.Revision)}
	f.state.ChangeMembers(apply.MembershipChange{Joined: []balsampier.Member{
		{ID: 1, Name: "balancer-1", Role: balsampier.RoleBalancer, DataCentre: "lima-1"},
		{ID: 2, Name: "balancer-2", Role: balsampier.RoleBalancer, DataCentre: "lima-2"},
		{ID: 3, Name: "bench-1", Role: balsampier.RoleAgent, DataCentre: "lima-1", Service: "reservas"},
		{ID: 4, Name: "bench-2", Role: balsampier.RoleAgent, DataCentre: "lima-2", Service: "galeria", Draining: true},
	}})
	var stopFuncs []func()
	for _, isLeader := range []bool{false, true} {
		i := fakeInstance{f, isLeader}
		s := operator.NewServer(nil, []byte(key), i.Dump, func() error { return nil })
		s.AddRules(i, i)
		s.AddLogLevel(&f.logger)
		h := httptest.NewServer(f.dropResponses(s))
		f.urls = append(f.urls, h.URL)
		stopFuncs = append(stopFuncs, h.Close)
	}
	return f, func() {
		for _, s := range stopFuncs {
			s()
		}
	}
}

// dropResponses serves h. While responses are to be lost, it closes the
// connection after a submission was processed.
func (f *fakeControl) dropResponses(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		dropped := r.Method == http.MethodPost && f.responsesToDrop > 0
		if dropped {
			f.responsesToDrop--
		}
		f.mu.Unlock()
		if dropped {
			h.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

func (i fakeInstance) Submit(_ context.Context, b balsampier.Submission) (balsampier.SubmissionAnswer, []balsampier.Problem, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.isLeader {
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

func (i fakeInstance) Rules(context.Context) (balsampier.RuleFile, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.Rules, nil
}

func (i fakeInstance) Status(context.Context) (operator.Status, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.isLeader {
		return operator.Status{}, balsampier.NewError(balsampier.KindNotLeader, "lead", "ask another control instance", nil)
	}
	var as []members.MemberRevision
	for _, m := range i.state.View.Members {
		r := i.state.Rules.Revision
		if x, ok := i.laggingRevisions[m.Name]; ok {
			r = x
		}
		a := members.MemberRevision{Member: m, Revision: r, FirstReportedAt: now}
		if m.Name == i.unreportedMember {
			a.Revision, a.FirstReportedAt = 0, time.Time{}
		}
		as = append(as, a)
	}
	o := members.NewRollout(i.state.Rules, as, members.MaxListed, now.Add(12*time.Second))
	return operator.NewStatus(o, i.state.View.Epoch, "control-2"), nil
}

func (i fakeInstance) Dump() any {
	return struct {
		Program string `json:"program"`
	}{"control"}
}
