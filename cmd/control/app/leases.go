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
	// leaseTickInterval is how often renewals are passed on and changes looked for.
	leaseTickInterval = 50 * time.Millisecond
	// digestRetryDelay follows a digest that failed; it is a fraction of the
	// interval between renewals.
	digestRetryDelay = 200 * time.Millisecond
	// confirmTimeout bounds the wait for a quorum.
	confirmTimeout = 2 * time.Second
)

type (
	// leaseCommand is one message to the lease thread; one field is set.
	leaseCommand struct {
		// renewal comes from a member.
		renewal *renewal
		// digest comes from a control instance, this one included.
		digest *pendingDigest
		// digestResult answers the own digest; a nil lease.Receipt failed.
		digestResult *digestResult
		// confirmed tells that a quorum confirmed the leadership.
		confirmed *leadershipConfirmation
		// proposed tells the fate of a membership change.
		proposed *proposedChange
		// leave ends the lease of a member.
		leave *balsampier.Holder
		// rollouts takes the roll-out; it has room for it.
		rollouts chan rolloutsResult
		// completionsDone tells that a batch of completions was completionsDone or lost.
		completionsDone bool
	}

	renewal struct {
		report lease.Report
		// resultChan has room for one resultChan.
		resultChan chan renewalResult
	}

	renewalResult struct {
		grant lease.Grant
		err   error
	}

	pendingDigest struct {
		digest lease.Digest
		// resultChan has room for one resultChan.
		resultChan chan digestResult
	}

	digestResult struct {
		receipt lease.Receipt
		err     error
	}

	leadershipConfirmation struct {
		term  balsampier.Term
		state *publishedState
		err   error
	}

	proposedChange struct {
		term   balsampier.Term
		change apply.MembershipChange
		err    error
	}

	rolloutsResult struct {
		list []lease.Rollout
		err  error
	}

	// leaseState is owned by the lease thread.
	leaseState struct {
		collector *lease.Collector
		// pendingRenewals holds who waits for an answer: for each member its newest
		// renewal, as a member makes one after the other.
		pendingRenewals map[balsampier.Holder]chan renewalResult
		// table is nil unless this instance leads in term.
		table *lease.Table
		term  balsampier.Term
		// nextDigestAt is when the next digest may be passed on.
		nextDigestAt time.Time
		// viewEpoch is the newest that the collector and the table know.
		viewEpoch balsampier.Epoch
		// queuedDigests digests wait for the next confirmation; confirmingDigests ones for
		// the one under way.
		queuedDigests, confirmingDigests []*pendingDigest
		// confirmInFlight is true while a confirmation is under way.
		confirmInFlight bool
		// completions waits to be logged, at most maxCompletions; logging is
		// true while a batch is under way.
		completions          []apply.Completion
		proposingCompletions bool
	}
)

func newLeaseState() leaseState {
	return leaseState{collector: lease.NewCollector(), pendingRenewals: make(map[balsampier.Holder]chan renewalResult)}
}

// maintainLeases owns the leases. At the leader every digest is answered only
// after a quorum has confirmed the leadership later than the digest came: a
// lease then ends before any that a later leader believes to be the last.
func (t *Control) maintainLeases(c context.Context) error {
	var cs [batchSize]leaseCommand
	for {
		k := t.clock.NewTimer(leaseTickInterval)
		n, err := t.commands.PopUntil(c, cs[:], k.C())
		k.Stop()
		if err != nil {
			return err
		}
		t.updateView()
		for i := range cs[:n] {
			t.handleCommand(cs[i])
			cs[i] = leaseCommand{}
		}
		if err := t.enqueueDigest(c); err != nil {
			return err
		}
		t.confirmLeadership(c)
		t.proposeChanges(c)
		t.proposeCompletions(c)
	}
}

func (t *Control) handleCommand(m leaseCommand) {
	switch {
	case m.renewal != nil:
		t.handleRenewal(m.renewal)
	case m.digest != nil:
		t.leases.queuedDigests = append(t.leases.queuedDigests, m.digest)
	case m.digestResult != nil:
		t.handleDigestResult(*m.digestResult)
	case m.confirmed != nil:
		t.handleConfirmation(*m.confirmed)
	case m.proposed != nil:
		if p := m.proposed; p.err != nil && t.leases.table != nil && p.term == t.leases.term {
			t.leases.table.Dropped(p.change, t.clock.Now())
		}
	case m.leave != nil:
		if t.leases.table != nil {
			t.leases.table.Leave(*m.leave, t.clock.Now())
		}
	case m.completionsDone:
		t.leases.proposingCompletions = false
	case m.rollouts != nil:
		if t.leases.table == nil {
			m.rollouts <- rolloutsResult{err: errNotLeader()}
			return
		}
		m.rollouts <- rolloutsResult{list: t.leases.table.Rollouts()}
	}
}

