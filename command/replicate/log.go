package replicate

import "github.com/balsampier/balsampier"

type (
	// entryLog is the part of the replicated log that is held in memory.
	entryLog struct {
		// snapshot is the newest snapshot. Its index is base or higher.
		snapshot balsampier.Snapshot
		// base is the index of the entry before entries[0].
		base     balsampier.Index
		baseTerm balsampier.Term
		// entries have consecutive indexes, starting at base+1.
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

// termAt returns the term of the entry at index i. ok is false if the entry is
// below base or above the last index.
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

// batch returns up to maxEntries entries starting at index i, with at most size
// bytes of data in total. It always includes the first entry, even if that is
// larger.
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

// entriesBetween returns the entries with indexes in (i, j].
func (l *entryLog) entriesBetween(i, j balsampier.Index) []balsampier.Entry {
	return append([]balsampier.Entry(nil), l.entries[i-l.base:j-l.base]...)
}

// overwriteFrom replaces all entries from es[0].Index on by es. It allocates a
// new backing array, so that slices returned earlier stay unchanged.
func (l *entryLog) overwriteFrom(es []balsampier.Entry) {
	keep := es[0].Index - l.base - 1
	l.entries = append(l.entries[:keep:keep], es...)
}

func (l *entryLog) appendEntry(e balsampier.Entry) {
	l.entries = append(l.entries, e)
}

// replicaSetAt returns the replica set in effect at index i and the index of
// the entry that set it.
func (l *entryLog) replicaSetAt(i balsampier.Index) (balsampier.ReplicaSet, balsampier.Index) {
	for j := min(i, l.lastIndex()); j > l.snapshot.Index; j-- {
		if e := l.entries[j-l.base-1]; e.Kind == balsampier.EntryMembership {
			return e.Set, j
		}
	}
	return l.snapshot.Set, l.snapshot.Index
}

// compact replaces the snapshot by s, which must cover applied entries only.
// The last keep entries up to s.Index stay in memory, so that slightly lagging
// followers need no snapshot.
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

// reset replaces the whole log by snapshot s.
func (l *entryLog) reset(s balsampier.Snapshot) {
	*l = entryLog{snapshot: s, base: s.Index, baseTerm: s.Term}
}
