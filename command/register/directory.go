package register

import (
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// Settings bound a directory.
	Settings struct {
		// MaxFlows bounds the remembered flows; positive.
		MaxFlows int
		// PlacementTTL is how long a placement is remembered that its holder
		// doesn't register; positive.
		PlacementTTL time.Duration
	}

	// Directory is a home's memory of flows that other agents have.
	Directory struct {
		settings Settings
		self     balsampier.Holder
		epoch    balsampier.Epoch
		entries  map[balsampier.FlowKey]record
		// placed queues placements by age; registered ones are skipped.
		placed []placement
		// last names the last batch of each holder.
		last map[balsampier.Holder]received
	}

	// KnownFlow is what a directory knows of a flow.
	KnownFlow struct {
		// Holder has the flow, or was given it.
		Holder balsampier.Holder
		// Registered is true when the holder said so itself.
		Registered bool
	}

	record struct {
		holder balsampier.Holder
		// epoch is the latest view epoch that the record was made under.
		epoch balsampier.Epoch
		// registered records last until the holder ends them or leaves.
		registered bool
		// until is the epoch from which this is no home of the flow; zero for
		// none.
		until balsampier.Epoch
		at    time.Time
	}

	received struct {
		sequence uint64
		epoch    balsampier.Epoch
	}

	placement struct {
		flow balsampier.FlowKey
		at   time.Time
	}
)

// DefaultSettings returns the bounds used unless the settings name others.
func DefaultSettings() Settings {
	return Settings{MaxFlows: 1 << 18, PlacementTTL: 30 * time.Second}
}

// NewDirectory returns the empty directory of a run of an agent.
func NewDirectory(h balsampier.Holder, s Settings) *Directory {
	return &Directory{
		settings: s, self: h,
		entries: make(map[balsampier.FlowKey]record),
		last:    make(map[balsampier.Holder]received),
	}
}

// Len returns the number of remembered flows.
func (d *Directory) Len() int { return len(d.entries) }

// Lookup returns what is known of the flow.
func (d *Directory) Lookup(k balsampier.FlowKey) (KnownFlow, bool) {
	r, ok := d.entries[k]
	return KnownFlow{Holder: r.holder, Registered: r.registered}, ok
}

// Place remembers that the flow was given to h at epoch e. A flow that is
// known keeps its holder, which is returned.
func (d *Directory) Place(k balsampier.FlowKey, h balsampier.Holder, e balsampier.Epoch, t time.Time) (balsampier.Holder, error) {
	d.Expire(t)
	if r, ok := d.entries[k]; ok {
		r.epoch = max(r.epoch, e)
		d.entries[k] = r
		return r.holder, nil
	}
	if len(d.entries) >= d.settings.MaxFlows {
		return balsampier.Holder{}, d.full()
	}
	d.entries[k] = record{holder: h, epoch: e, at: t}
	d.placed = append(d.placed, placement{flow: k, at: t})
	return h, nil
}

// RemoveRefused forgets a placement that a draining holder didn't take.
func (d *Directory) RemoveRefused(k balsampier.FlowKey, h balsampier.Holder) {
	if r, ok := d.entries[k]; ok && r.holder == h && !r.registered {
		delete(d.entries, k)
	}
}

// Apply takes in a batch. Batches that came before are acknowledged only.
func (d *Directory) Apply(b Batch) (Ack, error) {
	a := Ack{From: d.self, To: b.From, Sequence: b.Sequence}
	if b.To != d.self {
		return a, balsampier.NewError(balsampier.KindInvalid, "register flows",
			"send the batch to the current run of the home", nil)
	}
	if b.Sequence <= d.last[b.From].sequence {
		return a, nil
	}
	if len(d.entries)+d.unknown(b.Entries) > d.settings.MaxFlows {
		return a, d.full()
	}
	d.last[b.From] = received{sequence: b.Sequence, epoch: b.Epoch}
	for _, e := range b.Entries {
		if !d.apply(b, e) {
			a.Conflicts = append(a.Conflicts, e.Flow)
		}
	}
	return a, nil
}

// apply reports whether the entry agrees with what other holders registered.
func (d *Directory) apply(b Batch, e Entry) bool {
	r, ok := d.entries[e.Flow]
	if e.Ended || e.Moved {
		if ok && r.holder == b.From {
			d.end(e, r, b.Epoch)
		}
		return true
	}
	if ok && r.registered && r.holder != b.From {
		return false
	}
	d.entries[e.Flow] = record{
		holder: b.From, epoch: max(r.epoch, b.Epoch), registered: true, at: r.at,
	}
	return true
}

// end forgets a flow that ended at once, and one that moved when this home has
// adopted the epoch of the move: until then packets still arrive here.
func (d *Directory) end(e Entry, r record, at balsampier.Epoch) {
	if e.Ended || at <= d.epoch {
		delete(d.entries, e.Flow)
		return
	}
	r.until = at
	d.entries[e.Flow] = r
}

// Adopt forgets the flows of agents that are not in the view of epoch e. What
// agents of later views registered stays. Homes forget nothing else by
// themselves: a holder tells those homes that are no longer its own.
func (d *Directory) Adopt(e balsampier.Epoch, alive func(balsampier.Holder) bool) {
	d.epoch = e
	for k, r := range d.entries {
		moved := r.until != 0 && r.until <= e
		if moved || r.epoch <= e && !alive(r.holder) {
			delete(d.entries, k)
		}
	}
	for h, l := range d.last {
		if l.epoch <= e && !alive(h) {
			delete(d.last, h)
		}
	}
}

// unknown counts the entries that add a flow.
func (d *Directory) unknown(es []Entry) int {
	n := 0
	for _, e := range es {
		if _, ok := d.entries[e.Flow]; !ok && !e.Ended && !e.Moved {
			n++
		}
	}
	return n
}

// Expire forgets placements that nobody registered in time.
func (d *Directory) Expire(t time.Time) {
	n := 0
	for n < len(d.placed) && t.Sub(d.placed[n].at) >= d.settings.PlacementTTL {
		p := d.placed[n]
		if r, ok := d.entries[p.flow]; ok && !r.registered && r.at.Equal(p.at) {
			delete(d.entries, p.flow)
		}
		n++
	}
	d.placed = d.placed[n:]
}

func (d *Directory) full() error {
	return balsampier.NewError(balsampier.KindFull, "remember flow",
		"raise the limit of remembered flows or add backend servers", nil)
}
