// Package retry decides whether and when a refused request is retried on
// another backend server.
package retry

import (
	"time"

	"github.com/balsampier/balsampier"
)

const (
	defaultTokensPerRequest = 0.1
	defaultBurst            = 10
	defaultMaxAttempts      = 3
	defaultBaseDelay        = 5 * time.Millisecond
	defaultMaxDelay         = 100 * time.Millisecond
)

type (
	// Settings limits the retries.
	Settings struct {
		// TokensPerRequest is what each request adds to the budget; a retry
		// costs one token.
		TokensPerRequest float64
		// Burst is the maximum number of tokens in the budget.
		Burst float64
		// MaxAttempts limits the attempts of one request, including the first.
		MaxAttempts int
		// BaseDelay is the longest delay before the first retry. It doubles
		// with each further retry, up to MaxDelay.
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
		// AttemptNumber is the number of the attempt, starting at 1.
		AttemptNumber int
		// UntriedServers is the number of backend servers that were not tried
		// yet.
		UntriedServers int
		// Deadline is the caller's deadline; zero if there is none.
		Deadline time.Time
		// ExpectedRunTime is how long the request is expected to run; zero if
		// unknown.
		ExpectedRunTime time.Duration
	}
)

// Check returns the settings, with the defaults if none are set, and an error
// of KindInvalid if a value is out of range.
func (s Settings) Check() (Settings, error) {
	if s == (Settings{}) {
		s = Settings{
			TokensPerRequest: defaultTokensPerRequest, Burst: defaultBurst, MaxAttempts: defaultMaxAttempts,
			BaseDelay: defaultBaseDelay, MaxDelay: defaultMaxDelay,
		}
	}
	if s.TokensPerRequest < 0 || s.TokensPerRequest > 1 || s.Burst < 1 || s.MaxAttempts < 1 || s.BaseDelay <= 0 || s.MaxDelay < s.BaseDelay {
		return s, balsampier.NewError(balsampier.KindInvalid, "check retry settings",
			"set tokensPerRequest in [0, 1], burst and maxAttempts to at least 1, baseDelay above zero, and maxDelay no lower than baseDelay", nil)
	}
	return s, nil
}

// NewBudget returns an empty budget. The settings must have passed Check.
func NewBudget(s Settings) *Budget { return &Budget{settings: s} }

// RecordRequest adds the tokens for one request of a caller. It must not be
// called for retries.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.tokens+b.settings.TokensPerRequest, b.settings.Burst)
}

// Retry reports whether to retry, and after which delay. If so, it takes a
// token. A request that may have started is never retried.
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

// delay returns a uniformly distributed delay from zero to the limit for the
// attempt.
func (b *Budget) delay(n int, r balsampier.Random) time.Duration {
	d := b.settings.BaseDelay
	for i := 1; i < n && d < b.settings.MaxDelay; i++ {
		d *= 2
	}
	return time.Duration(r.Uint64() % uint64(min(d, b.settings.MaxDelay)+1))
}