// updateView tells the collector and the table of newer views.
func (t *Control) updateView() {
	m := &t.leases
	if s := t.status.Load(); m.table != nil && (s.Role != replicate.RoleLeader || s.Term != m.term) {
		m.table = nil
	}
	v := t.published.Load().view
	if v.Epoch == m.viewEpoch {
		return
	}
	m.viewEpoch = v.Epoch
	m.collector.SetView(v)
	if m.table != nil {
		m.table.Committed(v)
	}
}

func (t *Control) handleRenewal(r *renewal) {
	if err := t.leases.collector.Add(r.report); err != nil {
		r.resultChan <- renewalResult{err: err}
		return
	}
	h := r.report.Member.Holder()
	if w, ok := t.leases.pendingRenewals[h]; ok {
		w <- renewalResult{err: errSuperseded()}
	}
	t.leases.pendingRenewals[h] = r.resultChan
}

// enqueueDigest hands the next digest to the leader, which may be this instance.
func (t *Control) enqueueDigest(c context.Context) error {
	if t.clock.Now().Before(t.leases.nextDigestAt) {
		return nil
	}
	d, ok := t.leases.collector.NextDigest(t.published.Load().rules.Revision)
	if !ok {
		return nil
	}
	return t.digests.Push(c, d)
}

// sendDigests passes the digests of this instance to the leader.
func (t *Control) sendDigests(c context.Context) error {
	var ds [1]lease.Digest
	for {
		if _, err := t.digests.Pop(c, ds[:]); err != nil {
			return err
		}
		x, cancel := context.WithTimeout(c, confirmTimeout)
		r, err := t.sendDigestToLeader(x, ds[0])
		cancel()
		if err := t.commands.PushWith(c, leaseCommand{digestResult: &digestResult{receipt: r, err: err}}, ring.Block); err != nil {
			return err
		}
	}
}

func (t *Control) sendDigestToLeader(c context.Context, d lease.Digest) (lease.Receipt, error) {
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

// handleDigestResult answers the members of the own digest, or tries again.
func (t *Control) handleDigestResult(r digestResult) {
	m := &t.leases
	if r.err != nil {
		m.collector.HandleFailure()
		m.nextDigestAt = t.clock.Now().Add(digestRetryDelay)
		return
	}
	t.raiseActiveEpoch(r.receipt.Grant.ActiveEpoch)
	for _, a := range m.collector.HandleReceipt(r.receipt) {
		if w, ok := m.pendingRenewals[a.Holder]; ok {
			w <- renewalResult{grant: a.Grant, err: a.Err}
		}
		delete(m.pendingRenewals, a.Holder)
	}
}

func errSuperseded() error {
	return balsampier.NewError(balsampier.KindUnavailable, "renew the lease", "wait for the answer to the later renewal", nil)
}

func (t *Control) raiseActiveEpoch(e balsampier.Epoch) {
	if uint64(e) > t.activeEpoch.Load() {
		t.activeEpoch.Store(uint64(e))
	}
}

// confirmLeadership asks a quorum whether this instance still leads, when digests wait
// or leases may have run out.
func (t *Control) confirmLeadership(c context.Context) {
	m := &t.leases
	s := t.status.Load()
	if s.Role != replicate.RoleLeader {
		refuseDigests(m.queuedDigests, errNotLeader())
		m.queuedDigests = nil
		return
	}
	if m.confirmInFlight || (len(m.queuedDigests) == 0 && m.table != nil) {
		return
	}
	m.confirmInFlight = true
	m.confirmingDigests, m.queuedDigests = m.queuedDigests, nil
	go func() {
		x, cancel := context.WithTimeout(c, confirmTimeout)
		defer cancel()
		n := leadershipConfirmation{term: s.Term}
		i, err := t.readLeaderIndex(x)
		if err == nil {
			n.state, err = t.waitApplied(x, i)
		}
		n.err = err
		_ = t.commands.PushWith(c, leaseCommand{confirmed: &n}, ring.Block)
	}()
}

// handleConfirmation answers the digests that came before it was asked for.
func (t *Control) handleConfirmation(n leadershipConfirmation) {
	m := &t.leases
	ds := m.confirmingDigests
	m.confirmInFlight, m.confirmingDigests = false, nil
	if s := t.status.Load(); n.err != nil || s.Term != n.term || s.Role != replicate.RoleLeader {
		refuseDigests(ds, errNotLeader())
		return
	}
	now := t.clock.Now()
	if m.table == nil || m.term != n.term {
		m.table, m.term = lease.New(n.state.view, t.instanceSettings.LeaseTerm, now), n.term
		m.viewEpoch = n.state.view.Epoch
		m.collector.SetView(n.state.view)
	}
	for _, p := range ds {
		r, err := m.table.HandleDigest(p.digest, now)
		if err == nil {
			t.addCompletions(p.digest.Completed)
		}
		p.resultChan <- digestResult{receipt: r, err: err}
	}
}

func refuseDigests(ds []*pendingDigest, err error) {
	for _, p := range ds {
		p.resultChan <- digestResult{err: err}
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
		_ = t.commands.PushWith(c, leaseCommand{proposed: p}, ring.Block)
	}()
}
