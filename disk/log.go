// Package disk stores the replicated log in files under one data folder. A
// record is durable once Sync has returned.
package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

const (
	// MaxRecordBytes is the maximum size of one record.
	MaxRecordBytes = 16 << 20

	// headerBytes is the size of a record header: a length and a checksum of 4
	// bytes each.
	headerBytes = 8

	remedyCorrupt = "move the data folder away and restart the instance, which then copies the log from the other instances"

	filePerm   = 0o600
	folderPerm = 0o700
)

type (
	// Log is an append-only file of checksummed records.
	Log struct {
		f *os.File
		// size is the offset after the last complete record.
		size int64
	}
)

var (
	_ balsampier.RecordLog = (*Log)(nil)

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Open opens the log called name in folder and returns its records. It creates
// the folder and the file if needed, and truncates an incomplete last record. A
// damaged record followed by a complete one is an error of KindCorrupt.
func Open(folder, name string) (*Log, [][]byte, error) {
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	f, err := os.OpenFile(filepath.Join(folder, name), os.O_RDWR|os.O_CREATE, filePerm)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	l := &Log{f: f}
	rs, err := l.recover()
	if err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	if err := syncFolder(folder); err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	return l, rs, nil
}

// Append writes records after the last one. Call Sync after each Append:
// otherwise a record torn by a crash cannot be told from a damaged one.
func (l *Log) Append(rs ...[]byte) error {
	var b []byte
	for _, r := range rs {
		if len(r) == 0 || len(r) > MaxRecordBytes {
			return balsampier.NewError(balsampier.KindInvalid, "append record",
				"keep records between 1 byte and 16 MiB", nil)
		}
		b = appendRecord(b, l.size+int64(len(b)), r)
	}
	n, err := l.f.WriteAt(b, l.size)
	if err != nil {
		return trace.Wrap(err, "append to %s", l.f.Name())
	}
	l.size += int64(n)
	return nil
}

// Sync makes all appended records durable.
func (l *Log) Sync() error { return trace.Wrap(l.f.Sync(), "sync %s", l.f.Name()) }

// Close closes the file.
func (l *Log) Close() error { return trace.Wrap(l.f.Close()) }

func (l *Log) recover() ([][]byte, error) {
	b, err := io.ReadAll(l.f)
	if err != nil {
		return nil, trace.Wrap(err, "read %s", l.f.Name())
	}
	rs, n := Decode(b)
	l.size = int64(n)
	if n == len(b) {
		return rs, nil
	}
	if i := findRecord(b, n+1); i >= 0 {
		return nil, balsampier.NewError(balsampier.KindCorrupt,
			fmt.Sprintf("read %s: damaged record at byte %d before a complete record at byte %d", l.f.Name(), n, i), remedyCorrupt, nil)
	}
	if err := l.f.Truncate(l.size); err != nil {
		return nil, trace.Wrap(err, "truncate the incomplete last record of %s", l.f.Name())
	}
	return rs, nil
}

// Decode returns the complete records at the start of b and their total length
// with headers.
func Decode(b []byte) (rs [][]byte, n int) {
	for {
		r, ok := recordAt(b, n)
		if !ok {
			return rs, n
		}
		rs = append(rs, r)
		n += headerBytes + len(r)
	}
}

// recordAt returns the record at offset n. Empty records are invalid, so that a
// tail of zeros is not read as records.
func recordAt(b []byte, n int) ([]byte, bool) {
	if len(b)-n <= headerBytes {
		return nil, false
	}
	size := int(binary.BigEndian.Uint32(b[n:]))
	if size == 0 || size > MaxRecordBytes || size > len(b)-n-headerBytes {
		return nil, false
	}
	r := b[n+headerBytes : n+headerBytes+size]
	return r, checksum(int64(n), r) == binary.BigEndian.Uint32(b[n+4:])
}

// findRecord returns the offset of the first complete record at or after offset
// n; -1 if there is none.
func findRecord(b []byte, n int) int {
	for ; n < len(b)-headerBytes; n++ {
		if _, ok := recordAt(b, n); ok {
			return n
		}
	}
	return -1
}

func appendRecord(b []byte, at int64, r []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(r)))
	b = binary.BigEndian.AppendUint32(b, checksum(at, r))
	return append(b, r...)
}

// checksum includes the offset, so that a copy of a record inside the data of
// another one is not mistaken for a record.
func checksum(at int64, r []byte) uint32 {
	var o [8]byte
	binary.BigEndian.PutUint64(o[:], uint64(at))
	return crc32.Update(crc32.Checksum(o[:], castagnoli), castagnoli, r)
}

func syncFolder(p string) error {
	d, err := os.Open(p)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return errors.Join(d.Sync(), d.Close())
}

func fileSize(p string) (int64, error) {
	i, err := os.Stat(p)
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	return i.Size(), nil
}
