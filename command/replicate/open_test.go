package replicate

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
)

// newOpenSim founds an open log among n instances that know three seeds.
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

// voterInstances are those of the committed voters.
func (s *sim) voterInstances() []balsampier.InstanceID {
	var out []balsampier.InstanceID
	for _, r := range s.set.Voters {
		out = append(out, r.Instance)
	}
	slices.Sort(out)
	return out
}

// TestOpenSet replaces instances, one after the other. Four seconds are 40
// ticks.
func TestOpenSet(t *testing.T) {
	const catchUp = 40
	tests := []struct {
		name string
		size int
		// lostNodes instances end for good before as many new ones come.
		lostNodes []int
		want      []balsampier.InstanceID
	}{
		{"nothing lost", 4, nil, []balsampier.InstanceID{1, 2, 3, 4}},
		{"one of three", 3, []int{2}, []balsampier.InstanceID{1, 2, 4}},
		{"the leader's coordinator", 3, []int{0}, []balsampier.InstanceID{2, 3, 4}},
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
				// The newcomer knows the present seeds.
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

// TestSilentVoterComesBack cuts a voter off for long: it is taken out, and in
// again when it is back, with the disk that it had.
func TestSilentVoterComesBack(t *testing.T) {
	c := qt.New(t)
	s := newOpenSim(c, 4, 3)
	for _, o := range s.nodes[:3] {
		s.cut[[2]balsampier.InstanceID{4, o.id}] = true
		s.cut[[2]balsampier.InstanceID{o.id, 4}] = true
	}
	s.run(60, 0, 0, 0)
	c.Assert(s.voterInstances(), qt.DeepEquals, []balsampier.InstanceID{1, 2, 3})
	clear(s.cut)
	s.run(40, 0, 0, 0)
	c.Assert(s.voterInstances(), qt.DeepEquals, []balsampier.InstanceID{1, 2, 3, 4})
}

// TestVotersAreNotShrunk loses one of three voters and nobody comes: the set
// stays, so that it still says how many were lost.
func TestVotersAreNotShrunk(t *testing.T) {
	c := qt.New(t)
	s := newOpenSim(c, 3, 3)
	s.crash(s.nodes[0], false)
	s.run(100, 0, 0, 0)
	c.Assert(s.voterInstances(), qt.DeepEquals, []balsampier.InstanceID{1, 2, 3})
}

// TestSeedWithoutDisk founds a log although one seed declines.
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

// TestJoiningFoundsNothing starts blank instances that may only join.
func TestJoiningFoundsNothing(t *testing.T) {
	c := qt.New(t)
	s := newSim(0, 5, c.Fatalf)
	s.seeds = []balsampier.InstanceID{1, 2, 3}
	for range 3 {
		s.join(true)
	}
	s.run(100, 0, 0, 0)
	c.Assert(s.voterInstances(), qt.HasLen, 0)
}
