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
	// leaseTickInterval is the longest time between two rounds of the lease
	// thread, which send renewals and look for membership changes.
	leaseTickInterval = 50 * time.Millisecond
	// digestRetryDelay is the wait after a failed digest; it is a fraction of
	// the interval between renewals.
	digestRetryDelay = 200 * time.Millisecond
	// confirmTimeout bounds the wait for a quorum.
	confirmTimeout = 2 * time.Second
)

type (
	// leaseCommand is one message to the lease thread; exactly one field is
	// set.
	leaseCommand struct {
		// renewal is the renewal of a member.
		renewal *renewal
		// digest is from a control instance, possibly this one.
		digest *pendingDigest
		// digestResult is the result of the digest that this instance sent.
		digestResult *digestResult
		// confirmed is the result of a leadership confirmation by a quorum.
		confirmed *leadershipConfirmation
		// proposed is the result of a proposed membership change.
		proposed *proposedChange
		// leave ends the lease of a member.
		leave *balsampier.Holder
		// rollouts receives the roll-outs; it has a buffer of one.
		rollouts chan rolloutsResult
		// completionsDone reports that a batch of completions was committed or
		// lost.
		completionsDone bool
	}

	// renewal is a pending renewal of a member.
	renewal struct {
		report lease.Report
		// resultChan has a buffer of one.
		resultChan chan renewalResult
	}

	renewalResult struct {
		grant lease.Grant
		err   error
	}

	// pendingDigest is a digest that waits for its receipt at the leader.
	pendingDigest struct {
		digest lease.Digest
		// resultChan has a buffer of one.
		resultChan chan digestResult
	}

	digestResult struct {
		receipt lease.Receipt
		err     error
	}

	// leadershipConfirmation is the result of a query whether this instance
	// leads in term. state covers everything committed before the query.
	leadershipConfirmation struct {
		term  balsampier.Term
		state *publishedState
		err   error
	}

	// proposedChange is a membership change and the result of its proposal.
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
		// pendingRenewals holds the result channel of the newest renewal of
		// each member. A member sends one renewal after the other.
		pendingRenewals map[balsampier.Holder]chan renewalResult
		// table is nil unless this instance is the leader in term.
		table *lease.Table
		term  balsampier.Term
		// nextDigestAt is the earliest time to send the next digest.
		nextDigestAt time.Time
		// viewEpoch is the epoch of the view that the collector and the table
		// use.
		viewEpoch balsampier.Epoch
		// queuedDigests wait for the next leadership confirmation;
		// confirmingDigests wait for the one in flight.
		queuedDigests, confirmingDigests []*pendingDigest
		// confirmInFlight is true while a leadership confirmation is in flight.
		confirmInFlight bool
		// completions wait to be proposed, at most maxCompletions;
		// proposingCompletions is true while a batch is in flight.
		completions          []apply.Completion
		proposingCompletions bool
	}
)

func newLeaseState() leaseState {
	return leaseState{collector: lease.NewCollector(), pendingRenewals: make(map[balsampier.Holder]chan renewalResult)}
}

// maintainLeases is the thread that owns the leases. The leader answers a
// digest only after a quorum has confirmed its leadership at a time after the
// digest arrived. A lease therefore ends before a later leader assumes that it
// has expired.
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

// updateView passes a newer view to the collector and the table. It removes the
// table if this instance is no longer the leader in its term.
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

// enqueueDigest queues the next digest for the leader, which may be this
// instance. It waits for digestRetryDelay after a failure.
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

// sendDigests is the thread that sends the digests of this instance to the
// leader.
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
	p, ok := t.links.getOrCreate(l)
	if !ok {
		return lease.Receipt{}, errNoLeader()
	}
	return p.caller.PassDigest(c, d)
}

// handleDigestResult answers the members whose renewals the digest contained.
// After an error it schedules a retry.
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
	return balsampier.NewError(balsampier.KindUnavailable, "renew the lease", "wait for the response to the later renewal", nil)
}

func (t *Control) raiseActiveEpoch(e balsampier.Epoch) {
	if uint64(e) > t.activeEpoch.Load() {
		t.activeEpoch.Store(uint64(e))
	}
}

// confirmLeadership starts a query to a quorum whether this instance is still
// the leader, if digests wait for it or if there is no lease table yet, in
// which case leases may have expired. If this instance is not the leader, it
// refuses the queued digests.
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

// handleConfirmation answers the digests that arrived before the confirmation
// was requested. The first confirmation in a term creates the lease table.
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

// proposeChanges proposes the membership changes that are due.
func (t *Control) proposeChanges(c context.Context) {
	m := &t.leases
	if m.table == nil {
		return
	}
	ch, ok := m.table.Changes(t.clock.Now())
	if !ok {
		return
	}
	t.log.Info().Int("joined", len(ch.Joined)).Int("left", len(ch.Left)).Msg("proposing membership changes")
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
