package app

import (
	"cmp"
	"context"
	"slices"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/operator"
	"github.com/balsampier/balsampier/query/members"
	"github.com/balsampier/balsampier/ring"
)

// Dump is the state of a control instance.
type Dump struct {
	Name     string              `json:"name"`
	Revision balsampier.Revision `json:"revision"`
	Epoch    balsampier.Epoch    `json:"epoch"`
	Members  members.Summary     `json:"members"`
	Rings    []ring.Stats        `json:"rings"`
}

// Watch implements peer.ControlHandler.
func (t *Control) Watch(c context.Context, _ balsampier.InstanceID, send func(balsampier.Update) error) error {
	var r balsampier.Revision
	var e balsampier.Epoch
	for {
		p := t.published.Load()
		var u balsampier.Update
		if p.rules.Revision > r {
			u.Rules, r = &p.rules, p.rules.Revision
		}
		if p.view.Epoch > e {
			u.View, e = &p.view, p.view.Epoch
		}
		if u.Rules != nil || u.View != nil {
			if err := send(u); err != nil {
				return err
			}
		}
		select {
		case <-p.changed:
		case <-c.Done():
			return c.Err()
		}
	}
}

// Rules implements operator.RuleQueries.
func (t *Control) Rules(context.Context) (balsampier.RuleFile, error) {
	return t.published.Load().rules, nil
}

// Status implements operator.RuleQueries.
func (t *Control) Status(c context.Context) (operator.Status, error) {
	m := command{rollouts: make(chan []lease.Rollout, 1)}
	if err := t.commands.Push(c, m); err != nil {
		return operator.Status{}, err
	}
	p := t.published.Load()
	s := operator.Status{Revision: p.rules.Revision, Epoch: p.view.Epoch, Leader: t.s.Name}
	select {
	case rs := <-m.rollouts:
		for _, r := range rs {
			s.Members = append(s.Members, operator.MemberStatus{
				Name: r.Member.Name, Role: r.Member.Role.String(), DataCentre: r.Member.DataCentre,
				Service: r.Member.Service, Draining: r.Member.Draining, InForce: r.Applied,
			})
		}
	case <-c.Done():
		return s, c.Err()
	}
	slices.SortFunc(s.Members, func(a, b operator.MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s, nil
}

// Dump returns the state for operators.
func (t *Control) Dump() any {
	p := t.published.Load()
	return Dump{
		Name: t.s.Name, Revision: p.rules.Revision, Epoch: p.view.Epoch, Members: members.Summarize(p.view),
		Rings: []ring.Stats{t.commands.Stats(), t.records.Stats(), t.committed.Stats()},
	}
}
