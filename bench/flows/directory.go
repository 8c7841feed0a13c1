package flows

import (
	"io"
	"net/netip"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/bench/measure"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/command/register"
)

const (
	// holderCount is how many agents of the service hold the flows.
	holderCount = 100
	batchFlows  = 1_000
)

// flowCounts are the sizes at which a directory is measured. They stay below
// its default limit.
var flowCounts = []int{10_000, 30_000, 100_000, 200_000}

// printDirectories prints the memory that the flow directory of a home takes
// and the time to register its flows and to adopt a view.
func printDirectories(w io.Writer) error {
	r := measure.New(w)
	for _, n := range flowCounts {
		if err := measureDirectory(r, n); err != nil {
			return trace.Wrap(err, "measure a directory of %d flows", n)
		}
	}
	r.PrintSlopes("Flow")
	return r.Err()
}

func measureDirectory(r *measure.Report, flows int) error {
	self := balsampier.Holder{Instance: 1, Incarnation: 1}
	k := clock.System{}
	before := measure.MemoryBytes()
	d := register.NewDirectory(self, register.DefaultSettings())
	t := k.Now()
	for i := 0; i < flows; i += batchFlows {
		h := balsampier.Holder{Instance: balsampier.InstanceID(2 + i/batchFlows%holderCount), Incarnation: 1}
		b := register.Batch{From: h, To: self, Epoch: 1, Sequence: uint64(i + 1)}
		for j := range batchFlows {
			b.Entries = append(b.Entries, register.Entry{Flow: flowKey(i + j)})
		}
		if _, err := d.Apply(b); err != nil {
			return trace.Wrap(err)
		}
	}
	r.Sized("directory.register.seconds", flows, k.Now().Sub(t).Seconds())
	r.Sized("directory.memory.bytes", flows, measure.MemoryBytes()-before)
	alive := func(balsampier.Holder) bool { return true }
	e := balsampier.Epoch(1)
	took := measure.MinDuration(k, tableRepeats, func() {
		e++
		d.Adopt(e, alive)
	})
	r.Sized("directory.adopt.seconds", flows, took.Seconds())
	if d.Len() != flows {
		return trace.BadParameter("directory has %d flows instead of %d", d.Len(), flows)
	}
	return nil
}

// flowKey returns the key of the i-th flow, which differs from the others only
// in its connection ID.
func flowKey(i int) balsampier.FlowKey {
	var id [8]byte
	for j := range id {
		id[j] = byte(i >> (8 * j))
	}
	c := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, 1}), 1000)
	return balsampier.NewFlowKey(c, serviceAddr(1), id[:])
}
