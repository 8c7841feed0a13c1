package replicate

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/balsampier/balsampier"
)

// TestSession compares a session of three instances, from bootstrap through a
// leader transfer, a lost disk and a leader crash, with a golden file.
func TestSession(t *testing.T) {
	steps := []struct {
		name string
		do   func(s *sim)
	}{
		{"bootstrap", func(s *sim) { s.stabilize() }},
		{"three entries", func(s *sim) {
			for range 3 {
				s.propose(s.leader())
			}
		}},
		{"leader transfers", func(s *sim) {
			l := s.leader()
			if err := l.n.TransferLeadership(); err != nil {
				s.fail("transfer: %v", err)
			}
			s.drain(l)
		}},
		{"follower loses its disk", func(s *sim) {
			d := s.nodes[int(s.leader().id)%3]
			s.loseDisk(d)
			s.start(d)
		}},
		{"leader crashes", func(s *sim) { s.crash(s.leader(), false) }},
		{"all are back", func(s *sim) { s.stabilize() }},
	}
	c := qt.New(t)
	var b strings.Builder
	s := newSim(3, 1, c.Fatalf)
	for _, p := range steps {
		p.do(s)
		s.run(40, 0, 0, 0)
		fmt.Fprintf(&b, "%s\n", p.name)
		for _, d := range s.nodes {
			if !d.isUp {
				fmt.Fprintf(&b, "  instance %d: down\n", d.id)
				continue
			}
			u := d.n.Status()
			fmt.Fprintf(&b, "  instance %d: %v, term %d, leader %d, commit %d, snapshot %d, voters %v, learners %v\n",
				d.id, u.Role, u.Term, u.Leader.Instance, u.Commit, u.Snapshot, instanceIDs(u.Set.Voters), instanceIDs(u.Set.Learners))
		}
	}
	goldie.New(t).Assert(t, "session", []byte(b.String()))
}

func instanceIDs(rs []balsampier.Replica) []balsampier.InstanceID {
	var is []balsampier.InstanceID
	for _, r := range rs {
		is = append(is, r.Instance)
	}
	return is
}

// TestTransfer checks that a leadership transfer completes within an election
// timeout, refuses proposals meanwhile and loses no entry.
func TestTransfer(t *testing.T) {
	tests := []struct {
		name string
		size int
	}{{"three", 3}, {"five", 5}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSim(tt.size, 17, c.Fatalf)
			s.stabilize()
			l := s.leader()
			s.propose(l)
			last := l.n.Status().Last
			c.Assert(l.n.TransferLeadership(), qt.IsNil)
			_, _, err := l.n.Propose([]byte("late"))
			c.Assert(balsampier.KindOf(err), qt.Equals, balsampier.KindUnavailable)
			s.drain(l)
			s.run(int(testElectionTimeout/(testElectionTimeout/10)), 0, 0, 0)
			c.Assert(s.leader(), qt.Not(qt.IsNil))
			c.Assert(s.leader(), qt.Not(qt.Equals), l)
			c.Assert(s.highestCommit > last, qt.IsTrue)
		})
	}
}
