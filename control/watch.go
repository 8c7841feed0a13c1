package control

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/follow"
	"github.com/balsampier/balsampier/ring"
)

const (
	// watchDepth is the capacity of the ring of a watch stream.
	watchDepth = 64
	// memberPeriod is how often a member without anything to announce is
	// asked again.
	memberPeriod = 200 * time.Millisecond
)

// watch follows rules and membership at one control instance after another.
func (s *Session) watch(c context.Context) error {
	for c.Err() == nil {
		m, ok := s.o.Member()
		if !ok {
			s.wait(c, memberPeriod)
			continue
		}
		s.locate()
		s.mu.Lock()
		t := s.o.Clock.Now()
		n, due := s.follower.Connect(t)
		d := s.follower.NextDeadline().Sub(t)
		s.mu.Unlock()
		if !due {
			s.wait(c, max(d, 0))
			continue
		}
		s.stream(c, balsampier.WatchRequest{ControlIndex: n.ControlIndex, Member: m, Position: n.Position})
		s.mu.Lock()
		s.follower.HandleDisconnect(s.o.Clock.Now(), s.o.Random)
		s.mu.Unlock()
	}
	return c.Err()
}

func (s *Session) wait(c context.Context, d time.Duration) {
	t := s.o.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-c.Done():
	}
}

// stream takes messages until the stream ends or stays silent too long.
func (s *Session) stream(c context.Context, w balsampier.WatchRequest) {
	c, cancel := context.WithCancel(c)
	defer cancel()
	r := ring.New[balsampier.WatchMessage]("watch", watchDepth, ring.Block)
	go func() {
		defer r.Close()
		err := s.o.Client.Watch(c, w, func(m balsampier.WatchMessage) error { return r.Push(c, m) })
		if c.Err() == nil {
			s.o.Logger.Warn().Err(err).Int("control", w.ControlIndex).Msg("watch ended")
		}
	}()
	var ms [watchDepth]balsampier.WatchMessage
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
			if err := s.take(ms[i]); err != nil {
				s.o.Logger.Warn().Err(err).Msg("watch message not understood; everything is asked for again")
				return
			}
		}
		if s.expired() {
			s.o.Logger.Warn().Int("control", w.ControlIndex).Msg("watch is silent or unconfirmed")
			return
		}
	}
}

func (s *Session) expired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.IsExpired(s.o.Clock.Now())
}

// take takes a message over and publishes the state that it completes.
func (s *Session) take(m balsampier.WatchMessage) error {
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

func (s *Session) publish(n State) error {
	old := s.State()
	n.Table, n.Routes = old.Table, old.Routes
	if n.Rules.Revision != old.Rules.Revision {
		if err := s.read(&n); err != nil {
			return err
		}
	}
	s.state.Store(&n)
	s.locate()
	s.o.Changed(n)
	s.mu.Lock()
	s.own.Acknowledge(s.usable(n.View.Epoch))
	s.mu.Unlock()
	s.o.Logger.Info().Uint64("revision", uint64(n.Rules.Revision)).Uint64("epoch", uint64(n.View.Epoch)).
		Int("members", len(n.View.Members)).Msg("in force")
	s.Nudge()
	return nil
}

// read fills in what follows from the text of newer rules. A document that
// cannot be read leaves the routes as they are.
func (s *Session) read(n *State) error {
	switch {
	case !s.o.Documents:
		t, err := compile(n.Rules)
		if err != nil {
			return err
		}
		n.Table = t
	case s.o.Parser != nil:
		r, err := s.o.Parser.Parse(n.Rules.Text)
		if err != nil {
			s.o.Logger.Error().Err(err).Uint64("revision", uint64(n.Rules.Revision)).Msg("routes not adopted")
			return nil
		}
		n.Routes = r
	}
	return nil
}
