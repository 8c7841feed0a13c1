package app

import (
	"context"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/ring"
)

// Renew implements peer.ControlHandler.
func (t *Control) Renew(c context.Context, r balsampier.Renewal) (balsampier.Lease, error) {
	n := &renewal{
		report: lease.Report{Member: r.Member, Applied: r.Applied, Acknowledged: r.Acknowledged},
		answer: make(chan renewed, 1),
	}
	if err := t.commands.Push(c, command{renewal: n}); err != nil {
		return balsampier.Lease{}, err
	}
	select {
	case a := <-n.answer:
		return balsampier.Lease{Term: a.grant.Term, Epoch: a.grant.Epoch, Active: a.grant.Active}, a.err
	case <-c.Done():
		return balsampier.Lease{}, c.Err()
	}
}

// Watch implements peer.ControlHandler. It begins with a state that a quorum
// confirmed, so that nobody starts on an old one.
func (t *Control) Watch(c context.Context, _ balsampier.InstanceID, send func(balsampier.Update) error) error {
	x, cancel := context.WithTimeout(c, confirmTimeout)
	p, err := t.confirmed(x)
	cancel()
	if err != nil {
		return err
	}
	var r balsampier.Revision
	var e balsampier.Epoch
	for {
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
		p = t.published.Load()
	}
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
	p := &passed{digest: d, answer: make(chan received, 1)}
	if err := t.commands.Push(c, command{digest: p}); err != nil {
		return lease.Receipt{}, err
	}
	select {
	case r := <-p.answer:
		return r.receipt, r.err
	case <-c.Done():
		return lease.Receipt{}, c.Err()
	}
}

// ReadIndex implements peer.ReplicaHandler.
func (t *Control) ReadIndex(c context.Context) (balsampier.Index, error) { return t.readLocal(c) }
