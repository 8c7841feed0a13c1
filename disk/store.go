package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

const (
	// MaxSegmentBytes is the size above which a new segment is started.
	MaxSegmentBytes = 8 << 20

	// maxSnapshotBytes is the maximum size of an encoded snapshot.
	maxSnapshotBytes = MaxRecordBytes

	lockName        = "lock"
	incarnationName = "incarnation"
	snapshotName    = "snapshot"
	bootstrapName   = "bootstrap"
	segmentPattern  = "log-%016x"
	segmentGlob     = "log-????????????????"
	temporaryName   = "temporary"
)

type (
	// Store keeps the replicated log of one replica in one folder: segments of
	// records, one snapshot, the state of the bootstrap and the disk
	// incarnation.
	Store struct {
		folder string
		// lockFile is held until Close.
		lockFile *os.File
		disk     balsampier.DiskIncarnation
		// log is the newest segment.
		log *Log
		// segmentNumber is the number of the newest segment. Segment numbers
		// are consecutive.
		segmentNumber uint64
		// maxSegmentBytes is MaxSegmentBytes, except in tests.
		maxSegmentBytes int64
		hard            balsampier.HardState
		bootstrap       balsampier.BootstrapState
		// snapshot and entries are the durable contents of the folder.
		snapshot balsampier.Snapshot
		entries  []balsampier.Entry
		// saveErr is the first error of Save; nothing is written after it.
		saveErr error
		// syncs counts file syncs.
		syncs uint64
	}
)

var _ balsampier.LogStore = (*Store)(nil)

// OpenStore locks the folder and returns its contents. A blank folder gets a
// new incarnation, drawn from r. Errors are of KindUnavailable if another
// process holds the lock, and of KindCorrupt if the contents are damaged.
func OpenStore(folder string, r balsampier.Random) (*Store, balsampier.StoredLog, error) {
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return nil, balsampier.StoredLog{}, trace.ConvertSystemError(err)
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, balsampier.StoredLog{}, err
	}
	s := &Store{folder: folder, lockFile: lock, maxSegmentBytes: MaxSegmentBytes}
	if err := s.load(r); err != nil {
		return nil, balsampier.StoredLog{}, errors.Join(err, s.Close())
	}
	return s, balsampier.StoredLog{
		Disk: s.disk, Hard: s.hard, Bootstrap: s.bootstrap, Snapshot: s.snapshot, Entries: append([]balsampier.Entry(nil), s.entries...),
	}, nil
}

// Save makes w durable. After an error the store refuses all further batches
// with KindClosed, as it is unknown what is durable.
func (s *Store) Save(w balsampier.LogBatch) error {
	if s.saveErr != nil {
		return balsampier.NewError(balsampier.KindClosed, "save log",
			"repair the disk and restart the instance", s.saveErr)
	}
	if err := s.save(w); err != nil {
		s.saveErr = err
		return err
	}
	return nil
}

// Syncs returns the number of file syncs so far.
func (s *Store) Syncs() uint64 { return s.syncs }

// Close closes the newest segment and releases the lock.
func (s *Store) Close() error {
	var err error
	if s.log != nil {
		err = s.log.Close()
	}
	return errors.Join(err, s.lockFile.Close())
}

func (s *Store) save(w balsampier.LogBatch) error {
	if w.Bootstrap != nil {
		if err := s.writeRecord(bootstrapName, encodeBootstrap(*w.Bootstrap)); err != nil {
			return err
		}
		s.bootstrap = *w.Bootstrap
	}
	if w.Snapshot != nil {
		if err := s.writeRecord(snapshotName, encodeSnapshot(*w.Snapshot)); err != nil {
			return err
		}
		s.adoptSnapshot(*w.Snapshot, w.Reset)
	}
	if w.Hard != nil {
		s.hard = *w.Hard
	}
	if err := s.replaceEntries(w.Entries); err != nil {
		return err
	}
	switch {
	case w.Snapshot != nil:
		return s.rewriteSegments()
	case s.log.size > s.maxSegmentBytes:
		if err := s.startSegment(false); err != nil {
			return err
		}
	}
	if w.Hard == nil && len(w.Entries) == 0 {
		return nil
	}
	for _, r := range encodeBatchRecords(w.Hard, w.Entries) {
		if err := s.log.Append(r); err != nil {
			return err
		}
		s.syncs++
		if err := s.log.Sync(); err != nil {
			return err
		}
	}
	return nil
}

