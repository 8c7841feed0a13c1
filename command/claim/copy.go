package claim

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

// NextCopy returns the request for claims that are still missing and the base
// holders to send it to. It is called when an epoch is sealed, and repeatedly
// until CompleteEpoch returns that epoch.
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

// ServeCopy returns the reply to another holder's request. It replies only
// after this holder has acknowledged the requested epoch, because from then on
// it grants no claims in an earlier one.
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

// MergeCopy adds the claims in the reply of a base holder to the table.
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

// mergeRecord replaces a claim that this holder kept from an epoch before the
// base with the base holder's claim. A claim that this holder itself has from
// the base epoch stays, unless r releases it. If the table is full, the record
// is lost and the floor rises instead.
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

// resetCopy discards the copy progress of an earlier epoch when the epoch has
// changed.
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

// hasBaseClaims reports whether the table holds all claims of the base epoch on
// the keys that this holder is responsible for.
func (h *Holder) hasBaseClaims(g Group) bool {
	return slices.Contains(g.BaseHolders, h.self) && h.baseEpoch == g.Base
}

// tryComplete marks the epoch complete once, for every possible pair of base
// holders, one of the two has sent its claims or both were lost. If a pair was
// lost, its claims are unknown, so the floor rises to refuse all keys issued
// before now.
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
