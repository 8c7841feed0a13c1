package claim

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// Holder keeps the claims of the keys whose pair the agent belongs to.
	Holder struct {
		self     balsampier.Holder
		settings Settings
		epochs   *Epochs
		// claims has at most MaxClaims granted ones, and twice that with
		// copied ones.
		claims map[balsampier.RequestKey]record
		// releasedCount counts the releasedCount claims.
		releasedCount int
		// floor is the time of issue below which a key without a claim may
		// have been claimed before; it only grows.
		floor time.Time
		// completeEpoch is the newest epoch for which the table is whole.
		completeEpoch balsampier.Epoch
		// baseEpoch is the newest active epoch for which the table was whole.
		baseEpoch balsampier.Epoch
		// copyEpoch is the epoch that got and gone belong to.
		copyEpoch balsampier.Epoch
		// copiedFrom holds the base holders whose claims are in the table.
		copiedFrom []balsampier.Holder
		// incompleteHolders holds the base holders that have no whole table.
		incompleteHolders []balsampier.Holder
	}

	record struct {
		runner   balsampier.Holder
		attempt  Attempt
		released bool
	}
)

// NewHolder returns a holder without claims. The settings are checked ones.
func NewHolder(self balsampier.Holder, s Settings, e *Epochs) *Holder {
	return &Holder{self: self, settings: s, epochs: e, claims: make(map[balsampier.RequestKey]record)}
}

// Claim decides on c at time t.
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
		// A claim that does not block may be older than the one that was lost.
		return DecisionUnknown, none
	case c.Probe:
		return DecisionAbsent, none
	case !ok && !h.makeRoom():
		return DecisionFull, none
	}
	h.put(c.Key, record{runner: c.Runner, attempt: c.Attempt})
	return DecisionGranted, none
}

// makeRoom reports whether one more claim fits. Released claims give way: a late
// message of their runner can then block the key, but nothing runs twice.
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

// canGrant reports whether the holder is one of the pair and may grant now.
func (h *Holder) canGrant(c Claim, t time.Time) bool {
	return h.epochs.Valid(c.Epoch, t) && h.completeEpoch == c.Epoch &&
		slices.Contains(Pair(h.epochs.group.Holders, c.Key), h.self)
}

// blocks reports whether the record keeps c from being granted. A runner that
// claims again withdraws its earlier attempts from c.Since on.
func (r record) blocks(c Claim) bool {
	if r.runner != c.Runner {
		return !r.released
	}
	switch {
	case r.attempt > c.Attempt:
		return true
	case r.attempt < c.FirstAttempt:
		// An earlier request with the key may run unless it was withdrawn.
		return !r.released
	}
	return r.released && r.attempt == c.Attempt
}

// Release withdraws a claim. A release of another runner or of an attempt
// that the claim has left behind changes nothing.
func (h *Holder) Release(r Release) {
	old, ok := h.claims[r.Key]
	if !ok || old.runner != r.Runner || old.attempt < r.FirstAttempt || old.attempt > r.Attempt {
		return
	}
	h.put(r.Key, record{runner: r.Runner, attempt: r.Attempt, released: true})
}

// RemoveExpired drops the claims of keys that no holder grants any more at time t.
func (h *Holder) RemoveExpired(t time.Time) {
	for k := range h.claims {
		if t.After(IssuedAt(k).Add(h.settings.Retention + h.settings.MaxSkew)) {
			h.drop(k)
		}
	}
}

// CompleteEpoch returns the newest epoch for which the table is whole; control
// makes an epoch active once its members report it.
func (h *Holder) CompleteEpoch() balsampier.Epoch { return h.completeEpoch }

// Len returns the number of claims, released ones included.
func (h *Holder) Len() int { return len(h.claims) }
