// Package backoff computes the delay before a retry: exponential backoff with
// full jitter.
package backoff

import (
	"time"

	"github.com/balsampier/balsampier"
)

// Policy limits the delays.
type Policy struct {
	// BaseDelay is the longest first delay; it must be positive.
	BaseDelay time.Duration
	// MaxDelay limits every delay; it must be at least BaseDelay.
	MaxDelay time.Duration
}

// Delay returns the delay before retry n, which counts from zero.
func (p Policy) Delay(n int, r balsampier.Random) time.Duration {
	d := p.BaseDelay
	for range n {
		if d >= p.MaxDelay/2 {
			d = p.MaxDelay
			break
		}
		d *= 2
	}
	return Jitter(d, r)
}

// Jitter returns a uniformly distributed duration in (0, d].
func Jitter(d time.Duration, r balsampier.Random) time.Duration {
	return 1 + time.Duration(r.Uint64()%uint64(d))
}

// JitterAround returns a uniformly distributed duration that differs from d by
// at most a tenth.
func JitterAround(d time.Duration, r balsampier.Random) time.Duration {
	return d - d/10 + Jitter(d/5, r)
}
