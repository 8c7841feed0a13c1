package replicate

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
)

// TestCluster runs clusters through random sequences of faults. The simulation
// checks that no committed entry is lost or changed, that each term has at most
// one leader, and that no read is stale. After the faults end, the cluster must
// make progress.
func TestCluster(t *testing.T) {
	tests := []struct {
		name string
		size int
	}{{"three nodes", 3}, {"five nodes", 5}}
	for _, tt := range tests {
		t.Run(tt.name, rapid.MakeCheck(func(t *rapid.T) {
			s := newSim(tt.size, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
			s.maxBatch = rapid.SampledFrom([]int{1, 5}).Draw(t, "batch")
			s.slowDiskPercent = rapid.SampledFrom([]int{0, 50, 90}).Draw(t, "slow")
			bootstrapped, faultsInBootstrap := true, rapid.IntRange(0, 9).Draw(t, "early") == 9
			if !faultsInBootstrap {
				slow := s.slowDiskPercent
				s.stabilize()
				s.slowDiskPercent = slow
			}
			node := func() *simNode { return s.nodes[rapid.IntRange(0, tt.size-1).Draw(t, "node")] }
			t.Repeat(map[string]func(*rapid.T){
				"run": func(t *rapid.T) {
					s.run(rapid.IntRange(1, 30).Draw(t, "ticks"), rapid.IntRange(0, 30).Draw(t, "lose"), 20, 5)
				},
				"storm": func(t *rapid.T) { s.runWithFaults(rapid.IntRange(20, 120).Draw(t, "ticks")) },
				"runWell": func(t *rapid.T) {
					s.heal()
					s.run(rapid.IntRange(10, 50).Draw(t, "ticks"), 0, 0, 0)
				},
				"pump": func(*rapid.T) { s.deliverPending(10, 20, 10) },
				"propose": func(*rapid.T) {
					for _, d := range s.nodes {
						if d.isUp {
							s.propose(d)
							s.propose(d)
						}
					}
				},
				"read": func(*rapid.T) {
					for _, d := range s.nodes {
						if d.isUp {
							s.read(d)
						}
					}
				},
				"sync":  func(*rapid.T) { s.sync(node()) },
				"crash": func(t *rapid.T) { s.crash(node(), rapid.Bool().Draw(t, "tear")) },
				"crashLeader": func(*rapid.T) {
					if l := s.leader(); l != nil {
						s.crash(l, false)
					}
				},
				"restart": func(*rapid.T) {
					if d := node(); !d.isUp {
						s.start(d)
					}
				},
				"cut": func(*rapid.T) { s.cutLinks[[2]balsampier.InstanceID{node().id, node().id}] = true },
				"isolate": func(*rapid.T) {
					d := node()
					for _, x := range s.nodes {
						s.cutLinks[[2]balsampier.InstanceID{d.id, x.id}] = true
						s.cutLinks[[2]balsampier.InstanceID{x.id, d.id}] = true
					}
				},
				"heal": func(*rapid.T) { s.heal() },
				"transfer": func(*rapid.T) {
					if l := s.leader(); l != nil && l.n.TransferLeadership() == nil {
						s.drain(l)
					}
				},
				"loseDisk": func(t *rapid.T) {
					switch d := node(); {
					case s.allVoters():
						s.loseDisk(d)
					case faultsInBootstrap && bootstrapped && s.highestCommit == 0:
						// Before the first commit, a lost disk may block the
						// bootstrap forever, but must not lead to two logs.
						s.loseDisk(d)
						bootstrapped = false
					default:
						t.Skip("a disk is already lost")
					}
				},
			})
			if bootstrapped {
				s.stabilize()
			}
		}))
	}
}

// TestSecondFailureAfterRepair checks that committed entries survive the loss
// of a disk, the repair of the cluster, and the permanent loss of another
// instance right after it.
func TestSecondFailureAfterRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(3, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		s.stabilize()
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			s.propose(s.leader())
		}
		s.run(rapid.IntRange(0, 3).Draw(t, "ticks"), 0, 10, 0)
		lost := s.nodes[rapid.IntRange(0, 2).Draw(t, "lost")]
		s.loseDisk(lost)
		s.start(lost)
		for k := 0; !s.allVoters(); k++ {
			if k == stabilizeTicks {
				t.Fatalf("the lost disk was not replaced in time")
			}
			s.run(1, 0, 10, 0)
		}
		want := s.highestCommit
		other := s.nodes[(int(lost.id)-1+rapid.IntRange(1, 2).Draw(t, "other"))%3]
		s.loseDisk(other)
		s.run(stabilizeTicks, 0, 0, 0)
		l := s.leader()
		if l == nil || l.applied < want {
			t.Fatalf("committed up to %d before the second failure, leader after it: %+v", want, l)
		}
	})
}

