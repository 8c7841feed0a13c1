package admit

import "time"

const (
	// limitDecrease is the factor by which a shed request lowers the limit.
	limitDecrease = 0.7
	// limitPause is the least time between two decreases, so that one burst
	// of shed requests counts once.
	limitPause = 100 * time.Millisecond
	// minProbePause and maxProbePause bound how long the limit stays below
	// the level that was shed last. Each probe that fails doubles the pause.
	minProbePause = 2 * time.Second
	maxProbePause = 16 * time.Second

	defaultServiceTime = 20 * time.Millisecond
	// serviceGain is the weight of one observation in the mean.
	serviceGain = 0.1
	// deviations is how many deviations above the mean a request may run.
	deviations = 2
	// serviceHalfLife is how fast the mean falls while nothing is observed,
	// so that a request is let through again after a slow spell.
	serviceHalfLife = 2 * time.Second
)

type (
	// limit is the number of requests that run at once. It falls when the
	// backend server sheds load and rises with each request that ran.
	limit struct {
		// value is in [1, most].
		value, most float64
		// ceiling is the highest level that is not known to be shed.
		ceiling float64
		// lowered is when the value last fell.
		lowered time.Time
		// pause is how long after lowered the ceiling holds.
		pause time.Duration
	}

	// serviceTime is a moving mean of how long requests run.
	serviceTime struct {
		// mean is zero until the first observation.
		mean time.Duration
		// deviation is the moving mean distance from mean.
		deviation time.Duration
		// at is the time of the last observation.
		at time.Time
	}
)

func newLimit(slots int) limit {
	n := float64(slots)
	return limit{value: n, most: n, ceiling: n, pause: minProbePause}
}

func (l *limit) set(slots int) {
	l.most = float64(slots)
	l.value = max(min(l.value, l.most), min(l.most, 1))
}

// slots returns the limit in whole requests.
func (l *limit) slots() int { return int(l.value) }

func (l *limit) raise(t time.Time) {
	top := l.most
	if t.Sub(l.lowered) < l.pause {
		top = min(top, max(l.ceiling, 1))
	}
	l.value = max(l.value, min(l.value+1/max(l.value, 1), top))
}

func (l *limit) lower(t time.Time) {
	since := t.Sub(l.lowered)
	if since < limitPause {
		return
	}
	if since < 2*l.pause {
		l.pause = min(2*l.pause, maxProbePause)
	} else {
		l.pause = minProbePause
	}
	l.lowered = t
	l.ceiling = float64(l.slots() - 1)
	l.value = max(min(l.value*limitDecrease, l.ceiling), min(l.most, 1))
}

func (s *serviceTime) observe(d time.Duration, t time.Time) {
	s.at = t
	if s.mean == 0 {
		s.mean, s.deviation = d, d/2
		return
	}
	e := d - s.mean
	s.mean += time.Duration(serviceGain * float64(e))
	s.deviation += time.Duration(serviceGain * float64(e.Abs()-s.deviation))
}

// estimate returns how long a request that starts at t is expected to run.
func (s *serviceTime) estimate(t time.Time) time.Duration { return s.decay(s.mean, t) }

// likely returns a time in which nearly every request that starts at t ends.
func (s *serviceTime) likely(t time.Time) time.Duration {
	return s.decay(s.mean+deviations*s.deviation, t)
}

func (s *serviceTime) decay(d time.Duration, t time.Time) time.Duration {
	if s.mean == 0 {
		return defaultServiceTime
	}
	for idle := t.Sub(s.at); idle > serviceHalfLife && d > 1; idle -= serviceHalfLife {
		d /= 2
	}
	return d
}
