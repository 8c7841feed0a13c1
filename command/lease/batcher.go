package lease

import "time"

const (
	// batchWindow is how long no change must arrive before a batch is logged.
	batchWindow = 250 * time.Millisecond
	// MaxBatchDelay limits how long a batch waits for such a pause. It is
	// longer than the renewal interval, so that the leases of instances that
	// failed together expire within one batch.
	MaxBatchDelay = 2 * time.Second
	// urgentDelay limits how long the changes of members that drain or stop
	// wait.
	urgentDelay = 100 * time.Millisecond

	// restartWindow is the time without a restart after which earlier restarts
	// no longer count.
	restartWindow = time.Minute
	// toleratedRestarts is how many restarts, each within restartWindow of the
	// last, have no effect.
	toleratedRestarts = 3
	// minHoldDelay is how long a member is kept out of the view after the first
	// restart that is not tolerated; each further one doubles it, up to
	// maxHoldDelay.
	minHoldDelay = 4 * time.Second
	maxHoldDelay = time.Minute
)

type (
	// batcher decides when a batch of changes is due.
	batcher struct {
		// firstChangeAt and lastChangeAt are the times of the oldest and newest
		// pending change; zero if there is none.
		firstChangeAt, lastChangeAt time.Time
		// firstUrgentAt is the time of the oldest pending urgent change; zero
		// if there is none.
		firstUrgentAt time.Time
		// withheldUntil is when the first withheld change is due; zero if there
		// is none.
		withheldUntil time.Time
	}

	// restarts counts the restarts of one member.
	restarts struct {
		count int
		// lastRestartAt is the time of the newest restart.
		lastRestartAt time.Time
		// heldUntil is when a withheld member may join the view again.
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

// scheduleAt makes a batch due after time u.
func (d *batcher) scheduleAt(u time.Time) {
	if d.withheldUntil.IsZero() || u.Before(d.withheldUntil) {
		d.withheldUntil = u
	}
}

// startIfDue reports whether a batch is due at time t, and if so clears the
// pending changes for the next one.
func (d *batcher) startIfDue(t time.Time) bool {
	waits := !d.firstChangeAt.IsZero() && (t.Sub(d.lastChangeAt) >= batchWindow || t.Sub(d.firstChangeAt) >= MaxBatchDelay)
	waits = waits || !d.firstUrgentAt.IsZero() && t.Sub(d.firstUrgentAt) >= urgentDelay
	waits = waits || !d.withheldUntil.IsZero() && t.After(d.withheldUntil)
	if waits {
		*d = batcher{}
	}
	return waits
}

// recordRestart records a restart at time t.
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

// isHeld reports whether the member must stay out of the view at time t.
func (r *restarts) isHeld(t time.Time) bool { return !t.After(r.heldUntil) }
