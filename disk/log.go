// Package disk keeps records in files under one data folder. A record lasts
// once Sync returned.
package disk

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

const (
	// MaxRecordBytes bounds one record.
	MaxRecordBytes = 16 << 20

	// headerBytes is a length and a checksum, 4 bytes each.
	headerBytes = 8

	filePerm   = 0o600
	folderPerm = 0o700
)

type (
	// Log is an append-only file of checksummed records.
	Log struct {
		f *os.File
		// size is the offset behind the last whole record.
		size int64
	}
)

var (
	_ balsampier.RecordLog = (*Log)(nil)

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Open opens the log called name in folder, creates both as needed, cuts off
// a torn tail and returns the records found.
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

// Append adds records behind the last one.
func (l *Log) Append(rs ...[]byte) error {
	var b []byte
	for _, r := range rs {
		if len(r) > MaxRecordBytes {
			return balsampier.NewError(balsampier.KindInvalid, "append record", "keep records under 16 MiB", nil)
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(r)))
		b = binary.BigEndian.AppendUint32(b, crc32.Checksum(r, castagnoli))
		b = append(b, r...)
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

// Close releases the file.
func (l *Log) Close() error { return trace.Wrap(l.f.Close()) }

func (l *Log) recover() ([][]byte, error) {
	b, err := io.ReadAll(l.f)
	if err != nil {
		return nil, trace.Wrap(err, "read %s", l.f.Name())
	}
	rs, n := Decode(b)
	l.size = int64(n)
	if n < len(b) {
		if err := l.f.Truncate(l.size); err != nil {
			return nil, trace.Wrap(err, "cut the torn tail of %s", l.f.Name())
		}
	}
	return rs, nil
}

// Decode returns the whole records at the start of b and their length.
func Decode(b []byte) (rs [][]byte, n int) {
	for len(b)-n >= headerBytes {
		size := int(binary.BigEndian.Uint32(b[n:]))
		if size > MaxRecordBytes || size > len(b)-n-headerBytes {
			break
		}
		r := b[n+headerBytes : n+headerBytes+size]
		if crc32.Checksum(r, castagnoli) != binary.BigEndian.Uint32(b[n+4:]) {
			break
		}
		rs = append(rs, r)
		n += headerBytes + size
	}
	return rs, n
}

func syncFolder(p string) error {
	d, err := os.Open(p)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return errors.Join(d.Sync(), d.Close())
}
