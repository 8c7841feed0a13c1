// Package control measures what membership, rules and their roll-out cost in
// bytes, time and processor time, against the number of members.
package control

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

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

type (
	// bench prints measures and remembers those that are fitted.
	bench struct {
		w      io.Writer
		random *rand.Rand
		// points hold the values of each measure against the number of
		// agents, in the order of sizes.
		points map[string][]point
		// names are the keys of points in the order of their first value.
		names []string
		err   error
	}

	point struct{ x, y float64 }
)

// Run prints one line for each measure. Bounds are those of the largest size
// at all sizes.
func Run(w io.Writer, seed uint64) error {
	b := &bench{w: w, random: newRandom(seed), points: make(map[string][]point)}
	for _, n := range sizes {
		f := newFleet(n, b.random)
		b.snapshots(f)
		b.renewals(f)
		b.rules(f)
		b.steady(f)
		b.lost(f)
		b.costs(f)
	}
	b.slopes()
	return trace.Wrap(b.err)
}

// print prints a measure that must not exceed its bound.
func (b *bench) print(name string, value, bound float64) {
	if b.err == nil {
		_, b.err = fmt.Fprintf(b.w, "measure=%s value=%.6g bound=%.6g ok=%t\n", name, value, bound, value <= bound)
	}
}

// at prints a measure of a fleet with n agents.
func (b *bench) at(name string, n int, value, bound float64) {
	b.print(fmt.Sprintf("control.%s.%d", name, n), value, bound)
	b.remember(name, n, value)
}

// figure prints a value for which there is no bound.
func (b *bench) figure(name string, n int, value float64) {
	if b.err == nil {
		_, b.err = fmt.Fprintf(b.w, "figure=control.%s.%d value=%.6g\n", name, n, value)
	}
	b.remember(name, n, value)
}

func (b *bench) remember(name string, n int, value float64) {
	if _, ok := b.points[name]; !ok {
		b.names = append(b.names, name)
	}
	b.points[name] = append(b.points[name], point{x: float64(n), y: value})
}

// slopes prints by how much each measure grows with one agent.
func (b *bench) slopes() {
	for _, n := range b.names {
		s, base := fit(b.points[n])
		if b.err == nil {
			_, b.err = fmt.Fprintf(b.w, "slope=control.%s perAgent=%.6g base=%.6g\n", n, s, base)
		}
	}
}

// fit returns the least-squares line through the points.
func fit(ps []point) (slope, base float64) {
	var x, y, xx, xy float64
	n := float64(len(ps))
	for _, p := range ps {
		x, y, xx, xy = x+p.x, y+p.y, xx+p.x*p.x, xy+p.x*p.y
	}
	slope = (n*xy - x*y) / (n*xx - x*x)
	return slope, (y - slope*x) / n
}

func seconds(d time.Duration) float64 { return d.Seconds() }

// budgetTime returns how long n bytes take at the rate of a publisher.
func budgetTime(n int) float64 {
	return float64(n) / (members.DefaultBudget * 7 / 8)
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
