package replicate

import "github.com/balsampier/balsampier"

type (
	// Output is what the caller must do, in any order but that of the fields
	// Restore and Committed.
	Output struct {
		// Messages may leave at once.
		Messages []Message
		// DiskBatch is to be saved and then reported by DiskDone; nil while there
		// is none or an earlier one is not done.
		DiskBatch *balsampier.LogBatch
		// Restore replaces the applied state; nil when it stays.
		Restore *balsampier.Snapshot
		// Committed entries are to be applied in order.
		Committed []balsampier.Entry
		// Reads may be answered once their index is applied.
		Reads []ReadResponse
		// SnapshotDue asks for Compact with the state after Committed.
		SnapshotDue bool
	}

	// outbox collects what goes out, and holds back what waits for the disk.
	outbox struct {
		// batchSeq numbers the newest work handed out; savedSeq the newest finished.
		batchSeq, savedSeq uint64
		// hardChanged, snapshotChanged and reset tell what the next work holds.
		hardChanged, snapshotChanged, reset bool
		// firstUnsaved is the first index that the next work holds.
		firstUnsaved balsampier.Index
		// entriesChanged is true while those from unsaved on wait for a work.
		entriesChanged bool
		// restorePending is true until the snapshot was handed out to restore from.
		restorePending bool
		ready          []Message
		// held are in order of their seq.
		held  []heldMessage
		reads []ReadResponse
	}

	heldMessage struct {
		// seq is the work that must be done first.
		seq uint64
		m   Message
	}
)

// DrainOutput returns what is to be done now. Call it after each input.
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

// ConfirmSave reports that the work with the given number and all before it
// last.
func (n *Node) ConfirmSave(seq uint64) {
	n.out.savedSeq = max(n.out.savedSeq, seq)
	n.releaseHeld()
}

// Compact hands in the applied state after the entry at i.
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

// send lets appends of a leader leave at once. Everything else may promise
// something, and waits until all that was changed before it lasts.
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

// releaseHeld sends what no longer waits, and takes in what is for the node
// itself.
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
	first := max(b.firstUnsaved, n.log.snapshot.Index+1)
	if b.entriesChanged && first <= n.log.lastIndex() {
		w.Entries = n.log.entriesBetween(first-1, n.log.lastIndex())
	}
	b.hardChanged, b.snapshotChanged, b.reset, b.entriesChanged = false, false, false, false
	return w
}

func (b *outbox) hasChanges() bool { return b.hardChanged || b.snapshotChanged || b.entriesChanged }

// requiredSeq is the work after which all changes up to now last.
func (b *outbox) requiredSeq() uint64 {
	if b.hasChanges() {
		return b.batchSeq + 1
	}
	return b.batchSeq
}

// markEntriesChanged notes that the entries from i on must be saved.
func (b *outbox) markEntriesChanged(i balsampier.Index) {
	if !b.entriesChanged || i < b.firstUnsaved {
		b.firstUnsaved = i
	}
	b.entriesChanged = true
}

// markSnapshotInstalled notes that the log was replaced by s.
func (b *outbox) markSnapshotInstalled(s balsampier.Snapshot) {
	b.snapshotChanged, b.reset, b.restorePending = true, true, s.Index > firstIndex
	b.entriesChanged, b.firstUnsaved = false, s.Index+1
}
