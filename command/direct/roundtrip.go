package direct

import "time"

const (
	// maxReplyTimeout is the longest time-out for a reply. A longer one would
	// use up the time in which a client expects its answer.
	maxReplyTimeout = 500 * time.Millisecond
	// roundTripWeight and deviationWeight are the inverse weights of a new
	// sample, as in RFC 6298.
	roundTripWeight = 8
	deviationWeight = 4
	// minDeviation is the least time that is added to the smoothed round trip.
	minDeviation = 10 * time.Millisecond
)

// roundTrip is the smoothed time that agents take to reply. It covers all
// agents, because what delays many replies at once is the balancer's own link.
type roundTrip struct{ smoothed, deviation time.Duration }

// record adds a sample. A sample counts for at most twice the present time-out,
// so that single agents that reply late, such as after a pause of their
// machine, do not lengthen the time-out much.
func (r *roundTrip) record(d time.Duration) {
	d = min(d, 2*max(r.timeout(), openTimeout))
	if r.smoothed == 0 {
		r.smoothed, r.deviation = d, d/2
		return
	}
	r.deviation += ((d - r.smoothed).Abs() - r.deviation) / deviationWeight
	r.smoothed += (d - r.smoothed) / roundTripWeight
}

// timeout returns the time within which nearly all replies arrive.
func (r *roundTrip) timeout() time.Duration { return r.smoothed + max(4*r.deviation, minDeviation) }

// replyTimeout returns the time-out for a reply: at least the given one, and
// longer while replies are slow.
func (d *Director) replyTimeout(least time.Duration) time.Duration {
	return max(least, min(d.roundTrip.timeout(), maxReplyTimeout))
}

// recordRoundTrip records how long an agent took to reply. A reply that comes
// after its time-out is measured from the first question about the flow.
func (d *Director) recordRoundTrip(f *flow, late bool, t time.Time) {
	since := f.askedAt
	if late {
		since = f.firstAskedAt
	}
	if !since.IsZero() {
		d.roundTrip.record(t.Sub(since))
	}
}

// markAsked records that agents were asked about the flow at time t.
func (f *flow) markAsked(t time.Time) {
	if f.firstAskedAt.IsZero() {
		f.firstAskedAt = t
	}
	f.askedAt = t
}
