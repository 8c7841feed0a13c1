package app

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/ring"
)

const (
	// leaseTick is how often renewals are passed on and changes looked for.
	leaseTick = 50 * time.Millisecond
	// digestPause follows a digest that failed; it is a fraction of the
	// interval between renewals.
	digestPause = 200 * time.Millisecond
	// confirmTimeout bounds the wait for a quorum.
	confirmTimeout = 2 * time.Second
)

type (
	// command is one message to the lease thread; one field is set.
	command struct {
		// renewal comes from a member.
		renewal *renewal
		// digest comes from a control instance, this one included.
		digest *passed
		// receipt answers the own digest; a nil lease.Receipt failed.
		receipt *received
		// confirmed tells that a quorum confirmed the leadership.
		confirmed *confirmation
		// proposed tells the fate of a membership change.
		proposed *proposedChange
		// leave ends the lease of a member.
		leave *balsampier.Holder
		// rollouts takes the roll-out; it has room for it.
		rollouts chan rollouts
		// logged tells that a batch of completions was logged or lost.
		logged bool
	}

	renewal struct {
		report lease.Report
		// answer has room for one answer.
		answer chan renewed
	}

	renewed struct {
		grant lease.Grant
		err   error
	}

	passed struct {
		digest lease.Digest
		// answer has room for one answer.
		answer chan received
	}

	received struct {
		receipt lease.Receipt
		err     error
	}

	confirmation struct {
		term  balsampier.Term
		state *published
		err   error
	}

	proposedChange struct {
		term   balsampier.Term
		change apply.MembershipChange
		err    error
	}

	rollouts struct {
		list []lease.Rollout
		err  error
	}

	// membership is owned by the lease thread.
	membership struct {
		collector *lease.Collector
		// waiting holds who waits for an answer: for each member its newest
		// renewal, as a member makes one after the other.
		waiting map[balsampier.Holder]chan renewed
		// table is nil unless this instance leads in term.
		table *lease.Table
		term  balsampier.Term
		// passAt is when the next digest may be passed on.
		passAt time.Time
		// view is the newest that the collector and the table know.
		view balsampier.Epoch
		// queued digests wait for the next confirmation; confirming ones for
		// the one under way.
		queued, confirming []*passed
		// underWay is true while a confirmation is under way.
		underWay bool
		// completed waits to be logged, at most maxCompletions; logging is
		// true while a batch is under way.
		completed []apply.Completion
		logging   bool
	}
)

func newMembership() membership {
	return membership{collector: lease.NewCollector(), waiting: make(map[balsampier.Holder]chan renewed)}
}

// keepLeases owns the leases. At the leader every digest is answered only
// after a quorum has confirmed the leadership later than the digest came: a
// lease then ends before any that a later leader believes to be the last.
func (t *Control) keepLeases(c context.Context) error {
	var cs [batchSize]command
	for {
		k := t.clock.NewTimer(leaseTick)
		n, err := t.commands.PopUntil(c, cs[:], k.C())
		k.Stop()
		if err != nil {
			return err
		}
		t.followView()
		for i := range cs[:n] {
			t.takeCommand(cs[i])
			cs[i] = command{}
		}
		if err := t.passOwn(c); err != nil {
			return err
		}
		t.confirmLead(c)
		t.proposeChanges(c)
		t.proposeCompletions(c)
	}
}

func (t *Control) takeCommand(m command) {
	switch {
	case m.renewal != nil:
		t.takeRenewal(m.renewal)
	case m.digest != nil:
		t.leases.queued = append(t.leases.queued, m.digest)
	case m.receipt != nil:
		t.takeReceipt(*m.receipt)
	case m.confirmed != nil:
		t.takeConfirmation(*m.confirmed)
	case m.proposed != nil:
		if p := m.proposed; p.err != nil && t.leases.table != nil && p.term == t.leases.term {
			t.leases.table.Dropped(p.change, t.clock.Now())
		}
	case m.leave != nil:
		if t.leases.table != nil {
			t.leases.table.Leave(*m.leave, t.clock.Now())
		}
	case m.logged:
		t.leases.logging = false
	case m.rollouts != nil:
		if t.leases.table == nil {
			m.rollouts <- rollouts{err: errNotLeader()}
			return
		}
		m.rollouts <- rollouts{list: t.leases.table.Rollouts()}
	}
}

// followView tells the collector and the table of newer views.
func (t *Control) followView() {
	m := &t.leases
	if s := t.status.Load(); m.table != nil && (s.Role != replicate.RoleLeader || s.Term != m.term) {
		m.table = nil
	}
	v := t.published.Load().view
	if v.Epoch == m.view {
		return
	}
	m.view = v.Epoch
	m.collector.SetView(v)
	if m.table != nil {
		m.table.Committed(v)
	}
}

