package inforce_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/query/inforce"
	"github.com/balsampier/balsampier/query/zonetable"
)

var (
	acceptedAt = time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)
	service    = netip.MustParseAddrPort("198.51.100.7:443")
	callers    = []netip.Addr{
		netip.MustParseAddr("192.0.2.1"), netip.MustParseAddr("10.1.2.3"),
		netip.MustParseAddr("10.200.0.1"), netip.MustParseAddr("2001:db8::1"),
	}
	prefixes = []netip.Prefix{
		netip.MustParsePrefix("0.0.0.0/0"), netip.MustParsePrefix("10.0.0.0/8"),
		netip.MustParsePrefix("10.1.0.0/16"), netip.MustParsePrefix("2001:db8::/32"),
	}
	zones = []string{
		"America/Vancouver", "America/Lima", "America/Dawson_Creek", "America/Creston", "America/Fort_Nelson",
		"Australia/Lord_Howe",
	}
	// clockScenarios are the local times around which the test cases are
	// generated: built-in clock changes of one hour and of half an hour, and a
	// day after acceptance.
	clockScenarios = []clockScenario{
		{"America/Vancouver", time.Date(2027, time.March, 14, 2, 0, 0, 0, time.UTC)},
		{"America/Vancouver", time.Date(2027, time.November, 7, 1, 0, 0, 0, time.UTC)},
		{"Australia/Lord_Howe", time.Date(2027, time.April, 4, 1, 30, 0, 0, time.UTC)},
		{"Australia/Lord_Howe", time.Date(2027, time.October, 3, 2, 0, 0, 0, time.UTC)},
		{"America/Lima", time.Date(2027, time.February, 21, 0, 0, 0, 0, time.UTC)},
		{"America/Dawson_Creek", time.Date(2027, time.February, 21, 2, 0, 0, 0, time.UTC)},
	}
)

type clockScenario struct {
	zone  string
	local time.Time
}

// drawZone returns the zone of the scenario in three of four cases, otherwise
// any zone.
func (s clockScenario) drawZone(t *rapid.T) string {
	if rapid.IntRange(0, 3).Draw(t, "elsewhere") > 0 {
		return s.zone
	}
	return rapid.SampledFrom(zones).Draw(t, "zone")
}

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func drawWindow(t *rapid.T) balsampier.Window {
	minute := func(n string, lo int) time.Duration {
		return time.Duration(rapid.IntRange(lo, 47+lo).Draw(t, n)) * 30 * time.Minute
	}
	w := balsampier.Window{
		Days:  balsampier.Weekdays(rapid.IntRange(1, 127).Draw(t, "days")),
		Start: minute("start", 0), End: minute("end", 1),
	}
	if w.Start == w.End {
		w.End = 24 * time.Hour
	}
	if rapid.Bool().Draw(t, "night") {
		w.Start, w.End = w.Start%(4*time.Hour), w.End%(4*time.Hour)+30*time.Minute
		if w.Start == w.End {
			w.End += 30 * time.Minute
		}
	}
	return w
}

func drawRules(t *rapid.T, s clockScenario) []balsampier.Rule {
	rs := make([]balsampier.Rule, rapid.IntRange(1, 4).Draw(t, "rules"))
	for i := range rs {
		rs[i] = balsampier.Rule{
			Line: i + 1, Service: balsampier.ServiceName(fmt.Sprint("s", i)), To: service, Comment: "x",
			From: []netip.Prefix{rapid.SampledFrom(prefixes).Draw(t, "from")},
		}
		if i > 0 && rapid.IntRange(0, 4).Draw(t, "always") == 0 {
			continue
		}
		rs[i].Zone = s.drawZone(t)
		for range rapid.IntRange(1, 3).Draw(t, "windows") {
			rs[i].Windows = append(rs[i].Windows, drawWindow(t))
		}
	}
	return rs
}

