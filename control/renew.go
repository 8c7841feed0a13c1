package control

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/lease"
)

// renew renews the lease until c ends.
func (s *Session) renew(c context.Context) error {
	for c.Err() == nil {
		s.waitForRenewal(c)
		m, ok := s.o.Member()
		if !ok {
			s.skipRenewal()
			continue
		}
		s.renewOnce(c, m)
	}
	return c.Err()
}

// waitForRenewal returns once the next renewal is due or requested.
func (s *Session) waitForRenewal(c context.Context) {
	s.mu.Lock()
	d := s.ownLease.NextRenewal().Sub(s.o.Clock.Now())
	s.mu.Unlock()
	t := s.o.Clock.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-t.C():
	case <-s.renewSignal:
	case <-c.Done():
	}
}

// skipRenewal schedules the next renewal without sending one, as there is no
// member to announce.
func (s *Session) skipRenewal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownLease.StartRenewal(s.o.Clock.Now(), s.o.Random)
}

func (s *Session) renewOnce(c context.Context, m balsampier.Member) {
	r := balsampier.Renewal{Member: m, AppliedRevision: s.State().Rules.Revision}
	if s.o.ClaimEpochs != nil {
		r.CompleteEpoch, r.GroupEpoch = s.o.ClaimEpochs()
	}
	s.mu.Lock()
	var a lease.Attempt
	t := s.o.Clock.Now()
	a, r.AcknowledgedEpoch = s.ownLease.StartRenewal(t, s.o.Random)
	s.mu.Unlock()
	l, err := s.o.Client.Renew(c, r)
	if err == nil && s.o.OnLease != nil {
		err = s.adoptLease(c, t, l, r.AcknowledgedEpoch)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.ownLease.HandleGrant(a, lease.Grant{TTL: l.TTL, Epoch: l.Epoch, ActiveEpoch: l.Active}, s.o.Random)
		return
	}
	s.ownLease.HandleFailure(a, err, s.o.Clock.Now(), s.o.Random)
	if c.Err() == nil {
		s.o.Logger.Warn().Err(err).Msg("lease not renewed")
	}
}

// adoptLease passes the response to a renewal to OnLease. It requests another
// renewal if a higher epoch than the one just acknowledged can now be
// acknowledged.
func (s *Session) adoptLease(c context.Context, t time.Time, l balsampier.Lease, acknowledged balsampier.Epoch) error {
	e, err := s.o.OnLease(c, t, l)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.adoptedEpoch = max(s.adoptedEpoch, e)
	u := s.acknowledgeableEpoch(s.State().View.Epoch)
	s.ownLease.Acknowledge(u)
	s.mu.Unlock()
	if u > acknowledged {
		s.RenewNow()
	}
	return nil
}

// acknowledgeableEpoch returns the view epoch that may be acknowledged while e
// is the epoch of the newest view. The caller must hold mu.
func (s *Session) acknowledgeableEpoch(e balsampier.Epoch) balsampier.Epoch {
	if s.o.OnLease == nil {
		return e
	}
	return min(e, s.adoptedEpoch)
}

// Leave gives up the lease and notifies control. The member must not act on its
// lease afterwards. The notice has a time-out of its own: a stop whose time is up
// would otherwise leave the member in the view until its lease expires.
func (s *Session) Leave(c context.Context) {
	m, ok := s.o.Member()
	if !ok {
		return
	}
	s.mu.Lock()
	s.ownLease.Leave()
	s.mu.Unlock()
	c, cancel := context.WithTimeout(context.WithoutCancel(c), leaveTimeout)
	defer cancel()
	if err := s.o.Client.Leave(c, m.Holder()); err != nil {
		s.o.Logger.Warn().Err(err).Msg("failed to notify control of the shutdown; the lease will expire")
	}
}

// leaveTimeout bounds the shutdown notice to control.
const leaveTimeout = time.Second
