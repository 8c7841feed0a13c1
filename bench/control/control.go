// Package control benchmarks membership, rule files and their roll-out: bytes
// on the wire, delay, processor time and memory by the number of agents.
package control

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/balsampier/balsampier/bench/measure"
	"github.com/balsampier/balsampier/query/members"
)

const (
	// rolloutBound bounds the time until a change is in force everywhere.
	rolloutBound = 11 * time.Second
	// memoryBound bounds the memory that a daemon spends on control, in bytes.
	memoryBound = 64 << 20
	// processorBound bounds the processor time that a daemon spends on control
	// in one second.
	processorBound = 34 * time.Millisecond
	// changesPerDay is the number of configuration changes.
	changesPerDay = 4_500
	// restartsPerDay is the number of members that restart or are replaced.
	restartsPerDay = 2_800
	// failuresPerDay is the number of members that fail.
	failuresPerDay = 61
	// maxAgents is the number of agents that the system is designed for.
	maxAgents = 13_000
	// controlInstances is the number of control instances that the system is
	// designed for.
	controlInstances = 9
	day              = 24 * time.Hour
)

// agentCounts are the fleet sizes that are measured, in agents.
var agentCounts = []int{300, 1_300, 4_000, maxAgents}

// bench measures fleets of several sizes; random varies their members.
type bench struct {
	*measure.Report
	random *rand.Rand
}

// Run measures fleets of all sizes and prints one line for each measure. The
// bounds of the largest fleet apply to all of them. Equal seeds give equal
// fleets.
func Run(w io.Writer, seed uint64) error {
	b := newBench(w, seed)
	for _, n := range agentCounts {
		f := newFleet(n, b.random)
		b.measureSnapshots(f)
		b.measureRenewals(f)
		b.measureRules(f)
		b.measureRuleTable(f)
		b.measureSteadyTraffic(f)
		b.measureDataCentreLoss(f)
		b.measureReturns(f)
		b.measureCosts(f)
		b.measurePublishing(f)
		b.measureInstance(f)
	}
	b.PrintSlopes("Agent")
	return b.Err()
}

func newBench(w io.Writer, seed uint64) *bench {
	return &bench{Report: measure.New(w), random: newRandom(seed)}
}

// reportAtMost prints a measure of a fleet with n agents and its upper bound.
func (b *bench) reportAtMost(name string, n int, value, bound float64) {
	b.SizedAtMost("control."+name, n, value, bound)
}

// reportFigure prints a measure of a fleet with n agents, without a bound.
func (b *bench) reportFigure(name string, n int, value float64) { b.Sized("control."+name, n, value) }

func seconds(d time.Duration) float64 { return d.Seconds() }

// transferSeconds returns how long a publisher takes to send n bytes, in
// seconds. Snapshots and rule files get 7/8 of its budget.
func transferSeconds(n int) float64 {
	return float64(n) / (members.DefaultBudget * 7 / 8)
}
