package disk

import (
	"encoding/binary"

	"github.com/balsampier/balsampier"
)

// batchRecordBytes limits the entry data in one record. A single larger entry
// gets a record of its own.
const batchRecordBytes = MaxRecordBytes / 4

const (
	// kindHeader is the first record of each segment.
	kindHeader byte = iota + 1
	// kindBatch records hold a LogBatch, or part of one, without its snapshot.
	kindBatch
	// kindSnapshot records hold a snapshot.
	kindSnapshot
	// kindIncarnation records hold the disk incarnation.
	kindIncarnation
	// kindBootstrap records hold the state of the bootstrap.
	kindBootstrap
)

type (
	// header is the first record of a segment.
	header struct {
		disk balsampier.DiskIncarnation
		// reset marks a segment that replaces all earlier ones.
		reset bool
	}

	// reader decodes values from the front of b. malformed is set once b is too
	// short or a number is invalid; all later reads return zero values.
	reader struct {
		b         []byte
		malformed bool
	}
)

func encodeHeader(h header) []byte {
	b := binary.AppendUvarint([]byte{kindHeader}, uint64(h.disk))
	return appendBool(b, h.reset)
}

func decodeHeader(b []byte) (h header, ok bool) {
	r := reader{b: b}
	ok = r.byte() == kindHeader
	h.disk = balsampier.DiskIncarnation(r.uint())
	h.reset = r.byte() == 1
	return h, ok && r.isComplete()
}

func encodeBatch(h *balsampier.HardState, es []balsampier.Entry) []byte {
	b := appendBool([]byte{kindBatch}, h != nil)
	if h != nil {
		b = binary.AppendUvarint(b, uint64(h.Term))
		b = appendReplica(b, h.Vote)
	}
	b = binary.AppendUvarint(b, uint64(len(es)))
	for _, e := range es {
		b = binary.AppendUvarint(b, uint64(e.Term))
		b = binary.AppendUvarint(b, uint64(e.Index))
		b = append(b, byte(e.Kind))
		b = appendBytes(b, e.Data)
		b = appendReplicaSet(b, e.Set)
	}
	return b
}

// encodeBatchRecords splits the entries into records of about batchRecordBytes.
// The first record holds the hard state.
func encodeBatchRecords(h *balsampier.HardState, es []balsampier.Entry) [][]byte {
	var rs [][]byte
	for {
		k, size := 0, 0
		for k < len(es) && (k == 0 || size+len(es[k].Data) <= batchRecordBytes) {
			size += len(es[k].Data)
			k++
		}
		rs = append(rs, encodeBatch(h, es[:k]))
		h, es = nil, es[k:]
		if len(es) == 0 {
			return rs
		}
	}
}

func decodeBatch(b []byte) (h *balsampier.HardState, es []balsampier.Entry, ok bool) {
	r := reader{b: b}
	ok = r.byte() == kindBatch
	if r.byte() == 1 {
		h = &balsampier.HardState{Term: balsampier.Term(r.uint()), Vote: r.replica()}
	}
	for i := r.count(); i > 0 && !r.malformed; i-- {
		es = append(es, balsampier.Entry{
			Term: balsampier.Term(r.uint()), Index: balsampier.Index(r.uint()),
			Kind: balsampier.EntryKind(r.byte()), Data: r.bytes(), Set: r.replicaSet(),
		})
	}
	return h, es, ok && r.isComplete()
}

func encodeSnapshot(s balsampier.Snapshot) []byte {
	b := binary.AppendUvarint([]byte{kindSnapshot}, uint64(s.Index))
	b = binary.AppendUvarint(b, uint64(s.Term))
	b = appendReplicaSet(b, s.Set)
	return appendBytes(b, s.Data)
}

func decodeSnapshot(b []byte) (s balsampier.Snapshot, ok bool) {
	r := reader{b: b}
	ok = r.byte() == kindSnapshot
	s.Index, s.Term = balsampier.Index(r.uint()), balsampier.Term(r.uint())
	s.Set, s.Data = r.replicaSet(), r.bytes()
	return s, ok && r.isComplete()
}

func encodeBootstrap(s balsampier.BootstrapState) []byte {
	b := binary.AppendUvarint([]byte{kindBootstrap}, uint64(len(s.Seeds)))
	for _, i := range s.Seeds {
		b = binary.AppendUvarint(b, uint64(i))
	}
	b = binary.AppendUvarint(b, uint64(s.Promised))
	b = binary.AppendUvarint(b, uint64(s.Accepted))
	return appendReplicaSet(b, s.Set)
}

func decodeBootstrap(b []byte) (s balsampier.BootstrapState, ok bool) {
	r := reader{b: b}
	ok = r.byte() == kindBootstrap
	for i := r.count(); i > 0 && !r.malformed; i-- {
		s.Seeds = append(s.Seeds, balsampier.InstanceID(r.uint()))
	}
	s.Promised, s.Accepted = balsampier.Term(r.uint()), balsampier.Term(r.uint())
	s.Set = r.replicaSet()
	return s, ok && r.isComplete()
}

func encodeIncarnation(d balsampier.DiskIncarnation) []byte {
	return binary.AppendUvarint([]byte{kindIncarnation}, uint64(d))
}

func decodeIncarnation(b []byte) (balsampier.DiskIncarnation, bool) {
	r := reader{b: b}
	ok := r.byte() == kindIncarnation
	d := balsampier.DiskIncarnation(r.uint())
	return d, ok && r.isComplete() && d != 0
}

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

func appendBytes(b, v []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(v))), v...)
}

func appendReplica(b []byte, r balsampier.Replica) []byte {
	b = binary.AppendUvarint(b, uint64(r.Instance))
	return binary.AppendUvarint(b, uint64(r.Disk))
}

func appendReplicaSet(b []byte, s balsampier.ReplicaSet) []byte {
	for _, rs := range [][]balsampier.Replica{s.Voters, s.Learners} {
		b = binary.AppendUvarint(b, uint64(len(rs)))
		for _, r := range rs {
			b = appendReplica(b, r)
		}
	}
	return b
}

func (r *reader) isComplete() bool { return !r.malformed && len(r.b) == 0 }

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.malformed = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) uint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.malformed, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

// count reads the length of a list. Each item takes at least one byte, so that
// a length above the remaining bytes is malformed.
func (r *reader) count() uint64 {
	v := r.uint()
	if v > uint64(len(r.b)) {
		r.malformed, r.b = true, nil
		return 0
	}
	return v
}

func (r *reader) bytes() []byte {
	n := r.count()
	if n == 0 {
		return nil
	}
	v := r.b[:n:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) replica() balsampier.Replica {
	return balsampier.Replica{
		Instance: balsampier.InstanceID(r.uint()), Disk: balsampier.DiskIncarnation(r.uint()),
	}
}

func (r *reader) replicaSet() balsampier.ReplicaSet {
	return balsampier.ReplicaSet{Voters: r.replicas(), Learners: r.replicas()}
}

func (r *reader) replicas() []balsampier.Replica {
	var rs []balsampier.Replica
	for i := r.count(); i > 0 && !r.malformed; i-- {
		rs = append(rs, r.replica())
	}
	return rs
}
