package check

import (
	"fmt"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	weekMinutes = 7 * 24 * 60
	dayMinutes  = 24 * 60
)

// week is a set of minutes of the week, counted from Sunday 00:00.
type week [weekMinutes/64 + 1]uint64

// dayNames is indexed by time.Weekday.
var dayNames = [...]string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// utcMinutes returns the UTC minutes of the week at which the rule applies
// while its zone has offset o.
func utcMinutes(r balsampier.Rule, o time.Duration) week {
	var w week
	if len(r.Windows) == 0 {
		w.add(0, weekMinutes)
		return w
	}
	for _, x := range r.Windows {
		n := minutes(x.End - x.Start)
		if n <= 0 {
			n += dayMinutes
		}
		for d := range 7 {
			if x.Days.Has(time.Weekday(d)) {
				w.add(d*dayMinutes+minutes(x.Start-o), n)
			}
		}
	}
	return w
}

func minutes(d time.Duration) int { return int(d / time.Minute) }

// wrapMinute returns m modulo the minutes of a week, never negative.
func wrapMinute(m int) int { return (m%weekMinutes + weekMinutes) % weekMinutes }

// add adds n minutes to the set, starting at m and wrapping at the end of the
// week.
func (w *week) add(m, n int) {
	m = wrapMinute(m)
	for n > 0 {
		k := min(n, 64-m%64, weekMinutes-m)
		w[m/64] |= (1<<k - 1) << (m % 64)
		m, n = wrapMinute(m+k), n-k
	}
}

func (w *week) has(m int) bool {
	m = wrapMinute(m)
	return w[m/64]&(1<<(m%64)) != 0
}

func (w *week) union(o *week) {
	for i := range w {
		w[i] |= o[i]
	}
}

func (w *week) covers(o *week) bool {
	for i := range w {
		if o[i]&^w[i] != 0 {
			return false
		}
	}
	return true
}

func (w *week) intersects(o *week) bool {
	for i := range w {
		if o[i]&w[i] != 0 {
			return true
		}
	}
	return false
}

// firstGap returns the first contiguous range of the local week that is missing
// from the set, formatted for offset o, and whether there is one.
func (w *week) firstGap(o time.Duration) (string, bool) {
	shift := minutes(o)
	for m := range weekMinutes {
		if w.has(m-shift) || !w.has(m-1-shift) {
			continue
		}
		end := m
		for !w.has(end - shift) {
			end++
		}
		return formatMinute(m) + " to " + formatMinute(wrapMinute(end)), true
	}
	return "", false
}

func formatMinute(m int) string {
	return fmt.Sprintf("%s %02d:%02d", dayNames[m/dayMinutes], m%dayMinutes/60, m%60)
}
