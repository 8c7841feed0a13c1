package app

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/command/lease"
)

// TestRenewalsWithoutLeader checks that only the newest renewal of a member is
// kept: without a leader, members renew repeatedly and no digest answers them.
func TestRenewalsWithoutLeader(t *testing.T) {
	c := qt.New(t)
	k := &Control{leases: newLeaseState()}
	m := balsampier.Member{ID: 1, Name: "agent-1", Role: balsampier.RoleAgent, Incarnation: 1}
	var last *renewal
	for range 1000 {
		n := &renewal{report: lease.Report{Member: m}, resultChan: make(chan renewalResult, 1)}
		k.handleRenewal(n)
		if last != nil {
			c.Assert(balsampier.KindOf((<-last.resultChan).err), qt.Equals, balsampier.KindUnavailable)
		}
		last = n
	}
	c.Assert(k.leases.pendingRenewals, qt.HasLen, 1)
	c.Assert(last.resultChan, qt.HasLen, 0)
}

// TestDigestsArePaced checks that the digest after a failed one waits for
// digestRetryDelay. Without the delay, an instance without a leader sends
// digests in a tight loop.
func TestDigestsArePaced(t *testing.T) {
	c := qt.New(t)
	d := newTestControl(c)
	k := d.clock.(*clock.Fake)
	x := context.Background()
	d.handleRenewal(&renewal{
		report:     lease.Report{Member: balsampier.Member{ID: 1, Name: "balancer-1", Role: balsampier.RoleBalancer, Incarnation: 1}},
		resultChan: make(chan renewalResult, 1),
	})
	c.Assert(d.enqueueDigest(x), qt.IsNil)
	c.Assert(d.digests.Stats().Depth, qt.Equals, 1)
	var ds [1]lease.Digest
	_, err := d.digests.Pop(x, ds[:])
	c.Assert(err, qt.IsNil)
	d.handleDigestResult(digestResult{err: errNoLeader()})
	c.Assert(d.enqueueDigest(x), qt.IsNil)
	c.Assert(d.digests.Stats().Depth, qt.Equals, 0)
	k.Advance(digestRetryDelay)
	c.Assert(d.enqueueDigest(x), qt.IsNil)
	c.Assert(d.digests.Stats().Depth, qt.Equals, 1)
}
