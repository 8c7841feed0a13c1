package control

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/lease"
)

// renew keeps the lease.
func (s *Session) renew(c context.Context) error {
	for c.Err() == nil {
		s.waitRenewal(c)
		m, ok := s.o.Member()
		if !ok {
			s.postpone()
			continue
		}
		s.renewOnce(c, m)
	}
	return c.Err()
}

// waitRenewal returns when the next renewal is due or asked for.
func (s *Session) waitRenewal(c context.Context) {
	s.mu.Lock()
	d := s.own.NextRenewal().Sub(s.o.Clock.Now())
	s.mu.Unlock()
	t := s.o.Clock.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-t.C():
	case <-s.nudge:
	case <-c.Done():
	}
}

// postpone counts a renewal that had nothing to announce as made.
func (s *Session) postpone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.StartRenewal(s.o.Clock.Now(), s.o.Random)
}

func (s *Session) renewOnce(c context.Context, m balsampier.Member) {
	r := balsampier.Renewal{Member: m, AppliedRevision: s.State().Rules.Revision}
	if s.o.Complete != nil {
		r.CompleteEpoch, r.GroupEpoch = s.o.Complete()
	}
	s.mu.Lock()
	var a lease.Attempt
	t := s.o.Clock.Now()
	a, r.AcknowledgedEpoch = s.own.StartRenewal(t, s.o.Random)
	s.mu.Unlock()
	l, err := s.o.Client.Renew(c, r)
	if err == nil && s.o.Told != nil {
		err = s.adopt(c, t, l, r.AcknowledgedEpoch)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.own.HandleGrant(a, lease.Grant{TTL: l.TTL, Epoch: l.Epoch, ActiveEpoch: l.Active}, s.o.Random)
		return
	}
	s.own.HandleFailure(a, err, s.o.Clock.Now(), s.o.Random)
	if c.Err() == nil {
		s.o.Logger.Warn().Err(err).Msg("lease not renewed")
	}
}

// adopt hands the answer to a renewal over, and renews again at once when more
// can be acknowledged than was.
func (s *Session) adopt(c context.Context, t time.Time, l balsampier.Lease, acknowledged balsampier.Epoch) error {
	e, err := s.o.Told(c, t, l)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.adopted = max(s.adopted, e)
	u := s.usable(s.State().View.Epoch)
	s.own.Acknowledge(u)
	s.mu.Unlock()
	if u > acknowledged {
		s.Nudge()
	}
	return nil
}

// usable returns the view epoch that may be acknowledged while e is the newest
// view. It is called with mu held.
func (s *Session) usable(e balsampier.Epoch) balsampier.Epoch {
	if s.o.Told == nil {
		return e
	}
	return min(e, s.adopted)
}

// Leave gives the lease up and tells control. The member must not act on its
// lease afterwards.
func (s *Session) Leave(c context.Context) {
	m, ok := s.o.Member()
	if !ok {
		return
	}
	s.mu.Lock()
	s.own.Leave()
	s.mu.Unlock()
	c, cancel := context.WithTimeout(c, leaveTimeout)
	defer cancel()
	if err := s.o.Client.Leave(c, m.Holder()); err != nil {
		s.o.Logger.Warn().Err(err).Msg("control was not told of the stop; the lease runs out by itself")
	}
}

// leaveTimeout bounds the farewell to control.
const leaveTimeout = time.Second
