package app

import (
	"context"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/ring"
)

// Renew implements peer.ControlHandler. An instance without a log refuses at once,
// because it cannot tell when it will have one.
func (t *Control) Renew(c context.Context, r balsampier.Renewal) (balsampier.Lease, error) {
	if t.status.Load().Blank {
		return balsampier.Lease{}, errNoLeader()
	}
	n := &renewal{
		report: lease.Report{
			Member: r.Member, AppliedRevision: r.AppliedRevision, AcknowledgedEpoch: r.AcknowledgedEpoch, CompleteEpoch: t.uncommittedCompletion(r),
		},
		resultChan: make(chan renewalResult, 1),
	}
	if err := t.commands.Push(c, leaseCommand{renewal: n}); err != nil {
		return balsampier.Lease{}, err
	}
	select {
	case a := <-n.resultChan:
		return balsampier.Lease{
			TTL: a.grant.TTL, Epoch: a.grant.Epoch, Active: a.grant.ActiveEpoch, Claims: t.claimState(r),
		}, a.err
	case <-c.Done():
		return balsampier.Lease{}, c.Err()
	}
}

// Leave implements peer.ControlHandler. It is forwarded to the leader, which
// ends the lease in its table.
func (t *Control) Leave(c context.Context, h balsampier.Holder) error {
	l := t.status.Load().Leader.Instance
	if p, ok := t.links.getOrCreate(l); ok {
		return p.caller.Leave(c, h)
	}
	if l != t.self {
		return errNoLeader()
	}
	return t.commands.Push(c, leaseCommand{leave: &h})
}

// Step implements peer.ReplicaHandler.
func (t *Control) Step(c context.Context, ms []replicate.Message) error {
	for _, m := range ms {
		if err := t.inputs.PushWith(c, input{kind: inputMessage, message: m}, ring.DropNewest); err != nil {
			return err
		}
	}
	return nil
}

// PassDigest implements peer.ReplicaHandler.
func (t *Control) PassDigest(c context.Context, d lease.Digest) (lease.Receipt, error) {
	p := &pendingDigest{digest: d, resultChan: make(chan digestResult, 1)}
	if err := t.commands.Push(c, leaseCommand{digest: p}); err != nil {
		return lease.Receipt{}, err
	}
	select {
	case r := <-p.resultChan:
		return r.receipt, r.err
	case <-c.Done():
		return lease.Receipt{}, c.Err()
	}
}

// ReadIndex implements peer.ReplicaHandler.
func (t *Control) ReadIndex(c context.Context) (balsampier.Index, error) { return t.readLeaderIndex(c) }
