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
	// freeRestarts is how many restarts inside of restartWindow have no
	// consequence.
	freeRestarts = 3
	// firstHold is how long a member stays out of the view after one restart
	// too many; each further one doubles it up to maxHold.
	firstHold = 4 * time.Second
	maxHold   = time.Minute
)

type (
	// damper gathers changes into batches.
	damper struct {
		// first and last are the times of the oldest and newest change that
		// wait; zero when none does.
		first, last time.Time
		// urgent is when the oldest urgent change came; zero without one.
		urgent time.Time
		// later is when a withheld change is due; zero without one.
		later time.Time
	}

	// restarts counts the restarts of one member.
	restarts struct {
		count int
		// last is the time of the newest restart.
		last time.Time
		// until is when a withheld member may join again.
		until time.Time
	}
)

// note records a change at time t.
func (d *damper) note(t time.Time, urgent bool) {
	if d.first.IsZero() || t.Before(d.first) {
		d.first = t
	}
	if t.After(d.last) {
		d.last = t
	}
	if urgent && d.urgent.IsZero() {
		d.urgent = t
	}
}

// noteAt asks for a batch after u.
func (d *damper) noteAt(u time.Time) {
	if d.later.IsZero() || u.Before(d.later) {
		d.later = u
	}
}

// due reports whether a batch is due, and starts the next one if so.
func (d *damper) due(t time.Time) bool {
	waits := !d.first.IsZero() && (t.Sub(d.last) >= batchWindow || t.Sub(d.first) >= MaxBatchDelay)
	waits = waits || !d.urgent.IsZero() && t.Sub(d.urgent) >= urgentDelay
	waits = waits || !d.later.IsZero() && t.After(d.later)
	if waits {
		*d = damper{}
	}
	return waits
}

// note records a restart.
func (r *restarts) note(t time.Time) {
	if t.Sub(r.last) > restartWindow {
		r.count = 0
	}
	r.count++
	r.last = t
	if n := r.count - freeRestarts; n > 0 {
		r.until = t.Add(min(firstHold<<min(n-1, 8), maxHold))
	}
}

// held reports whether the member has to stay out of the view.
func (r *restarts) held(t time.Time) bool { return !t.After(r.until) }
