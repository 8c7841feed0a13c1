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
	if !h.epochs.Sealed() || h.completeEpoch == g.Epoch {
		return CopyRequest{}, nil
	}
	h.resetCopy(g)
	h.tryComplete(g, t)
	if h.completeEpoch == g.Epoch {
		return CopyRequest{}, nil
	}
	var to []balsampier.Holder
	for _, b := range g.BaseHolders {
		if h.isPending(g, b) {
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
	h.resetCopy(g)
	p := CopyReply{Epoch: q.Epoch, From: h.self}
	if !h.hasBaseClaims(g) {
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
	if p.Epoch != g.Epoch || h.copyEpoch != g.Epoch || h.completeEpoch == g.Epoch || !h.isPending(g, p.From) {
		return
	}
	if p.Incomplete {
		h.incompleteHolders = append(h.incompleteHolders, p.From)
		h.tryComplete(g, t)
		return
	}
	for _, r := range p.Records {
		h.mergeRecord(g, r, t)
	}
	h.raiseFloor(p.Floor)
	h.copiedFrom = append(h.copiedFrom, p.From)
	h.tryComplete(g, t)
}

// mergeRecord lets the claim of a base holder replace one that this holder
// kept from an epoch before the base.
func (h *Holder) mergeRecord(g Group, r Record, t time.Time) {
	old, ok := h.claims[r.Key]
	own := ok && h.hasBaseClaims(g) && slices.Contains(Pair(g.BaseHolders, r.Key), h.self)
	released := r.Released && old.runner == r.Runner && old.attempt == r.Attempt
	if own && !old.released && !released {
		return
	}
	if !ok && len(h.claims) >= 2*h.settings.MaxClaims {
		h.raiseFloor(t.Add(2 * h.settings.MaxSkew))
		return
	}
	h.put(r.Key, record{runner: r.Runner, attempt: r.Attempt, released: r.Released})
}

// resetCopy forgets what was copied for an earlier epoch.
func (h *Holder) resetCopy(g Group) {
	if h.copyEpoch == g.Epoch {
		return
	}
	h.copiedFrom, h.incompleteHolders = nil, nil
	if h.completeEpoch == g.Base {
		h.baseEpoch = g.Base
	}
	if h.hasBaseClaims(g) {
		h.copiedFrom = []balsampier.Holder{h.self}
	}
	h.copyEpoch = g.Epoch
}

// hasBaseClaims reports whether the table holds all claims on its keys of the base.
func (h *Holder) hasBaseClaims(g Group) bool {
	return slices.Contains(g.BaseHolders, h.self) && h.baseEpoch == g.Base
}

// tryComplete completes the epoch once every pair of base holders has sent its
// claims through one of its two, or lost both. Where a pair was lost, keys
// issued before now are not known any more.
func (h *Holder) tryComplete(g Group, t time.Time) {
	pending, lost := 0, 0
	for _, b := range g.BaseHolders {
		switch {
		case h.isPending(g, b):
			pending++
		case !slices.Contains(h.copiedFrom, b):
			lost++
		}
	}
	pair := min(replicationFactor, len(g.BaseHolders))
	if pending > 0 && pending+lost >= pair {
		return
	}
	if pair > 0 && lost >= pair {
		h.raiseFloor(t.Add(2 * h.settings.MaxSkew))
	}
	h.completeEpoch = g.Epoch
}

// isPending reports whether the claims of base holder b may still arrive.
func (h *Holder) isPending(g Group, b balsampier.Holder) bool {
	return slices.Contains(g.Members, b) && !slices.Contains(h.copiedFrom, b) && !slices.Contains(h.incompleteHolders, b) && b != h.self
}

func (h *Holder) raiseFloor(t time.Time) {
	if t.After(h.floor) {
		h.floor = t
	}
}
