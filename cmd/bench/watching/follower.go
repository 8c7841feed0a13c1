package watching

import (
	"context"
	"sync/atomic"

	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/cmd/bench/local"
	"github.com/balsampier/balsampier/control"
	"github.com/balsampier/balsampier/query/steer"
	"github.com/balsampier/balsampier/random"
)

type (
	// startFunc starts a follower that uses the client to follow the server.
	startFunc func(context.Context, *controlServer, balsampier.ControlClient) (*follower, error)

	// follower is a daemon, or the part of one, that renews its lease with
	// control and watches it.
	follower struct {
		ready func() bool
		stop  func()
	}
)

func startBalancer(c context.Context, s *controlServer, l balsampier.ControlClient) (*follower, error) {
	b, err := local.StartBalancer(c, s.clock, key, l)
	if err != nil {
		return nil, err
	}
	return &follower{ready: func() bool { return b.Ready() == nil }, stop: b.Stop}, nil
}

// startSession starts the part of an agent that follows control: its session,
// and the steering table that is built from each state.
func startSession(c context.Context, s *controlServer, l balsampier.ControlClient) (*follower, error) {
	m := agentAt(s.history.View(), 0)
	var table atomic.Pointer[steer.Table]
	o, err := control.NewSession(control.Options{
		Client: l, Clock: s.clock, Random: random.System{}, Logger: &log.Logger{Level: log.ErrorLevel}, InstanceCount: 1,
		Member:  func() (balsampier.Member, bool) { return m, true },
		OnState: func(t control.State) { table.Store(table.Load().Next(t.Table, t.View)) },
	})
	if err != nil {
		return nil, err
	}
	ts := o.Threads()
	for _, t := range ts {
		go func() { _ = t.Start(c) }()
	}
	return &follower{ready: o.Ready, stop: func() {
		for _, t := range ts {
			_ = t.Stop(c)
		}
	}}, nil
}
