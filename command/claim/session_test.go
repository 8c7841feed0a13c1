package claim_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/bench/requests"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/command/claim"
	"github.com/balsampier/balsampier/command/lease"
)

const term = 2 * time.Second

// session plays the messages of a few agents in order and writes them down.
type session struct {
	out     bytes.Buffer
	now     time.Time
	leases  *lease.Table
	state   *apply.State
	epochs  []*claim.Epochs
	holders []*claim.Holder
	self    []balsampier.Holder
	// adopted is the view whose group each agent uses.
	adopted []balsampier.Epoch
	// news is what each agent's last renewal came to.
	news []string
}

func newSession(n int) *session {
	s := &session{now: time.UnixMilli(1_800_000_000_000), state: new(apply.State)}
	settings, _ := claim.Settings{}.Check()
	s.leases = lease.New(s.state.View, term, s.now)
	for i := range n {
		h := balsampier.Holder{Instance: balsampier.InstanceID(i + 1), Incarnation: 1}
		e := claim.NewEpochs(h)
		s.adopted, s.news = append(s.adopted, 0), append(s.news, "")
		s.self, s.epochs = append(s.self, h), append(s.epochs, e)
		s.holders = append(s.holders, claim.NewHolder(h, settings, e))
	}
	return s
}

// publish renews the given agents until the group that they make is active;
// the leases of others have run out.
func (s *session) publish(agents ...int) {
	for range 12 {
		for _, i := range agents {
			s.renew(i)
		}
		s.now = s.now.Add(term / 4)
		if c, ok := s.leases.Changes(s.now); ok {
			s.state.ChangeMembers(c)
			s.leases.Committed(s.state.View)
			g := s.state.Claims["session"].Group
			fmt.Fprintf(&s.out, "epoch %d of agents %v published, base %d\n", g.Epoch, agents, g.Base)
		}
	}
}

func (s *session) renew(i int) {
	h := s.self[i]
	m := balsampier.Member{ID: h.Instance, Incarnation: h.Incarnation, Role: balsampier.RoleAgent, Service: "session"}
	s.copy(i)
	s.state.Complete([]apply.Completion{{Service: m.Service, Holder: h, Epoch: s.holders[i].Complete()}})
	g, err := s.leases.Report(lease.Report{Member: m, AcknowledgedEpoch: s.adopted[i]}, s.now)
	if err != nil {
		fmt.Fprintf(&s.out, "  agent %d is refused: %v\n", i, err)
		return
	}
	a := s.state.Claims[m.Service]
	l := balsampier.Lease{TTL: g.TTL, Epoch: g.Epoch, Active: g.ActiveEpoch, Claims: a.State(s.state.View.Epoch)}
	s.epochs[i].Told(s.now, l)
	s.adopted[i] = l.Claims.AsOf
	news := fmt.Sprintf("lease %v, group %d, sealed %t, active %d, complete %d",
		l.TTL > 0, l.Claims.Group.Epoch, s.epochs[i].Sealed(), l.Claims.Active, s.holders[i].Complete())
	if news != s.news[i] {
		fmt.Fprintf(&s.out, "  agent %d renews: %s\n", i, news)
		s.news[i] = news
	}
}

func (s *session) copy(i int) {
	q, to := s.holders[i].Copy(s.now)
	for _, h := range to {
		p, ok := s.holders[h.Instance-1].Serve(q)
		fmt.Fprintf(&s.out, "  agent %d copies from %d: answered %t, %d claims\n", i, h.Instance-1, ok, len(p.Records))
		if ok {
			s.holders[i].Merge(p, s.now)
		}
	}
}

// claims drives the runner until nothing is left to send.
func (s *session) claims(i int, r *claim.Runner) {
	for {
		c, to, ok := r.Claim(s.epochs[i], s.now)
		if !ok {
			return
		}
		p := s.holders[to.Instance-1].Claim(c, s.now)
		fmt.Fprintf(&s.out, "agent %d claims at %d, attempt %d: decision %d, other %d\n", i, to.Instance-1, c.Attempt, p.Decision, p.Runner.Instance)
		r.Reply(p)
		if p.Decision == claim.DecisionNotReady {
			return
		}
	}
}

func (s *session) refuse(i int, r *claim.Runner) {
	f := r.Refuse(s.epochs[i], s.now)
	fmt.Fprintf(&s.out, "agent %d refuses as %s, releases at %d holders\n", i, f.Kind, len(f.To))
	for _, h := range f.To {
		s.holders[h.Instance-1].Release(f.Release)
	}
}

// TestSession writes down a claim that outlives both of its holders, one
// after the other, a claim that is released, and a lease that ran out.
func TestSession(t *testing.T) {
	s := newSession(5)
	s.publish(0, 1, 2, 3)
	k := requests.NewKey(s.now.Add(time.Minute/120), 1)
	pair := claim.Pair(s.self[:4], k)
	fmt.Fprintf(&s.out, "holders of the key: %d and %d\n", pair[0].Instance-1, pair[1].Instance-1)
	runners := []*claim.Runner{
		claim.NewRunner(k, s.self[0], new(claim.Attempts)), claim.NewRunner(k, s.self[1], new(claim.Attempts)),
	}
	s.claims(0, runners[0])
	fmt.Fprintf(&s.out, "agent 0 begins: %t\n", runners[0].Begin(s.epochs[0], s.now))
	rest := []int{0, 1, 2, 3, 4}
	for _, h := range pair {
		var next []int
		for _, i := range rest {
			if s.self[i] != h {
				next = append(next, i)
			}
		}
		rest = next
		fmt.Fprintf(&s.out, "agent %d dies\n", h.Instance-1)
		s.publish(rest...)
	}
	i := rest[len(rest)-1]
	again := claim.NewRunner(k, s.self[i], new(claim.Attempts))
	s.claims(i, again)
	s.refuse(i, again)
	fresh := claim.NewRunner(requests.NewKey(s.now, 2), s.self[i], new(claim.Attempts))
	s.claims(i, fresh)
	s.now = s.now.Add(2 * time.Second)
	fmt.Fprintf(&s.out, "lease over, agent %d begins: %t\n", i, fresh.Begin(s.epochs[i], s.now))
	s.refuse(i, fresh)
	goldie.New(t).Assert(t, "session", s.out.Bytes())
}
