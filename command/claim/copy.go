package claim

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

// NextCopy returns the request to send to each base holder whose claims are still
// missing. It is called when an epoch is sealed and again until Complete
// returns that epoch.
func (h *Holder) NextCopy(t time.Time) (CopyRequest, []balsampier.Holder) {
	g := h.epochs.group
	if !h.epochs.Sealed() || h.complete == g.Epoch {
		return CopyRequest{}, nil
	}
	h.begin(g)
	h.finish(g, t)
	if h.complete == g.Epoch {
		return CopyRequest{}, nil
	}
	var to []balsampier.Holder
	for _, b := range g.BaseHolders {
		if h.pending(g, b) {
			to = append(to, b)
		}
	}
	return CopyRequest{Epoch: g.Epoch, From: h.self}, to
}

// ServeCopy answers the request of another holder. It answers only once it has
// acknowledged the epoch that is asked for, so it grants no more below it.
func (h *Holder) ServeCopy(q CopyRequest) (CopyReply, bool) {
	g := h.epochs.group
	if g.Epoch != q.Epoch {
		return CopyReply{}, false
	}
	h.begin(g)
	p := CopyReply{Epoch: q.Epoch, From: h.self}
	if !h.whole(g) {
		p.Incomplete = true
		return p, true
	}
	p.Floor = h.floor
	for k, r := range h.claims {
		if slices.Contains(Pair(g.BaseHolders, k), h.self) && slices.Contains(Pair(g.Holders, k), q.From) {
			p.Records = append(p.Records, Record{Key: k, Runner: r.runner, Attempt: r.attempt, Released: r.released})
		}
	}
	return p, true
}

// MergeCopy takes the claims of a base holder.
func (h *Holder) MergeCopy(p CopyReply, t time.Time) {
	g := h.epochs.group
	if p.Epoch != g.Epoch || h.copying != g.Epoch || h.complete == g.Epoch || !h.pending(g, p.From) {
		return
	}
	if p.Incomplete {
		h.gone = append(h.gone, p.From)
		h.finish(g, t)
		return
	}
	for _, r := range p.Records {
		h.mergeRecord(g, r, t)
	}
	h.raiseFloor(p.Floor)
	h.got = append(h.got, p.From)
	h.finish(g, t)
}

// mergeRecord lets the claim of a base holder replace one that this holder
// kept from an epoch before the base.
func (h *Holder) mergeRecord(g Group, r Record, t time.Time) {
	old, ok := h.claims[r.Key]
	own := ok && h.whole(g) && slices.Contains(Pair(g.BaseHolders, r.Key), h.self)
	withdrawn := r.Released && old.runner == r.Runner && old.attempt == r.Attempt
	if own && !old.released && !withdrawn {
		return
	}
	if !ok && len(h.claims) >= 2*h.settings.MaxClaims {
		h.raiseFloor(t.Add(2 * h.settings.MaxSkew))
		return
	}
	h.put(r.Key, record{runner: r.Runner, attempt: r.Attempt, released: r.Released})
}

// begin forgets what was copied for an earlier epoch.
func (h *Holder) begin(g Group) {
	if h.copying == g.Epoch {
		return
	}
	h.got, h.gone = nil, nil
	if h.complete == g.Base {
		h.base = g.Base
	}
	if h.whole(g) {
		h.got = []balsampier.Holder{h.self}
	}
	h.copying = g.Epoch
}

// whole reports whether the table holds all claims on its keys of the base.
func (h *Holder) whole(g Group) bool {
	return slices.Contains(g.BaseHolders, h.self) && h.base == g.Base
}

// finish completes the epoch once every pair of base holders has sent its
// claims through one of its two, or lost both. Where a pair was lost, keys
// issued before now are not known any more.
func (h *Holder) finish(g Group, t time.Time) {
	pending, lost := 0, 0
	for _, b := range g.BaseHolders {
		switch {
		case h.pending(g, b):
			pending++
		case !slices.Contains(h.got, b):
			lost++
		}
	}
	pair := min(copies, len(g.BaseHolders))
	if pending > 0 && pending+lost >= pair {
		return
	}
	if pair > 0 && lost >= pair {
		h.raiseFloor(t.Add(2 * h.settings.MaxSkew))
	}
	h.complete = g.Epoch
}

// pending reports whether the claims of base holder b may still arrive.
func (h *Holder) pending(g Group, b balsampier.Holder) bool {
	return slices.Contains(g.Members, b) && !slices.Contains(h.got, b) && !slices.Contains(h.gone, b) && b != h.self
}

func (h *Holder) raiseFloor(t time.Time) {
	if t.After(h.floor) {
		h.floor = t
	}
}
