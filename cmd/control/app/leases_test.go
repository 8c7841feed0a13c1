package app

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/command/lease"
)

// Without a leader members renew again and again; only their newest renewals
// are kept.
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

// TestFailedDigestIsDelayed fails a digest: the next one waits, so that an instance
// without a leader does not pass digests as fast as it can.
func TestFailedDigestIsDelayed(t *testing.T) {
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
