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
	// StateExpired members had a lease that expired: they run no non-idempotent
	// requests and continue to serve with the state that they have.
	StateExpired
	// StateRefused members were refused a lease because another instance has
	// their name.
	StateRefused
	// StateLeft members have given up their lease.
	StateLeft
)

const (
	// RenewInterval is the mean time between two renewals.
	RenewInterval = DefaultTTL / 3
	// waitingInterval is the mean time between renewals of a member that
	// waits for a lease.
	waitingInterval = 500 * time.Millisecond
)

// retryBackoff spaces retries after failed renewals.
var retryBackoff = backoff.Policy{BaseDelay: 100 * time.Millisecond, MaxDelay: RenewInterval}

type (
	// State is the state of a member's lease, as the member knows it.
	State uint8

	// Attempt identifies one renewal.
	Attempt uint64

	// MemberLease is the member's side of its lease. All times are readings of
	// the member's own monotonic clock.
	MemberLease struct {
		// expiresAt is when the lease expires; zero before the first one and
		// after it was refused or given up.
		expiresAt time.Time
		// acknowledgedEpoch is the view epoch that the member uses.
		acknowledgedEpoch balsampier.Epoch
		// activeEpoch is the newest active epoch that the member knows of.
		activeEpoch balsampier.Epoch
		// attempt is the newest renewal, sent at sentAt.
		attempt Attempt
		sentAt  time.Time
		// inFlight is true while attempt has no reply.
		inFlight bool
		// renewAt is when to send the next renewal.
		renewAt time.Time
		// failures counts failed renewals since the last grant.
		failures int
		// refused is true while another instance has the member's name.
		refused bool
		// left is true after Leave.
		left bool
	}
)

// String returns the name of the state as it appears in dumps.
func (s State) String() string {
	return [...]string{"waiting", "held", "lapsed", "refused", "left"}[s]
}

// NewMemberLease returns the lease of a member that starts at time t.
func NewMemberLease(t time.Time) *MemberLease { return &MemberLease{renewAt: t} }

// NextRenewal returns when to send the next renewal.
func (o *MemberLease) NextRenewal() time.Time { return o.renewAt }

// StartRenewal starts a renewal at time t and returns its attempt and the
// acknowledged epoch that it must carry. Replies to earlier attempts are ignored
// from then on.
func (o *MemberLease) StartRenewal(t time.Time, r balsampier.Random) (Attempt, balsampier.Epoch) {
	o.attempt++
	o.sentAt, o.inFlight = t, true
	o.renewAt = t.Add(backoff.JitterAround(RenewInterval, r))
	return o.attempt, o.acknowledgedEpoch
}

// HandleGrant handles the reply to a renewal. The lease counts from when the
// renewal was sent, because the reply may have been in transit for long.
func (o *MemberLease) HandleGrant(a Attempt, g Grant, r balsampier.Random) {
	if a != o.attempt || !o.inFlight || o.left {
		return
	}
	o.inFlight, o.failures, o.refused = false, 0, false
	o.activeEpoch = max(o.activeEpoch, g.ActiveEpoch)
	if g.TTL <= 0 {
		o.renewAt = o.sentAt.Add(backoff.JitterAround(waitingInterval, r))
		return
	}
	if u := o.sentAt.Add(g.TTL); u.After(o.expiresAt) {
		o.expiresAt = u
	}
}

// HandleFailure handles the failure of a renewal at time t.
func (o *MemberLease) HandleFailure(a Attempt, err error, t time.Time, r balsampier.Random) {
	if a != o.attempt || !o.inFlight {
		return
	}
	o.inFlight = false
	if balsampier.KindOf(err) == balsampier.KindConflict {
		o.refused, o.expiresAt = true, time.Time{}
		o.renewAt = t.Add(backoff.JitterAround(DefaultTTL, r))
		return
	}
	o.renewAt = t.Add(retryBackoff.Delay(o.failures, r))
	o.failures++
}

// Acknowledge records that the member uses the view of epoch e and none before
// it.
func (o *MemberLease) Acknowledge(e balsampier.Epoch) {
	o.acknowledgedEpoch = max(o.acknowledgedEpoch, e)
}

// Leave gives up the lease. The member must notify control only afterwards.
func (o *MemberLease) Leave() { o.left, o.expiresAt = true, time.Time{} }

// Epoch returns the view epoch in which the member may act at time t; ok is
// false if it has no valid lease in an active epoch. The caller must call it
// again right before each step that relies on the lease.
func (o *MemberLease) Epoch(t time.Time) (e balsampier.Epoch, ok bool) {
	return o.acknowledgedEpoch, t.Before(o.expiresAt) && o.acknowledgedEpoch >= o.activeEpoch
}

// ActiveEpoch returns the newest epoch known to be active.
func (o *MemberLease) ActiveEpoch() balsampier.Epoch { return o.activeEpoch }

// State returns the state of the lease at time t.
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
