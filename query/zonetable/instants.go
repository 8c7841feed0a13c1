package zonetable

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

// Instants returns the instants at which the zone's wall clock shows l, which
// is carried in UTC, in order: none where the clock skips l, two where it
// repeats l.
func Instants(z balsampier.ZoneTable, l time.Time) []time.Time {
	var out []time.Time
	for _, n := range z.Transitions {
		t := l.Add(-n.Offset)
		if Offset(z, t) == n.Offset && !slices.ContainsFunc(out, t.Equal) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}
