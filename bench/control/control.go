// Package control measures what membership, rules and their roll-out cost in
// bytes, time and processor time, against the number of members.
package control

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/balsampier/balsampier/bench/measure"
	"github.com/balsampier/balsampier/query/members"
)

const (
	// rolloutBound is the time until a change is in force everywhere.
	rolloutBound = 11 * time.Second
	// memoryBound is the memory of a daemon for control, in bytes.
	memoryBound = 64 << 20
	// processorBound is the processor time of a daemon for control in one
	// second.
	processorBound = 34 * time.Millisecond
	// changesPerDay is how often the configuration changes.
	changesPerDay = 4_500
	// restartsPerDay is how many members restart or are replaced.
	restartsPerDay = 2_800
	// failuresPerDay is how many members fail.
	failuresPerDay = 61
	// largest is the number of agents to design for.
	largest = 13_000
	// instances is the number of control instances to design for.
	instances = 9
	day       = 24 * time.Hour
)

// sizes are the numbers of agents that are measured.
var sizes = []int{300, 1_300, 4_000, largest}

// bench prints measures of fleets of several sizes.
type bench struct {
	*measure.Report
	random *rand.Rand
}

// Run prints one line for each measure. Bounds are those of the largest size
// at all sizes.
func Run(w io.Writer, seed uint64) error {
	b := newBench(w, seed)
	for _, n := range sizes {
		f := newFleet(n, b.random)
		b.snapshots(f)
		b.renewals(f)
		b.rules(f)
		b.compile(f)
		b.steady(f)
		b.lost(f)
		b.returned(f)
		b.costs(f)
		b.publish(f)
		b.instance(f)
	}
	b.PrintSlopes("Agent")
	return b.Err()
}

func newBench(w io.Writer, seed uint64) *bench {
	return &bench{Report: measure.New(w), random: newRandom(seed)}
}

// at prints a measure of a fleet with n agents.
func (b *bench) at(name string, n int, value, bound float64) {
	b.SizedAtMost("control."+name, n, value, bound)
}

// figure prints a value for which there is no bound.
func (b *bench) figure(name string, n int, value float64) { b.Sized("control."+name, n, value) }

func seconds(d time.Duration) float64 { return d.Seconds() }

// budgetTime returns how long n bytes take at the rate of a publisher.
func budgetTime(n int) float64 {
	return float64(n) / (members.DefaultBudget * 7 / 8)
}
