// Package register keeps flows findable. A holder registers its flows with
// their homes; a home remembers which agent has which flow. The holder is the
// source of truth, so that registrations survive any number of changes.
package register

import (
	"github.com/balsampier/balsampier"
)

type (
	// Entry is one change of a registration.
	Entry struct {
		// Flow is the flow.
		Flow balsampier.FlowKey
		// Ended is true when the flow ended.
		Ended bool
		// Moved is true when the flow has another home from the batch's epoch
		// on.
		Moved bool
	}

	// Batch carries the changes of one holder to one home.
	Batch struct {
		// From is the holder of all entries.
		From balsampier.Holder
		// To is the home; other runs ignore the batch.
		To balsampier.Holder
		// Sequence grows by one for each batch from From to To, from 1.
		Sequence uint64
		// Epoch is the view epoch behind the choice of the home.
		Epoch balsampier.Epoch
		// Entries are at most MaxBatch.
		Entries []Entry
	}

	// Ack acknowledges a batch.
	Ack struct {
		// From is the home.
		From balsampier.Holder
		// To is the holder.
		To balsampier.Holder
		// Sequence is that of the batch.
		Sequence uint64
		// Conflicts are flows that another live agent has registered.
		Conflicts []balsampier.FlowKey
	}
)

// MaxBatch bounds the entries of a batch, so that it fits into a datagram.
const MaxBatch = 32
