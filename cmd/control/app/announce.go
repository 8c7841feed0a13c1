package app

import (
	"context"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/replicate"
)

// announceInterval is the time between two announcements to the same relay. It
// is a fraction of the time in which members must find control after all
// processes lost their state.
const announceInterval = 500 * time.Millisecond

// announceToRelays is the thread that announces this replica to the relays, so
// that they can direct to it members whose seeds are relays. The relays are
// those in the view, which survives on disk, and the seeds outside the replica
// set.
func (t *Control) announceToRelays(c context.Context) error {
	for c.Err() == nil {
		if s := t.status.Load(); !s.Blank {
			for _, i := range announceTargets(s.Set, t.published.Load().view, *t.seeds.Load()) {
				if p, ok := t.links.getOrCreate(i); ok {
					_ = p.out.Push(c, replicate.Message{Kind: replicate.MessageJoin, From: s.Self, To: balsampier.Replica{Instance: i}})
				}
			}
		}
		t.sleep(c, announceInterval)
	}
	return c.Err()
}

// announceTargets returns the relays of a view and the seeds that are not in the
// replica set, sorted.
func announceTargets(s balsampier.ReplicaSet, v balsampier.View, seeds []balsampier.InstanceID) []balsampier.InstanceID {
	is := slices.Clone(seeds)
	for _, m := range v.Members {
		if m.Role == balsampier.RoleRelay {
			is = append(is, balsampier.NewAddrInstanceID(m.PeerAddr))
		}
	}
	slices.Sort(is)
	isReplica := func(i balsampier.InstanceID) bool {
		return slices.ContainsFunc(slices.Concat(s.Voters, s.Learners), func(r balsampier.Replica) bool { return r.Instance == i })
	}
	return slices.DeleteFunc(slices.Compact(is), isReplica)
}
