package app

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kratos/kratos/v2/transport"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/random"
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
// test ends. A joining one stays blank.
func startDocumentControl(c *qt.C, full *atomic.Bool, joining bool) *Control {
	a := addrOf(listen(c))
	s := Settings{Documents: true, Joining: joining, PeerAddr: a, DataFolder: c.TempDir(), ElectionTimeout: minElectionTimeout}
	s.Seeds = append(s.Seeds, a)
	s.Name, s.LogLevel = "control-1", "error"
	s.SetDefaults()
	t, err := New(s, clock.System{}, fixedRandom{}, peer.NewKey([]byte(testKey)))
	c.Assert(err, qt.IsNil)
	t.openFolder = openFullable(full)
	runThreads(c, t.Threads())
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
	d := startDocumentControl(c, &full, false)
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

// TestDisksFullInTurn fills the disks of three instances one after the other
// while documents are sent, and checks that documents are accepted again soon
// after the last disk has room. Guards against instances that stay out of the
// quorum after their disk was full.
func TestDisksFullInTurn(t *testing.T) {
	const (
		fullFor = 1500 * time.Millisecond
		// acceptTimeout bounds the wait for a leader and a quorum.
		acceptTimeout = 5 * time.Second
	)
	c := qt.New(t)
	var full [3]atomic.Bool
	var all [3]*Control
	l := listenAt(c, "127.0.0.1:0")
	port := addrOf(l).Port()
	ls := []net.Listener{l, listenAt(c, fmt.Sprintf("127.0.0.2:%d", port)), listenAt(c, fmt.Sprintf("127.0.0.3:%d", port))}
	for i := range all {
		all[i] = startDocumentReplica(c, ls, i, &full[i])
	}
	version := balsampier.Revision(0)
	put := func() error {
		version++
		var err error
		for _, t := range all {
			x, cancel := context.WithTimeout(context.Background(), time.Second)
			err = t.Put(x, balsampier.Document{Version: version, Text: strings.Repeat("routes ", int(version))})
			cancel()
			if err == nil {
				break
			}
		}
		return err
	}
	accept := func(what string) {
		for end := time.Now().Add(acceptTimeout); put() != nil; time.Sleep(readyPollInterval) {
			c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%s", what))
		}
	}
	accept("before a disk is full")
	for i := range all {
		full[i].Store(true)
		for end := time.Now().Add(fullFor); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			_ = put()
		}
		full[i].Store(false)
		time.Sleep(fullFor)
	}
	accept("after the last disk has room")
	want := version
	for _, t := range all {
		for end := time.Now().Add(acceptTimeout); t.published.Load().rules.Revision < want; time.Sleep(readyPollInterval) {
			c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%s has revision %d, not %d", t.instanceSettings.Name, t.published.Load().rules.Revision, want))
		}
	}
}

func listenAt(c *qt.C, a string) net.Listener {
	l, err := net.Listen("tcp", a)
	c.Assert(err, qt.IsNil)
	return l
}

// startDocumentReplica runs instance i of those at the given listeners.
func startDocumentReplica(c *qt.C, ls []net.Listener, i int, full *atomic.Bool) *Control {
	s := Settings{Documents: true, Tolerance: 1, PeerAddr: addrOf(ls[i]), DataFolder: c.TempDir(), ElectionTimeout: minElectionTimeout}
	for _, l := range ls {
		s.Seeds = append(s.Seeds, addrOf(l))
	}
	s.Name, s.LogLevel = instanceName(i), "error"
	s.SetDefaults()
	t, err := New(s, clock.System{}, random.System{}, fleetKey)
	c.Assert(err, qt.IsNil)
	t.openFolder = openFullable(full)
	p := peer.NewServer(ls[i])
	c.Assert(p.AddControl(fleetKey, t), qt.IsNil)
	c.Assert(p.AddReplica(fleetKey, t), qt.IsNil)
	runThreads(c, append(t.Threads(), p))
	return t
}

// openFullable returns a function that opens the data folder with a disk that
// has no room while full is set.
func openFullable(full *atomic.Bool) func(string, balsampier.Random) (balsampier.LogStore, balsampier.StoredLog, error) {
	return func(f string, r balsampier.Random) (balsampier.LogStore, balsampier.StoredLog, error) {
		s, l, err := openFolder(f, r)
		return fullDisk{LogStore: s, full: full}, l, err
	}
}

// runThreads runs threads until the test ends.
func runThreads(c *qt.C, ts []transport.Server) {
	x, cancel := context.WithCancel(context.Background())
	var w sync.WaitGroup
	for _, d := range ts {
		w.Go(func() { _ = d.Start(x) })
	}
	c.Cleanup(func() {
		cancel()
		w.Wait()
	})
}

// TestBlankInstanceRefuses checks that an instance that has not joined yet refuses
// members at once. Guards against members that wait for a blank instance until
// their calls time out, while others could serve them.
func TestBlankInstanceRefuses(t *testing.T) {
	c := qt.New(t)
	d := startDocumentControl(c, new(atomic.Bool), true)
	x, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := d.Renew(x, balsampier.Renewal{Member: balsampier.Member{ID: 9, Role: balsampier.RoleAgent}})
	c.Check(balsampier.KindOf(err), qt.Equals, balsampier.KindUnavailable)
	err = d.Watch(x, balsampier.WatchRequest{}, func(balsampier.WatchMessage) error { return nil })
	c.Check(balsampier.KindOf(err), qt.Equals, balsampier.KindUnavailable)
	c.Check(x.Err(), qt.IsNil)
}
