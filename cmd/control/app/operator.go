package app

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/operator"
	"github.com/balsampier/balsampier/operator/rulefile"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/query/check"
	"github.com/balsampier/balsampier/query/members"
	"github.com/balsampier/balsampier/query/zonetable"
	"github.com/balsampier/balsampier/ring"
)

// submitTimeout bounds the wait for a majority. After it a client retries with
// another instance.
const submitTimeout = 4 * time.Second

type (
	// Dump is the state of a control instance for operators.
	Dump struct {
		Program  string              `json:"program"`
		Name     string              `json:"name"`
		Revision balsampier.Revision `json:"revision"`
		Epoch    balsampier.Epoch    `json:"epoch"`
		Replica  ReplicaDump         `json:"replica"`
		Members  members.Summary     `json:"members"`
		Rings    []ring.Stats        `json:"rings"`
	}

	// ReplicaDump is the state of the replicated log for operators.
	ReplicaDump struct {
		Role   string          `json:"role"`
		Term   balsampier.Term `json:"term"`
		Leader string          `json:"leader"`
		Disk   string          `json:"diskIncarnation"`
		Blank  bool            `json:"blank"`
		// BootstrapVote is the instance whose initial membership a blank
		// instance voted for.
		BootstrapVote string `json:"pledge,omitempty"`
		// BootstrapRound is the newest bootstrap round that a blank instance has
		// seen, and AcceptedRound the newest in which it accepted a first
		// membership.
		BootstrapRound balsampier.Term  `json:"bootstrapRound,omitempty"`
		AcceptedRound  balsampier.Term  `json:"acceptedRound,omitempty"`
		Voters         []string         `json:"voters"`
		Learners       []string         `json:"learners"`
		Last           balsampier.Index `json:"last"`
		Committed      balsampier.Index `json:"committed"`
		Snapshot       balsampier.Index `json:"snapshot"`
	}
)

// Submit implements operator.RuleCommands. A resend gets the recorded answer,
// even if its file would be refused by now.
func (t *Control) Submit(c context.Context, b balsampier.Submission) (balsampier.SubmissionAnswer, []balsampier.Problem, error) {
	c, cancel := context.WithTimeout(c, submitTimeout)
	defer cancel()
	a, ps, err := t.submit(c, b)
	e := t.log.Info()
	if balsampier.KindOf(err) == balsampier.KindNotLeader {
		e = t.log.Debug()
	}
	e.Stringer("id", b.ID).Uint64("base", uint64(b.Base)).Bool("accepted", a.Accepted).Uint64("revision", uint64(a.Revision)).
		Int("problems", len(ps)).Err(err).Msg("submission")
	return a, ps, err
}

func (t *Control) submit(c context.Context, b balsampier.Submission) (balsampier.SubmissionAnswer, []balsampier.Problem, error) {
	var none balsampier.SubmissionAnswer
	if t.status.Load().Role != replicate.RoleLeader {
		return none, nil, countRefusal(errNotLeader())
	}
	b.At = t.clock.Now()
	z, ps, err := compileRules(b)
	if err != nil {
		a, ok, lookupErr := t.recordedAnswer(c, b.ID)
		if lookupErr != nil {
			return none, nil, countRefusal(lookupErr)
		}
		if ok {
			return a, nil, nil
		}
		return none, ps, countRefusal(err)
	}
	b.Zones = z
	e, err := peer.EncodeSubmission(b)
	if err != nil {
		return none, ps, err
	}
	a, err := t.propose(c, e, 0)
	if err == nil && !a.Accepted {
		countRefusedKind(balsampier.KindConflict)
	}
	return a, ps, countRefusal(err)
}

// compileRules checks the rule file and returns its zone tables and problems.
func compileRules(b balsampier.Submission) ([]balsampier.ZoneTable, []balsampier.Problem, error) {
	f, ps := rulefile.Parse(b.Text)
	if !rulefile.HasErrors(ps) {
		z, more, err := check.Check(zonetable.BuiltIn{}, f.Rules, f.ClockChanges, b.At)
		ps = append(ps, more...)
		if err != nil || !rulefile.HasErrors(ps) {
			return z, ps, err
		}
	}
	return nil, ps, balsampier.NewError(balsampier.KindInvalid, "read rule file", "correct the lines named and submit again", nil)
}

