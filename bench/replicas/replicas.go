// Package replicas measures the replicated log of control on real disks.
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
	// replayBound is what a restart must replay less than.
	replayBound = 200
	// manyChanges go by before the restart that must replay few of them;
	// fewChanges are all replayed.
	manyChanges = 1_000
	fewChanges  = 100
	// runTime is how long each rate is measured.
	runTime    = time.Second
	smallEntry = 128
)

// entrySizes are the lengths of entries, in bytes, for the slope of a commit.
var entrySizes = []int{128, 4 << 10, 32 << 10, 128 << 10}

// Run prints all measures. The files live in a temporary folder.
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
			if err := rate(r, filepath.Join(d, name), name, seed, n, batch); err != nil {
				return trace.Wrap(err, "measure %s", name)
			}
		}
	}
	for _, z := range entrySizes {
		if err := entryCost(r, filepath.Join(d, fmt.Sprint("entry", z)), seed, z); err != nil {
			return trace.Wrap(err, "measure entries of %d bytes", z)
		}
	}
	r.PrintSlopes("Byte")
	if err := restarts(r, filepath.Join(d, "restart"), seed); err != nil {
		return trace.Wrap(err, "measure a restart")
	}
	return r.Err()
}

// rate measures commits that are proposed in batches.
func rate(r *measure.Report, folder, name string, seed uint64, nodes, batch int) error {
	g, err := open(folder, seed, nodes)
	if err != nil {
		return err
	}
	defer g.close()
	k := clock.System{}
	syncs, committed, t := g.syncs(), g.committed(), k.Now()
	for k.Now().Sub(t) < runTime {
		if err := g.commit(batch, smallEntry); err != nil {
			return err
		}
	}
	took, n := k.Now().Sub(t), float64(g.committed()-committed)
	r.Figure(name+".commitsPerSecond", n/took.Seconds())
	r.Figure(name+".syncsPerCommit", float64(g.syncs()-syncs)/n)
	return nil
}

// entryCost measures the processor time of one commit by its length, for all
// of three nodes together.
func entryCost(r *measure.Report, folder string, seed uint64, size int) error {
	g, err := open(folder, seed, 3)
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

// restart returns how long a node takes to come back after changes of the
// given length went by, and how many entries it replays.
func restart(folder string, seed uint64, changes, size int) (time.Duration, int, error) {
	g, err := open(folder, seed, 1)
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
	g, err = open(folder, seed, 1)
	if err != nil {
		return 0, 0, err
	}
	defer g.close()
	took := k.Now().Sub(t)
	if n := g.committed(); n != uint64(changes) {
		return 0, 0, trace.BadParameter("%d of %d changes came back", n, changes)
	}
	return took, g.replayed, nil
}

// restarts measures a restart after many small changes, and by the length of
// the changes.
func restarts(r *measure.Report, folder string, seed uint64) error {
	took, n, err := restart(filepath.Join(folder, "many"), seed, manyChanges, smallEntry)
	if err != nil {
		return err
	}
	r.AtMost("log.restart.replayedEntries", float64(n), replayBound-1)
	r.Figure("log.restart.seconds", took.Seconds())
	for _, z := range entrySizes {
		took, _, err := restart(filepath.Join(folder, fmt.Sprint(z)), seed, fewChanges, z)
		if err != nil {
			return trace.Wrap(err, "entries of %d bytes", z)
		}
		r.Sized("log.restartAfter100.seconds", z, took.Seconds())
	}
	r.PrintSlopes("Byte")
	return nil
}

func newRandom(seed uint64, n int) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(n))) }
