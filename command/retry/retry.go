// Package retry decides whether and when a refused request is tried again on
// another backend server.
package retry

import (
	"time"

	"github.com/balsampier/balsampier"
)

const (
	defaultShare    = 0.1
	defaultBurst    = 10
	defaultAttempts = 3
	defaultBase     = 5 * time.Millisecond
	defaultMaxDelay = 100 * time.Millisecond
)

type (
	// Settings bound the retries.
	Settings struct {
		// TokensPerRequest is the number of retries that each request pays for.
		TokensPerRequest float64
		// Burst is the most that can be saved up.
		Burst float64
		// MaxAttempts bounds the runs of one request, the first included.
		MaxAttempts int
		// BaseDelay is the longest wait before the first retry; it doubles with
		// each further one, up to MaxDelay.
		BaseDelay, MaxDelay time.Duration
	}

	// Budget is a token bucket that is filled by requests.
	Budget struct {
		settings Settings
		// tokens is in [0, Burst].
		tokens float64
	}

	// RefusedAttempt describes the attempt that was refused.
	RefusedAttempt struct {
		// Kind is the outcome; only KindNotRun is retried.
		Kind balsampier.Kind
		// AttemptNumber counts from 1.
		AttemptNumber int
		// UntriedServers is how many untried backend servers there are.
		UntriedServers int
		// Deadline is the caller's deadline; zero without one.
		Deadline time.Time
		// ExpectedRunTime is how long a run takes; zero when not known.
		ExpectedRunTime time.Duration
	}
)

// Check fills in defaults and reports what is wrong with the settings.
func (s Settings) Check() (Settings, error) {
	if s == (Settings{}) {
		s = Settings{
			TokensPerRequest: defaultShare, Burst: defaultBurst, MaxAttempts: defaultAttempts,
			BaseDelay: defaultBase, MaxDelay: defaultMaxDelay,
		}
	}
	if s.TokensPerRequest < 0 || s.TokensPerRequest > 1 || s.Burst < 1 || s.MaxAttempts < 1 || s.BaseDelay <= 0 || s.MaxDelay < s.BaseDelay {
		return s, balsampier.NewError(balsampier.KindInvalid, "check retry settings",
			"set share in [0, 1], burst and attempts to at least 1, and maxDelay no lower than base", nil)
	}
	return s, nil
}

// NewBudget returns an empty budget. The settings are checked ones.
func NewBudget(s Settings) *Budget { return &Budget{settings: s} }

// RecordRequest counts one request of a caller; retries are not counted.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.tokens+b.settings.TokensPerRequest, b.settings.Burst)
}

// Retry reports whether to try again, and after which wait. It takes a token
// when it does. A request that may have started is never tried again.
func (b *Budget) Retry(y RefusedAttempt, t time.Time, r balsampier.Random) (time.Duration, bool) {
	if y.Kind != balsampier.KindNotRun || y.AttemptNumber >= b.settings.MaxAttempts || y.UntriedServers <= 0 {
		return 0, false
	}
	d := b.delay(y.AttemptNumber, r)
	if !y.Deadline.IsZero() && t.Add(d+y.ExpectedRunTime).After(y.Deadline) {
		return 0, false
	}
	if b.tokens < 1 {
		return 0, false
	}
	b.tokens--
	return d, true
}

// delay draws the wait uniformly from zero to the bound of the attempt.
func (b *Budget) delay(n int, r balsampier.Random) time.Duration {
	d := b.settings.BaseDelay
	for i := 1; i < n && d < b.settings.MaxDelay; i++ {
		d *= 2
	}
	return time.Duration(r.Uint64() % uint64(min(d, b.settings.MaxDelay)+1))
}
