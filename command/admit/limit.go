package admit

import "time"

const (
	// limitDecrease is the factor by which a shed request lowers the limit.
	limitDecrease = 0.7
	// minDecreaseInterval is the minimum time between two decreases, so that a
	// burst of shed requests counts only once.
	minDecreaseInterval = 100 * time.Millisecond
	// minProbeDelay and maxProbeDelay limit how long the limit stays below the
	// level at which the server last shed load. Each failed probe of that level
	// doubles the delay.
	minProbeDelay = 2 * time.Second
	maxProbeDelay = 16 * time.Second

	defaultServiceTime = 20 * time.Millisecond
	// serviceTimeGain is the weight of a new observation in the moving average.
	serviceTimeGain = 0.1
	// deviationFactor is the number of mean deviations that upperBound adds to
	// the mean.
	deviationFactor = 2
	// serviceTimeHalfLife is the time in which the estimate halves without new
	// observations. Otherwise a high estimate after a slow period would keep
	// refusing requests, and no new observation could lower it.
	serviceTimeHalfLife = 2 * time.Second
)

type (
	// limit is the adaptive limit on the number of requests that run at once.
	// It decreases multiplicatively when the backend server sheds load and
	// increases additively with each request that ran.
	limit struct {
		// value is at least min(1, maxSlots) and at most maxSlots.
		value, maxSlots float64
		// ceiling is the highest level at which the server isn't known to shed
		// load.
		ceiling float64
		// loweredAt is when the value last decreased.
		loweredAt time.Time
		// probeDelay is how long after loweredAt the ceiling applies.
		probeDelay time.Duration
	}

	// serviceTime is an exponentially weighted moving average of the time that
	// requests run.
	serviceTime struct {
		// mean is zero until the first observation.
		mean time.Duration
		// deviation is the moving average of the distance from mean.
		deviation time.Duration
		// observedAt is the time of the last observation.
		observedAt time.Time
	}
)

func newLimit(slots int) limit {
	n := float64(slots)
	return limit{value: n, maxSlots: n, ceiling: n, probeDelay: minProbeDelay}
}

// setMaxSlots changes the maximum. A higher value falls to it, and a value below
// one slot rises to one unless the maximum is lower.
func (l *limit) setMaxSlots(slots int) {
	l.maxSlots = float64(slots)
	l.value = max(min(l.value, l.maxSlots), min(l.maxSlots, 1))
}

// slots returns the limit as a whole number of requests.
func (l *limit) slots() int { return int(l.value) }

// raise increases the limit after a request that ran. The limit stays at the
// ceiling until probeDelay has passed.
func (l *limit) raise(t time.Time) {
	top := l.maxSlots
	if t.Sub(l.loweredAt) < l.probeDelay {
		top = min(top, max(l.ceiling, 1))
	}
	l.value = max(l.value, min(l.value+1/max(l.value, 1), top))
}

// lower decreases the limit after the server shed a request. If the server sheds
// load again within twice the last probe delay, the delay doubles; otherwise it
// falls back to minProbeDelay.
func (l *limit) lower(t time.Time) {
	since := t.Sub(l.loweredAt)
	if since < minDecreaseInterval {
		return
	}
	if since < 2*l.probeDelay {
		l.probeDelay = min(2*l.probeDelay, maxProbeDelay)
	} else {
		l.probeDelay = minProbeDelay
	}
	l.loweredAt = t
	l.ceiling = float64(l.slots() - 1)
	l.value = max(min(l.value*limitDecrease, l.ceiling), min(l.maxSlots, 1))
}

func (s *serviceTime) observe(d time.Duration, t time.Time) {
	s.observedAt = t
	if s.mean == 0 {
		s.mean, s.deviation = d, d/2
		return
	}
	e := d - s.mean
	s.mean += time.Duration(serviceTimeGain * float64(e))
	s.deviation += time.Duration(serviceTimeGain * float64(e.Abs()-s.deviation))
}

// estimate returns the expected run time of a request that starts at t.
func (s *serviceTime) estimate(t time.Time) time.Duration { return s.decay(s.mean, t) }

// upperBound returns a time within which nearly every request that starts at t
// finishes.
func (s *serviceTime) upperBound(t time.Time) time.Duration {
	return s.decay(s.mean+deviationFactor*s.deviation, t)
}

// decay halves d for each half-life since the last observation. It returns
// defaultServiceTime if there was none.
func (s *serviceTime) decay(d time.Duration, t time.Time) time.Duration {
	if s.mean == 0 {
		return defaultServiceTime
	}
	for idle := t.Sub(s.observedAt); idle > serviceTimeHalfLife && d > 1; idle -= serviceTimeHalfLife {
		d /= 2
	}
	return d
}