// replaceEntries replaces all entries from the first of es on. Entries that the
// snapshot covers are skipped; a gap is an error of KindCorrupt.
func (s *Store) replaceEntries(es []balsampier.Entry) error {
	for _, e := range es {
		last := s.snapshot.Index + balsampier.Index(len(s.entries))
		if e.Index <= s.snapshot.Index {
			continue
		}
		if e.Index > last+1 {
			return balsampier.NewError(balsampier.KindCorrupt,
				fmt.Sprintf("append entry %d after entry %d", e.Index, last), remedyCorrupt, nil)
		}
		s.entries = append(s.entries[:e.Index-s.snapshot.Index-1], e)
	}
	return nil
}

// adoptSnapshot sets the snapshot to n. It keeps the entries after n only if
// the log holds the entry that n ends with and reset is false.
func (s *Store) adoptSnapshot(n balsampier.Snapshot, reset bool) {
	old := s.snapshot
	s.snapshot = n
	if reset || n.Index < old.Index || n.Index > old.Index+balsampier.Index(len(s.entries)) {
		s.entries = nil
		return
	}
	k := n.Index - old.Index
	if (k > 0 && s.entries[k-1].Term != n.Term) || (k == 0 && old.Term != n.Term) {
		s.entries = nil
		return
	}
	s.entries = slices.Clone(s.entries[k:])
}

// rewriteSegments writes everything that the snapshot does not cover to a new
// segment and removes the older segments.
func (s *Store) rewriteSegments() error {
	old, err := s.segments()
	if err != nil {
		return err
	}
	if err := s.startSegment(true); err != nil {
		return err
	}
	return removeAll(old)
}

func removeAll(ps []string) error {
	for _, p := range ps {
		if err := os.Remove(p); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

// startSegment writes a complete segment before renaming it to its final name,
// so that only appends can leave an incomplete record, and only in the newest
// segment. With reset the segment replaces all earlier ones.
func (s *Store) startSegment(reset bool) error {
	h := header{disk: s.disk, reset: reset}
	b := appendRecord(nil, 0, encodeHeader(h))
	if reset {
		for _, r := range encodeBatchRecords(&s.hard, s.entries) {
			b = appendRecord(b, int64(len(b)), r)
		}
	}
	name := fmt.Sprintf(segmentPattern, s.segmentNumber+1)
	if err := s.writeFile(name, b); err != nil {
		return err
	}
	if s.log != nil {
		if err := s.log.Close(); err != nil {
			return err
		}
	}
	s.segmentNumber++
	f, err := os.OpenFile(filepath.Join(s.folder, name), os.O_RDWR, filePerm)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s.log = &Log{f: f, size: int64(len(b))}
	return nil
}

func (s *Store) segments() ([]string, error) {
	ps, err := filepath.Glob(filepath.Join(s.folder, segmentGlob))
	slices.Sort(ps)
	return ps, trace.Wrap(err)
}

func (s *Store) writeRecord(name string, r []byte) error {
	if len(r) > maxSnapshotBytes {
		return balsampier.NewError(balsampier.KindFull, "write "+name, "keep the state under 16 MiB", nil)
	}
	return s.writeFile(name, appendRecord(nil, 0, r))
}

// writeFile atomically replaces a file: it syncs a temporary file and renames
// it.
func (s *Store) writeFile(name string, b []byte) error {
	p := filepath.Join(s.folder, temporaryName)
	f, err := os.OpenFile(p, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePerm)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = f.Write(b)
	s.syncs += 2
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return trace.Wrap(err, "write %s", name)
	}
	if err := os.Rename(p, filepath.Join(s.folder, name)); err != nil {
		return trace.ConvertSystemError(err)
	}
	return syncFolder(s.folder)
}

// readRecord returns the only record of a file; nil if the file does not exist.
func (s *Store) readRecord(name string) ([]byte, error) {
	f, err := os.Open(filepath.Join(s.folder, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	b, err := io.ReadAll(f)
	if err := errors.Join(err, f.Close()); err != nil {
		return nil, trace.Wrap(err, "read %s", name)
	}
	rs, n := Decode(b)
	if len(rs) != 1 || n != len(b) {
		return nil, newCorruptError("read "+name, nil)
	}
	return rs[0], nil
}

func lockFolder(folder string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(folder, lockName), os.O_RDWR|os.O_CREATE, filePerm)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(balsampier.NewError(balsampier.KindUnavailable, "lock "+folder,
			"stop the other process that uses this data folder, or set another dataFolder", err), f.Close())
	}
	return f, nil
}

func newCorruptError(op string, err error) error {
	return balsampier.NewError(balsampier.KindCorrupt, op, remedyCorrupt, err)
}
