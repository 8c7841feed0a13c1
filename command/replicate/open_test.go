package replicate

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
)

// newOpenSim bootstraps a log with open membership among n instances with three
// seeds.
func newOpenSim(c *qt.C, n int, seed uint64) *sim {
	s := newSim(0, seed, c.Fatalf)
	s.seeds = []balsampier.InstanceID{1, 2, 3}
	for range n {
		s.join(false)
	}
	s.run(100, 0, 0, 0)
	c.Assert(s.voterInstances(), qt.HasLen, n)
	return s
}

// join starts a new instance with a blank disk.
func (s *sim) join(joining bool) *simNode {
	d := &simNode{id: balsampier.InstanceID(len(s.nodes) + 1), joinOnly: joining}
	d.disk.Disk = balsampier.DiskIncarnation(s.rng.Uint64() | 1)
	s.nodes = append(s.nodes, d)
	s.start(d)
	return d
}

// voterInstances returns the instances of the committed voters, sorted.
func (s *sim) voterInstances() []balsampier.InstanceID {
	var out []balsampier.InstanceID
	for _, r := range s.set.Voters {
		out = append(out, r.Instance)
	}
	slices.Sort(out)
	return out
}

// TestOpenSet replaces permanently stopped instances by new ones, one after the
// other. A new instance must be a voter, and the old one removed, after 40
// ticks (four seconds).
func TestOpenSet(t *testing.T) {
	const catchUp = 40
	tests := []struct {
		name string
		size int
		// lostNodes are the nodes to stop for good; a new node starts after
		// each of them.
		lostNodes []int
		want      []balsampier.InstanceID
	}{
		{"nothing lost", 4, nil, []balsampier.InstanceID{1, 2, 3, 4}},
		{"one of three", 3, []int{2}, []balsampier.InstanceID{1, 2, 4}},
		{"the coordinator", 3, []int{0}, []balsampier.InstanceID{2, 3, 4}},
		{"one after the other", 3, []int{0, 1}, []balsampier.InstanceID{3, 4, 5}},
		{"all seeds in turn", 4, []int{0, 1, 2}, []balsampier.InstanceID{4, 5, 6, 7}},
		{"seven of eight in turn", 8, []int{0, 1, 2, 3, 4, 5, 6}, nil},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			s := newOpenSim(c, v.size, 7)
			for _, i := range v.lostNodes {
				s.crash(s.nodes[i], false)
				s.run(10, 0, 0, 0)
				// The new node knows the current seeds.
				s.seeds = s.runningInstances()[:min(3, len(s.runningInstances()))]
				s.join(true)
				s.run(catchUp, 0, 0, 0)
				c.Assert(s.voterInstances(), qt.DeepEquals, s.runningInstances())
			}
			if v.want != nil {
				c.Assert(s.voterInstances(), qt.DeepEquals, v.want)
			}
			l := s.leader()
			c.Assert(l, qt.IsNotNil)
			before := s.highestCommit
			s.propose(l)
			s.run(10, 0, 0, 0)
			c.Assert(s.highestCommit > before, qt.IsTrue)
		})
	}
}

func (s *sim) runningInstances() []balsampier.InstanceID {
	var out []balsampier.InstanceID
	for _, d := range s.nodes {
		if d.isUp {
			out = append(out, d.id)
		}
	}
	return out
}

// TestLostLeaderIsReplaced checks that a leader that is lost for good leaves the
// set as early as another replica would: one ReplicaTimeout after its last
// message. Guards against a set that counts the lost leader longer than the time
// that its successor has to catch up, so that the loss of a disk then costs the
// quorum.
func TestLostLeaderIsReplaced(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(60) {
		s := newOpenSim(c, 4, seed)
		l := s.leader()
		s.crash(l, false)
		s.join(true)
		for s.leader() == l || s.leader() == nil {
			s.run(1, 0, 0, 0)
		}
		elected := s.now
		for slices.Contains(s.voterInstances(), l.id) {
			s.run(1, 0, 0, 0)
			c.Assert(s.now.Sub(elected) < 2*testElectionTimeout, qt.IsTrue, qt.Commentf("seed %d", seed))
		}
	}
}