// TestCutOffLeader checks that a partitioned leader answers no reads and steps
// down, and that the others elect a new leader.
func TestCutOffLeader(t *testing.T) {
	tests := []struct {
		name string
		// to and from tell which directions of the leader's links are cut.
		to, from bool
	}{{"both directions", true, true}, {"outgoing only", false, true}, {"incoming only", true, false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSim(5, 3, c.Fatalf)
			s.stabilize()
			l := s.leader()
			before := s.answeredReads
			for _, d := range s.nodes {
				s.cutLinks[[2]balsampier.InstanceID{l.id, d.id}] = tt.from
				s.cutLinks[[2]balsampier.InstanceID{d.id, l.id}] = tt.to
			}
			s.inFlight = nil
			s.read(l)
			s.run(9, 0, 0, 0)
			s.read(l)
			s.run(3, 0, 0, 0)
			c.Assert(s.answeredReads, qt.Equals, before)
			c.Assert(l.n.Status().Role, qt.Not(qt.Equals), RoleLeader)
			c.Assert(balsampier.KindOf(l.n.Read(99)), qt.Equals, balsampier.KindNotLeader)
			s.run(60, 0, 0, 0)
			c.Assert(s.leader(), qt.Not(qt.IsNil))
			s.stabilize()
		})
	}
}

// TestRejoin checks that a follower that was partitioned for a long time
// changes neither leader nor term when it returns.
func TestRejoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(3, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		s.stabilize()
		l := s.leader()
		d := s.nodes[int(l.id)%3]
		for _, x := range s.nodes {
			s.cutLinks[[2]balsampier.InstanceID{d.id, x.id}] = true
			s.cutLinks[[2]balsampier.InstanceID{x.id, d.id}] = rapid.Bool().Draw(t, "deaf")
		}
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			s.propose(l)
			s.run(20, 0, 0, 0)
		}
		term := l.n.Status().Term
		clear(s.cutLinks)
		s.run(40, 0, 0, 0)
		if n := s.leader(); n != l || n.n.Status().Term != term {
			t.Fatalf("leader %v of term %d was deposed: %+v", l.id, term, n.n.Status())
		}
		if d.applied != s.highestCommit {
			t.Fatalf("the rejoined node applied %d of %d", d.applied, s.highestCommit)
		}
	})
}

// TestBootstrapNeedsAll checks that a log is bootstrapped only once all
// configured instances are up.
func TestBootstrapNeedsAll(t *testing.T) {
	tests := []struct {
		name string
		size int
		down []int
	}{{"last instance down", 3, []int{2}}, {"coordinator down", 3, []int{0}}, {"two of five down", 5, []int{1, 3}}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSim(tt.size, 5, c.Fatalf)
			for _, i := range tt.down {
				s.crash(s.nodes[i], false)
			}
			s.run(stabilizeTicks, 0, 0, 0)
			c.Assert(s.leaders, qt.HasLen, 0)
			for _, d := range s.nodes {
				c.Assert(d.n.Status().Blank, qt.IsTrue)
			}
			s.stabilize()
		})
	}
}

