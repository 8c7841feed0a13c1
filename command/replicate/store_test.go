package replicate

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/disk"
)

// maxReplayedEntries bounds the log entries that a restart replays.
const maxReplayedEntries = 200

// singleNode is a cluster of one node on a real disk.
type singleNode struct {
	n       *Node
	d       *disk.Store
	now     time.Time
	applied uint64
}

func openSingleNode(tb testing.TB, folder string) (*singleNode, balsampier.StoredLog) {
	tb.Helper()
	c := qt.New(tb)
	rng := rand.New(rand.NewPCG(1, 1))
	d, l, err := disk.OpenStore(folder, rng)
	c.Assert(err, qt.IsNil)
	s := &singleNode{d: d, now: time.Unix(0, 0)}
	s.n, err = New(Config{Instance: 1, Peers: []balsampier.InstanceID{1}, Random: rng}, l, s.now)
	c.Assert(err, qt.IsNil)
	for k := 0; s.n.Status().Role != RoleLeader || s.n.Status().Commit < s.n.Status().Last; k++ {
		c.Assert(k < stabilizeTicks, qt.IsTrue)
		s.now = s.now.Add(100 * time.Millisecond)
		s.n.Tick(s.now)
		s.drain(tb)
	}
	return s, l
}

func (s *singleNode) drain(tb testing.TB) {
	for {
		o := s.n.DrainOutput()
		if o.Restore != nil {
			s.applied = binary.BigEndian.Uint64(o.Restore.Data)
		}
		for _, e := range o.Committed {
			if e.Kind == balsampier.EntryCommand {
				s.applied++
			}
		}
		if o.SnapshotDue {
			s.n.Compact(s.n.Status().Applied, binary.BigEndian.AppendUint64(nil, s.applied))
		}
		if o.DiskBatch == nil {
			return
		}
		if err := s.d.Save(*o.DiskBatch); err != nil {
			tb.Fatal(err)
		}
		s.n.ConfirmSave(o.DiskBatch.Seq)
	}
}

func (s *singleNode) commit(tb testing.TB, entries int) {
	for range entries {
		if _, _, err := s.n.Propose(make([]byte, 128)); err != nil {
			tb.Fatal(err)
		}
	}
	s.drain(tb)
}

// TestRestartAfterThousand checks that snapshots bound the entries replayed
// after 1,000 commits, and that all of these are applied again.
func TestRestartAfterThousand(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	s, _ := openSingleNode(t, folder)
	for range 1000 {
		s.commit(t, 1)
	}
	c.Assert(s.d.Close(), qt.IsNil)
	s, l := openSingleNode(t, folder)
	c.Assert(len(l.Entries) < maxReplayedEntries, qt.IsTrue, qt.Commentf("%d entries", len(l.Entries)))
	c.Assert(s.applied, qt.Equals, uint64(1000))
	c.Assert(s.d.Close(), qt.IsNil)
}

// BenchmarkCommitDisk measures commits on one node with a real disk.
func BenchmarkCommitDisk(b *testing.B) {
	benchmarks := []struct {
		name  string
		batch int
	}{{"batch=1", 1}, {"batch=64", 64}}
	for _, bb := range benchmarks {
		b.Run(bb.name, func(b *testing.B) {
			s, _ := openSingleNode(b, b.TempDir())
			before, applied := s.d.Syncs(), s.applied
			for b.Loop() {
				s.commit(b, bb.batch)
			}
			n := float64(s.applied - applied)
			b.ReportMetric(n/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(s.d.Syncs()-before)/n, "syncs/commit")
			_ = s.d.Close()
		})
	}
}

// BenchmarkCommitThree measures commits on three nodes with simulated disks and
// a network without delay.
func BenchmarkCommitThree(b *testing.B) {
	s := newSim(3, 1, b.Fatalf)
	s.maxBatch = 256
	s.stabilize()
	l := s.leader()
	from := s.highestCommit
	for b.Loop() {
		s.propose(l)
		for s.highestCommit == from || len(s.inFlight) > 0 {
			s.deliverPending(0, 0, 0)
			for _, d := range s.nodes {
				s.sync(d)
			}
		}
	}
	b.ReportMetric(float64(s.highestCommit-from)/b.Elapsed().Seconds(), "commits/s")
}

// BenchmarkRestart measures opening a log after 1,000 commits.
func BenchmarkRestart(b *testing.B) {
	folder := b.TempDir()
	s, _ := openSingleNode(b, folder)
	for range 1000 {
		s.commit(b, 1)
	}
	_ = s.d.Close()
	for b.Loop() {
		d, l, err := disk.OpenStore(folder, rand.New(rand.NewPCG(1, 1)))
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(l.Entries)), "entries")
		_ = d.Close()
	}
}
