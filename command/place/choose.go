package place

import (
	"math"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// Settings configures a Chooser.
	Settings struct {
		// Choices is the number of agents compared for each new flow; at least
		// 1.
		Choices int
		// WarmupWindow is the time over which the share of a cold backend
		// server grows to its full share; positive.
		WarmupWindow time.Duration
		// LoadTTL is the age at which a reported load expires; positive.
		LoadTTL time.Duration
	}

	// Chooser selects the holder of a new flow by the power of choices: it
	// compares the loads of a few random agents.
	Chooser struct {
		settings Settings
		loads    balsampier.LoadView
	}
)

// minWarmupShare is the share of its full weight at which a server starts.
const minWarmupShare = 0.1

// DefaultSettings returns the settings that apply where none are configured.
func DefaultSettings() Settings {
	return Settings{Choices: 2, WarmupWindow: 10 * time.Second, LoadTTL: 2 * time.Second}
}

// NewChooser returns a Chooser that reads the loads in l.
func NewChooser(s Settings, l balsampier.LoadView) *Chooser {
	return &Chooser{settings: s, loads: l}
}

// Choose returns the least loaded of a few random members of ms at time t. It
// returns false if ms is empty.
func (c *Chooser) Choose(ms []balsampier.Member, t time.Time, x balsampier.Random) (balsampier.Member, bool) {
	if len(ms) == 0 {
		return balsampier.Member{}, false
	}
	n := min(c.settings.Choices, len(ms))
	mean := c.meanLoad(ms, t)
	best, low := 0, math.Inf(1)
	first := int(x.Uint64() % uint64(len(ms)))
	for i := range n {
		at := first
		if i > 0 {
			at = c.nextCandidate(first, i, len(ms), x)
		}
		if s := c.loadScore(ms[at], mean, t); s < low {
			best, low = at, s
		}
	}
	return ms[best], true
}

// nextCandidate returns the index of the i-th candidate after first. It is a
// random index other than first, or the i-th after it if every member is
// compared.
func (c *Chooser) nextCandidate(first, i, n int, x balsampier.Random) int {
	if c.settings.Choices >= n {
		return (first + i) % n
	}
	return (first + 1 + int(x.Uint64()%uint64(n-1))) % n
}

// meanLoad returns the mean load per slot of up to sampleSize agents whose load
// has not expired; zero if there are none.
func (c *Chooser) meanLoad(ms []balsampier.Member, t time.Time) float64 {
	const sampleSize = 8
	load, slots := 0, 0
	for _, m := range ms[:min(len(ms), sampleSize)] {
		if l, ok := c.loads.Load(m.ID); ok && t.Sub(l.At) < c.settings.LoadTTL {
			load += loadOf(l)
			slots += slotsOf(m)
		}
	}
	if slots == 0 {
		return 0
	}
	return float64(load) / float64(slots)
}

// loadScore returns the load per slot of an agent after one more flow, divided
// by its warm-up share. An agent whose load is unknown or expired counts as
// average.
func (c *Chooser) loadScore(m balsampier.Member, mean float64, t time.Time) float64 {
	s := float64(slotsOf(m))
	l, ok := c.loads.Load(m.ID)
	if !ok || t.Sub(l.At) >= c.settings.LoadTTL {
		return mean + 1/s
	}
	return float64(loadOf(l)+1) / (s * c.warmupShare(l.ReadySince, t))
}

// warmupShare returns the fraction of its full weight that a server has at t if
// it has been ready since the given time. A zero since counts as warm.
func (c *Chooser) warmupShare(since, t time.Time) float64 {
	if since.IsZero() {
		return 1
	}
	return min(1, max(minWarmupShare, float64(t.Sub(since))/float64(c.settings.WarmupWindow)))
}

func loadOf(l balsampier.Load) int { return l.Connections + l.Running + l.Queued }

func slotsOf(m balsampier.Member) int { return max(1, m.Slots) }
