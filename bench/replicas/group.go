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
	tickInterval = 100 * time.Millisecond
	// maxTicks bounds the simulated time until a leader is elected and has
	// committed its whole log.
	maxTicks   = 1000
	folderPerm = 0o755
)

type (
	// node is one replica with its store on disk.
	node struct {
		*replicate.Node
		store *disk.Store
		// appliedCommands counts the commands in the applied state.
		appliedCommands uint64
		// pendingBatch is the batch to save next, or nil.
		pendingBatch *balsampier.LogBatch
	}

	// group is a set of replicas that exchange messages without delay or loss.
	// Their time is simulated. Their stores are files on real disks, which are
	// written in parallel.
	group struct {
		nodes []*node
		now   time.Time
		// replayedEntries counts the log entries after the snapshots, which the
		// nodes replayed on opening.
		replayedEntries int
		messages        []replicate.Message
	}
)

// openGroup starts n replicas with files below folder and advances the
// simulated time until one of them leads and has committed its whole log.
// Existing files are recovered.
func openGroup(folder string, seed uint64, n int) (*group, error) {
	g := &group{now: time.Unix(0, 0)}
	peers := make([]balsampier.InstanceID, n)
	for i := range peers {
		peers[i] = balsampier.InstanceID(i + 1)
	}
	for i, p := range peers {
		if err := g.addNode(filepath.Join(folder, fmt.Sprint(p)), replicate.Config{
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
		g.now = g.now.Add(tickInterval)
		for _, n := range g.nodes {
			n.Tick(g.now)
		}
		if err := g.runUntilIdle(); err != nil {
			g.close()
			return nil, err
		}
	}
	g.close()
	return nil, trace.LimitExceeded("no leader after %d ticks", maxTicks)
}

// addNode opens the store in folder and starts a node on what it recovered.
func (g *group) addNode(folder string, c replicate.Config) error {
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return trace.ConvertSystemError(err)
	}
	d, l, err := disk.OpenStore(folder, c.Random)
	if err != nil {
		return trace.Wrap(err)
	}
	n := &node{store: d}
	g.nodes = append(g.nodes, n)
	g.replayedEntries += len(l.Entries)
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

// committedCommands returns the number of commands that the leader has applied,
// or 0 without a leader.
func (g *group) committedCommands() uint64 {
	if l := g.leader(); l != nil {
		return l.appliedCommands
	}
	return 0
}

// totalSyncs returns how often the stores of all nodes have synced to disk.
func (g *group) totalSyncs() uint64 {
	var n uint64
	for _, x := range g.nodes {
		n += x.store.Syncs()
	}
	return n
}

// commit proposes the given number of entries of size bytes and returns when
// the leader has committed them.
func (g *group) commit(entries, size int) error {
	l := g.leader()
	if l == nil {
		return trace.NotFound("no node is the leader")
	}
	want := l.appliedCommands + uint64(entries)
	for range entries {
		if _, _, err := l.Propose(make([]byte, size)); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := g.runUntilIdle(); err != nil {
		return err
	}
	if l.appliedCommands != want {
		return trace.BadParameter("leader has applied %d commands instead of %d", l.appliedCommands, want)
	}
	return nil
}

// runUntilIdle delivers messages and saves batches until there are none left.
// Messages are delivered first, so that the leader and its followers write to
// disk at the same time.
func (g *group) runUntilIdle() error {
	for {
		busy := false
		for _, n := range g.nodes {
			g.drainOutput(n)
			busy = busy || n.pendingBatch != nil
		}
		inFlight := g.messages
		g.messages = nil
		for _, m := range inFlight {
			g.nodes[m.To.Instance-1].Step(m)
		}
		if len(inFlight) > 0 {
			continue
		}
		if !busy {
			return nil
		}
		if err := g.saveBatches(); err != nil {
			return err
		}
	}
}

// drainOutput applies the output of n: it collects the messages and the next
// batch, counts committed commands and compacts the log if a snapshot is due.
func (g *group) drainOutput(n *node) {
	o := n.DrainOutput()
	g.messages = append(g.messages, o.Messages...)
	if o.Restore != nil && len(o.Restore.Data) > 0 {
		n.appliedCommands = binary.BigEndian.Uint64(o.Restore.Data)
	}
	for _, e := range o.Committed {
		if e.Kind == balsampier.EntryCommand {
			n.appliedCommands++
		}
	}
	if o.SnapshotDue {
		n.Compact(n.Status().Applied, binary.BigEndian.AppendUint64(nil, n.appliedCommands))
	}
	if o.DiskBatch != nil {
		n.pendingBatch = o.DiskBatch
	}
}

// saveBatches saves the pending batches of all nodes in parallel and confirms
// those that succeeded.
func (g *group) saveBatches() error {
	errs := make([]error, len(g.nodes))
	var w sync.WaitGroup
	for i, n := range g.nodes {
		if n.pendingBatch != nil {
			w.Go(func() { errs[i] = n.store.Save(*n.pendingBatch) })
		}
	}
	w.Wait()
	for i, n := range g.nodes {
		if n.pendingBatch != nil && errs[i] == nil {
			n.ConfirmSave(n.pendingBatch.Seq)
		}
		n.pendingBatch = nil
	}
	return trace.NewAggregate(errs...)
}
