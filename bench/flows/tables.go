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
	// memoryBound and rebuildBound are what a daemon of control may use: bytes
	// of memory, and 0.034 seconds of processor time per second, shared by at
	// most four changes per second.
	memoryBound  = 64 << 20
	rebuildBound = 0.034 / 4
)

// tableSizes are numbers of agents and of the services that they are spread
// over.
var tableSizes = []struct{ agents, services int }{{30, 10}, {1_300, 470}, {4_000, 1_446}, {13_000, 4_700}}

// printTables prints the memory of a steering table and the time to build it,
// to rebuild it after one member left, and to decide about one packet.
func printTables(w io.Writer) error {
	r := measure.New(w)
	k := clock.System{}
	for _, z := range tableSizes {
		rules, v := allRules(z.services), newView(z.agents, z.services)
		before := measure.MemoryBytes()
		t := steer.New(rules, v)
		r.SizedAtMost("steering.table.bytes", z.agents, measure.MemoryBytes()-before, memoryBound)
		smallerView := v
		smallerView.Epoch++
		smallerView.Members = smallerView.Members[1:]
		d := measure.MinDuration(k, tableRepeats, func() { steer.New(rules, v) })
		r.Sized("steering.new.seconds", z.agents, d.Seconds())
		d = measure.MinDuration(k, tableRepeats, func() { t.Next(rules, smallerView) })
		r.SizedAtMost("steering.next.seconds", z.agents, d.Seconds(), rebuildBound)
		r.Sized("steering.decision.seconds", z.agents, measureSteering(z.agents, z.services).Seconds())
		runtime.KeepAlive(t)
	}
	r.PrintSlopes("Agent")
	return r.Err()
}
