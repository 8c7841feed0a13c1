// Package requests measures how requests are handled under faults and overload:
// claims in a simulated fleet, and admission of a flood on simulated time.
package requests

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/admit"
)

const (
	// FleetSeeds is how many fleets Run simulates under faults, each with its
	// own seed.
	FleetSeeds = 1000
	// FleetSteps is how many random steps each fleet performs.
	FleetSteps = 300
	// floodSeeds is how many simulations the result of each flood is summed
	// over.
	floodSeeds = 5
	// minOtherWork is the part of the other work that must still complete
	// during a flood, relative to a simulation without one.
	minOtherWork = 0.95
)

type (
	// Measure is one measured value with its bound.
	Measure struct {
		// Name consists of parts in camel case, separated by slashes.
		Name string
		// Flood names the flood that led to Value. It is empty if Name contains
		// the flood, or if there is none.
		Flood string
		Value float64
		// Bound is the target. It is nil for counts and for the baselines.
		Bound *float64
		// AtMost is true if the value must not exceed the bound, and false if
		// it must not fall below it.
		AtMost bool
	}

	flood struct {
		name      string
		flooding  [2]bool
		oneCaller bool
	}

	policy struct {
		name        string
		newAdmitter func() balsampier.Admitter
	}
)

var (
	serverNames = [...]string{"steady", "shedding", "cold", "slow"}

	floods = []flood{
		{"normal/oneCaller", [2]bool{true, false}, true},
		{"normal/manyCallers", [2]bool{true, false}, false},
		{"urgent/oneCaller", [2]bool{false, true}, true},
		{"urgent/manyCallers", [2]bool{false, true}, false},
		{"both/oneCaller", [2]bool{true, true}, true},
		{"both/manyCallers", [2]bool{true, true}, false},
	}

	policies = []policy{
		{"weightedFair", func() balsampier.Admitter { return admit.New(floodServerSlots, floodQueueDepth) }},
		{"baselineFIFO", func() balsampier.Admitter { return newPlainQueue(floodServerSlots, floodQueueDepth, false) }},
		{"baselineStrict", func() balsampier.Admitter { return newPlainQueue(floodServerSlots, floodQueueDepth, true) }},
	}
)

// OK reports whether the value is within its bound. A measure without a bound
// is always OK.
func (m Measure) OK() bool {
	if m.Bound == nil {
		return true
	}
	if m.AtMost {
		return m.Value <= *m.Bound
	}
	return m.Value >= *m.Bound
}

// String formats the measure as one line, without a line break.
func (m Measure) String() string {
	s := fmt.Sprintf("measure=%s value=%.4g", m.Name, m.Value)
	if m.Bound != nil {
		s += fmt.Sprintf(" bound=%.4g ok=%t", *m.Bound, m.OK())
	}
	if m.Flood != "" {
		s += " worstOf=" + m.Flood
	}
	return s
}

// Run writes one line per measure. Of all floods it writes only the worst value
// for each policy and server kind.
func Run(w io.Writer, seed uint64) error {
	for _, m := range append(MeasureClaims(seed, FleetSeeds), keepWorst(MeasureFloods(seed, floodSeeds))...) {
		if _, err := fmt.Fprintln(w, m); err != nil {
			return trace.Wrap(err, "write measure %s", m.Name)
		}
	}
	return MeasureCosts(w)
}

