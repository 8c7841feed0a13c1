// Package backoff decides how long to wait before a retry: exponential backoff
// with full jitter.
package backoff

import (
	"time"

	"github.com/balsampier/balsampier"
)

// Policy bounds the delays.
type Policy struct {
	// BaseDelay bounds the first delay; positive.
	BaseDelay time.Duration
	// MaxDelay bounds every delay; at least Base.
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

// JitterAround returns a uniformly distributed duration within a tenth of d.
func JitterAround(d time.Duration, r balsampier.Random) time.Duration {
	return d - d/10 + Jitter(d/5, r)
}