// TestSilentVoterRejoins checks that a voter that was partitioned for a long
// time is removed, and joins again with the same disk when it returns.
func TestSilentVoterRejoins(t *testing.T) {
	c := qt.New(t)
	s := newOpenSim(c, 4, 3)
	for _, o := range s.nodes[:3] {
		s.cutLinks[[2]balsampier.InstanceID{4, o.id}] = true
		s.cutLinks[[2]balsampier.InstanceID{o.id, 4}] = true
	}
	s.run(60, 0, 0, 0)
	c.Assert(s.voterInstances(), qt.DeepEquals, []balsampier.InstanceID{1, 2, 3})
	clear(s.cutLinks)
	s.run(40, 0, 0, 0)
	c.Assert(s.voterInstances(), qt.DeepEquals, []balsampier.InstanceID{1, 2, 3, 4})
}

// TestLostVoterStaysWithoutReplacement checks that one lost voter of three
// stays in the set while no new instance joins, so that the set still shows how
// many voters are lost.
func TestLostVoterStaysWithoutReplacement(t *testing.T) {
	c := qt.New(t)
	s := newOpenSim(c, 3, 3)
	s.crash(s.nodes[0], false)
	s.run(100, 0, 0, 0)
	c.Assert(s.voterInstances(), qt.DeepEquals, []balsampier.InstanceID{1, 2, 3})
}

// TestSeedWithoutDisk checks that a log is bootstrapped without a seed that
// declines.
func TestSeedWithoutDisk(t *testing.T) {
	c := qt.New(t)
	s := newSim(0, 5, c.Fatalf)
	s.seeds = []balsampier.InstanceID{1, 2, 3}
	s.join(false)
	s.join(false)
	s.crash(s.join(false), false)
	s.run(20, 0, 0, 0)
	c.Assert(s.voterInstances(), qt.HasLen, 0)
	for _, d := range s.nodes[:2] {
		d.n.Step(Message{Kind: MessageDecline, From: balsampier.Replica{Instance: 3}, To: balsampier.Replica{Instance: d.id}})
	}
	s.run(50, 0, 0, 0)
	c.Assert(s.voterInstances(), qt.DeepEquals, []balsampier.InstanceID{1, 2})
}

// TestBlankInstanceJoins checks that an instance with a new disk joins again
// although no seed is a replica. Guards against instances that stay blank for
// good, so that the next loss of a disk loses the quorum.
func TestBlankInstanceJoins(t *testing.T) {
	tests := []struct {
		name string
		// declines is true if the seed is an instance without a disk that
		// declines; otherwise it is down.
		declines bool
		// names is true if the seed names a replica when it declines.
		names bool
		// removed is true if the lost disk has left the set before the
		// instance starts again, so that no replica sends messages to it.
		removed bool
	}{
		{"the seed is down", false, false, false},
		{"the seed declines", true, false, false},
		{"the seed names a replica", true, true, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			s := newOpenSim(c, 4, 11)
			lost := s.nodes[3]
			s.loseDisk(lost)
			seed := s.join(true)
			s.crash(seed, false)
			if v.removed {
				s.run(60, 0, 0, 0)
				c.Assert(s.voterInstances(), qt.DeepEquals, []balsampier.InstanceID{1, 2, 3})
			}
			s.seeds = []balsampier.InstanceID{seed.id}
			lost.joinOnly = true
			s.start(lost)
			for range 80 {
				from, to := balsampier.Replica{Instance: seed.id}, balsampier.Replica{Instance: lost.id}
				if v.declines {
					lost.n.Step(Message{Kind: MessageDecline, From: from, To: to})
				}
				if v.names {
					lost.n.Step(Message{Kind: MessagePeers, From: from, To: to, Peers: []balsampier.InstanceID{2}})
				}
				s.run(1, 0, 0, 0)
			}
			c.Assert(s.voterInstances(), qt.DeepEquals, []balsampier.InstanceID{1, 2, 3, 4})
		})
	}
}

// TestJoinOnlyDoesNotBootstrap checks that blank join-only instances do not
// bootstrap a log.
func TestJoinOnlyDoesNotBootstrap(t *testing.T) {
	c := qt.New(t)
	s := newSim(0, 5, c.Fatalf)
	s.seeds = []balsampier.InstanceID{1, 2, 3}
	for range 3 {
		s.join(true)
	}
	s.run(100, 0, 0, 0)
	c.Assert(s.voterInstances(), qt.HasLen, 0)
}
