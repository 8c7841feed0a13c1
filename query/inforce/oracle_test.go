package inforce_test

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/balsampier/balsampier"
)

// oracle is the reference implementation: it scans a time.Location minute by
// minute.
type oracle struct {
	rules []balsampier.Rule
	// decrees holds the clock changes of each zone, in ascending order.
	decrees map[string][]decree
	// locations caches the loaded zones.
	locations map[string]*time.Location
}

type decree struct {
	at     time.Time
	offset time.Duration
}

// newOracle finds the instant of each clock change by scanning its zone from 20
// hours before the local time, taken as UTC.
func newOracle(rs []balsampier.Rule, ks []balsampier.ClockChange) *oracle {
	o := &oracle{rules: rs, decrees: map[string][]decree{}, locations: map[string]*time.Location{}}
	ks = slices.Clone(ks)
	slices.SortFunc(ks, func(a, b balsampier.ClockChange) int { return a.Local.Compare(b.Local) })
	for _, k := range ks {
		t := k.Local.Add(-20 * time.Hour)
		local := k.Local.Format("2006-01-02 15:04")
		for o.wallClock(k.Zone, t) < local && o.wallClockBefore(k.Zone, t) < local {
			t = t.Add(time.Minute)
		}
		o.decrees[k.Zone] = append(o.decrees[k.Zone], decree{at: t, offset: k.Offset})
	}
	return o
}

// localTime returns the local date and time at t.
func (o *oracle) localTime(zone string, t time.Time) time.Time {
	l := o.locations[zone]
	if l == nil {
		var err error
		if l, err = time.LoadLocation(zone); err != nil {
			panic(err)
		}
		o.locations[zone] = l
	}
	for _, d := range o.decrees[zone] {
		if !t.Before(d.at) {
			l = time.FixedZone("", int(d.offset.Seconds()))
		}
	}
	return t.In(l)
}

func (o *oracle) wallClock(zone string, t time.Time) string {
	return o.localTime(zone, t).Format("2006-01-02 15:04")
}

// wallClockBefore returns the wall-clock time at t under the offset of the
// minute before, so that a clock change at t does not count yet.
func (o *oracle) wallClockBefore(zone string, t time.Time) string {
	_, s := o.localTime(zone, t.Add(-time.Minute)).Zone()
	return t.In(time.FixedZone("", s)).Format("2006-01-02 15:04")
}

// lineInForce returns the line of the rule in force, or 0.
func (o *oracle) lineInForce(s netip.AddrPort, c netip.Addr, t time.Time) int {
	for _, r := range o.rules {
		if r.To == s && slices.ContainsFunc(r.From, func(p netip.Prefix) bool { return p.Contains(c) }) && o.isOpen(r, t) {
			return r.Line
		}
	}
	return 0
}

func (o *oracle) isOpen(r balsampier.Rule, t time.Time) bool {
	if len(r.Windows) == 0 {
		return true
	}
	l := o.localTime(r.Zone, t)
	now := l.Format("15:04")
	today := strings.ToLower(l.Format("Mon"))
	y, m, d := l.Date()
	yesterday := strings.ToLower(time.Date(y, m, d-1, 12, 0, 0, 0, time.UTC).Format("Mon"))
	for _, w := range r.Windows {
		start, end := clockText(w.Start), clockText(w.End)
		overnight := end <= start
		if hasDay(w.Days, today) && now >= start && (overnight || now < end) {
			return true
		}
		if hasDay(w.Days, yesterday) && overnight && now < end {
			return true
		}
	}
	return false
}

func hasDay(d balsampier.Weekdays, n string) bool {
	for i, s := range []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"} {
		if s == n {
			return d&(1<<i) != 0
		}
	}
	return false
}

func clockText(d time.Duration) string {
	return fmt.Sprintf("%02d:%02d", int(d.Hours()), int(d.Minutes())%60)
}
