package app

import (
	"context"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/replicate"
)

const (
	// announceInterval is the time between two rounds of announcements. It is a
	// fraction of the time in which members must find control after all
	// processes lost their state.
	announceInterval = 500 * time.Millisecond
	// maxAnnounced bounds the announcements of one round, so that the links to
	// relays never displace those to replicas.
	maxAnnounced = maxLinks / 2
)

// announceToRelays is the thread that announces this replica to the relays, so
// that they can direct to it members whose seeds are relays. The relays are
// those in the view, which survives on disk, and the seeds outside the replica
// set.
func (t *Control) announceToRelays(c context.Context) error {
	for round := 0; c.Err() == nil; round++ {
		if s := t.status.Load(); !s.Blank {
			for _, i := range targetsOfRound(announceTargets(s.Set, t.published.Load().view, *t.seeds.Load()), round) {
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

// targetsOfRound returns at most maxAnnounced of the targets, so that consecutive
// rounds cover all.
func targetsOfRound(is []balsampier.InstanceID, round int) []balsampier.InstanceID {
	rounds := max((len(is)+maxAnnounced-1)/maxAnnounced, 1)
	first := round % rounds * maxAnnounced
	return is[first:min(first+maxAnnounced, len(is))]
}