// drawClockChanges returns clock changes within a few hours of the scenario and
// of each other, often in a skipped or repeated local time.
func drawClockChanges(t *rapid.T, s clockScenario) []balsampier.ClockChange {
	var ks []balsampier.ClockChange
	for i := range rapid.IntRange(0, 3).Draw(t, "decrees") {
		k := balsampier.ClockChange{
			Line: 10 + i, Zone: s.drawZone(t), Comment: "decree",
			Local: s.local.Add(time.Duration(rapid.IntRange(-8, 12).Draw(t, "quarters")) * 15 * time.Minute),
		}
		l, _ := time.LoadLocation(k.Zone)
		_, o := s.local.In(l).Zone()
		k.Offset = time.Duration(o)*time.Second + time.Duration(rapid.IntRange(-4, 4).Draw(t, "halfHours"))*30*time.Minute
		ks = append(ks, k)
	}
	return ks
}

// TestInForceEqualsScan compares the compiled table, and the times at which it
// reports rule changes, with a scan of every minute around clock changes.
func TestInForceEqualsScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.SampledFrom(clockScenarios).Draw(t, "scene")
		rs, ks := drawRules(t, s), drawClockChanges(t, s)
		zs, err := zonetable.Compile(rs, ks, acceptedAt)
		if err != nil {
			t.Fatal(err)
		}
		b, err := inforce.Compile(1, rs, zs)
		if err != nil {
			t.Fatal(err)
		}
		o := newOracle(rs, ks)
		caller := rapid.SampledFrom(callers[:3]).Draw(t, "caller")
		l, _ := time.LoadLocation(s.zone)
		_, offset := s.local.In(l).Zone()
		at := s.local.Add(-time.Duration(offset) * time.Second).Add(-24 * time.Hour)
		at = at.Add(time.Duration(rapid.IntRange(0, 12*60).Draw(t, "minutes")) * time.Minute)
		next, boundary, change := at, at, at
		was := -1
		for range 48 * 60 {
			r, _ := b.InForce(service, caller, at)
			want := o.lineInForce(service, caller, at)
			if r.Line != want {
				t.Fatalf("at %s: line %d, want %d", at, r.Line, want)
			}
			if !at.Before(next) {
				if was == want && at.After(change) {
					t.Fatalf("at %s: NextRuleChange returned this time, but the rule did not change", at)
				}
				next, change = nextRuleChange(b, caller, at), at
			} else if was != want {
				t.Fatalf("at %s: rule in force changed from line %d to %d, but NextRuleChange returned %s", at, was, want, next)
			}
			if !at.Before(boundary) {
				boundary = nextWindowBoundary(b, at)
			} else if was != want {
				t.Fatalf("at %s: rule in force changed from line %d to %d, but NextWindowBoundary returned %s", at, was, want, boundary)
			}
			was = want
			at = at.Add(time.Minute)
		}
	})
}

var never = time.Date(9999, time.January, 1, 0, 0, 0, 0, time.UTC)

func nextRuleChange(b *inforce.Table, c netip.Addr, at time.Time) time.Time {
	if n, ok := b.NextRuleChange(service, c, at); ok {
		return n
	}
	return never
}

func nextWindowBoundary(b *inforce.Table, at time.Time) time.Time {
	if n, ok := b.NextWindowBoundary(at); ok {
		return n
	}
	return never
}

// aliasedZoneData simulates an instance whose time zone database has the data
// of another zone under the name of zone.
type aliasedZoneData struct{ zone, alias string }

func (o aliasedZoneData) Location(n string) (*time.Location, error) {
	if n == o.zone {
		n = o.alias
	}
	return time.LoadLocation(n)
}

