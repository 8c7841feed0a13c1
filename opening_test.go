package balsampier_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
)

// TestOpening checks which packets count as copies of an opening packet, or as
// packets of its flow, also where sequence numbers wrap.
func TestOpening(t *testing.T) {
	const last = 1<<32 - 1
	start := time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)
	opening := func(sequence, retransmissions uint32) balsampier.Segment {
		return balsampier.Segment{Opening: true, Sequence: sequence, Retransmissions: retransmissions}
	}
	later := func(sequence uint32) balsampier.Segment { return balsampier.Segment{Ack: true, Sequence: sequence} }
	tests := []struct {
		name          string
		first, second balsampier.Segment
		after         time.Duration
		// copies and seen are the results for an opening packet, precedes that for
		// any other.
		copies, seen, precedes bool
	}{
		{"a copy", opening(7, 0), opening(7, 1), 200 * time.Millisecond, true, false, false},
		{"the first packet comes after its copy", opening(7, 1), opening(7, 0), time.Second, true, false, false},
		{"the same number again", opening(7, 0), opening(7, 0), time.Second, true, true, false},
		{"too late", opening(7, 0), opening(7, 1), 4 * time.Second, false, false, false},
		{"another number", opening(7, 0), opening(8, 1), time.Second, false, false, false},
		{"a number before", opening(7, 0), opening(6, 1), time.Second, false, false, false},
		{"a copy of a flow known by a later packet", later(5000), opening(4000, 1), time.Second, true, false, false},
		{"the same, numbers wrap", later(20), opening(last-1000, 2), time.Second, true, false, false},
		{"another flow than the one known by a later packet", later(5000), opening(5001, 0), time.Second, false, false, false},
		{"the first packet after the opening", opening(7, 0), later(8), time.Second, false, false, true},
		{"the same, numbers wrap", opening(last, 0), later(0), time.Second, false, false, true},
		{"a packet of another flow", opening(7, 0), later(1 << 30), time.Second, false, false, false},
		{"a packet of another flow, a lower number", opening(7, 0), later(6), time.Second, false, false, false},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			o := balsampier.NewOpening(v.first, start)
			if !v.second.Opening {
				c.Assert(o.MayPrecede(v.second), qt.Equals, v.precedes)
				return
			}
			c.Assert(o.IsCopy(v.second, start.Add(v.after)), qt.Equals, v.copies)
			c.Assert(o.HasSeen(v.second), qt.Equals, v.seen)
			o.RecordCopy(v.second)
			c.Assert(o.HasSeen(v.second), qt.IsTrue)
		})
	}
	var none balsampier.Opening
	qt.Assert(t, none.IsCopy(opening(0, 0), start), qt.IsFalse)
}
