package loads_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// thinLink is the rate of a link of 2 Mbit/s, in bytes per second.
	thinLink = 250e3
	// settleTime is how long after the last trouble all requests must be served
	// again.
	settleTime = 2 * time.Second
)

// TestReturnOfPower ends all processes of a fleet at once. Clients then send on
// flows that nobody has. Within 5 s after the return all requests must be served
// again.
func TestReturnOfPower(t *testing.T) {
	const (
		lostAt     = 4 * time.Second
		downTime   = 1200 * time.Millisecond
		returnedBy = lostAt + downTime + 5*time.Second
		end        = returnedBy + 2*time.Second
	)
	c := qt.New(t)
	f := newFleet(1, 204, slices.Repeat([]float64{thinLink}, 96))
	f.addClients(6000, 2800)
	f.after(lostAt, func() { f.losePower(downTime) })
	f.run(end + deadline)
	for s := time.Duration(0); s < end; s += time.Second {
		c.Logf("%v: served %.4f, in time %.4f, messages %v", s, f.served(s, s+time.Second), f.servedWithin(s, s+time.Second, aim), f.sent[s/time.Second])
	}
	c.Assert(f.served(returnedBy, end) >= 0.999, qt.IsTrue)
}

// TestLookupsDoNotFeedThemselves loads 96 balancers with links of 2 Mbit/s while
// their flows move to balancers that do not know them. A search that delays the
// replies to other lookups must not cause more searches than it answers: all
// requests are served again soon after the last trouble.
func TestLookupsDoNotFeedThemselves(t *testing.T) {
	for _, p := range []struct {
		name  string
		cause func(*fleet)
		// lastTrouble is when the last trouble is over.
		lastTrouble time.Duration
	}{
		{name: "release while balancers are killed and cut off", lastTrouble: 9 * time.Second, cause: func(f *fleet) {
			f.release(0.35, 27, time.Second)
			f.killShare(0.08)
			f.after(2*time.Second, func() { f.cutOffShare(0.21, 5*time.Second) })
			f.after(3*time.Second, func() { f.killShare(0.08) })
		}},
		{name: "roll of balancers beside a release", lastTrouble: 9 * time.Second, cause: func(f *fleet) {
			f.release(0.49, 28, 730*time.Millisecond)
			f.roll(0.4, 10, 1200*time.Millisecond)
		}},
		{name: "half of the balancers are killed at once", lastTrouble: 4500 * time.Millisecond, cause: func(f *fleet) { f.killShare(0.5) }},
	} {
		t.Run(p.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(1, 204, slices.Repeat([]float64{thinLink}, 96))
			f.addClients(4000, 2200)
			f.after(2*time.Second, func() { p.cause(f) })
			end := p.lastTrouble + settleTime + 2*time.Second
			f.run(end + deadline)
			for s := time.Duration(0); s < end; s += time.Second {
				c.Logf("%v: served %.4f, messages %v", s, f.served(s, s+time.Second), f.sent[s/time.Second])
			}
			c.Assert(f.served(p.lastTrouble+settleTime, end) >= 0.999, qt.IsTrue)
			for s, n := range f.searchBytes {
				c.Check(float64(n) <= thinLink/4*float64(len(f.balancers)), qt.IsTrue, qt.Commentf("searches in second %d", s))
			}
		})
	}
}
