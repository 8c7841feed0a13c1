package admit

import "time"

const (
	// limitDecrease is the factor by which a shed request lowers the limit.
	limitDecrease = 0.7
	// minDecreaseInterval is the least time between two decreases, so that one burst
	// of shed requests counts once.
	minDecreaseInterval = 100 * time.Millisecond
	// minProbeDelay and maxProbePause bound how long the limit stays below
	// the level that was shed last. Each probe that fails doubles the pause.
	minProbeDelay = 2 * time.Second
	maxProbeDelay = 16 * time.Second

	defaultServiceTime = 20 * time.Millisecond
	// serviceTimeGain is the weight of one observation in the mean.
	serviceTimeGain = 0.1
	// deviationFactor is how many deviationFactor above the mean a request may run.
	deviationFactor = 2
	// serviceTimeHalfLife is how fast the mean falls while nothing is observed,
	// so that a request is let through again after a slow spell.
	serviceTimeHalfLife = 2 * time.Second
)

type (
	// limit is the number of requests that run at once. It falls when the
	// backend server sheds load and rises with each request that ran.
	limit struct {
		// value is in [1, maxSlots].
		value, maxSlots float64
		// ceiling is the highest level that is not known to be shed.
		ceiling float64
		// loweredAt is when the value last fell.
		loweredAt time.Time
		// probeDelay is how long after lowered the ceiling holds.
		probeDelay time.Duration
	}

	// serviceTime is a moving mean of how long requests run.
	serviceTime struct {
		// mean is zero until the first observation.
		mean time.Duration
		// deviation is the moving mean distance from mean.
		deviation time.Duration
		// observedAt is the time of the last observation.
		observedAt time.Time
	}
)

func newLimit(slots int) limit {
	n := float64(slots)
	return limit{value: n, maxSlots: n, ceiling: n, probeDelay: minProbeDelay}
}

func (l *limit) set(slots int) {
	l.maxSlots = float64(slots)
	l.value = max(min(l.value, l.maxSlots), min(l.maxSlots, 1))
}

// slots returns the limit in whole requests.
func (l *limit) slots() int { return int(l.value) }

func (l *limit) raise(t time.Time) {
	top := l.maxSlots
	if t.Sub(l.loweredAt) < l.probeDelay {
		top = min(top, max(l.ceiling, 1))
	}
	l.value = max(l.value, min(l.value+1/max(l.value, 1), top))
}

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

// estimate returns how long a request that starts at t is expected to run.
func (s *serviceTime) estimate(t time.Time) time.Duration { return s.decay(s.mean, t) }

// upperBound returns a time in which nearly every request that starts at t ends.
func (s *serviceTime) upperBound(t time.Time) time.Duration {
	return s.decay(s.mean+deviationFactor*s.deviation, t)
}

func (s *serviceTime) decay(d time.Duration, t time.Time) time.Duration {
	if s.mean == 0 {
		return defaultServiceTime
	}
	for idle := t.Sub(s.observedAt); idle > serviceTimeHalfLife && d > 1; idle -= serviceTimeHalfLife {
		d /= 2
	}
	return d
}
