package app

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/lease"
)

// Without a leader members renew again and again; only their newest renewals
// are kept.
func TestRenewalsWithoutLeader(t *testing.T) {
	c := qt.New(t)
	k := &Control{leases: newMembership()}
	m := balsampier.Member{ID: 1, Name: "agent-1", Role: balsampier.RoleAgent, Incarnation: 1}
	var last *renewal
	for range 1000 {
		n := &renewal{report: lease.Report{Member: m}, answer: make(chan renewed, 1)}
		k.takeRenewal(n)
		if last != nil {
			c.Assert(balsampier.KindOf((<-last.answer).err), qt.Equals, balsampier.KindUnavailable)
		}
		last = n
	}
	c.Assert(k.leases.waiting, qt.HasLen, 1)
	c.Assert(last.answer, qt.HasLen, 0)
}
