package control

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/random"
)

// fakeControl is a client of control instances that are relays or replicas.
type fakeControl struct {
	relays []netip.AddrPort
	// named are the replicas that the relays name.
	named []netip.AddrPort
	// view is the view that the replicas send.
	view balsampier.ViewDelta

	// left is true once a call of Leave arrived in time.
	left bool

	mu    sync.Mutex
	addrs []netip.AddrPort
}

// TestLeaveAfterDrain checks that control is told of a shutdown also if the time
// of the drain before it is up.
func TestLeaveAfterDrain(t *testing.T) {
	c := qt.New(t)
	f := &fakeControl{}
	s, err := NewSession(Options{
		Client: f, InstanceCount: 1, Clock: clock.System{}, Random: random.System{}, Logger: &log.Logger{Level: log.FatalLevel},
		Member: func() (balsampier.Member, bool) { return balsampier.Member{ID: 9, Role: balsampier.RoleBalancer}, true },
	})
	c.Assert(err, qt.IsNil)
	x, cancel := context.WithCancel(context.Background())
	cancel()
	s.Leave(x)
	c.Assert(f.left, qt.IsTrue)
}

func (f *fakeControl) SetInstances(as []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addrs = as
}

func (f *fakeControl) Renew(context.Context, balsampier.Renewal) (balsampier.Lease, error) {
	return balsampier.Lease{}, nil
}

func (f *fakeControl) Leave(c context.Context, _ balsampier.Holder) error {
	f.left = c.Err() == nil
	return c.Err()
}

func (f *fakeControl) Watch(c context.Context, w balsampier.WatchRequest, send func(balsampier.WatchMessage) error) error {
	f.mu.Lock()
	a := f.addrs[w.ControlIndex%len(f.addrs)]
	f.mu.Unlock()
	for _, r := range f.relays {
		if a == r {
			if len(f.named) > 0 {
				_ = send(balsampier.WatchMessage{Instances: f.named})
			}
			return balsampier.NewError(balsampier.KindUnavailable, "watch", "ask a replica", nil)
		}
	}
	if err := send(balsampier.WatchMessage{Confirmed: true, Epoch: f.view.To, View: &balsampier.ViewPart{Delta: f.view}}); err != nil {
		return err
	}
	<-c.Done()
	return c.Err()
}

// TestSessionFindsReplicas checks which instance a session follows. Guards
// against sessions whose seeds are all relays, and against a watched address that
// changes with the list of instances while the stream stays where it is.
func TestSessionFindsReplicas(t *testing.T) {
	relay, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	replica, second := netip.MustParseAddrPort("10.0.0.8:1"), netip.MustParseAddrPort("10.0.0.9:1")
	control := func(id balsampier.InstanceID, a netip.AddrPort) balsampier.Member {
		return balsampier.Member{ID: id, Role: balsampier.RoleControl, PeerAddr: a}
	}
	tests := []struct {
		name         string
		seeds, named []netip.AddrPort
		members      []balsampier.Member
		want         netip.AddrPort
	}{
		{"the seed is a replica", []netip.AddrPort{replica}, nil, []balsampier.Member{control(1, replica)}, replica},
		{"the seeds are relays", []netip.AddrPort{relay, other}, []netip.AddrPort{replica}, []balsampier.Member{control(1, replica)}, replica},
		{"the view lists another replica first", []netip.AddrPort{replica}, nil, []balsampier.Member{control(1, second), control(2, replica)}, replica},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			f := &fakeControl{relays: []netip.AddrPort{relay, other}, named: v.named, view: balsampier.ViewDelta{To: 1, Changed: v.members}}
			s, err := NewSession(Options{
				Client: f, InstanceCount: len(v.seeds), Seeds: func() []netip.AddrPort { return v.seeds }, SetInstances: f.SetInstances,
				UsesDocuments: true, Clock: clock.System{}, Random: random.System{}, Logger: &log.Logger{Level: log.FatalLevel},
				Member:  func() (balsampier.Member, bool) { return balsampier.Member{ID: 9, Role: balsampier.RoleBalancer}, true },
				OnState: func(State) {},
			})
			c.Assert(err, qt.IsNil)
			x, cancel := context.WithCancel(context.Background())
			var g sync.WaitGroup
			for _, d := range s.Threads() {
				g.Go(func() { _ = d.Start(x) })
			}
			c.Cleanup(func() {
				cancel()
				g.Wait()
			})
			for end := time.Now().Add(5 * time.Second); len(s.State().View.Members) == 0; time.Sleep(time.Millisecond) {
				c.Assert(time.Now().Before(end), qt.IsTrue)
			}
			a, ok := s.WatchedAddr()
			c.Assert(ok, qt.IsTrue)
			c.Assert(a.String(), qt.Equals, v.want.String())
		})
	}
}