// TestDecreeWithOtherZoneData compiles a file at one instance and reads it at
// instances whose zone data differs, around the last built-in change before a
// decreed clock change and around that change. All instances must agree with
// the accepting one at every minute, whereas tables compiled from each
// instance's own data must not.
func TestDecreeWithOtherZoneData(t *testing.T) {
	c := qt.New(t)
	z := "America/Vancouver"
	rs := []balsampier.Rule{{
		Line: 1, Service: "pleat-status", To: service, From: prefixes, Zone: z, Comment: "x",
		Windows: []balsampier.Window{{Days: 127, Start: 8 * time.Hour, End: 20 * time.Hour}},
	}}
	ks := []balsampier.ClockChange{{
		Line: 2, Zone: z, Local: time.Date(2027, time.November, 7, 2, 0, 0, 0, time.UTC), Offset: -7 * time.Hour, Comment: "x",
	}}
	tables, err := zonetable.Compile(rs, ks, acceptedAt)
	c.Assert(err, qt.IsNil)
	o := newOracle(rs, ks)
	var ours, naive []*inforce.Table
	for _, as := range []string{z, "America/Creston", "America/Lima"} {
		zs, err := zonetable.CompileFrom(aliasedZoneData{zone: z, alias: as}, rs, ks, acceptedAt)
		c.Assert(err, qt.IsNil)
		naive = append(naive, compile(c, rs, zs))
		ours = append(ours, compile(c, rs, tables))
	}
	disagreed := 0
	for _, from := range []time.Time{time.Date(2027, time.March, 13, 0, 0, 0, 0, time.UTC), time.Date(2027, time.November, 6, 0, 0, 0, 0, time.UTC)} {
		for at := from; at.Before(from.Add(72 * time.Hour)); at = at.Add(time.Minute) {
			want := o.lineInForce(service, callers[0], at)
			for i := range ours {
				r, _ := ours[i].InForce(service, callers[0], at)
				c.Assert(r.Line, qt.Equals, want, qt.Commentf("instance %d at %s", i, at))
				r, _ = naive[i].InForce(service, callers[0], at)
				if r.Line != want {
					disagreed++
				}
			}
		}
	}
	c.Assert(disagreed > 0, qt.IsTrue)
	c.Logf("own zone data disagrees for %d minutes", disagreed)
}

func compile(c *qt.C, rs []balsampier.Rule, zs []balsampier.ZoneTable) *inforce.Table {
	c.Helper()
	b, err := inforce.Compile(1, rs, zs)
	c.Assert(err, qt.IsNil)
	return b
}

func manyAddresses(n int) ([]balsampier.Rule, netip.AddrPort) {
	var (
		rs []balsampier.Rule
		to netip.AddrPort
	)
	for i := range n {
		to = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
		for j, w := range []balsampier.Window{{Days: 62, Start: 8 * time.Hour, End: 20 * time.Hour}, {Days: 127, Start: 20 * time.Hour, End: 2 * time.Hour}, {Days: 127, Start: 0, End: 24 * time.Hour}} {
			rs = append(rs, balsampier.Rule{
				Line: len(rs) + 1, Service: balsampier.ServiceName(fmt.Sprint("s", j)), To: to, From: prefixes[:1],
				Windows: []balsampier.Window{w}, Zone: "America/Vancouver", Comment: "x",
			})
		}
	}
	return rs, to
}

func TestLookupDoesNotAllocate(t *testing.T) {
	c := qt.New(t)
	rs, to := manyAddresses(4700)
	zs, err := zonetable.Compile(rs, nil, acceptedAt)
	c.Assert(err, qt.IsNil)
	b, err := inforce.Compile(1, rs, zs)
	c.Assert(err, qt.IsNil)
	n := testing.AllocsPerRun(100, func() { b.InForce(to, callers[0], acceptedAt) })
	c.Assert(n, qt.Equals, 0.0)
	r, ok := b.InForce(netip.AddrPortFrom(netip.AddrFrom16(to.Addr().As16()), to.Port()), netip.AddrFrom16(callers[0].As16()), acceptedAt)
	c.Assert(ok, qt.IsTrue, qt.Commentf("addresses in IPv6 form"))
	c.Assert(r.To, qt.Equals, to)
}

func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{30, 470, 4700} {
		rs, to := manyAddresses(n)
		zs, err := zonetable.Compile(rs, nil, acceptedAt)
		if err != nil {
			b.Fatal(err)
		}
		x, err := inforce.Compile(1, rs, zs)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("addresses=", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x.InForce(to, callers[0], acceptedAt)
			}
		})
	}
}
