package lease

import (
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/backoff"
)

const (
	// StandingWaiting members have no lease yet.
	StandingWaiting Standing = iota
	// StandingHeld members have a valid lease.
	StandingHeld
	// StandingLapsed members had a lease that ran out: they run no
	// non-idempotent request and serve on what they have.
	StandingLapsed
	// StandingRefused members found their name taken by a newer instance.
	StandingRefused
	// StandingLeft members gave their lease up.
	StandingLeft
)

const (
	// RenewInterval is the time between two renewals.
	RenewInterval = DefaultTerm / 3
	// waitInterval is the time to the next renewal of a member that waits for
	// its first lease.
	waitInterval = 500 * time.Millisecond
)

// retry spaces renewals that failed.
var retry = backoff.Policy{BaseDelay: 100 * time.Millisecond, MaxDelay: RenewInterval}

type (
	// Standing tells how a member stands with control.
	Standing uint8

	// Attempt identifies one renewal.
	Attempt uint64

	// Own is a member's side of its lease. All times are readings of the
	// member's own monotonic clock.
	Own struct {
		// until is when the lease runs out; zero before the first one.
		until time.Time
		// acknowledged is the view epoch that the member uses.
		acknowledged balsampier.Epoch
		// active is the newest active epoch that the member heard of.
		active balsampier.Epoch
		// attempt is the newest renewal, sent at sentAt.
		attempt Attempt
		sentAt  time.Time
		// open is true while attempt has no answer.
		open bool
		// next is when to renew.
		next time.Time
		// failures counts failed renewals since the last answer.
		failures int
		// refused is true while another instance has the member's name.
		refused bool
		// left is true after Leave.
		left bool
	}
)

// String returns the name of the standing as it stands in dumps.
func (s Standing) String() string {
	return [...]string{"waiting", "held", "lapsed", "refused", "left"}[s]
}

// NewOwn returns the side of a member that starts at time t.
func NewOwn(t time.Time) *Own { return &Own{next: t} }

// Next returns when to renew.
func (o *Own) Next() time.Time { return o.next }

// Send starts a renewal at time t and returns what it has to carry. Answers
// to earlier attempts are ignored from then on.
func (o *Own) Send(t time.Time, r balsampier.Random) (Attempt, balsampier.Epoch) {
	o.attempt++
	o.sentAt, o.open = t, true
	o.next = t.Add(backoff.JitterAround(RenewInterval, r))
	return o.attempt, o.acknowledged
}

// Granted takes the answer to a renewal. The lease counts from when the
// renewal was sent, as its answer may have been long under way.
func (o *Own) Granted(a Attempt, g Grant, r balsampier.Random) {
	if a != o.attempt || !o.open || o.left {
		return
	}
	o.open, o.failures, o.refused = false, 0, false
	o.active = max(o.active, g.Active)
	if g.Term <= 0 {
		o.next = o.sentAt.Add(backoff.JitterAround(waitInterval, r))
		return
	}
	if u := o.sentAt.Add(g.Term); u.After(o.until) {
		o.until = u
	}
}

// Failed takes the failure of a renewal at time t.
func (o *Own) Failed(a Attempt, err error, t time.Time, r balsampier.Random) {
	if a != o.attempt || !o.open {
		return
	}
	o.open = false
	if balsampier.KindOf(err) == balsampier.KindConflict {
		o.refused, o.until = true, time.Time{}
		o.next = t.Add(backoff.JitterAround(DefaultTerm, r))
		return
	}
	o.next = t.Add(retry.Delay(o.failures, r))
	o.failures++
}

// Acknowledge says that the member uses the view of epoch e, and none before.
func (o *Own) Acknowledge(e balsampier.Epoch) { o.acknowledged = max(o.acknowledged, e) }

// Leave gives the lease up. The member must tell control only afterwards.
func (o *Own) Leave() { o.left, o.until = true, time.Time{} }

// Epoch returns the view epoch that the member may act in at time t; ok is
// false when it has no valid lease. It must be asked again right before each
// step that counts on the lease.
func (o *Own) Epoch(t time.Time) (e balsampier.Epoch, ok bool) {
	return o.acknowledged, t.Before(o.until) && o.acknowledged >= o.active
}

// Active returns the newest epoch known to be active.
func (o *Own) Active() balsampier.Epoch { return o.active }

// Standing tells how the member stands at time t.
func (o *Own) Standing(t time.Time) Standing {
	switch {
	case o.left:
		return StandingLeft
	case o.refused:
		return StandingRefused
	case t.Before(o.until):
		return StandingHeld
	case o.until.IsZero():
		return StandingWaiting
	default:
		return StandingLapsed
	}
}
