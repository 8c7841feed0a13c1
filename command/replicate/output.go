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
		// seq numbers the newest work handed out; done the newest finished.
		seq, done uint64
		// hard, snapshot and reset tell what the next work holds.
		hard, snapshot, reset bool
		// unsaved is the first index that the next work holds.
		unsaved balsampier.Index
		// entries is true while those from unsaved on wait for a work.
		entries bool
		// restored is true until the snapshot was handed out to restore from.
		restored bool
		ready    []Message
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
	n.release()
	n.flush()
	o := Output{DiskBatch: n.takeWork()}
	o.Messages, n.out.ready = n.out.ready, nil
	o.Reads, n.out.reads = n.out.reads, nil
	if n.out.restored {
		s := n.log.snapshot
		o.Restore, n.out.restored = &s, false
	}
	if n.commit > n.applied {
		o.Committed = n.log.upTo(n.applied, n.commit)
		n.applied = n.commit
	}
	o.SnapshotDue = n.applied-n.log.snapshot.Index >= balsampier.Index(n.g.SnapshotThreshold)
	return o
}

// ConfirmSave reports that the work with the given number and all before it
// last.
func (n *Node) ConfirmSave(seq uint64) {
	n.out.done = max(n.out.done, seq)
	n.release()
}

// Compact hands in the applied state after the entry at i.
func (n *Node) Compact(i balsampier.Index, data []byte) {
	if i <= n.log.snapshot.Index || i > n.applied {
		return
	}
	s, _ := n.log.setAt(i)
	t, _ := n.log.term(i)
	n.log.compact(balsampier.Snapshot{Index: i, Term: t, Set: s, Data: data}, n.g.RetainedEntries)
	n.refreshSet()
	n.out.snapshot = true
}

func (n *Node) setHard(h balsampier.HardState) {
	n.hard, n.out.hard = h, true
}

// send lets appends of a leader leave at once. Everything else may promise
// something, and waits until all that was changed before it lasts.
func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	seq := n.out.needed()
	if m.Kind == MessageAppend || m.Kind == MessageInstallSnapshot {
		seq = 0
	}
	if seq <= n.out.done && m.To != n.id {
		n.out.ready = append(n.out.ready, m)
		return
	}
	n.out.held = append(n.out.held, heldMessage{seq: seq, m: m})
}

// release sends what no longer waits, and takes in what is for the node
// itself.
func (n *Node) release() {
	for len(n.out.held) > 0 && n.out.held[0].seq <= n.out.done {
		m := n.out.held[0].m
		n.out.held = n.out.held[1:]
		if m.To == n.id {
			n.Step(m)
			continue
		}
		n.out.ready = append(n.out.ready, m)
	}
}

func (n *Node) takeWork() *balsampier.LogBatch {
	b := &n.out
	if !b.dirty() || b.done < b.seq {
		return nil
	}
	b.seq++
	w := &balsampier.LogBatch{Seq: b.seq, Reset: b.reset}
	if b.hard {
		h := n.hard
		w.Hard = &h
	}
	if b.snapshot {
		s := n.log.snapshot
		w.Snapshot = &s
	}
	first := max(b.unsaved, n.log.snapshot.Index+1)
	if b.entries && first <= n.log.last() {
		w.Entries = n.log.upTo(first-1, n.log.last())
	}
	b.hard, b.snapshot, b.reset, b.entries = false, false, false, false
	return w
}

func (b *outbox) dirty() bool { return b.hard || b.snapshot || b.entries }

// needed is the work after which all changes up to now last.
func (b *outbox) needed() uint64 {
	if b.dirty() {
		return b.seq + 1
	}
	return b.seq
}

// changed notes that the entries from i on must be saved.
func (b *outbox) changed(i balsampier.Index) {
	if !b.entries || i < b.unsaved {
		b.unsaved = i
	}
	b.entries = true
}

// installed notes that the log was replaced by s.
func (b *outbox) installed(s balsampier.Snapshot) {
	b.snapshot, b.reset, b.restored = true, true, s.Index > firstIndex
	b.entries, b.unsaved = false, s.Index+1
}
