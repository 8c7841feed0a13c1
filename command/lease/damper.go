package lease

import "time"

const (
	// batchWindow is how long changes must pause before a batch is logged.
	batchWindow = 250 * time.Millisecond
	// MaxBatchDelay bounds the wait for a pause. It is longer than the
	// interval between renewals, so that the leases of instances that were
	// lost together run out within one batch.
	MaxBatchDelay = 2 * time.Second
	// urgentDelay bounds the wait of members that drain or stop.
	urgentDelay = 100 * time.Millisecond

	// restartWindow is how long a restart counts.
	restartWindow = time.Minute
	// toleratedRestarts is how many restarts inside of restartWindow have no
	// consequence.
	toleratedRestarts = 3
	// minHoldDelay is how long a member stays out of the view after one restart
	// too many; each further one doubles it up to maxHold.
	minHoldDelay = 4 * time.Second
	maxHoldDelay = time.Minute
)

type (
	// batcher gathers changes into batches.
	batcher struct {
		// firstChangeAt and lastChangeAt are the times of the oldest and newest change that
		// wait; zero when none does.
		firstChangeAt, lastChangeAt time.Time
		// firstUrgentAt is when the oldest firstUrgentAt change came; zero without one.
		firstUrgentAt time.Time
		// withheldUntil is when a withheld change is due; zero without one.
		withheldUntil time.Time
	}

	// restarts counts the restarts of one member.
	restarts struct {
		count int
		// lastRestartAt is the time of the newest restart.
		lastRestartAt time.Time
		// heldUntil is when a withheld member may join again.
		heldUntil time.Time
	}
)

// recordChange records a change at time t.
func (d *batcher) recordChange(t time.Time, urgent bool) {
	if d.firstChangeAt.IsZero() || t.Before(d.firstChangeAt) {
		d.firstChangeAt = t
	}
	if t.After(d.lastChangeAt) {
		d.lastChangeAt = t
	}
	if urgent && d.firstUrgentAt.IsZero() {
		d.firstUrgentAt = t
	}
}

// scheduleAt asks for a batch after u.
func (d *batcher) scheduleAt(u time.Time) {
	if d.withheldUntil.IsZero() || u.Before(d.withheldUntil) {
		d.withheldUntil = u
	}
}

// startIfDue reports whether a batch is startIfDue, and starts the next one if so.
func (d *batcher) startIfDue(t time.Time) bool {
	waits := !d.firstChangeAt.IsZero() && (t.Sub(d.lastChangeAt) >= batchWindow || t.Sub(d.firstChangeAt) >= MaxBatchDelay)
	waits = waits || !d.firstUrgentAt.IsZero() && t.Sub(d.firstUrgentAt) >= urgentDelay
	waits = waits || !d.withheldUntil.IsZero() && t.After(d.withheldUntil)
	if waits {
		*d = batcher{}
	}
	return waits
}

// recordRestart records a restart.
func (r *restarts) recordRestart(t time.Time) {
	if t.Sub(r.lastRestartAt) > restartWindow {
		r.count = 0
	}
	r.count++
	r.lastRestartAt = t
	if n := r.count - toleratedRestarts; n > 0 {
		r.heldUntil = t.Add(min(minHoldDelay<<min(n-1, 8), maxHoldDelay))
	}
}

// isHeld reports whether the member has to stay out of the view.
func (r *restarts) isHeld(t time.Time) bool { return !t.After(r.heldUntil) }
