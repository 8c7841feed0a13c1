package app

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/disk"
	"github.com/balsampier/balsampier/ring"
)

// reopenDelay is the time between attempts to open the data folder after a
// fault. It keeps an instance with a full disk from using more than a few
// percent of the processor.
const reopenDelay = 500 * time.Millisecond

type (
	// saveBatch is a log batch to save in one opening of the data folder.
	saveBatch struct {
		generation uint64
		logBatch   balsampier.LogBatch
	}

	// openedStore is the log that was found when the data folder was opened.
	openedStore struct {
		generation uint64
		stored     balsampier.StoredLog
	}
)

// openFolder opens the data folder on the disk and reads the stored log.
func openFolder(folder string, r balsampier.Random) (balsampier.LogStore, balsampier.StoredLog, error) {
	s, l, err := disk.OpenStore(folder, r)
	if err != nil {
		return nil, l, err
	}
	return s, l, nil
}

// save is the thread that writes log batches to the disk, in order. After a
// write error it is unknown which data is durable: the thread opens the folder
// again, and the replica restarts from the log found there.
func (t *Control) save(c context.Context) error {
	for {
		s, err := t.openStore(c)
		if err != nil {
			return err
		}
		err = t.saveBatches(c, s)
		if e := s.Close(); e != nil {
			t.log.Warn().Err(e).Msg("failed to close the data folder")
		}
		if c.Err() != nil || balsampier.KindOf(err) == balsampier.KindClosed {
			return err
		}
		t.log.Error().Err(err).Msg("disk lost; the replica starts again")
		if err := t.inputs.PushWith(c, input{kind: inputDiskLost}, ring.Block); err != nil {
			return err
		}
		t.sleep(c, reopenDelay)
	}
}

// openStore opens the data folder and retries until it succeeds or c ends.
func (t *Control) openStore(c context.Context) (balsampier.LogStore, error) {
	for failed := false; ; failed = true {
		s, stored, err := t.openFolder(t.instanceSettings.DataFolder, t.random)
		if err == nil {
			t.generation++
			t.log.Info().Uint64("snapshot", uint64(stored.Snapshot.Index)).Int("entries", len(stored.Entries)).Msg("disk opened")
			return s, t.inputs.PushWith(c, input{kind: inputDiskOpened, openedStore: &openedStore{generation: t.generation, stored: stored}}, ring.Block)
		}
		if c.Err() != nil {
			return nil, c.Err()
		}
		if !failed {
			t.log.Error().Err(err).Msg("failed to open the data folder; retrying")
		}
		t.sleep(c, reopenDelay)
	}
}

// saveBatches saves batches to s until an error occurs. Batches from an earlier
// opening of the folder are dropped.
func (t *Control) saveBatches(c context.Context, s balsampier.LogStore) error {
	var bs [1]saveBatch
	for {
		if _, err := t.work.Pop(c, bs[:]); err != nil {
			return err
		}
		if bs[0].generation != t.generation {
			continue
		}
		if err := s.Save(bs[0].logBatch); err != nil {
			return err
		}
		d := input{kind: inputSaveDone, seq: bs[0].logBatch.Seq, generation: t.generation}
		bs[0] = saveBatch{}
		if err := t.inputs.PushWith(c, d, ring.Block); err != nil {
			return err
		}
	}
}

// openReplica starts the replica from the log that was found on the disk.
func (t *Control) openReplica(c context.Context, o *openedStore) error {
	n, err := replicate.New(t.config, o.stored, t.clock.Now())
	if err != nil {
		return err
	}
	t.replica.node, t.replica.generation = n, o.generation
	if o.generation == 1 {
		return nil
	}
	// The apply thread rebuilds its state from the start of the stored log.
	return t.committed.Push(c, applyInput{reset: true})
}

// closeReplica removes the replica and fails all pending proposals and reads. The
// status comes first, so that a caller whose call failed does not find the
// instance still ready.
func (t *Control) closeReplica() {
	r := &t.replica
	r.node = nil
	t.status.Store(t.closedStatus())
	t.failPending()
}

// failPending fails all pending proposals and reads. A proposal may be committed
// yet.
func (t *Control) failPending() {
	r := &t.replica
	for x, p := range r.proposals {
		p.outcome <- outcome{err: balsampier.NewError(balsampier.KindUnknown, "propose", "retry with the same ID", nil)}
		delete(r.proposals, x)
	}
	for k, a := range r.reads {
		a <- readResult{err: errNotLeader()}
		delete(r.reads, k)
	}
}

// closedStatus returns the status while the data folder is not open.
func (t *Control) closedStatus() *replicate.Status {
	return &replicate.Status{Self: balsampier.Replica{Instance: t.self}, Blank: true}
}

// sleep waits for d or the end of c.
func (t *Control) sleep(c context.Context, d time.Duration) {
	k := t.clock.NewTimer(d)
	defer k.Stop()
	select {
	case <-k.C():
	case <-c.Done():
	}
}