// MeasureClaims simulates n fleets under faults. Fleet i draws from the random
// stream i of seed.
func MeasureClaims(seed uint64, n int) []Measure {
	var stats FleetStats
	twice, misreported, notServing := 0, 0, 0
	for i := range uint64(n) {
		f := NewFleet(rand.New(rand.NewPCG(seed, i)))
		for range FleetSteps {
			f.Step()
		}
		if !f.ServesAfterHeal() {
			notServing++
		}
		for _, s := range f.Violations {
			if strings.Contains(s, "times") {
				twice++
			} else {
				misreported++
			}
		}
		stats.Add(f.Stats)
	}
	zero := 0.0
	return []Measure{
		{Name: "claims/requestsRunTwice", Value: float64(twice), Bound: &zero, AtMost: true},
		{Name: "claims/notRunThatRanOrCrossedAnswer", Value: float64(misreported), Bound: &zero, AtMost: true},
		{Name: "claims/fleetsNotServingAfterHeal", Value: float64(notServing), Bound: &zero, AtMost: true},
		{Name: "claims/seeds", Value: float64(n)},
		{Name: "claims/runs", Value: float64(stats.Runs)},
		{Name: "claims/epochs", Value: float64(stats.Epochs)},
		{Name: "claims/deaths", Value: float64(stats.Deaths)},
		{Name: "claims/cuts", Value: float64(stats.Cuts)},
		{Name: "claims/freezes", Value: float64(stats.Freezes)},
		{Name: "claims/refusedNotRun", Value: float64(stats.NotRun)},
		{Name: "claims/refusedUnknown", Value: float64(stats.Unknown)},
		{Name: "claims/refusedFull", Value: float64(stats.ClaimsFull)},
		{Name: "claims/metAnotherClaim", Value: float64(stats.HeldByOther)},
		{Name: "claims/storedAnswers", Value: float64(stats.StoredAnswers)},
	}
}

// MeasureFloods simulates every flood with n seeds: weighted fair admission at
// every kind of server, the baselines only at the steady one.
func MeasureFloods(seed uint64, n int) []Measure {
	var out []Measure
	for i, p := range policies {
		for k := serverSteady; k <= serverSlow; k++ {
			if i == 0 || k == serverSteady {
				out = append(out, measureFloodsAt(p, k, floods, seed, n, i == 0)...)
			}
		}
	}
	return out
}

// measureFloodsAt simulates the floods at one kind of server, and the same
// usual work without a flood for comparison. The measures have bounds if
// bounded is set.
func measureFloodsAt(p policy, k serverKind, fs []flood, seed uint64, n int, bounded bool) []Measure {
	var out []Measure
	usual := sumRuns(p, Scenario{Server: k}, seed, n)
	for _, f := range fs {
		s := sumRuns(p, Scenario{Server: k, Flooding: f.flooding, OneCaller: f.oneCaller}, seed, n)
		prefix := fmt.Sprintf("flood/%s/%s/%s/", p.name, serverNames[k], f.name)
		ms := []Measure{
			{Name: prefix + "otherNormal", Value: ratio(s.Completed[0], usual.Completed[0]), Bound: bound(minOtherWork)},
			{Name: prefix + "otherUrgent", Value: ratio(s.Completed[1], usual.Completed[1]), Bound: bound(minOtherWork)},
			{Name: prefix + "longestSecondsWithoutUrgent", Value: float64(s.LongestGap[1]), Bound: bound(requestTimeout.Seconds()), AtMost: true},
			{Name: prefix + "queued", Value: float64(s.MaxQueued), Bound: bound(2 * floodQueueDepth), AtMost: true},
			{Name: prefix + "running", Value: float64(s.MaxRunning), Bound: bound(floodServerSlots), AtMost: true},
		}
		for i := range ms {
			if !bounded {
				ms[i].Bound = nil
			}
		}
		out = append(out, ms...)
	}
	return out
}

// sumRuns sums the counts and takes the highest gaps and loads of n
// simulations, with seeds from the given one on.
func sumRuns(p policy, s Scenario, seed uint64, n int) FloodResult {
	var out FloodResult
	for i := range uint64(n) {
		s.Seed = seed + i
		r := SimulateFlood(s, p.newAdmitter(), admit.DefaultSettings().Weights)
		for c := range r.Completed {
			out.Offered[c] += r.Offered[c]
			out.Completed[c] += r.Completed[c]
			out.LongestGap[c] = max(out.LongestGap[c], r.LongestGap[c])
		}
		out.Late += r.Late
		out.MaxQueued = max(out.MaxQueued, r.MaxQueued)
		out.MaxRunning = max(out.MaxRunning, r.MaxRunning)
	}
	return out
}

func ratio(a, b int) float64 { return float64(a) / float64(max(b, 1)) }

func bound(v float64) *float64 { return &v }
