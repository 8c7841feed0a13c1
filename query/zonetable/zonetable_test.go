package zonetable_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/query/zonetable"
)

// posixZoneData defines every zone by one POSIX TZ rule without a list of
// transitions, as slim zone files do.
type posixZoneData struct{ rule string }

func (r posixZoneData) Location(n string) (*time.Location, error) {
	h := "TZif2" + strings.Repeat("\x00", 15+4*4) + "\x00\x00\x00\x01\x00\x00\x00\x04" + strings.Repeat("\x00", 6) + "STD\x00"
	return time.LoadLocationFromTZData(n, []byte(h+h+"\n"+r.rule+"\n"))
}

// TestRuleOnlyZones compares zones that are defined by a rule alone with those
// that list their transitions, including in leap years.
func TestRuleOnlyZones(t *testing.T) {
	at := time.Date(2026, time.February, 20, 12, 0, 0, 0, time.UTC)
	for _, x := range []struct{ zone, rule string }{
		{"America/Los_Angeles", "PST8PDT,M3.2.0,M11.1.0"},
		{"Australia/Lord_Howe", "<+1030>-10:30<+11>-11,M10.1.0,M4.1.0"},
		{"America/Lima", "<-05>5"},
	} {
		t.Run(x.zone, func(t *testing.T) {
			c := qt.New(t)
			rs := []balsampier.Rule{{Zone: x.zone}}
			want, err := zonetable.Compile(rs, nil, at)
			c.Assert(err, qt.IsNil)
			got, err := zonetable.CompileFrom(posixZoneData{rule: x.rule}, rs, nil, at)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.DeepEquals, want)
		})
	}
}

func TestClockChanges(t *testing.T) {
	at := time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)
	change := func(local string, o time.Duration) balsampier.ClockChange {
		l, err := time.Parse("2006-01-02T15:04", local)
		qt.New(t).Assert(err, qt.IsNil)
		return balsampier.ClockChange{Zone: "America/Vancouver", Local: l, Offset: o}
	}
	for _, x := range []struct {
		name    string
		changes []balsampier.ClockChange
		want    []string
	}{
		{"summer time stays", []balsampier.ClockChange{change("2027-11-07T02:00", -7*time.Hour)}, []string{"2027-03-14T10:00:00Z -7h0m0s"}},
		{"in a skip", []balsampier.ClockChange{change("2027-03-14T02:30", -6*time.Hour)}, []string{"2027-03-14T10:00:00Z -6h0m0s"}},
		{"first pass of a repeat", []balsampier.ClockChange{change("2027-11-07T01:30", -6*time.Hour)}, []string{"2027-03-14T10:00:00Z -7h0m0s", "2027-11-07T08:30:00Z -6h0m0s"}},
		{"in a row, unsorted", []balsampier.ClockChange{change("2027-02-22T00:00", -8*time.Hour), change("2027-02-21T00:00", -7*time.Hour-30*time.Minute)}, []string{"2027-02-21T08:00:00Z -7h30m0s", "2027-02-22T07:30:00Z -8h0m0s"}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			zs, err := zonetable.CompileFrom(posixZoneData{rule: "PST8PDT,M3.2.0,M11.1.0"}, nil, x.changes, at)
			c.Assert(err, qt.IsNil)
			var got []string
			for _, n := range zs[0].Transitions {
				if n.At.After(at) {
					got = append(got, n.At.Format(time.RFC3339)+" "+n.Offset.String())
				}
			}
			c.Assert(got, qt.DeepEquals, x.want)
		})
	}
}
