package app

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/peer"
)

// fullDisk is a store whose saves fail with ENOSPC while full is set.
type fullDisk struct {
	balsampier.LogStore
	full *atomic.Bool
}

func (d fullDisk) Save(w balsampier.LogBatch) error {
	if d.full.Load() {
		return syscall.ENOSPC
	}
	return d.LogStore.Save(w)
}

// startDocumentControl runs a single control instance with documents until the
// test ends.
func startDocumentControl(c *qt.C, full *atomic.Bool) *Control {
	a := addrOf(listen(c))
	s := Settings{Documents: true, PeerAddr: a, DataFolder: c.TempDir(), ElectionTimeout: minElectionTimeout}
	s.Seeds = append(s.Seeds, a)
	s.Name, s.LogLevel = "control-1", "error"
	s.SetDefaults()
	t, err := New(s, clock.System{}, fixedRandom{}, peer.NewKey([]byte(testKey)))
	c.Assert(err, qt.IsNil)
	t.openFolder = func(f string, r balsampier.Random) (balsampier.LogStore, balsampier.StoredLog, error) {
		s, l, err := openFolder(f, r)
		return fullDisk{LogStore: s, full: full}, l, err
	}
	x, cancel := context.WithCancel(context.Background())
	var w sync.WaitGroup
	for _, d := range t.Threads() {
		w.Go(func() { _ = d.Start(x) })
	}
	c.Cleanup(func() {
		cancel()
		w.Wait()
	})
	return t
}

func (t *Control) waitReady(c *qt.C) {
	c.Helper()
	for end := time.Now().Add(20 * time.Second); t.Ready() != nil; time.Sleep(readyPollInterval) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

// TestDiskLost makes the disk fail a write. The instance must close its
// replica, open the folder again and have everything that it acknowledged.
func TestDiskLost(t *testing.T) {
	c := qt.New(t)
	var full atomic.Bool
	d := startDocumentControl(c, &full)
	d.waitReady(c)
	x := context.Background()
	for i := range 3 {
		c.Assert(d.Put(x, balsampier.Document{Version: balsampier.Revision(i + 1), Text: "routes"}), qt.IsNil)
	}
	full.Store(true)
	c.Assert(d.Put(x, balsampier.Document{Version: 4, Text: "routes"}), qt.IsNotNil)
	c.Assert(d.Ready(), qt.IsNotNil)
	full.Store(false)
	d.waitReady(c)
	c.Assert(d.Put(x, balsampier.Document{Version: 5, Text: "newer"}), qt.IsNil)
	n, err := d.Newest(x)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, balsampier.Document{Version: 5, Text: "newer"})
}
