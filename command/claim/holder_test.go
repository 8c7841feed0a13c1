package claim_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/bench/requests"
	"github.com/balsampier/balsampier/command/claim"
)

// TestHolderDecisions checks the decision of a single holder on one claim,
// after earlier claims and releases.
func TestHolderDecisions(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	s := claim.Settings{Retention: time.Minute, MaxSkew: time.Second, MaxClaims: 1}
	self := balsampier.Holder{Instance: 1, Incarnation: 1}
	one, two := balsampier.Holder{Instance: 2, Incarnation: 1}, balsampier.Holder{Instance: 3, Incarnation: 1}
	k, other := requests.NewKey(now, 1), requests.NewKey(now, 2)
	newClaim := func(r balsampier.Holder, firstAttempt, attempt claim.Attempt) claim.Claim {
		return claim.Claim{Epoch: 1, Key: k, Runner: r, FirstAttempt: firstAttempt, Attempt: attempt}
	}
	withKey := func(c claim.Claim, k balsampier.RequestKey) claim.Claim {
		c.Key = k
		return c
	}
	tests := []struct {
		name          string
		earlierClaims []claim.Claim
		released      []claim.Release
		claim         claim.Claim
		claimDelay    time.Duration
		want          claim.Decision
	}{
		{"first", nil, nil, newClaim(one, 1, 1), 0, claim.DecisionGranted},
		{"repeated", []claim.Claim{newClaim(one, 1, 1)}, nil, newClaim(one, 1, 1), 0, claim.DecisionGranted},
		{"otherRunner", []claim.Claim{newClaim(one, 1, 1)}, nil, newClaim(two, 1, 1), 0, claim.DecisionHeld},
		{"nextAttempt", []claim.Claim{newClaim(one, 1, 1)}, nil, newClaim(one, 1, 2), 0, claim.DecisionGranted},
		{"sameRunnerOtherRequest", []claim.Claim{newClaim(one, 1, 1)}, nil, newClaim(one, 2, 2), 0, claim.DecisionHeld},
		{"lateAttempt", []claim.Claim{newClaim(one, 1, 2)}, nil, newClaim(one, 1, 1), 0, claim.DecisionHeld},
		{"released", []claim.Claim{newClaim(one, 1, 1)}, []claim.Release{{k, one, 1, 1}}, newClaim(two, 1, 1), 0, claim.DecisionGranted},
		{"lateAfterRelease", []claim.Claim{newClaim(one, 1, 1)}, []claim.Release{{k, one, 1, 1}}, newClaim(one, 1, 1), 0, claim.DecisionHeld},
		{"resendAfterRelease", []claim.Claim{newClaim(one, 1, 1)}, []claim.Release{{k, one, 1, 1}}, newClaim(one, 2, 2), 0, claim.DecisionGranted},
		{"olderAfterRelease", []claim.Claim{newClaim(one, 2, 2)}, []claim.Release{{k, one, 2, 2}}, newClaim(one, 1, 1), 0, claim.DecisionHeld},
		{"releaseOfOtherRunner", []claim.Claim{newClaim(one, 1, 1)}, []claim.Release{{k, two, 1, 1}}, newClaim(two, 1, 1), 0, claim.DecisionHeld},
		{"lateRelease", []claim.Claim{newClaim(one, 2, 2)}, []claim.Release{{k, one, 1, 1}}, newClaim(two, 1, 1), 0, claim.DecisionHeld},
		{"probeAbsent", nil, nil, claim.Claim{Epoch: 1, Key: k, Runner: two, FirstAttempt: 1, Attempt: 1, Probe: true}, 0, claim.DecisionAbsent},
		{"full", []claim.Claim{withKey(newClaim(one, 1, 1), other)}, nil, newClaim(one, 2, 2), 0, claim.DecisionFull},
		{"releasedGivesWay", []claim.Claim{withKey(newClaim(one, 1, 1), other)}, []claim.Release{{other, one, 1, 1}}, newClaim(one, 2, 2), 0, claim.DecisionGranted},
		{"wrongEpoch", nil, nil, claim.Claim{Epoch: 2, Key: k, Runner: one, FirstAttempt: 1, Attempt: 1}, 0, claim.DecisionNotReady},
		{"leaseOver", nil, nil, newClaim(one, 1, 1), 9 * time.Second, claim.DecisionNotReady},
		{"early", nil, nil, withKey(newClaim(one, 1, 1), requests.NewKey(now.Add(2*time.Second), 3)), 0, claim.DecisionKeyFromFuture},
		{"outsideRetention", nil, nil, withKey(newClaim(one, 1, 1), requests.NewKey(now.Add(-2*time.Minute), 4)), 0, claim.DecisionUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			e := claim.NewEpochs(self)
			e.AdoptGroup(claim.Group{Epoch: 1, Members: []balsampier.Holder{self}, Holders: []balsampier.Holder{self}})
			e.ExtendLease(now, 10*time.Second, 1, 1)
			h := claim.NewHolder(self, s, e)
			h.NextCopy(now)
			c.Assert(h.CompleteEpoch(), qt.Equals, balsampier.Epoch(1))
			for _, b := range tt.earlierClaims {
				c.Assert(h.Claim(b, now).Decision, qt.Equals, claim.DecisionGranted)
			}
			for _, r := range tt.released {
				h.Release(r)
			}
			c.Assert(h.Claim(tt.claim, now.Add(tt.claimDelay)).Decision, qt.Equals, tt.want)
			h.RemoveExpired(now.Add(10 * time.Minute))
			c.Assert(h.Len(), qt.Equals, 0)
		})
	}
}
