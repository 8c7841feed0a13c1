package app

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/peer"
)

// TestRelayNamesReplicas checks that a relay answers a watch with the replicas
// that announced themselves lately. Guards against members whose seeds are all
// relays and that find no replica.
func TestRelayNamesReplicas(t *testing.T) {
	a, b := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.2:1")
	tests := []struct {
		name string
		// announced are the replicas that announce themselves, each of them gap
		// before the next one or the watch.
		announced []netip.AddrPort
		gap       time.Duration
		want      []netip.AddrPort
	}{
		{"none announced", nil, 0, nil},
		{"two announced", []netip.AddrPort{b, a}, time.Second, []netip.AddrPort{a, b}},
		{"the first has fallen silent", []netip.AddrPort{a, b}, replicaTTL/2 + time.Second, []netip.AddrPort{b}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			k := clock.NewFake(time.Unix(1_000_000, 0))
			r := newTestRelay(c, k)
			for _, x := range v.announced {
				// The sender does not listen, so that the reply to it fails.
				_ = r.Step(context.Background(), []replicate.Message{{
					Kind: replicate.MessageJoin, From: balsampier.Replica{Instance: balsampier.NewAddrInstanceID(x), Disk: 1},
				}})
				k.Advance(v.gap)
			}
			var got []netip.AddrPort
			err := r.Watch(context.Background(), balsampier.WatchRequest{}, func(m balsampier.WatchMessage) error {
				got = m.Instances
				return nil
			})
			c.Assert(balsampier.KindOf(err), qt.Equals, balsampier.KindUnavailable)
			c.Assert(fmt.Sprint(got), qt.Equals, fmt.Sprint(v.want))
			c.Assert(fmt.Sprint(r.Dump().(RelayDump).Replicas), qt.Equals, fmt.Sprint(v.want))
		})
	}
}

// TestAnnounceTargets checks to which instances a replica announces itself.
func TestAnnounceTargets(t *testing.T) {
	relay := func(id balsampier.InstanceID) balsampier.Member {
		return balsampier.Member{ID: 100 + id, Role: balsampier.RoleRelay, PeerAddr: id.Addr()}
	}
	tests := []struct {
		name   string
		voters []balsampier.InstanceID
		seeds  []balsampier.InstanceID
		view   []balsampier.Member
		want   []balsampier.InstanceID
	}{
		{"the seeds are the replicas", []balsampier.InstanceID{1, 2, 3}, []balsampier.InstanceID{1, 2, 3}, nil, []balsampier.InstanceID{}},
		{"a seed is no replica", []balsampier.InstanceID{1, 2, 3}, []balsampier.InstanceID{3, 4}, nil, []balsampier.InstanceID{4}},
		{"a relay is no seed", []balsampier.InstanceID{1, 2}, []balsampier.InstanceID{1}, []balsampier.Member{relay(5)}, []balsampier.InstanceID{5}},
		{"a relay is a seed", []balsampier.InstanceID{1, 2}, []balsampier.InstanceID{5}, []balsampier.Member{relay(5), relay(4)}, []balsampier.InstanceID{4, 5}},
		{"other members", []balsampier.InstanceID{1}, []balsampier.InstanceID{1}, []balsampier.Member{{ID: 8, Role: balsampier.RoleAgent}, {ID: 9, Role: balsampier.RoleControl}}, []balsampier.InstanceID{}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			var s balsampier.ReplicaSet
			for _, i := range v.voters {
				s.Voters = append(s.Voters, balsampier.Replica{Instance: i, Disk: 1})
			}
			qt.Assert(t, announceTargets(s, balsampier.View{Members: v.view}, v.seeds), qt.DeepEquals, v.want)
		})
	}
}

// TestRelayReplies checks that a relay declines a replica and names the others
// to it. Guards against blank instances that find no replica to join.
func TestRelayReplies(t *testing.T) {
	a, b := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.2:1")
	tests := []struct {
		name      string
		announced []netip.AddrPort
		want      []replicate.MessageKind
		named     []balsampier.InstanceID
	}{
		{"no other replica", []netip.AddrPort{a}, []replicate.MessageKind{replicate.MessageDecline}, nil},
		{"another replica", []netip.AddrPort{a, b}, []replicate.MessageKind{replicate.MessageDecline, replicate.MessagePeers}, []balsampier.InstanceID{balsampier.NewAddrInstanceID(b)}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			r := newTestRelay(c, clock.NewFake(time.Unix(1_000_000, 0)))
			for _, x := range v.announced {
				r.recordReplica(x)
			}
			var kinds []replicate.MessageKind
			var named []balsampier.InstanceID
			for _, m := range r.repliesTo(balsampier.Replica{Instance: balsampier.NewAddrInstanceID(a), Disk: 1}) {
				kinds, named = append(kinds, m.Kind), append(named, m.Peers...)
			}
			c.Assert(kinds, qt.DeepEquals, v.want)
			c.Assert(named, qt.DeepEquals, v.named)
		})
	}
}

// newTestRelay returns a relay whose only seed is itself.
func newTestRelay(c *qt.C, k balsampier.Clock) *Relay {
	a := netip.MustParseAddrPort("127.0.0.9:1")
	s := Settings{Documents: true, PeerAddr: a, Seeds: []netip.AddrPort{a}}
	s.Name, s.LogLevel = "relay", "error"
	r, err := newRelay(s, k, peer.NewKey([]byte(testKey)))
	c.Assert(err, qt.IsNil)
	return r
}

// TestTargetsOfRound checks that the rounds cover all targets and stay small.
func TestTargetsOfRound(t *testing.T) {
	tests := []struct {
		name            string
		targets, rounds int
	}{{"none", 0, 1}, {"one", 1, 1}, {"a full round", maxAnnounced, 1}, {"two and a half rounds", 5 * maxAnnounced / 2, 3}}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			is := make([]balsampier.InstanceID, v.targets)
			seen := 0
			for r := range v.rounds {
				n := len(targetsOfRound(is, 7*v.rounds+r))
				c.Assert(n <= maxAnnounced, qt.IsTrue)
				seen += n
			}
			c.Assert(seen, qt.Equals, v.targets)
		})
	}
}
