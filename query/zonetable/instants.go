package zonetable

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

// Instants returns all instants at which the zone's wall clock shows l, in
// ascending order. The time.Location of l must be UTC. There are none if a
// clock change skips l, and two if one repeats it.
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
