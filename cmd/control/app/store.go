package app

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/disk"
	"github.com/balsampier/balsampier/ring"
)

// reopenDelay spaces attempts to open the data folder after a fault; it keeps
// a full disk from taking more than a few percent of the processor.
const reopenDelay = 500 * time.Millisecond

type (
	// saveBatch is work for one opening of the data folder.
	saveBatch struct {
		generation uint64
		logBatch   balsampier.LogBatch
	}

	// openedStore is what an opening of the data folder found.
	openedStore struct {
		generation uint64
		stored     balsampier.StoredLog
	}
)

// openFolder opens the data folder on the disk.
func openFolder(folder string, r balsampier.Random) (balsampier.LogStore, balsampier.StoredLog, error) {
	s, l, err := disk.OpenStore(folder, r)
	if err != nil {
		return nil, l, err
	}
	return s, l, nil
}

// save makes work durable, one after the other. After a fault it is not known
// what lasts: the folder is opened anew, and the replica starts again from
// what is found there.
func (t *Control) save(c context.Context) error {
	for {
		s, err := t.openStore(c)
		if err != nil {
			return err
		}
		err = t.saveBatches(c, s)
		if e := s.Close(); e != nil {
			t.log.Warn().Err(e).Msg("data folder not closed")
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

// openStore opens the data folder, as often as it takes.
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
			t.log.Error().Err(err).Msg("data folder not opened; it is tried again")
		}
		t.sleep(c, reopenDelay)
	}
}

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

// openReplica starts the replica from what the disk holds.
func (t *Control) openReplica(c context.Context, o *openedStore) error {
	n, err := replicate.New(t.config, o.stored, t.clock.Now())
	if err != nil {
		return err
	}
	t.replica.node, t.replica.generation = n, o.generation
	if o.generation == 1 {
		return nil
	}
	// The state is built again from the beginning of what the disk holds.
	return t.committed.Push(c, applyInput{reset: true})
}

// closeReplica gives up what the replica had under way.
func (t *Control) closeReplica() {
	r := &t.replica
	for x, p := range r.proposals {
		p.outcome <- outcome{err: balsampier.NewError(balsampier.KindUnknown, "propose", "ask again with the same ID", nil)}
		delete(r.proposals, x)
	}
	for k, a := range r.reads {
		a <- readResult{err: errNotLeader()}
		delete(r.reads, k)
	}
	r.node = nil
	t.status.Store(t.closedStatus())
}

// closedStatus is the status while the disk is not open.
func (t *Control) closedStatus() *replicate.Status {
	return &replicate.Status{Self: balsampier.Replica{Instance: t.self}, Blank: true}
}

func (t *Control) sleep(c context.Context, d time.Duration) {
	k := t.clock.NewTimer(d)
	defer k.Stop()
	select {
	case <-k.C():
	case <-c.Done():
	}
}
