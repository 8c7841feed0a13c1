package retry

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
)

// TestMain sets a fixed seed; a seed on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func TestRetryOnlyWhatDidNotRun(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	retryable := RefusedAttempt{Kind: balsampier.KindNotRun, AttemptNumber: 1, UntriedServers: 1}
	tests := []struct {
		name string
		edit func(*RefusedAttempt)
		want bool
	}{
		{"notRun", func(*RefusedAttempt) {}, true},
		{"unknown", func(y *RefusedAttempt) { y.Kind = balsampier.KindUnknown }, false},
		{"unavailable", func(y *RefusedAttempt) { y.Kind = balsampier.KindUnavailable }, false},
		{"noOtherServer", func(y *RefusedAttempt) { y.UntriedServers = 0 }, false},
		{"attempts", func(y *RefusedAttempt) { y.AttemptNumber = 3 }, false},
		{"deadlinePassed", func(y *RefusedAttempt) { y.Deadline = now.Add(-time.Nanosecond) }, false},
		{"deadlineTooNear", func(y *RefusedAttempt) { y.Deadline, y.ExpectedRunTime = now.Add(time.Second), 2*time.Second }, false},
		{"deadlineFar", func(y *RefusedAttempt) { y.Deadline, y.ExpectedRunTime = now.Add(time.Second), 500*time.Millisecond }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s, err := Settings{}.Check()
			c.Assert(err, qt.IsNil)
			b := NewBudget(s)
			for range 100 {
				b.RecordRequest()
			}
			y := retryable
			tt.edit(&y)
			_, ok := b.Retry(y, now, rand.NewPCG(1, 1))
			c.Assert(ok, qt.Equals, tt.want)
		})
	}
}

func TestRetriesStayWithinBudgetAndDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := Settings{}.Check()
		b := NewBudget(s)
		r := rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)
		now := time.Unix(1_800_000_000, 0)
		offered, retried := 0, 0
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 3), 1, 500).Draw(t, "steps") {
			if n == 0 {
				b.RecordRequest()
				offered++
				continue
			}
			y := RefusedAttempt{
				Kind: balsampier.KindNotRun, AttemptNumber: n, UntriedServers: 1,
				Deadline: now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "deadline")) * time.Millisecond),
			}
			d, ok := b.Retry(y, now, r)
			if !ok {
				continue
			}
			retried++
			if d < 0 || d > s.MaxDelay || now.Add(d).After(y.Deadline) {
				t.Fatalf("delay %v with %v left to the deadline", d, y.Deadline.Sub(now))
			}
		}
		if float64(retried) > s.TokensPerRequest*float64(offered)+1e-6 {
			t.Fatalf("%d retries of %d requests", retried, offered)
		}
	})
}