// recordedAnswer returns the answer that was recorded for an earlier submission
// with this ID, or false if there is none.
func (t *Control) recordedAnswer(c context.Context, id balsampier.SubmissionID) (balsampier.SubmissionAnswer, bool, error) {
	c, cancel := context.WithTimeout(c, confirmTimeout)
	defer cancel()
	if _, err := t.confirmedState(c); err != nil {
		return balsampier.SubmissionAnswer{}, false, asUnavailable(err)
	}
	m := applyInput{lookup: id, outcome: make(chan outcome, 1)}
	if err := t.committed.Push(c, m); err != nil {
		return balsampier.SubmissionAnswer{}, false, asUnavailable(err)
	}
	select {
	case o := <-m.outcome:
		return o.answer, o.answer.ID == id, nil
	case <-c.Done():
		return balsampier.SubmissionAnswer{}, false, asUnavailable(c.Err())
	}
}

// asUnavailable wraps an error without a kind, such as one of the context, as
// KindUnavailable, so that operators retry. Other errors are returned
// unchanged.
func asUnavailable(err error) error {
	if err == nil || balsampier.KindOf(err) != 0 {
		return err
	}
	return balsampier.NewError(balsampier.KindUnavailable, "confirm with a quorum",
		"try again; check that a majority of the control instances runs", err)
}

// Rules implements operator.RuleQueries.
func (t *Control) Rules(c context.Context) (balsampier.RuleFile, error) {
	x, cancel := context.WithTimeout(c, confirmTimeout)
	defer cancel()
	p, err := t.confirmedState(x)
	if err != nil {
		return balsampier.RuleFile{}, asUnavailable(err)
	}
	return p.rules, nil
}

// Status implements operator.RuleQueries.
func (t *Control) Status(c context.Context) (operator.Status, error) {
	x, cancel := context.WithTimeout(c, confirmTimeout)
	defer cancel()
	p, err := t.confirmedState(x)
	if err != nil {
		return operator.Status{}, asUnavailable(err)
	}
	m := leaseCommand{rollouts: make(chan rolloutsResult, 1)}
	if err := t.commands.Push(x, m); err != nil {
		return operator.Status{}, asUnavailable(err)
	}
	select {
	case r := <-m.rollouts:
		if r.err != nil {
			return operator.Status{}, r.err
		}
		as := make([]members.MemberRevision, 0, len(r.list))
		for _, v := range r.list {
			as = append(as, members.MemberRevision{Member: v.Member, Revision: v.AppliedRevision, FirstReportedAt: v.AppliedSince})
		}
		o := members.NewRollout(p.rules, as, members.MaxListed, t.clock.Now())
		return operator.NewStatus(o, p.view.Epoch, t.instanceSettings.Name), nil
	case <-x.Done():
		return operator.Status{}, asUnavailable(x.Err())
	}
}

// Dump returns the state for operators.
func (t *Control) Dump() any {
	p, s := t.published.Load(), t.status.Load()
	d := Dump{
		Program: "control", Name: t.instanceSettings.Name, Revision: p.rules.Revision, Epoch: p.view.Epoch, Members: members.Summarize(p.view),
		Replica: ReplicaDump{
			Role: s.Role.String(), Term: s.Term, Leader: t.nameOf(s.Leader.Instance), Disk: diskName(s.Self),
			Blank: s.Blank, BootstrapVote: t.nameOf(s.BootstrapVote.Instance),
			BootstrapRound: s.Bootstrap.Promised, AcceptedRound: s.Bootstrap.Accepted, Voters: t.namesOf(s.Set.Voters), Learners: t.namesOf(s.Set.Learners),
			Last: s.Last, Committed: s.Commit, Snapshot: s.Snapshot,
		},
		Rings: []ring.Stats{
			t.inputs.Stats(), t.work.Stats(), t.committed.Stats(), t.commands.Stats(), t.digests.Stats(),
		},
	}
	for _, p := range t.links.all() {
		d.Rings = append(d.Rings, p.out.Stats())
	}
	slices.SortFunc(d.Rings, func(a, b ring.Stats) int { return cmp.Compare(a.Name, b.Name) })
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
