// Package claim ensures that a non-idempotent request runs at most once. A
// runner claims the key of the request at two holders before it sends the first
// byte to its backend server. Holders copy their claims to the new holders when
// the membership changes.
package claim

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsampier/balsampier"
)

const (
	// DecisionGranted means that the holder recorded the claim.
	DecisionGranted Decision = iota + 1
	// DecisionHeld means that another claim on the key exists; Reply.Runner
	// made it.
	DecisionHeld
	// DecisionNotReady means that the holder can't grant claims at the moment;
	// the runner retries.
	DecisionNotReady
	// DecisionFull means that the holder's table has no space for the claim.
	DecisionFull
	// DecisionUnknown means that the holder can't tell whether the key was
	// claimed before: the key is past its retention, or claims of its age may
	// have been lost.
	DecisionUnknown
	// DecisionAbsent is the reply to a probe when no other claim exists.
	DecisionAbsent
	// DecisionKeyFromFuture means that the key's time of issue is more than
	// MaxSkew ahead of the holder's clock.
	DecisionKeyFromFuture
)

const (
	// replicationFactor is the number of holders that record each claim.
	replicationFactor = 2

	defaultRetention = 10 * time.Minute
	defaultMaxSkew   = 500 * time.Millisecond
	defaultMaxClaims = 100_000
)

type (
	// Attempt numbers the claims of one incarnation of an agent. The numbers
	// only increase.
	Attempt uint64

	// Decision is the reply of a holder to a claim.
	Decision uint8

	// Settings limits the claims that a holder keeps.
	Settings struct {
		// Retention is how long after its time of issue a key can be claimed.
		Retention time.Duration
		// MaxSkew is the greatest expected difference between the clocks of two
		// instances. It also limits how far a key's time of issue may be ahead
		// of a holder's clock.
		MaxSkew time.Duration
		// MaxClaims is the number of claims, including copied ones, at which a
		// holder stops granting new ones. Copied claims can grow the table to
		// twice this number.
		MaxClaims int
	}

	// Group is the membership of one service in one epoch.
	Group = balsampier.ClaimGroup

	// Claim asks a holder to record that only Runner may run the request.
	Claim struct {
		// Epoch is the epoch that the runner acknowledged.
		Epoch balsampier.Epoch
		Key   balsampier.RequestKey
		// Runner is the incarnation of the agent that wants to run the request.
		Runner balsampier.Holder
		// FirstAttempt is the first attempt for the same request. No attempt
		// from FirstAttempt up to, but not including, Attempt was started or
		// will be.
		FirstAttempt Attempt
		// Attempt is at least FirstAttempt.
		Attempt Attempt
		// Probe asks whether another claim exists without recording this one.
		Probe bool
	}

	// Reply is a holder's reply to a Claim.
	Reply struct {
		Epoch balsampier.Epoch
		Key   balsampier.RequestKey
		// From is the holder that replies.
		From    balsampier.Holder
		Attempt Attempt
		// Decision is never zero.
		Decision Decision
		// Runner is set for DecisionHeld.
		Runner balsampier.Holder
	}

	// Release withdraws a claim whose request was not started and never will
	// be.
	Release struct {
		Key    balsampier.RequestKey
		Runner balsampier.Holder
		// All attempts from FirstAttempt up to Attempt are withdrawn.
		FirstAttempt, Attempt Attempt
	}

	// Record is one claim in the form in which holders copy it to each other.
	Record struct {
		Key     balsampier.RequestKey
		Runner  balsampier.Holder
		Attempt Attempt
		// Released marks a withdrawn claim. It doesn't block other runners; it
		// only keeps delayed messages of its own runner from claiming the key
		// again.
		Released bool
	}

	// CopyRequest asks a holder of the base epoch for its claims.
	CopyRequest struct {
		// Epoch is the epoch that the asking holder prepares for.
		Epoch balsampier.Epoch
		From  balsampier.Holder
	}

	// CopyReply is a holder's reply to a CopyRequest.
	CopyReply struct {
		Epoch balsampier.Epoch
		From  balsampier.Holder
		// Incomplete means that the sender doesn't have all its claims of the
		// base epoch; Records is then empty.
		Incomplete bool
		// Floor is the sender's floor; see Holder.
		Floor   time.Time
		Records []Record
	}
)

// Check returns the settings, with the defaults if none are set, and an error
// of KindInvalid if a value is out of range.
func (s Settings) Check() (Settings, error) {
	if s == (Settings{}) {
		s = Settings{Retention: defaultRetention, MaxSkew: defaultMaxSkew, MaxClaims: defaultMaxClaims}
	}
	if s.Retention <= 0 || s.MaxSkew <= 0 || s.MaxSkew >= s.Retention || s.MaxClaims <= 0 {
		return s, balsampier.NewError(balsampier.KindInvalid, "check claim settings",
			"set retention, maxSkew and maxClaims above zero, and maxSkew below retention", nil)
	}
	return s, nil
}

// Pair returns the holders that must both grant a claim on k, in the order in
// which they are asked. It ranks the holders by rendezvous hashing. If there is
// only one holder, it returns that one.
func Pair(hs []balsampier.Holder, k balsampier.RequestKey) []balsampier.Holder {
	var best [replicationFactor]balsampier.Holder
	var top [replicationFactor]uint64
	n := 0
	for _, h := range hs {
		s := score(h.Instance, k)
		i := n
		for i > 0 && s > top[i-1] {
			i--
		}
		if i >= replicationFactor {
			continue
		}
		copy(best[i+1:], best[i:])
		copy(top[i+1:], top[i:])
		best[i], top[i] = h, s
		n = min(n+1, replicationFactor)
	}
	return best[:n:n]
}

// IssuedAt returns the time of issue in the UUIDv7 key k, in whole
// milliseconds.
func IssuedAt(k balsampier.RequestKey) time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(k[:8]) >> 16))
}

// score returns the rendezvous hash of the instance and the key.
func score(i balsampier.InstanceID, k balsampier.RequestKey) uint64 {
	var b [24]byte
	copy(b[:], k[:])
	binary.BigEndian.PutUint64(b[16:], uint64(i))
	return xxhash.Sum64(b[:])
}
