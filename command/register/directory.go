package register

import (
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// Settings configures a Directory.
	Settings struct {
		// MaxFlows is the maximum number of flows in the directory; positive.
		MaxFlows int
		// PlacementTTL is how long a placement is kept without a registration
		// by its holder; positive.
		PlacementTTL time.Duration
	}

	// Directory stores, at a home, which agent holds each flow. It is not safe
	// for concurrent use.
	Directory struct {
		settings Settings
		self     balsampier.Holder
		epoch    balsampier.Epoch
		entries  map[balsampier.FlowKey]record
		// placements lists placements from the oldest to the newest, so that
		// Expire can evict them. Entries whose flow was registered since are
		// skipped.
		placements []timedFlow
		// lastBatches holds the newest batch applied from each holder.
		lastBatches map[balsampier.Holder]batchID
	}

	// KnownFlow is the directory's entry for a flow.
	KnownFlow struct {
		// Holder is the run of an agent that registered the flow or was
		// assigned it.
		Holder balsampier.Holder
		// Registered is true if the holder itself registered the flow.
		Registered bool
	}

	record struct {
		holder balsampier.Holder
		// epoch is the latest view epoch under which the record was written.
		epoch balsampier.Epoch
		// registered is true if the holder registered the flow. Such a record
		// stays until the holder ends or moves the flow or leaves the view.
		registered bool
		// movedEpoch is the epoch from which on this run is no longer a home of
		// the flow; zero if it stays one.
		movedEpoch balsampier.Epoch
		placedAt   time.Time
	}

	batchID struct {
		sequence uint64
		epoch    balsampier.Epoch
	}

	timedFlow struct {
		flow balsampier.FlowKey
		at   time.Time
	}
)

// DefaultSettings returns the settings that apply where none are configured.
func DefaultSettings() Settings {
	return Settings{MaxFlows: 1 << 18, PlacementTTL: 30 * time.Second}
}

// NewDirectory returns an empty directory for the agent run h.
func NewDirectory(h balsampier.Holder, s Settings) *Directory {
	return &Directory{
		settings: s, self: h,
		entries:     make(map[balsampier.FlowKey]record),
		lastBatches: make(map[balsampier.Holder]batchID),
	}
}

// Len returns the number of flows in the directory.
func (d *Directory) Len() int { return len(d.entries) }

// Lookup returns the entry for flow k and whether there is one.
func (d *Directory) Lookup(k balsampier.FlowKey) (KnownFlow, bool) {
	r, ok := d.entries[k]
	return KnownFlow{Holder: r.holder, Registered: r.registered}, ok
}

// Place records that flow k was assigned to h in epoch e and returns the flow's
// holder. If the flow already has a holder, that one stays and is returned. It
// fails with KindFull if the directory is full.
func (d *Directory) Place(k balsampier.FlowKey, h balsampier.Holder, e balsampier.Epoch, t time.Time) (balsampier.Holder, error) {
	d.Expire(t)
	if r, ok := d.entries[k]; ok {
		r.epoch = max(r.epoch, e)
		d.entries[k] = r
		return r.holder, nil
	}
	if len(d.entries) >= d.settings.MaxFlows {
		return balsampier.Holder{}, d.fullError()
	}
	d.entries[k] = record{holder: h, epoch: e, placedAt: t}
	d.placements = append(d.placements, timedFlow{flow: k, at: t})
	return h, nil
}

// RemoveRefused removes the placement of flow k at h, because h is draining and
// refused the flow. A registered flow stays.
func (d *Directory) RemoveRefused(k balsampier.FlowKey, h balsampier.Holder) {
	if r, ok := d.entries[k]; ok && r.holder == h && !r.registered {
		delete(d.entries, k)
	}
}

// Apply applies a batch of registrations and returns its acknowledgement. A
// batch that was applied before is acknowledged again without effect. It fails
// with KindInvalid if the batch is for another run, and with KindFull if its
// new flows do not fit.
func (d *Directory) Apply(b Batch) (Ack, error) {
	a := Ack{From: d.self, To: b.From, Sequence: b.Sequence}
	if b.To != d.self {
		return a, balsampier.NewError(balsampier.KindInvalid, "register flows",
			"send the batch to the current run of the home", nil)
	}
	if b.Sequence <= d.lastBatches[b.From].sequence {
		return a, nil
	}
	if len(d.entries)+d.countNew(b.Entries) > d.settings.MaxFlows {
		return a, d.fullError()
	}
	d.lastBatches[b.From] = batchID{sequence: b.Sequence, epoch: b.Epoch}
	for _, e := range b.Entries {
		if !d.applyChange(b, e) {
			a.Conflicts = append(a.Conflicts, e.Flow)
		}
	}
	return a, nil
}

// applyChange applies one entry of a batch. It returns false if another holder
// has registered the flow.
func (d *Directory) applyChange(b Batch, e Entry) bool {
	r, ok := d.entries[e.Flow]
	if e.Ended || e.Moved {
		if ok && r.holder == b.From {
			d.endEntry(e, r, b.Epoch)
		}
		return true
	}
	if ok && r.registered && r.holder != b.From {
		return false
	}
	d.entries[e.Flow] = record{
		holder: b.From, epoch: max(r.epoch, b.Epoch), registered: true, placedAt: r.placedAt,
	}
	return true
}

// endEntry removes the record of a flow that ended. The record of a flow that
// moved to another home is removed once this home has adopted the epoch of the
// move, because packets arrive here until then.
func (d *Directory) endEntry(e Entry, r record, at balsampier.Epoch) {
	if e.Ended || at <= d.epoch {
		delete(d.entries, e.Flow)
		return
	}
	r.movedEpoch = at
	d.entries[e.Flow] = r
}

// Adopt switches to epoch e. It removes the flows of holders that are not alive
// in its view, and the flows that moved to other homes by this epoch. Records
// written under later epochs stay, because this view does not yet list their
// holders. No other registration is removed here: when a home changes, the
// holder informs the old one.
func (d *Directory) Adopt(e balsampier.Epoch, alive func(balsampier.Holder) bool) {
	d.epoch = e
	for k, r := range d.entries {
		moved := r.movedEpoch != 0 && r.movedEpoch <= e
		if moved || r.epoch <= e && !alive(r.holder) {
			delete(d.entries, k)
		}
	}
	for h, l := range d.lastBatches {
		if l.epoch <= e && !alive(h) {
			delete(d.lastBatches, h)
		}
	}
}

// countNew returns the number of entries that would add a flow to the
// directory.
func (d *Directory) countNew(es []Entry) int {
	n := 0
	for _, e := range es {
		if _, ok := d.entries[e.Flow]; !ok && !e.Ended && !e.Moved {
			n++
		}
	}
	return n
}

// Expire removes placements that were not registered within the PlacementTTL.
func (d *Directory) Expire(t time.Time) {
	n := 0
	for n < len(d.placements) && t.Sub(d.placements[n].at) >= d.settings.PlacementTTL {
		p := d.placements[n]
		if r, ok := d.entries[p.flow]; ok && !r.registered && r.placedAt.Equal(p.at) {
			delete(d.entries, p.flow)
		}
		n++
	}
	d.placements = d.placements[n:]
}

func (d *Directory) fullError() error {
	return balsampier.NewError(balsampier.KindFull, "store flow",
		"raise the limit on stored flows or add backend servers", nil)
}
