package flows

import (
	"io"
	"runtime"

	"github.com/balsampier/balsampier/bench/measure"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/query/steer"
)

const (
	tableRepeats = 5
	// memoryBound and rebuildBound are those of a daemon for control: bytes,
	// and seconds of processor time for each of at most four changes a second.
	memoryBound  = 64 << 20
	rebuildBound = 0.034 / 4
)

// tableSizes are agents with the services that they are spread over.
var tableSizes = []struct{ agents, services int }{{30, 10}, {1_300, 470}, {4_000, 1_446}, {13_000, 4_700}}

// printTables prints what a steering table costs in memory and to rebuild.
func printTables(w io.Writer) error {
	r := measure.New(w)
	k := clock.System{}
	for _, z := range tableSizes {
		rules, v := allRules(z.services), fleet(z.agents, z.services)
		before := measure.MemoryBytes()
		t := steer.New(rules, v)
		r.SizedAtMost("steering.table.bytes", z.agents, measure.MemoryBytes()-before, memoryBound)
		least := v
		least.Epoch++
		least.Members = least.Members[1:]
		d := measure.MinDuration(k, tableRepeats, func() { steer.New(rules, v) })
		r.Sized("steering.new.seconds", z.agents, d.Seconds())
		d = measure.MinDuration(k, tableRepeats, func() { t.Next(rules, least) })
		r.SizedAtMost("steering.next.seconds", z.agents, d.Seconds(), rebuildBound)
		r.Sized("steering.decision.seconds", z.agents, steering(z.agents, z.services).Seconds())
		runtime.KeepAlive(t)
	}
	r.PrintSlopes("Agent")
	return r.Err()
}
