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
	// registeredHolders is how many agents of the service have the flows.
	registeredHolders = 100
	registerBatch     = 1_000
)

// flowCounts stay below the default limit of a directory.
var flowCounts = []int{10_000, 30_000, 100_000, 200_000}

// printDirectories prints what a home's memory of flows costs.
func printDirectories(w io.Writer) error {
	r := measure.New(w)
	for _, n := range flowCounts {
		if err := directory(r, n); err != nil {
			return trace.Wrap(err, "register %d flows", n)
		}
	}
	r.PrintSlopes("Flow")
	return r.Err()
}

func directory(r *measure.Report, flows int) error {
	self := balsampier.Holder{Instance: 1, Incarnation: 1}
	k := clock.System{}
	before := measure.MemoryBytes()
	d := register.NewDirectory(self, register.DefaultSettings())
	t := k.Now()
	for i := 0; i < flows; i += registerBatch {
		h := balsampier.Holder{Instance: balsampier.InstanceID(2 + i/registerBatch%registeredHolders), Incarnation: 1}
		b := register.Batch{From: h, To: self, Epoch: 1, Sequence: uint64(i + 1)}
		for j := range registerBatch {
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
		return trace.BadParameter("%d flows are registered, not %d", d.Len(), flows)
	}
	return nil
}

func flowKey(i int) balsampier.FlowKey {
	var id [8]byte
	for j := range id {
		id[j] = byte(i >> (8 * j))
	}
	c := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, 1}), 1000)
	return balsampier.NewFlowKey(c, serviceAddr(1), id[:])
}
