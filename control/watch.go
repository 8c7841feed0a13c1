package control

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/follow"
	"github.com/balsampier/balsampier/ring"
)

const (
	// watchRingCapacity is the capacity of the ring between a watch stream and
	// its reader, in messages.
	watchRingCapacity = 64
	// memberPollInterval is how often Member is polled while there is nothing
	// to announce.
	memberPollInterval = 200 * time.Millisecond
)

// watch follows rules and membership, at one control instance after another,
// until c ends.
func (s *Session) watch(c context.Context) error {
	for c.Err() == nil {
		m, ok := s.o.Member()
		if !ok {
			s.sleep(c, memberPollInterval)
			continue
		}
		s.updateInstances()
		s.mu.Lock()
		t := s.o.Clock.Now()
		n, due := s.follower.Connect(t)
		if due && len(s.controlAddrs) > 0 {
			s.watchedAddr = s.controlAddrs[n.ControlIndex%len(s.controlAddrs)]
		}
		d := s.follower.NextDeadline().Sub(t)
		s.mu.Unlock()
		if !due {
			s.sleep(c, max(d, 0))
			continue
		}
		s.runStream(c, balsampier.WatchRequest{ControlIndex: n.ControlIndex, Member: m, Position: n.Position})
		s.mu.Lock()
		s.follower.HandleDisconnect(s.o.Clock.Now(), s.o.Random)
		s.mu.Unlock()
	}
	return c.Err()
}

func (s *Session) sleep(c context.Context, d time.Duration) {
	t := s.o.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-c.Done():
	}
}

// runStream handles the messages of one watch stream until it ends, sends an
// invalid message or expires.
func (s *Session) runStream(c context.Context, w balsampier.WatchRequest) {
	c, cancel := context.WithCancel(c)
	defer cancel()
	r := ring.New[balsampier.WatchMessage]("watch", watchRingCapacity, ring.Block)
	go func() {
		defer r.Close()
		err := s.o.Client.Watch(c, w, func(m balsampier.WatchMessage) error { return r.Push(c, m) })
		if c.Err() == nil {
			s.o.Logger.Warn().Err(err).Int("control", w.ControlIndex).Msg("watch ended")
		}
	}()
	var ms [watchRingCapacity]balsampier.WatchMessage
	for {
		s.mu.Lock()
		d := s.follower.NextDeadline().Sub(s.o.Clock.Now())
		s.mu.Unlock()
		t := s.o.Clock.NewTimer(max(d, 0))
		n, err := r.PopUntil(c, ms[:], t.C())
		t.Stop()
		if err != nil {
			return
		}
		for i := range ms[:n] {
			if err := s.handleMessage(ms[i]); err != nil {
				s.o.Logger.Warn().Err(err).Msg("invalid watch message; requesting the whole state again")
				return
			}
		}
		if s.expireWatch() {
			s.o.Logger.Warn().Int("control", w.ControlIndex).Msg("watch is silent or unconfirmed")
			return
		}
	}
}

// expireWatch reports whether the stream has been silent or unconfirmed for too
// long.
func (s *Session) expireWatch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.IsExpired(s.o.Clock.Now())
}

// handleMessage applies a message and publishes the resulting state if the
// message changed it and the follower is ready.
func (s *Session) handleMessage(m balsampier.WatchMessage) error {
	if len(m.Instances) > 0 {
		// A relay answered: the next stream and renewal go to a replica.
		s.LearnInstances(m.Instances)
		s.updateInstances()
		s.RenewNow()
		return nil
	}
	s.mu.Lock()
	ch, err := s.follower.HandleMessage(m, s.o.Clock.Now())
	n := State{Rules: s.follower.Rules(), View: s.follower.View()}
	ready := s.follower.Ready()
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if !ready || (ch == follow.Change{}) {
		return nil
	}
	return s.publish(n)
}

// publish makes n the current state and acknowledges its view.
func (s *Session) publish(n State) error {
	old := s.State()
	n.Table, n.Routes = old.Table, old.Routes
	if n.Rules.Revision != old.Rules.Revision {
		if err := s.readRules(&n); err != nil {
			return err
		}
	}
	s.state.Store(&n)
	s.updateInstances()
	s.o.OnState(n)
	s.mu.Lock()
	s.ownLease.Acknowledge(s.acknowledgeableEpoch(n.View.Epoch))
	s.mu.Unlock()
	s.o.Logger.Info().Uint64("revision", uint64(n.Rules.Revision)).Uint64("epoch", uint64(n.View.Epoch)).
		Int("members", len(n.View.Members)).Msg("in force")
	s.RenewNow()
	return nil
}

// readRules sets the fields of n that derive from the rule text. A document
// that cannot be parsed leaves the routes unchanged.
func (s *Session) readRules(n *State) error {
	switch {
	case !s.o.UsesDocuments:
		t, err := compileRules(n.Rules)
		if err != nil {
			return err
		}
		n.Table = t
	case s.o.Parser != nil:
		r, err := s.o.Parser.Parse(n.Rules.Text)
		if err != nil {
			s.o.Logger.Error().Err(err).Uint64("revision", uint64(n.Rules.Revision)).Msg("failed to parse document; keeping the previous routes")
			return nil
		}
		n.Routes = r
	}
	return nil
}
