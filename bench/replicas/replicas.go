// Package replicas measures the throughput, cost and restart time of the
// replicated log of control on real disks.
package replicas

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier/bench/measure"
	"github.com/balsampier/balsampier/clock"
)

const (
	// A restart must replay fewer entries than replayBound.
	replayBound = 200
	// manyChanges precede the restart that is checked against replayBound.
	// fewChanges precede the restarts that are timed by entry size; all of them
	// are replayed.
	manyChanges = 1_000
	fewChanges  = 100
	// rateWindow is how long each commit rate is measured.
	rateWindow      = time.Second
	smallEntryBytes = 128
)

// entrySizes are the lengths of entries in bytes by which commits and restarts
// are measured.
var entrySizes = []int{128, 4 << 10, 32 << 10, 128 << 10}

// Run prints all measures of the package. Its files are in a temporary folder,
// which it removes.
func Run(w io.Writer, seed uint64) error {
	d, err := os.MkdirTemp("", "balsampier-bench-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(d) }()
	r := measure.New(w)
	for _, n := range []int{1, 3} {
		for _, batch := range []int{1, 64} {
			name := fmt.Sprintf("log.nodes%d.batch%d", n, batch)
			if err := measureRate(r, filepath.Join(d, name), name, seed, n, batch); err != nil {
				return trace.Wrap(err, "measure %s", name)
			}
		}
	}
	for _, z := range entrySizes {
		if err := measureEntryCost(r, filepath.Join(d, fmt.Sprint("entry", z)), seed, z); err != nil {
			return trace.Wrap(err, "measure commits of %d bytes", z)
		}
	}
	r.PrintSlopes("Byte")
	if err := measureRestarts(r, filepath.Join(d, "restart"), seed); err != nil {
		return trace.Wrap(err, "measure restarts")
	}
	return r.Err()
}

// measureRate measures commits per second and disk syncs per commit, with the
// given number of nodes and of entries proposed together.
func measureRate(r *measure.Report, folder, name string, seed uint64, nodes, batch int) error {
	g, err := openGroup(folder, seed, nodes)
	if err != nil {
		return err
	}
	defer g.close()
	k := clock.System{}
	syncs, committed, t := g.totalSyncs(), g.committedCommands(), k.Now()
	for k.Now().Sub(t) < rateWindow {
		if err := g.commit(batch, smallEntryBytes); err != nil {
			return err
		}
	}
	took, n := k.Now().Sub(t), float64(g.committedCommands()-committed)
	r.Figure(name+".commitsPerSecond", n/took.Seconds())
	r.Figure(name+".syncsPerCommit", float64(g.totalSyncs()-syncs)/n)
	return nil
}

// measureEntryCost measures the processor time that one commit of size bytes
// takes on three nodes together.
func measureEntryCost(r *measure.Report, folder string, seed uint64, size int) error {
	g, err := openGroup(folder, seed, 3)
	if err != nil {
		return err
	}
	defer g.close()
	before, err := measure.ProcessorTime()
	if err != nil {
		return err
	}
	const commits = 100
	for range commits {
		if err := g.commit(1, size); err != nil {
			return err
		}
	}
	after, err := measure.ProcessorTime()
	if err != nil {
		return err
	}
	r.Sized("log.nodes3.commit.processorSeconds", size, (after-before).Seconds()/commits)
	return nil
}

// measureRestart commits the given number of changes of size bytes on one node
// and restarts it. It returns how long the node takes until it leads again, and
// how many entries it replays.
func measureRestart(folder string, seed uint64, changes, size int) (time.Duration, int, error) {
	g, err := openGroup(folder, seed, 1)
	if err != nil {
		return 0, 0, err
	}
	for range changes {
		if err := g.commit(1, size); err != nil {
			g.close()
			return 0, 0, err
		}
	}
	g.close()
	k := clock.System{}
	t := k.Now()
	g, err = openGroup(folder, seed, 1)
	if err != nil {
		return 0, 0, err
	}
	defer g.close()
	took := k.Now().Sub(t)
	if n := g.committedCommands(); n != uint64(changes) {
		return 0, 0, trace.BadParameter("recovered %d of %d changes", n, changes)
	}
	return took, g.replayedEntries, nil
}

// measureRestarts measures a restart after manyChanges small changes, and
// restarts after fewChanges changes of each entry size.
func measureRestarts(r *measure.Report, folder string, seed uint64) error {
	took, n, err := measureRestart(filepath.Join(folder, "many"), seed, manyChanges, smallEntryBytes)
	if err != nil {
		return err
	}
	r.AtMost("log.restart.replayedEntries", float64(n), replayBound-1)
	r.Figure("log.restart.seconds", took.Seconds())
	for _, z := range entrySizes {
		took, _, err := measureRestart(filepath.Join(folder, fmt.Sprint(z)), seed, fewChanges, z)
		if err != nil {
			return trace.Wrap(err, "restart after changes of %d bytes", z)
		}
		r.Sized("log.restartAfter100.seconds", z, took.Seconds())
	}
	r.PrintSlopes("Byte")
	return nil
}

// newRandom returns the random source of node n.
func newRandom(seed uint64, n int) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(n))) }
