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

const leaseTTL = 2 * time.Second

// session simulates the control state and a few agents, delivers their messages
// in order and records them in out.
type session struct {
	out     bytes.Buffer
	now     time.Time
	leases  *lease.Table
	state   *apply.State
	epochs  []*claim.Epochs
	holders []*claim.Holder
	self    []balsampier.Holder
	// adopted is the view epoch that each agent acknowledges.
	adopted []balsampier.Epoch
	// lastRenewals holds the recorded result of each agent's last renewal.
	lastRenewals []string
}

func newSession(n int) *session {
	s := &session{now: time.UnixMilli(1_800_000_000_000), state: new(apply.State)}
	settings, _ := claim.Settings{}.Check()
	s.leases = lease.New(s.state.View, leaseTTL, s.now)
	for i := range n {
		h := balsampier.Holder{Instance: balsampier.InstanceID(i + 1), Incarnation: 1}
		e := claim.NewEpochs(h)
		s.adopted, s.lastRenewals = append(s.adopted, 0), append(s.lastRenewals, "")
		s.self, s.epochs = append(s.self, h), append(s.epochs, e)
		s.holders = append(s.holders, claim.NewHolder(h, settings, e))
	}
	return s
}

// publish renews the given agents until their group is active. By then the
// leases of all other agents have expired.
func (s *session) publish(agents ...int) {
	for range 12 {
		for _, i := range agents {
			s.renew(i)
		}
		s.now = s.now.Add(leaseTTL / 4)
		if c, ok := s.leases.Changes(s.now); ok {
			s.state.ChangeMembers(c)
			s.leases.Committed(s.state.View)
			g := s.state.Claims["session"].Group
			fmt.Fprintf(&s.out, "epoch %d of agents %v published, base %d\n", g.Epoch, agents, g.Base)
		}
	}
}

// renew lets agent i copy claims and renew its lease, and records the result if
// it has changed.
func (s *session) renew(i int) {
	h := s.self[i]
	m := balsampier.Member{ID: h.Instance, Incarnation: h.Incarnation, Role: balsampier.RoleAgent, Service: "session"}
	s.copy(i)
	s.state.RecordCompletions([]apply.Completion{{Service: m.Service, Holder: h, Epoch: s.holders[i].CompleteEpoch()}})
	g, err := s.leases.Report(lease.Report{Member: m, AcknowledgedEpoch: s.adopted[i]}, s.now)
	if err != nil {
		fmt.Fprintf(&s.out, "  agent %d is refused: %v\n", i, err)
		return
	}
	a := s.state.Claims[m.Service]
	l := balsampier.Lease{TTL: g.TTL, Epoch: g.Epoch, Active: g.ActiveEpoch, Claims: a.State(s.state.View.Epoch)}
	s.epochs[i].ApplyLease(s.now, l)
	s.adopted[i] = l.Claims.AsOf
	renewalResult := fmt.Sprintf("lease %v, group %d, sealed %t, active %d, complete %d",
		l.TTL > 0, l.Claims.Group.Epoch, s.epochs[i].Sealed(), l.Claims.Active, s.holders[i].CompleteEpoch())
	if renewalResult != s.lastRenewals[i] {
		fmt.Fprintf(&s.out, "  agent %d renews: %s\n", i, renewalResult)
		s.lastRenewals[i] = renewalResult
	}
}

// copy fetches the claims that agent i still misses from the other agents.
func (s *session) copy(i int) {
	q, to := s.holders[i].NextCopy(s.now)
	for _, h := range to {
		p, ok := s.holders[h.Instance-1].ServeCopy(q)
		fmt.Fprintf(&s.out, "  agent %d copies from %d: answered %t, %d claims\n", i, h.Instance-1, ok, len(p.Records))
		if ok {
			s.holders[i].MergeCopy(p, s.now)
		}
	}
}

// claims sends the claims of the runner until it has none left to send or a
// holder is not ready.
func (s *session) claims(i int, r *claim.Runner) {
	for {
		c, to, ok := r.NextClaim(s.epochs[i], s.now)
		if !ok {
			return
		}
		p := s.holders[to.Instance-1].Claim(c, s.now)
		fmt.Fprintf(&s.out, "agent %d claims at %d, attempt %d: decision %d, other %d\n", i, to.Instance-1, c.Attempt, p.Decision, p.Runner.Instance)
		r.HandleReply(p)
		if p.Decision == claim.DecisionNotReady {
			return
		}
	}
}

// refuse ends the runner of agent i and sends its release to the holders.
func (s *session) refuse(i int, r *claim.Runner) {
	f := r.Refuse(s.epochs[i], s.now)
	fmt.Fprintf(&s.out, "agent %d refuses as %s, releases at %d holders\n", i, f.Kind, len(f.To))
	for _, h := range f.To {
		s.holders[h.Instance-1].Release(f.Release)
	}
}

// TestSession records a claim that survives the deaths of both its holders, one
// after the other, a claim that is released, and a lease that expires.
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
	survivors := []int{0, 1, 2, 3, 4}
	for _, h := range pair {
		var next []int
		for _, i := range survivors {
			if s.self[i] != h {
				next = append(next, i)
			}
		}
		survivors = next
		fmt.Fprintf(&s.out, "agent %d dies\n", h.Instance-1)
		s.publish(survivors...)
	}
	i := survivors[len(survivors)-1]
	secondRunner := claim.NewRunner(k, s.self[i], new(claim.Attempts))
	s.claims(i, secondRunner)
	s.refuse(i, secondRunner)
	expiredRunner := claim.NewRunner(requests.NewKey(s.now, 2), s.self[i], new(claim.Attempts))
	s.claims(i, expiredRunner)
	s.now = s.now.Add(2 * time.Second)
	fmt.Fprintf(&s.out, "lease over, agent %d begins: %t\n", i, expiredRunner.Begin(s.epochs[i], s.now))
	s.refuse(i, expiredRunner)
	goldie.New(t).Assert(t, "session", s.out.Bytes())
}
