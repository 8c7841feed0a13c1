package peer

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
)

// TestClaimsSurviveLogAndSnapshot passes each change through the log encoding
// and the state through a snapshot after each step, and compares the result
// with a state that was never encoded.
func TestClaimsSurviveLogAndSnapshot(t *testing.T) {
	agent := func(id balsampier.InstanceID, draining bool) balsampier.Member {
		return balsampier.Member{ID: id, Incarnation: 1, Role: balsampier.RoleAgent, Service: "reservas", Draining: draining}
	}
	completed := func(e balsampier.Epoch, ids ...balsampier.InstanceID) []apply.Completion {
		var cs []apply.Completion
		for _, id := range ids {
			cs = append(cs, apply.Completion{Service: "reservas", Holder: agent(id, false).Holder(), Epoch: e})
		}
		return cs
	}
	steps := []struct {
		name        string
		change      *apply.MembershipChange
		completions []apply.Completion
		// epoch and active are the group epoch and the active epoch of the
		// service after the step.
		epoch, active balsampier.Epoch
	}{
		{"joined", &apply.MembershipChange{Joined: []balsampier.Member{agent(1, false), agent(2, false)}}, nil, 1, 0},
		{"oneComplete", nil, completed(1, 1), 1, 0},
		{"repeated", nil, completed(1, 1), 1, 0},
		{"stranger", nil, completed(1, 3), 1, 0},
		{"allComplete", nil, completed(1, 2), 1, 1},
		{"otherService", &apply.MembershipChange{Joined: []balsampier.Member{{ID: 9, Incarnation: 1, Role: balsampier.RoleAgent, Service: "galeria"}}}, nil, 1, 1},
		{"draining", &apply.MembershipChange{Joined: []balsampier.Member{agent(1, true)}}, nil, 3, 1},
		{"late", nil, completed(1, 1, 2), 3, 1},
		{"overtaken", &apply.MembershipChange{Left: []balsampier.InstanceID{1}}, nil, 4, 1},
		{"complete", nil, completed(4, 2), 4, 4},
		{"gone", &apply.MembershipChange{Left: []balsampier.InstanceID{2}}, nil, 5, 4},
	}
	c := qt.New(t)
	plain, decoded := new(apply.State), new(apply.State)
	for _, s := range steps {
		var b []byte
		var err error
		if s.change != nil {
			plain.ChangeMembers(*s.change)
			b, err = EncodeMembership(*s.change)
		} else {
			plain.RecordCompletions(s.completions)
			b, err = EncodeCompletions(s.completions)
		}
		c.Assert(err, qt.IsNil)
		_, m, cs, err := DecodeEntry(b)
		c.Assert(err, qt.IsNil)
		if m != nil {
			decoded.ChangeMembers(*m)
		} else {
			decoded.RecordCompletions(cs)
		}
		b, err = EncodeSnapshot(decoded.Snapshot())
		c.Assert(err, qt.IsNil)
		p, err := DecodeSnapshot(b)
		c.Assert(err, qt.IsNil)
		decoded, err = apply.Restore(p)
		c.Assert(err, qt.IsNil)
		want, got := plain.Claims["reservas"], decoded.Claims["reservas"]
		c.Assert(want.Group.Epoch, qt.Equals, s.epoch, qt.Commentf("%s", s.name))
		c.Assert(want.Base.Epoch, qt.Equals, s.active, qt.Commentf("%s", s.name))
		c.Assert(encodeActivations(decoded.Claims), qt.HasLen, len(plain.Claims))
		c.Assert(fmt.Sprint(got), qt.Equals, fmt.Sprint(want), qt.Commentf("%s", s.name))
	}
}
