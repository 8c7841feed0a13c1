package lease

import (
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/backoff"
)

const (
	// StateWaiting members have no lease yet.
	StateWaiting State = iota
	// StateHeld members have a valid lease.
	StateHeld
	// StateExpired members had a lease that ran out: they run no
	// non-idempotent request and serve on what they have.
	StateExpired
	// StateRefused members found their name taken by a newer instance.
	StateRefused
	// StateLeft members gave their lease up.
	StateLeft
)

const (
	// RenewInterval is the time between two renewals.
	RenewInterval = DefaultTTL / 3
	// firstLeaseInterval is the time to the next renewal of a member that waits for
	// its first lease.
	firstLeaseInterval = 500 * time.Millisecond
)

// retryBackoff spaces renewals that failed.
var retryBackoff = backoff.Policy{Base: 100 * time.Millisecond, Cap: RenewInterval}

type (
	// State tells how a member stands with control.
	State uint8

	// Attempt identifies one renewal.
	Attempt uint64

	// MemberLease is a member's side of its lease. All times are readings of the
	// member's own monotonic clock.
	MemberLease struct {
		// expiresAt is when the lease runs out; zero before the first one.
		expiresAt time.Time
		// acknowledgedEpoch is the view epoch that the member uses.
		acknowledgedEpoch balsampier.Epoch
		// activeEpoch is the newest activeEpoch epoch that the member heard of.
		activeEpoch balsampier.Epoch
		// attempt is the newest renewal, sent at sentAt.
		attempt Attempt
		sentAt  time.Time
		// inFlight is true while attempt has no answer.
		inFlight bool
		// renewAt is when to renew.
		renewAt time.Time
		// failures counts failed renewals since the last answer.
		failures int
		// refused is true while another instance has the member's name.
		refused bool
		// left is true after Leave.
		left bool
	}
)

// String returns the name of the standing as it stands in dumps.
func (s State) String() string {
	return [...]string{"waiting", "held", "lapsed", "refused", "left"}[s]
}

// NewMemberLease returns the side of a member that starts at time t.
func NewMemberLease(t time.Time) *MemberLease { return &MemberLease{renewAt: t} }

// NextRenewal returns when to renew.
func (o *MemberLease) NextRenewal() time.Time { return o.renewAt }

// StartRenewal starts a renewal at time t and returns what it has to carry. Answers
// to earlier attempts are ignored from then on.
func (o *MemberLease) StartRenewal(t time.Time, r balsampier.Random) (Attempt, balsampier.Epoch) {
	o.attempt++
	o.sentAt, o.inFlight = t, true
	o.renewAt = t.Add(backoff.Around(RenewInterval, r))
	return o.attempt, o.acknowledgedEpoch
}

// HandleGrant takes the answer to a renewal. The lease counts from when the
// renewal was sent, as its answer may have been long under way.
func (o *MemberLease) HandleGrant(a Attempt, g Grant, r balsampier.Random) {
	if a != o.attempt || !o.inFlight || o.left {
		return
	}
	o.inFlight, o.failures, o.refused = false, 0, false
	o.activeEpoch = max(o.activeEpoch, g.ActiveEpoch)
	if g.TTL <= 0 {
		o.renewAt = o.sentAt.Add(backoff.Around(firstLeaseInterval, r))
		return
	}
	if u := o.sentAt.Add(g.TTL); u.After(o.expiresAt) {
		o.expiresAt = u
	}
}

// HandleFailure takes the failure of a renewal at time t.
func (o *MemberLease) HandleFailure(a Attempt, err error, t time.Time, r balsampier.Random) {
	if a != o.attempt || !o.inFlight {
		return
	}
	o.inFlight = false
	if balsampier.KindOf(err) == balsampier.KindConflict {
		o.refused, o.expiresAt = true, time.Time{}
		o.renewAt = t.Add(backoff.Around(DefaultTTL, r))
		return
	}
	o.renewAt = t.Add(retryBackoff.Delay(o.failures, r))
	o.failures++
}

// Acknowledge says that the member uses the view of epoch e, and none before.
func (o *MemberLease) Acknowledge(e balsampier.Epoch) {
	o.acknowledgedEpoch = max(o.acknowledgedEpoch, e)
}

// Leave gives the lease up. The member must tell control only afterwards.
func (o *MemberLease) Leave() { o.left, o.expiresAt = true, time.Time{} }

// Epoch returns the view epoch that the member may act in at time t; ok is
// false when it has no valid lease. It must be asked again right before each
// step that counts on the lease.
func (o *MemberLease) Epoch(t time.Time) (e balsampier.Epoch, ok bool) {
	return o.acknowledgedEpoch, t.Before(o.expiresAt) && o.acknowledgedEpoch >= o.activeEpoch
}

// ActiveEpoch returns the newest epoch known to be active.
func (o *MemberLease) ActiveEpoch() balsampier.Epoch { return o.activeEpoch }

// State tells how the member stands at time t.
func (o *MemberLease) State(t time.Time) State {
	switch {
	case o.left:
		return StateLeft
	case o.refused:
		return StateRefused
	case t.Before(o.expiresAt):
		return StateHeld
	case o.expiresAt.IsZero():
		return StateWaiting
	default:
		return StateExpired
	}
}
