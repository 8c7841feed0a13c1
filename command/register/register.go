// Package register tracks which agent holds each flow. A holder registers its
// flows with their homes, and a home stores the holder of each flow. The holder
// is the source of truth: it registers its flows again after each change of the
// homes, so that registrations survive any number of changes.
package register

import (
	"github.com/balsampier/balsampier"
)

type (
	// Entry is a change to the registration of one flow.
	Entry struct {
		// Flow is the key of the flow.
		Flow balsampier.FlowKey
		// Ended is true if the flow has ended.
		Ended bool
		// Moved is true if the flow has another home from the batch's epoch on.
		Moved bool
	}

	// Batch carries registration changes from one holder to one home.
	Batch struct {
		// From is the holder of all flows in the batch.
		From balsampier.Holder
		// To is the run of the home. Other runs reject the batch.
		To balsampier.Holder
		// Sequence numbers the batches from From to To, starting at 1.
		Sequence uint64
		// Epoch is the view epoch by which the home was chosen.
		Epoch balsampier.Epoch
		// Entries holds up to MaxBatch changes.
		Entries []Entry
	}

	// Ack acknowledges a Batch.
	Ack struct {
		// From is the home that applied the batch.
		From balsampier.Holder
		// To is the holder that sent the batch.
		To balsampier.Holder
		// Sequence is the sequence number of the batch.
		Sequence uint64
		// Conflicts lists the flows that another live agent has registered.
		Conflicts []balsampier.FlowKey
	}
)

// MaxBatch is the maximum number of entries in a batch, chosen so that a batch
// fits into a datagram.
const MaxBatch = 32
