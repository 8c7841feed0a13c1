package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDialTimeout checks that the time-out doubles with consecutive failures up
// to its limit.
func TestDialTimeout(t *testing.T) {
	tests := []struct {
		name     string
		failures int32
		want     time.Duration
	}{
		{"first", 0, minDialTimeout},
		{"below the first doubling", dialFailuresPerDoubling - 1, minDialTimeout},
		{"first doubling", dialFailuresPerDoubling, 2 * minDialTimeout},
		{"second doubling", 2 * dialFailuresPerDoubling, 4 * minDialTimeout},
		{"limit", 1000, maxDialTimeout},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			var d dialer
			d.failures.Store(v.failures)
			qt.New(t).Assert(d.timeout(), qt.Equals, v.want)
		})
	}
}
