package app

import (
	"cmp"
	"context"
	"slices"
	"strconv"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/operator"
	"github.com/balsampier/balsampier/operator/rulefile"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/query/members"
	"github.com/balsampier/balsampier/query/zonetable"
	"github.com/balsampier/balsampier/ring"
)

type (
	// Dump is the state of a control instance.
	Dump struct {
		Name     string              `json:"name"`
		Revision balsampier.Revision `json:"revision"`
		Epoch    balsampier.Epoch    `json:"epoch"`
		Replica  ReplicaDump         `json:"replica"`
		Members  members.Summary     `json:"members"`
		Rings    []ring.Stats        `json:"rings"`
	}

	// ReplicaDump is the state of the replicated log.
	ReplicaDump struct {
		Role      string           `json:"role"`
		Term      balsampier.Term  `json:"term"`
		Leader    string           `json:"leader"`
		Disk      string           `json:"diskIncarnation"`
		Blank     bool             `json:"blank"`
		Voters    []string         `json:"voters"`
		Learners  []string         `json:"learners"`
		Last      balsampier.Index `json:"last"`
		Committed balsampier.Index `json:"committed"`
		Snapshot  balsampier.Index `json:"snapshot"`
	}
)

// Submit implements operator.RuleCommands.
func (t *Control) Submit(c context.Context, b balsampier.Submission) (balsampier.SubmissionAnswer, []balsampier.Problem, error) {
	var none balsampier.SubmissionAnswer
	f, ps := rulefile.Parse(b.Text)
	if rulefile.Failed(ps) {
		return none, ps, balsampier.NewError(balsampier.KindInvalid, "read rule file", "correct the lines named and submit again", nil)
	}
	if t.status.Load().Role != replicate.RoleLeader {
		return none, ps, errNotLeader()
	}
	b.At = t.clock.Now()
	z, err := zonetable.Compile(f.Rules, f.Clocks, b.At)
	if err != nil {
		return none, ps, err
	}
	b.Zones = z
	e, err := peer.EncodeSubmission(b)
	if err != nil {
		return none, ps, err
	}
	a, err := t.propose(c, e, 0)
	return a, ps, err
}

// Rules implements operator.RuleQueries.
func (t *Control) Rules(c context.Context) (balsampier.RuleFile, error) {
	x, cancel := context.WithTimeout(c, confirmTimeout)
	defer cancel()
	p, err := t.confirmed(x)
	if err != nil {
		return balsampier.RuleFile{}, err
	}
	return p.rules, nil
}

// Status implements operator.RuleQueries.
func (t *Control) Status(c context.Context) (operator.Status, error) {
	x, cancel := context.WithTimeout(c, confirmTimeout)
	defer cancel()
	p, err := t.confirmed(x)
	if err != nil {
		return operator.Status{}, err
	}
	m := command{rollouts: make(chan rollouts, 1)}
	if err := t.commands.Push(x, m); err != nil {
		return operator.Status{}, err
	}
	s := operator.Status{Revision: p.rules.Revision, Epoch: p.view.Epoch, Leader: t.s.Name}
	select {
	case r := <-m.rollouts:
		if r.err != nil {
			return s, r.err
		}
		for _, r := range r.list {
			s.Members = append(s.Members, operator.MemberStatus{
				Name: r.Member.Name, Role: r.Member.Role.String(), DataCentre: r.Member.DataCentre,
				Service: r.Member.Service, Draining: r.Member.Draining, InForce: r.Applied,
			})
		}
	case <-x.Done():
		return s, x.Err()
	}
	slices.SortFunc(s.Members, func(a, b operator.MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s, nil
}

// Dump returns the state for operators.
func (t *Control) Dump() any {
	p, s := t.published.Load(), t.status.Load()
	d := Dump{
		Name: t.s.Name, Revision: p.rules.Revision, Epoch: p.view.Epoch, Members: members.Summarize(p.view),
		Replica: ReplicaDump{
			Role: s.Role.String(), Term: s.Term, Leader: t.nameOf(s.Leader.Instance), Disk: diskName(s.Self),
			Blank: s.Blank, Voters: t.namesOf(s.Set.Voters), Learners: t.namesOf(s.Set.Learners),
			Last: s.Last, Committed: s.Commit, Snapshot: s.Snapshot,
		},
		Rings: []ring.Stats{
			t.inputs.Stats(), t.work.Stats(), t.committed.Stats(), t.commands.Stats(), t.digests.Stats(),
		},
	}
	for _, p := range t.peers {
		d.Rings = append(d.Rings, p.out.Stats())
	}
	return d
}

func (t *Control) namesOf(rs []balsampier.Replica) []string {
	out := make([]string, 0, len(rs))
	for _, r := range rs {
		out = append(out, t.nameOf(r.Instance)+"@"+diskName(r))
	}
	return out
}

func diskName(r balsampier.Replica) string { return strconv.FormatUint(uint64(r.Disk), 16) }
