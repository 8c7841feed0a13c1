package replicas

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/disk"
)

const (
	tick = 100 * time.Millisecond
	// maxTicks bounds the simulated time until a leader is settled.
	maxTicks   = 1000
	folderPerm = 0o755
)

type (
	// node is one replica with its disk.
	node struct {
		*replicate.Node
		store *disk.Store
		// commands counts those in the applied state.
		commands uint64
		// work is what is to be saved next; nil when there is none.
		work *balsampier.LogBatch
	}

	// group is a set of replicas that hear each other at once. Their time is
	// simulated; their disks are real and work side by side.
	group struct {
		nodes []*node
		now   time.Time
		// replayed counts the entries behind the snapshots on opening.
		replayed int
		mail     []replicate.Message
	}
)

// open starts n replicas with files below folder and waits for a leader.
func open(folder string, seed uint64, n int) (*group, error) {
	g := &group{now: time.Unix(0, 0)}
	peers := make([]balsampier.InstanceID, n)
	for i := range peers {
		peers[i] = balsampier.InstanceID(i + 1)
	}
	for i, p := range peers {
		if err := g.add(filepath.Join(folder, fmt.Sprint(p)), replicate.Config{
			Instance: p, Peers: peers, Random: newRandom(seed, i),
		}); err != nil {
			g.close()
			return nil, err
		}
	}
	for range maxTicks {
		if l := g.leader(); l != nil && l.Status().Commit == l.Status().Last {
			return g, nil
		}
		g.now = g.now.Add(tick)
		for _, n := range g.nodes {
			n.Tick(g.now)
		}
		if err := g.settle(); err != nil {
			g.close()
			return nil, err
		}
	}
	g.close()
	return nil, trace.LimitExceeded("no leader after %d ticks", maxTicks)
}

func (g *group) add(folder string, c replicate.Config) error {
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return trace.ConvertSystemError(err)
	}
	d, l, err := disk.OpenStore(folder, c.Random)
	if err != nil {
		return trace.Wrap(err)
	}
	n := &node{store: d}
	g.nodes = append(g.nodes, n)
	g.replayed += len(l.Entries)
	n.Node, err = replicate.New(c, l, g.now)
	return trace.Wrap(err)
}

func (g *group) close() {
	for _, n := range g.nodes {
		_ = n.store.Close()
	}
}

func (g *group) leader() *node {
	for _, n := range g.nodes {
		if n.Status().Role == replicate.RoleLeader {
			return n
		}
	}
	return nil
}

func (g *group) committed() uint64 {
	if l := g.leader(); l != nil {
		return l.commands
	}
	return 0
}

func (g *group) syncs() uint64 {
	var n uint64
	for _, x := range g.nodes {
		n += x.store.Syncs()
	}
	return n
}

// commit proposes entries and returns when the leader has committed them.
func (g *group) commit(entries, size int) error {
	l := g.leader()
	if l == nil {
		return trace.NotFound("no node leads")
	}
	want := l.commands + uint64(entries)
	for range entries {
		if _, _, err := l.Propose(make([]byte, size)); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := g.settle(); err != nil {
		return err
	}
	if l.commands != want {
		return trace.BadParameter("%d entries are committed, not %d", l.commands, want)
	}
	return nil
}

// settle passes messages and saves work until there is nothing left to do.
// Messages go first, so that the disks of leader and followers work at the
// same time.
func (g *group) settle() error {
	for {
		busy := false
		for _, n := range g.nodes {
			g.take(n)
			busy = busy || n.work != nil
		}
		mail := g.mail
		g.mail = nil
		for _, m := range mail {
			g.nodes[m.To.Instance-1].Step(m)
		}
		if len(mail) > 0 {
			continue
		}
		if !busy {
			return nil
		}
		if err := g.save(); err != nil {
			return err
		}
	}
}

func (g *group) take(n *node) {
	o := n.DrainOutput()
	g.mail = append(g.mail, o.Messages...)
	if o.Restore != nil && len(o.Restore.Data) > 0 {
		n.commands = binary.BigEndian.Uint64(o.Restore.Data)
	}
	for _, e := range o.Committed {
		if e.Kind == balsampier.EntryCommand {
			n.commands++
		}
	}
	if o.SnapshotDue {
		n.Compact(n.Status().Applied, binary.BigEndian.AppendUint64(nil, n.commands))
	}
	if o.DiskBatch != nil {
		n.work = o.DiskBatch
	}
}

// save does the work of all disks at the same time.
func (g *group) save() error {
	errs := make([]error, len(g.nodes))
	var w sync.WaitGroup
	for i, n := range g.nodes {
		if n.work != nil {
			w.Go(func() { errs[i] = n.store.Save(*n.work) })
		}
	}
	w.Wait()
	for i, n := range g.nodes {
		if n.work != nil && errs[i] == nil {
			n.ConfirmSave(n.work.Seq)
		}
		n.work = nil
	}
	return trace.NewAggregate(errs...)
}
