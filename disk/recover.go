package disk

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/balsampier/balsampier"
)

// initialRecords is the number of records in a newly created segment.
const initialRecords = 2

// load reads the folder, or initializes a blank one. The incarnation is written
// last, so that a folder with an incarnation must have segments too.
func (s *Store) load(r balsampier.Random) error {
	b, err := s.readRecord(incarnationName)
	if err != nil {
		return err
	}
	ps, err := s.segments()
	if err != nil {
		return err
	}
	if b == nil {
		return s.initialize(r, ps)
	}
	d, ok := decodeIncarnation(b)
	if !ok || len(ps) == 0 {
		return newCorruptError("read the log segments", nil)
	}
	s.disk = d
	if err := s.loadBootstrap(); err != nil {
		return err
	}
	return s.replay(ps)
}

func (s *Store) loadBootstrap() error {
	b, err := s.readRecord(bootstrapName)
	if err != nil || b == nil {
		return err
	}
	var ok bool
	if s.bootstrap, ok = decodeBootstrap(b); !ok {
		return newCorruptError("read the state of the bootstrap", nil)
	}
	return nil
}

// initialize initializes a blank folder. A segment without an incarnation file is
// left over from an interrupted creation if it holds no more than its initial
// records; otherwise the incarnation was lost.
func (s *Store) initialize(r balsampier.Random, ps []string) error {
	if b, err := s.readRecord(snapshotName); err != nil || b != nil || len(ps) > 1 {
		return newCorruptError("read the disk incarnation", err)
	}
	for _, p := range ps {
		l, rs, err := Open(s.folder, filepath.Base(p))
		if err != nil {
			return err
		}
		if err := l.Close(); err != nil {
			return err
		}
		if len(rs) > initialRecords {
			return newCorruptError("read the disk incarnation", nil)
		}
	}
	for s.disk == 0 {
		s.disk = balsampier.DiskIncarnation(r.Uint64())
	}
	if err := s.startSegment(true); err != nil {
		return err
	}
	return s.writeRecord(incarnationName, encodeIncarnation(s.disk))
}

// replay reads the snapshot, and the segments starting with the newest one that
// replaces all earlier ones.
func (s *Store) replay(ps []string) error {
	var snap balsampier.Snapshot
	b, err := s.readRecord(snapshotName)
	if err != nil {
		return err
	}
	if b != nil {
		var ok bool
		if snap, ok = decodeSnapshot(b); !ok {
			return newCorruptError("read snapshot", nil)
		}
	}
	var rs [][]byte
	for i := len(ps) - 1; i >= 0; i-- {
		h, more, err := s.readSegment(ps[i], uint64(len(ps)-1-i))
		if err != nil {
			return err
		}
		rs = append(more, rs...)
		if h.reset {
			if err := removeAll(ps[:i]); err != nil {
				return err
			}
			return s.rebuild(snap, rs)
		}
	}
	return newCorruptError("find the first log segment", nil)
}

// readSegment returns the header and the other records of the segment that is
// age places before the newest. Only the newest segment may have an incomplete
// last record; it stays open for appends.
func (s *Store) readSegment(p string, age uint64) (h header, rs [][]byte, err error) {
	var n uint64
	if _, err := fmt.Sscanf(filepath.Base(p), segmentPattern, &n); err != nil || (age > 0 && n != s.segmentNumber-age) {
		return h, nil, newCorruptError("read "+p, err)
	}
	size, err := fileSize(p)
	if err != nil {
		return h, nil, err
	}
	l, rs, err := Open(s.folder, filepath.Base(p))
	if err != nil {
		return h, nil, err
	}
	if age == 0 {
		s.log, s.segmentNumber = l, n
	} else if err := l.Close(); err != nil {
		return h, nil, err
	}
	if len(rs) == 0 || (age > 0 && l.size != size) {
		return h, nil, newCorruptError("read "+p, nil)
	}
	h, ok := decodeHeader(rs[0])
	if !ok || h.disk != s.disk {
		return h, nil, newCorruptError("read the header of "+p, nil)
	}
	return h, rs[1:], nil
}

// rebuild applies the records on top of the snapshot. A crash can leave records
// from before the snapshot; the term of the entry at the snapshot's index tells
// whether the entries after it still count.
func (s *Store) rebuild(snap balsampier.Snapshot, rs [][]byte) error {
	var es []balsampier.Entry
	for _, r := range rs {
		h, more, ok := decodeBatch(r)
		if !ok {
			return newCorruptError("decode log record", nil)
		}
		if h != nil {
			s.hard = *h
		}
		for _, e := range more {
			if len(es) > 0 && (e.Index < es[0].Index || e.Index > es[len(es)-1].Index+1) {
				return newCorruptError(fmt.Sprintf("read entry %d", e.Index), nil)
			}
			if len(es) > 0 {
				es = es[:e.Index-es[0].Index]
			}
			es = append(es, e)
		}
	}
	s.snapshot = snap
	if len(es) == 0 {
		return nil
	}
	first, last := es[0].Index, es[len(es)-1].Index
	switch {
	case first > snap.Index+1:
		return newCorruptError("read the entries after the snapshot", nil)
	case first == snap.Index+1:
		s.entries = es
	case last >= snap.Index && es[snap.Index-first].Term == snap.Term:
		s.entries = slices.Clone(es[snap.Index-first+1:])
	default:
		// The save that installed the snapshot did not get to replace the
		// segments. The next entry would leave a gap in them.
		return s.rewriteSegments()
	}
	return nil
}
