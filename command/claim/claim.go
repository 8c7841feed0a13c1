// Package claim makes a non-idempotent request run at most once. A runner
// claims the key of the request at two holders before the first byte goes to
// its backend server; holders copy their claims on membership changes.
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
	// DecisionHeld means that another claim stands; Reply.Runner made it.
	DecisionHeld
	// DecisionNotReady means that the holder grants nothing now; ask again.
	DecisionNotReady
	// DecisionFull means that the holder has no room for the claim.
	DecisionFull
	// DecisionUnknown means that the holder cannot know whether the key was
	// claimed before.
	DecisionUnknown
	// DecisionAbsent answers a probe: no other claim stands.
	DecisionAbsent
	// DecisionKeyFromFuture means that the key was issued too far in the future.
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
	// Attempt numbers the claims of one run of an agent. Attempts only grow.
	Attempt uint64

	// Decision is the answer of a holder to a claim.
	Decision uint8

	// Settings bound what holders keep.
	Settings struct {
		// Retention is how long after its issue a key may be claimed.
		Retention time.Duration
		// MaxSkew bounds the difference of the clocks of any two instances,
		// and how far a key may be issued ahead of a holder's clock.
		MaxSkew time.Duration
		// MaxClaims bounds the claims that a holder grants; copies may double
		// it.
		MaxClaims int
	}

	// Group is the membership of one service in one epoch.
	Group = balsampier.ClaimGroup

	// Claim asks a holder to record that Runner alone may run the request.
	Claim struct {
		// Epoch is the epoch that the runner acknowledged.
		Epoch balsampier.Epoch
		Key   balsampier.RequestKey
		// Runner is the run of the agent that wants to run the request.
		Runner balsampier.Holder
		// FirstAttempt is the first attempt of the same request. No attempt from
		// FirstAttempt up to Attempt was started or ever will be.
		FirstAttempt Attempt
		// Attempt is at least Since.
		Attempt Attempt
		// Probe only asks whether another claim stands, and records nothing.
		Probe bool
	}

	// Reply answers a Claim.
	Reply struct {
		Epoch balsampier.Epoch
		Key   balsampier.RequestKey
		// From is the holder that answers.
		From    balsampier.Holder
		Attempt Attempt
		// Decision is never zero.
		Decision Decision
		// Runner is set for DecisionHeld.
		Runner balsampier.Holder
	}

	// Release withdraws a claim that was not started and never will be.
	Release struct {
		Key    balsampier.RequestKey
		Runner balsampier.Holder
		// Attempt and all earlier ones down to FirstAttempt are withdrawn.
		FirstAttempt, Attempt Attempt
	}

	// Record is one claim as it is copied between holders.
	Record struct {
		Key     balsampier.RequestKey
		Runner  balsampier.Holder
		Attempt Attempt
		// Released claims block nobody; they keep late messages of the same
		// runner from claiming again.
		Released bool
	}

	// CopyRequest asks a holder of the base epoch for its claims.
	CopyRequest struct {
		// Epoch is the epoch that the asking holder prepares for.
		Epoch balsampier.Epoch
		From  balsampier.Holder
	}

	// CopyReply answers a CopyRequest.
	CopyReply struct {
		Epoch balsampier.Epoch
		From  balsampier.Holder
		// Incomplete means that the sender has no whole table of the base
		// epoch; Records is then empty.
		Incomplete bool
		// Floor is the sender's Holder floor.
		Floor   time.Time
		Records []Record
	}
)

// Check fills in defaults and reports what is wrong with the settings.
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
// which they are asked. A group of one holder has a pair of one.
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

// IssuedAt returns the time that a UUIDv7 key carries.
func IssuedAt(k balsampier.RequestKey) time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(k[:8]) >> 16))
}

func score(i balsampier.InstanceID, k balsampier.RequestKey) uint64 {
	var b [24]byte
	copy(b[:], k[:])
	binary.BigEndian.PutUint64(b[16:], uint64(i))
	return xxhash.Sum64(b[:])
}