// TestBlankMajority loses two of three disks at once and checks that the blank
// replicas elect no leader without the entries of the third.
func TestBlankMajority(t *testing.T) {
	c := qt.New(t)
	s := newSim(3, 9, c.Fatalf)
	s.stabilize()
	term := s.leader().n.Status().Term
	for _, i := range []int{0, 1} {
		s.loseDisk(s.nodes[i])
		s.start(s.nodes[i])
	}
	s.crash(s.nodes[2], false)
	s.run(stabilizeTicks, 0, 0, 0)
	s.start(s.nodes[2])
	s.run(stabilizeTicks, 0, 0, 0)
	c.Assert(s.leader(), qt.IsNil)
	for k := range s.leaders {
		c.Assert(k <= term, qt.IsTrue)
	}
}

func TestMembership(t *testing.T) {
	c := qt.New(t)
	s := newSim(3, 11, c.Fatalf)
	s.stabilize()
	l := s.leader()
	removed := s.nodes[int(l.id)%3]
	c.Assert(l.n.RemoveInstance(removed.id), qt.IsNil)
	c.Assert(balsampier.KindOf(l.n.AddInstance(77)), qt.Equals, balsampier.KindUnavailable)
	s.run(10, 0, 0, 0)
	c.Assert(slices.ContainsFunc(s.set.Voters, func(r balsampier.Replica) bool { return r.Instance == removed.id }), qt.IsFalse)
	c.Assert(l.n.AddInstance(removed.id), qt.IsNil)
	s.stabilize()
	c.Assert(s.set.Voters, qt.HasLen, 3)
}

// TestOldDiskDoesNotCount checks that an append response from a replaced disk
// does not advance the commit index.
func TestOldDiskDoesNotCount(t *testing.T) {
	c := qt.New(t)
	s := newSim(3, 13, c.Fatalf)
	s.stabilize()
	l := s.leader()
	d := s.nodes[int(l.id)%3]
	old := balsampier.Replica{Instance: d.id, Disk: d.disk.Disk}
	s.loseDisk(d)
	s.start(d)
	s.stabilize()
	l = s.leader()
	s.inFlight = nil
	for _, x := range s.nodes {
		s.cutLinks[[2]balsampier.InstanceID{x.id, l.id}] = true
	}
	s.propose(l)
	s.sync(l)
	commit := l.n.Status().Commit
	l.n.Step(Message{
		Kind: MessageAppendResponse, From: old, To: l.n.Status().Self, Term: l.n.Status().Term, Index: l.n.Status().Last,
	})
	c.Assert(l.n.Status().Commit, qt.Equals, commit)
}

// TestOlderTerms starts from logs left by short-lived leaders: two replicas
// hold an entry of term 2, another one an entry of term 3 at the same index.
// Either entry may win until an entry of a newer term is committed. The leader
// crashes repeatedly; no committed entry may change.
func TestOlderTerms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(5, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		s.maxBatch = 1
		var set balsampier.ReplicaSet
		for _, d := range s.nodes {
			set.Voters = append(set.Voters, balsampier.Replica{Instance: d.id, Disk: d.disk.Disk})
		}
		for i, d := range s.nodes {
			s.crash(d, false)
			d.disk.Snapshot = balsampier.Snapshot{Index: firstIndex, Term: firstTerm, Set: set}
			d.disk.Hard.Term = 3
			switch i {
			case 0, 1:
				d.disk.Entries = []balsampier.Entry{{Term: 2, Index: 2, Data: []byte("two")}}
			case 4:
				d.disk.Entries = []balsampier.Entry{{Term: 3, Index: 2, Data: []byte("three")}}
			}
		}
		s.inFlight, s.set, s.setIndex = nil, set, firstIndex
		s.heal()
		for range rapid.IntRange(1, 8).Draw(t, "rounds") {
			for k := 0; k < stabilizeTicks && s.leader() == nil; k++ {
				s.run(1, 0, 0, 0)
			}
			for range rapid.IntRange(0, 40).Draw(t, "pumps") {
				s.deliverPending(0, 80, 0)
				s.sync(s.nodes[s.rng.IntN(5)])
			}
			if l := s.leader(); l != nil {
				s.heal()
				s.crash(l, false)
				s.inFlight = nil
			}
		}
		s.stabilize()
	})
}
