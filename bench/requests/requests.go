// Package requests measures how requests fare under faults and floods: claims
// in a fleet of state machines, and admission under load on a fake clock.
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
	// FleetSeeds is how many fleets Run puts through faults.
	FleetSeeds = 1000
	// FleetSteps is how many steps each of them takes.
	FleetSteps = 300
	// floodSeeds is how many runs each flood is summed over.
	floodSeeds = 5
	// floodBound is the part of the other work that a flood must leave.
	floodBound = 0.95
)

type (
	// Measure is one result with its bound.
	Measure struct {
		// Name is in camel case, with its circumstances after slashes.
		Name string
		// Flood is the flood behind Value; empty where Name has it or where
		// there is none.
		Flood string
		Value float64
		// Bound is the target; nil for what is only compared with.
		Bound *float64
		// AtMost is true where the value must not exceed the bound, and false
		// where it must not fall below it.
		AtMost bool
	}

	flood struct {
		name      string
		flooding  [2]bool
		oneCaller bool
	}

	policy struct {
		name string
		make func() balsampier.Admitter
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
		{"weightedFair", func() balsampier.Admitter { return admit.New(floodSlots, floodDepth) }},
		{"baselineFIFO", func() balsampier.Admitter { return newPlainQueue(floodSlots, floodDepth, false) }},
		{"baselineStrict", func() balsampier.Admitter { return newPlainQueue(floodSlots, floodDepth, true) }},
	}
)

// OK reports whether the value keeps its bound.
func (m Measure) OK() bool {
	if m.Bound == nil {
		return true
	}
	if m.AtMost {
		return m.Value <= *m.Bound
	}
	return m.Value >= *m.Bound
}

// String returns the measure as one line.
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

// Run writes one line for each measure; of floods it writes the worst one of
// each policy and server.
func Run(w io.Writer, seed uint64) error {
	for _, m := range append(Claims(seed, FleetSeeds), compact(Floods(seed, floodSeeds))...) {
		if _, err := fmt.Fprintln(w, m); err != nil {
			return trace.Wrap(err, "write measure %s", m.Name)
		}
	}
	return Costs(w)
}

// Claims runs fleets under faults with n seeds from the given one on.
func Claims(seed uint64, n int) []Measure {
	var stats FleetStats
	twice, ran, stuck := 0, 0, 0
	for i := range uint64(n) {
		f := NewFleet(rand.New(rand.NewPCG(seed, i)))
		for range FleetSteps {
			f.Step()
		}
		if !f.ServesAfterHeal() {
			stuck++
		}
		for _, s := range f.Violations {
			if strings.Contains(s, "times") {
				twice++
			} else {
				ran++
			}
		}
		stats.Add(f.Stats)
	}
	zero := 0.0
	return []Measure{
		{Name: "claims/requestsRunTwice", Value: float64(twice), Bound: &zero, AtMost: true},
		{Name: "claims/notRunThatRanOrCrossedAnswer", Value: float64(ran), Bound: &zero, AtMost: true},
		{Name: "claims/fleetsNotServingAfterHeal", Value: float64(stuck), Bound: &zero, AtMost: true},
		{Name: "claims/seeds", Value: float64(n)},
		{Name: "claims/runs", Value: float64(stats.Runs)},
		{Name: "claims/epochs", Value: float64(stats.Epochs)},
		{Name: "claims/deaths", Value: float64(stats.Deaths)},
		{Name: "claims/cuts", Value: float64(stats.Cuts)},
		{Name: "claims/freezes", Value: float64(stats.Freezes)},
		{Name: "claims/refusedNotRun", Value: float64(stats.NotRun)},
		{Name: "claims/refusedUnknown", Value: float64(stats.Unknown)},
		{Name: "claims/refusedFull", Value: float64(stats.Full)},
		{Name: "claims/metAnotherClaim", Value: float64(stats.Held)},
		{Name: "claims/storedAnswers", Value: float64(stats.Stored)},
	}
}

// Floods runs every flood at every kind of server, and the baselines at the
// steady one, each with n seeds.
func Floods(seed uint64, n int) []Measure {
	var out []Measure
	for i, p := range policies {
		for k := serverSteady; k <= serverSlow; k++ {
			if i == 0 || k == serverSteady {
				out = append(out, floodsAt(p, k, floods, seed, n, i == 0)...)
			}
		}
	}
	return out
}

// floodsAt runs the floods at one kind of server, and the same usual work
// without a flood.
func floodsAt(p policy, k serverKind, fs []flood, seed uint64, n int, bounded bool) []Measure {
	var out []Measure
	usual := sum(p, Scenario{Server: k}, seed, n)
	for _, f := range fs {
		s := sum(p, Scenario{Server: k, Flooding: f.flooding, OneCaller: f.oneCaller}, seed, n)
		prefix := fmt.Sprintf("flood/%s/%s/%s/", p.name, serverNames[k], f.name)
		ms := []Measure{
			{Name: prefix + "otherNormal", Value: ratio(s.Done[0], usual.Done[0]), Bound: bound(floodBound)},
			{Name: prefix + "otherUrgent", Value: ratio(s.Done[1], usual.Done[1]), Bound: bound(floodBound)},
			{Name: prefix + "longestSecondsWithoutUrgent", Value: float64(s.Gap[1]), Bound: bound(floodDeadline.Seconds()), AtMost: true},
			{Name: prefix + "queued", Value: float64(s.MaxQueued), Bound: bound(2 * floodDepth), AtMost: true},
			{Name: prefix + "running", Value: float64(s.MaxRunning), Bound: bound(floodSlots), AtMost: true},
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

func sum(p policy, s Scenario, seed uint64, n int) Served {
	var out Served
	for i := range uint64(n) {
		s.Seed = seed + i
		r := Flood(s, p.make(), admit.DefaultSettings().Weights)
		for c := range r.Done {
			out.Offered[c] += r.Offered[c]
			out.Done[c] += r.Done[c]
			out.Gap[c] = max(out.Gap[c], r.Gap[c])
		}
		out.Late += r.Late
		out.MaxQueued = max(out.MaxQueued, r.MaxQueued)
		out.MaxRunning = max(out.MaxRunning, r.MaxRunning)
	}
	return out
}

func ratio(a, b int) float64 { return float64(a) / float64(max(b, 1)) }

func bound(v float64) *float64 { return &v }