func (t *Control) takeRenewal(r *renewal) {
	if err := t.leases.collector.Add(r.report); err != nil {
		r.answer <- renewed{err: err}
		return
	}
	h := r.report.Member.Holder()
	if w, ok := t.leases.waiting[h]; ok {
		w <- renewed{err: errSuperseded()}
	}
	t.leases.waiting[h] = r.answer
}

// passOwn hands the next digest to the leader, which may be this instance.
func (t *Control) passOwn(c context.Context) error {
	if t.clock.Now().Before(t.leases.passAt) {
		return nil
	}
	d, ok := t.leases.collector.NextDigest(t.published.Load().rules.Revision)
	if !ok {
		return nil
	}
	return t.digests.Push(c, d)
}

// passDigests passes the digests of this instance to the leader.
func (t *Control) passDigests(c context.Context) error {
	var ds [1]lease.Digest
	for {
		if _, err := t.digests.Pop(c, ds[:]); err != nil {
			return err
		}
		x, cancel := context.WithTimeout(c, confirmTimeout)
		r, err := t.passToLeader(x, ds[0])
		cancel()
		if err := t.commands.PushWith(c, command{receipt: &received{receipt: r, err: err}}, ring.Block); err != nil {
			return err
		}
	}
}

func (t *Control) passToLeader(c context.Context, d lease.Digest) (lease.Receipt, error) {
	l := t.status.Load().Leader.Instance
	if l == t.self {
		return t.PassDigest(c, d)
	}
	p, ok := t.links.get(l)
	if !ok {
		return lease.Receipt{}, errNoLeader()
	}
	return p.caller.PassDigest(c, d)
}

// takeReceipt answers the members of the own digest, or tries again.
func (t *Control) takeReceipt(r received) {
	m := &t.leases
	if r.err != nil {
		m.collector.HandleFailure()
		m.passAt = t.clock.Now().Add(digestPause)
		return
	}
	t.raiseActive(r.receipt.Grant.ActiveEpoch)
	for _, a := range m.collector.HandleReceipt(r.receipt) {
		if w, ok := m.waiting[a.Holder]; ok {
			w <- renewed{grant: a.Grant, err: a.Err}
		}
		delete(m.waiting, a.Holder)
	}
}

func errSuperseded() error {
	return balsampier.NewError(balsampier.KindUnavailable, "renew the lease", "wait for the answer to the later renewal", nil)
}

func (t *Control) raiseActive(e balsampier.Epoch) {
	if uint64(e) > t.active.Load() {
		t.active.Store(uint64(e))
	}
}

// confirmLead asks a quorum whether this instance still leads, when digests wait
// or leases may have run out.
func (t *Control) confirmLead(c context.Context) {
	m := &t.leases
	s := t.status.Load()
	if s.Role != replicate.RoleLeader {
		refuse(m.queued, errNotLeader())
		m.queued = nil
		return
	}
	if m.underWay || (len(m.queued) == 0 && m.table != nil) {
		return
	}
	m.underWay = true
	m.confirming, m.queued = m.queued, nil
	go func() {
		x, cancel := context.WithTimeout(c, confirmTimeout)
		defer cancel()
		n := confirmation{term: s.Term}
		i, err := t.readLocal(x)
		if err == nil {
			n.state, err = t.waitApplied(x, i)
		}
		n.err = err
		_ = t.commands.PushWith(c, command{confirmed: &n}, ring.Block)
	}()
}

// takeConfirmation answers the digests that came before it was asked for.
func (t *Control) takeConfirmation(n confirmation) {
	m := &t.leases
	ds := m.confirming
	m.underWay, m.confirming = false, nil
	if s := t.status.Load(); n.err != nil || s.Term != n.term || s.Role != replicate.RoleLeader {
		refuse(ds, errNotLeader())
		return
	}
	now := t.clock.Now()
	if m.table == nil || m.term != n.term {
		m.table, m.term = lease.New(n.state.view, t.s.LeaseTerm, now), n.term
		m.view = n.state.view.Epoch
		m.collector.SetView(n.state.view)
	}
	for _, p := range ds {
		r, err := m.table.HandleDigest(p.digest, now)
		if err == nil {
			t.takeCompletions(p.digest.Completed)
		}
		p.answer <- received{receipt: r, err: err}
	}
}

func refuse(ds []*passed, err error) {
	for _, p := range ds {
		p.answer <- received{err: err}
	}
}

// proposeChanges logs the membership changes that are due.
func (t *Control) proposeChanges(c context.Context) {
	m := &t.leases
	if m.table == nil {
		return
	}
	ch, ok := m.table.Changes(t.clock.Now())
	if !ok {
		return
	}
	t.log.Info().Int("joined", len(ch.Joined)).Int("left", len(ch.Left)).Msg("membership changes")
	p := &proposedChange{term: m.term, change: ch}
	go func() {
		b, err := peer.EncodeMembership(ch)
		if err == nil {
			_, err = t.propose(c, b, p.term)
		}
		p.err = err
		_ = t.commands.PushWith(c, command{proposed: p}, ring.Block)
	}()
}
