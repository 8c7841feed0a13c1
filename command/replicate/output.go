package replicate

import "github.com/balsampier/balsampier"

type (
	// Output lists the actions that the caller must perform. Their order is
	// free, except that Restore comes before Committed.
	Output struct {
		// Messages can be sent immediately.
		Messages []Message
		// DiskBatch must be saved and then reported with ConfirmSave. It is nil
		// if there is nothing to save or the previous batch is not confirmed
		// yet.
		DiskBatch *balsampier.LogBatch
		// Restore replaces the applied state; nil if the state is unchanged.
		Restore *balsampier.Snapshot
		// Committed entries must be applied in order.
		Committed []balsampier.Entry
		// Reads can be answered once their index is applied.
		Reads []ReadResponse
		// SnapshotDue requests a call of Compact with the state after
		// Committed.
		SnapshotDue bool
	}

	// outbox collects outgoing messages and changes, and holds back messages
	// until the changes that they depend on are durable.
	outbox struct {
		// batchSeq is the sequence number of the newest batch, savedSeq that of
		// the newest saved one.
		batchSeq, savedSeq uint64
		// hardChanged, snapshotChanged and reset describe the next batch.
		hardChanged, snapshotChanged, reset bool
		// bootstrapChanged is true while the state of the bootstrap rounds is
		// not part of a batch.
		bootstrapChanged bool
		// firstUnsaved is the index of the first entry in the next batch.
		firstUnsaved balsampier.Index
		// entriesChanged is true while the entries from firstUnsaved on are not
		// part of a batch.
		entriesChanged bool
		// restorePending is true until the snapshot has been output as Restore.
		restorePending bool
		ready          []Message
		// held is in order of seq.
		held  []heldMessage
		reads []ReadResponse
	}

	heldMessage struct {
		// seq is the batch that must be saved before m is sent.
		seq uint64
		m   Message
	}
)

// DrainOutput returns and clears the pending actions. Call it after each input.
func (n *Node) DrainOutput() Output {
	n.releaseHeld()
	n.sendPending()
	o := Output{DiskBatch: n.nextBatch()}
	o.Messages, n.out.ready = n.out.ready, nil
	o.Reads, n.out.reads = n.out.reads, nil
	if n.out.restorePending {
		s := n.log.snapshot
		o.Restore, n.out.restorePending = &s, false
	}
	if n.commit > n.applied {
		o.Committed = n.log.entriesBetween(n.applied, n.commit)
		n.applied = n.commit
	}
	o.SnapshotDue = n.applied-n.log.snapshot.Index >= balsampier.Index(n.g.SnapshotThreshold)
	return o
}

// ConfirmSave reports that all batches up to seq are durable.
func (n *Node) ConfirmSave(seq uint64) {
	n.out.savedSeq = max(n.out.savedSeq, seq)
	n.releaseHeld()
}

// Compact stores data, the applied state as of index i, as the new snapshot.
func (n *Node) Compact(i balsampier.Index, data []byte) {
	if i <= n.log.snapshot.Index || i > n.applied {
		return
	}
	s, _ := n.log.replicaSetAt(i)
	t, _ := n.log.termAt(i)
	n.log.compact(balsampier.Snapshot{Index: i, Term: t, Set: s, Data: data}, n.g.RetainedEntries)
	n.updateSet()
	n.out.snapshotChanged = true
}

func (n *Node) setHardState(h balsampier.HardState) {
	n.hard, n.out.hardChanged = h, true
}

// send queues a message. A leader's appends and snapshots are sent at once; all
// others may depend on unsaved state and are held until it is durable.
func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	seq := n.out.requiredSeq()
	if m.Kind == MessageAppend || m.Kind == MessageInstallSnapshot {
		seq = 0
	}
	if seq <= n.out.savedSeq && m.To != n.id {
		n.out.ready = append(n.out.ready, m)
		return
	}
	n.out.held = append(n.out.held, heldMessage{seq: seq, m: m})
}

// releaseHeld queues the held messages whose batch is durable for sending, and
// handles those addressed to the node itself.
func (n *Node) releaseHeld() {
	for len(n.out.held) > 0 && n.out.held[0].seq <= n.out.savedSeq {
		m := n.out.held[0].m
		n.out.held = n.out.held[1:]
		if m.To == n.id {
			n.Step(m)
			continue
		}
		n.out.ready = append(n.out.ready, m)
	}
}

// nextBatch returns the unsaved changes as a batch; nil if there are none or
// the previous batch is not saved yet.
func (n *Node) nextBatch() *balsampier.LogBatch {
	b := &n.out
	if !b.hasChanges() || b.savedSeq < b.batchSeq {
		return nil
	}
	b.batchSeq++
	w := &balsampier.LogBatch{Seq: b.batchSeq, Reset: b.reset}
	if b.hardChanged {
		h := n.hard
		w.Hard = &h
	}
	if b.snapshotChanged {
		s := n.log.snapshot
		w.Snapshot = &s
	}
	if b.bootstrapChanged {
		s := n.rounds.state
		w.Bootstrap = &s
	}
	first := max(b.firstUnsaved, n.log.snapshot.Index+1)
	if b.entriesChanged && first <= n.log.lastIndex() {
		w.Entries = n.log.entriesBetween(first-1, n.log.lastIndex())
	}
	b.hardChanged, b.snapshotChanged, b.reset, b.entriesChanged, b.bootstrapChanged = false, false, false, false, false
	return w
}

func (b *outbox) hasChanges() bool {
	return b.hardChanged || b.snapshotChanged || b.entriesChanged || b.bootstrapChanged
}

// requiredSeq returns the batch that makes all changes so far durable.
func (b *outbox) requiredSeq() uint64 {
	if b.hasChanges() {
		return b.batchSeq + 1
	}
	return b.batchSeq
}

// markEntriesChanged records that the entries from i on must be saved.
func (b *outbox) markEntriesChanged(i balsampier.Index) {
	if !b.entriesChanged || i < b.firstUnsaved {
		b.firstUnsaved = i
	}
	b.entriesChanged = true
}

// markSnapshotInstalled records that the log was replaced by s. The first
// replica set carries no state to restore.
func (b *outbox) markSnapshotInstalled(s balsampier.Snapshot) {
	b.snapshotChanged, b.reset, b.restorePending = true, true, s.Index > firstIndex
	b.entriesChanged, b.firstUnsaved = false, s.Index+1
}
