package replicate

import "github.com/balsampier/balsampier"

type (
	// entryLog is the part of the log that is kept in memory.
	entryLog struct {
		// snapshot covers at least all entries up to base.
		snapshot balsampier.Snapshot
		// base is the index before the first of entries.
		base     balsampier.Index
		baseTerm balsampier.Term
		// entries have consecutive indexes from base+1.
		entries []balsampier.Entry
	}
)

func newEntryLog(s balsampier.StoredLog) entryLog {
	return entryLog{
		snapshot: s.Snapshot,
		base:     s.Snapshot.Index,
		baseTerm: s.Snapshot.Term,
		entries:  append([]balsampier.Entry(nil), s.Entries...),
	}
}

func (l *entryLog) lastIndex() balsampier.Index {
	return l.base + balsampier.Index(len(l.entries))
}

// termAt returns the termAt of the entry at i; ok is false where it is not known.
func (l *entryLog) termAt(i balsampier.Index) (t balsampier.Term, ok bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.lastIndex():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *entryLog) lastTerm() balsampier.Term {
	t, _ := l.termAt(l.lastIndex())
	return t
}

// batch returns up to max entries from index i on, of at most size bytes
// unless the first alone is larger.
func (l *entryLog) batch(i balsampier.Index, maxEntries, size int) []balsampier.Entry {
	es := l.entries[i-l.base-1:]
	k, b := 0, 0
	for k < len(es) && k < maxEntries {
		b += len(es[k].Data)
		if k > 0 && b > size {
			break
		}
		k++
	}
	return es[:k:k]
}

// entriesBetween returns the entries in (i, j].
func (l *entryLog) entriesBetween(i, j balsampier.Index) []balsampier.Entry {
	return append([]balsampier.Entry(nil), l.entries[i-l.base:j-l.base]...)
}

// overwriteFrom replaces everything from the first entry on. The backing array is not
// shared with slices handed out before.
func (l *entryLog) overwriteFrom(es []balsampier.Entry) {
	keep := es[0].Index - l.base - 1
	l.entries = append(l.entries[:keep:keep], es...)
}

func (l *entryLog) appendEntry(e balsampier.Entry) {
	l.entries = append(l.entries, e)
}

// replicaSetAt returns the replica set as of index i and the index that set it.
func (l *entryLog) replicaSetAt(i balsampier.Index) (balsampier.ReplicaSet, balsampier.Index) {
	for j := min(i, l.lastIndex()); j > l.snapshot.Index; j-- {
		if e := l.entries[j-l.base-1]; e.Kind == balsampier.EntryMembership {
			return e.Set, j
		}
	}
	return l.snapshot.Set, l.snapshot.Index
}

// compact takes s, which covers applied entries, and keeps the last keep of
// them for followers that lag a little.
func (l *entryLog) compact(s balsampier.Snapshot, keep int) {
	l.snapshot = s
	cut := balsampier.Index(0)
	if s.Index > balsampier.Index(keep) {
		cut = s.Index - balsampier.Index(keep)
	}
	if cut <= l.base {
		return
	}
	t, _ := l.termAt(cut)
	l.entries = append([]balsampier.Entry(nil), l.entries[cut-l.base:]...)
	l.base, l.baseTerm = cut, t
}

// reset replaces the whole log by s.
func (l *entryLog) reset(s balsampier.Snapshot) {
	*l = entryLog{snapshot: s, base: s.Index, baseTerm: s.Term}
}
