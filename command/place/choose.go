package place

import (
	"math"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// Settings rule the choice of a holder.
	Settings struct {
		// Choices is how many agents are compared for a new flow; at least 1.
		Choices int
		// WarmupWindow is how long a cold backend server takes to get its whole share;
		// positive.
		WarmupWindow time.Duration
		// LoadTTL is the age from which a load is no longer believed; positive.
		LoadTTL time.Duration
	}

	// Chooser picks the holder of a new flow by the power of choices.
	Chooser struct {
		settings Settings
		loads    balsampier.LoadView
	}
)

// coldShare is the share of its whole weight that a server starts with.
const coldShare = 0.1

// DefaultSettings returns the settings used unless a file names others.
func DefaultSettings() Settings {
	return Settings{Choices: 2, WarmupWindow: 10 * time.Second, LoadTTL: 2 * time.Second}
}

// NewChooser returns a chooser that knows the loads in l.
func NewChooser(s Settings, l balsampier.LoadView) *Chooser {
	return &Chooser{settings: s, loads: l}
}

// Choose returns the least loaded of some random agents; false without any.
func (c *Chooser) Choose(ms []balsampier.Member, t time.Time, x balsampier.Random) (balsampier.Member, bool) {
	if len(ms) == 0 {
		return balsampier.Member{}, false
	}
	n := min(c.settings.Choices, len(ms))
	mean := c.mean(ms, t)
	best, low := 0, math.Inf(1)
	first := int(x.Uint64() % uint64(len(ms)))
	for i := range n {
		at := first
		if i > 0 {
			at = c.another(first, i, len(ms), x)
		}
		if s := c.score(ms[at], mean, t); s < low {
			best, low = at, s
		}
	}
	return ms[best], true
}

// another returns a random place other than the first, or the i-th from it
// when all places are compared.
func (c *Chooser) another(first, i, n int, x balsampier.Random) int {
	if c.settings.Choices >= n {
		return (first + i) % n
	}
	return (first + 1 + int(x.Uint64()%uint64(n-1))) % n
}

// mean returns the mean work per slot of up to sampleSize agents whose load is
// fresh.
func (c *Chooser) mean(ms []balsampier.Member, t time.Time) float64 {
	const sampleSize = 8
	work, slots := 0, 0
	for _, m := range ms[:min(len(ms), sampleSize)] {
		if l, ok := c.loads.Load(m.ID); ok && t.Sub(l.At) < c.settings.LoadTTL {
			work += workOf(l)
			slots += slotsOf(m)
		}
	}
	if slots == 0 {
		return 0
	}
	return float64(work) / float64(slots)
}

// score is the work per slot after one more flow. An agent whose load is stale
// is taken for an average one.
func (c *Chooser) score(m balsampier.Member, mean float64, t time.Time) float64 {
	s := float64(slotsOf(m))
	l, ok := c.loads.Load(m.ID)
	if !ok || t.Sub(l.At) >= c.settings.LoadTTL {
		return mean + 1/s
	}
	return float64(workOf(l)+1) / (s * c.share(l.ReadySince, t))
}

// share returns the part of its whole weight that a server has at t.
func (c *Chooser) share(since, t time.Time) float64 {
	if since.IsZero() {
		return 1
	}
	return min(1, max(coldShare, float64(t.Sub(since))/float64(c.settings.WarmupWindow)))
}

func workOf(l balsampier.Load) int { return l.Connections + l.Running + l.Queued }

func slotsOf(m balsampier.Member) int { return max(1, m.Slots) }
