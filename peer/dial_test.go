package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDialTimeout grows with failures in turn, up to its bound.
func TestDialTimeout(t *testing.T) {
	tests := []struct {
		name     string
		failures int32
		want     time.Duration
	}{
		{"first", 0, dialFirst},
		{"a few instances are down", dialTries - 1, dialFirst},
		{"a round failed", dialTries, 2 * dialFirst},
		{"two rounds failed", 2 * dialTries, 4 * dialFirst},
		{"cut off for long", 1000, dialMost},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			var d dialer
			d.failures.Store(v.failures)
			qt.New(t).Assert(d.timeout(), qt.Equals, v.want)
		})
	}
}
