package claim

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// Holder stores the claims on the keys that are assigned to this agent by
	// Pair.
	Holder struct {
		self     balsampier.Holder
		settings Settings
		epochs   *Epochs
		// claims grows to at most MaxClaims entries by grants, and to at most
		// 2*MaxClaims by copied claims.
		claims map[balsampier.RequestKey]record
		// releasedCount is the number of released entries in claims.
		releasedCount int
		// floor is a time of issue: a key issued at or before it that has no
		// entry may have been claimed before. It never decreases.
		floor time.Time
		// completeEpoch is the newest epoch for which all claims were copied.
		completeEpoch balsampier.Epoch
		// baseEpoch is the newest active epoch for which all claims were
		// copied.
		baseEpoch balsampier.Epoch
		// copyEpoch is the epoch to which copiedFrom and incompleteHolders
		// belong.
		copyEpoch balsampier.Epoch
		// copiedFrom lists the base holders whose claims are in the table.
		copiedFrom []balsampier.Holder
		// incompleteHolders lists the base holders that replied that they don't
		// have all their claims.
		incompleteHolders []balsampier.Holder
	}

	record struct {
		runner   balsampier.Holder
		attempt  Attempt
		released bool
	}
)

// NewHolder returns a holder without claims. The settings must have passed
// Check.
func NewHolder(self balsampier.Holder, s Settings, e *Epochs) *Holder {
	return &Holder{self: self, settings: s, epochs: e, claims: make(map[balsampier.RequestKey]record)}
}

// Claim grants or refuses c at time t and returns the reply.
func (h *Holder) Claim(c Claim, t time.Time) Reply {
	r := Reply{Epoch: c.Epoch, Key: c.Key, From: h.self, Attempt: c.Attempt}
	r.Decision, r.Runner = h.decide(c, t)
	return r
}

func (h *Holder) decide(c Claim, t time.Time) (Decision, balsampier.Holder) {
	var none balsampier.Holder
	if !h.canGrant(c, t) {
		return DecisionNotReady, none
	}
	issued := IssuedAt(c.Key)
	if issued.After(t.Add(h.settings.MaxSkew)) {
		return DecisionKeyFromFuture, none
	}
	if t.After(issued.Add(h.settings.Retention)) {
		return DecisionUnknown, none
	}
	old, ok := h.claims[c.Key]
	switch {
	case ok && old.blocks(c):
		return DecisionHeld, old.runner
	case !issued.After(h.floor):
		// The claim on record doesn't block c, but a newer one on the key may
		// have been lost.
		return DecisionUnknown, none
	case c.Probe:
		return DecisionAbsent, none
	case !ok && !h.makeRoom():
		return DecisionFull, none
	}
	h.put(c.Key, record{runner: c.Runner, attempt: c.Attempt})
	return DecisionGranted, none
}

// makeRoom reports whether there is room for one more claim. A full table
// evicts its released claims first. A delayed message of an evicted claim's
// runner can then block the key, but no request runs twice.
func (h *Holder) makeRoom() bool {
	if len(h.claims) >= h.settings.MaxClaims && h.releasedCount > 0 {
		for k, r := range h.claims {
			if r.released {
				h.drop(k)
			}
		}
	}
	return len(h.claims) < h.settings.MaxClaims
}

func (h *Holder) put(k balsampier.RequestKey, r record) {
	h.drop(k)
	h.claims[k] = r
	if r.released {
		h.releasedCount++
	}
}

func (h *Holder) drop(k balsampier.RequestKey) {
	if h.claims[k].released {
		h.releasedCount--
	}
	delete(h.claims, k)
}

// canGrant reports whether the holder belongs to the key's pair and may grant
// claims in the epoch of c at time t.
func (h *Holder) canGrant(c Claim, t time.Time) bool {
	return h.epochs.Valid(c.Epoch, t) && h.completeEpoch == c.Epoch &&
		slices.Contains(Pair(h.epochs.group.Holders, c.Key), h.self)
}

// blocks reports whether the record prevents c from being granted. A runner
// that claims again withdraws its attempts from c.FirstAttempt on.
func (r record) blocks(c Claim) bool {
	if r.runner != c.Runner {
		return !r.released
	}
	switch {
	case r.attempt > c.Attempt:
		return true
	case r.attempt < c.FirstAttempt:
		// The record belongs to an earlier request with the same key, which
		// may be running unless its claim was released.
		return !r.released
	}
	return r.released && r.attempt == c.Attempt
}

// Release withdraws a claim. A release from another runner, or of attempts that
// don't include the recorded one, has no effect.
func (h *Holder) Release(r Release) {
	old, ok := h.claims[r.Key]
	if !ok || old.runner != r.Runner || old.attempt < r.FirstAttempt || old.attempt > r.Attempt {
		return
	}
	h.put(r.Key, record{runner: r.Runner, attempt: r.Attempt, released: true})
}

// RemoveExpired removes the claims on keys that no holder grants any more at
// time t.
func (h *Holder) RemoveExpired(t time.Time) {
	for k := range h.claims {
		if t.After(IssuedAt(k).Add(h.settings.Retention + h.settings.MaxSkew)) {
			h.drop(k)
		}
	}
}

// CompleteEpoch returns the newest epoch for which all claims were copied. The
// control instances activate an epoch once all its holders report it.
func (h *Holder) CompleteEpoch() balsampier.Epoch { return h.completeEpoch }

// Len returns the number of claims, including released ones.
func (h *Holder) Len() int { return len(h.claims) }
