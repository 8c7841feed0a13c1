package check_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator/rulefile"
	"github.com/balsampier/balsampier/query/check"
	"github.com/balsampier/balsampier/query/inforce"
	"github.com/balsampier/balsampier/query/zonetable"
)

var acceptedAt = time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)

// zoneData has only Vancouver and Lima, with rules that do not depend on the
// machine's time zone database.
type zoneData struct{}

func (z zoneData) Location(n string) (*time.Location, error) {
	switch n {
	case "America/Vancouver":
		return location(n, "PST8PDT,M3.2.0,M11.1.0")
	case "America/Lima":
		return location(n, "<-05>5")
	}
	return nil, fmt.Errorf("no zone %s", n)
}

// location returns a zone that is defined by a POSIX TZ rule.
func location(n, rule string) (*time.Location, error) {
	h := "TZif2" + strings.Repeat("\x00", 15+4*4) + "\x00\x00\x00\x01\x00\x00\x00\x04"
	b := h + strings.Repeat("\x00", 6) + "STD\x00"
	return time.LoadLocationFromTZData(n, []byte(b+b+"\n"+rule+"\n"))
}

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func TestCheck(t *testing.T) {
	for _, x := range []struct {
		name, text string
		want       []string
	}{
		{"good", "rule a to 1.2.3.4:443 from any # x", nil},
		{"empty", "# nothing", []string{`line 1, column 1: warning: the file has no rule, so that every new connection is refused: add a rule for each service address`}},
		{"unknown zones", "rule a to 1.2.3.4:443 from any daily 08:00-09:00 America/Lime # x\nclock America/Vancuver at 2027-03-14T02:00 offset -07:00 # x", []string{
			`line 1, column 50: unknown zone, found "America/Lime": use an IANA name such as America/Vancouver`,
			`line 2, column 7: unknown zone, found "America/Vancuver": use an IANA name such as America/Vancouver`,
		}},
		{"unreachable", "rule a to 1.2.3.4:443 from any # x\nrule b to 1.2.3.4:443 from 10.0.0.0/8 # x", []string{
			`line 2, column 11: warning: no packet reaches the rule, as line 1 and others above it take all of its traffic, found "1.2.3.4:443": delete the rule, or move it above them`,
		}},
		{"unreachable by two", "rule a to 1.2.3.4:443 from 0.0.0.0/1 # x\nrule a to 1.2.3.4:443 from 128.0.0.0/1 # x\nrule b to 1.2.3.4:443 from 0.0.0.0/0 # x", []string{
			`line 3, column 11: warning: no packet reaches the rule, as line 1 and others above it take all of its traffic, found "1.2.3.4:443": delete the rule, or move it above them`,
		}},
		{"overlap", "rule a to 1.2.3.4:443 from 10.0.0.0/8 # x\nrule b to 1.2.3.4:443 from any # x", []string{
			`line 2, column 11: warning: line 1 above takes part of the traffic for a, found "1.2.3.4:443": narrow the callers or the hours of one of them, or leave it if the first line is meant to win`,
		}},
		{"overlap across zones in summer only", "rule a to 1.2.3.4:443 from any daily 00:00-12:00 America/Lima # x\nrule b to 1.2.3.4:443 from any daily 09:00-21:00 America/Vancouver # x", []string{
			`line 2, column 11: warning: line 1 above takes part of the traffic for a, found "1.2.3.4:443": narrow the callers or the hours of one of them, or leave it if the first line is meant to win`,
		}},
		{"uncovered", "rule a to 1.2.3.4:443 from any mon-sat 08:00-20:00 America/Lima # x", []string{
			`line 1, column 11: warning: callers such as 0.0.0.0 are refused in some hours, first from mon 20:00 to tue 08:00 America/Lima, found "1.2.3.4:443": add a rule for these hours if they are to be served`,
		}},
		{"skipped hours", "rule a to 1.2.3.4:443 from any sun 02:15-02:45 America/Vancouver # x\nrule b to 1.2.3.4:443 from any # x", []string{
			`line 1, column 36: warning: the hours match nothing when the clocks skip from 2027-03-14T02:00 to 2027-03-14T03:00, found "02:15-02:45": add hours outside of the skip if the service is needed on that day`,
			`line 2, column 11: warning: line 1 above takes part of the traffic for a, found "1.2.3.4:443": narrow the callers or the hours of one of them, or leave it if the first line is meant to win`,
		}},
		{"decree in a skip", "rule a to 1.2.3.4:443 from any # x\nclock America/Vancouver at 2027-03-14T02:30 offset -06:00 # x", []string{
			`line 2, column 28: warning: the clock never shows this time; the change takes place at the skip, 2027-03-14T10:00:00Z, found "2027-03-14T02:30": write the time that the clock shows right before the change`,
		}},
		{"decrees at one instant", "rule a to 1.2.3.4:443 from any # x\nclock America/Vancouver at 2027-03-14T02:15 offset -06:00 # x\nclock America/Vancouver at 2027-03-14T02:30 offset -07:00 # x", []string{
			`line 2, column 28: warning: the clock never shows this time; the change takes place at the skip, 2027-03-14T10:00:00Z, found "2027-03-14T02:15": write the time that the clock shows right before the change`,
			`line 3, column 28: the change takes place no later than that of line 2, which comes before it on the clock, found "2027-03-14T02:30": keep one of the two lines`,
			`line 3, column 28: warning: the clock never shows this time; the change takes place at the skip, 2027-03-14T10:00:00Z, found "2027-03-14T02:30": write the time that the clock shows right before the change`,
		}},
		{"no change", "rule a to 1.2.3.4:443 from any # x\nclock America/Lima at 2027-03-14T02:00 offset -05:00 # x", []string{
			`line 2, column 23: warning: the offset is the one that holds already; only built-in changes of the zone are cancelled from here on, found "2027-03-14T02:00": check the offset against the decree`,
		}},
		{"sign", "rule a to 1.2.3.4:443 from any # x\nclock America/Lima at 2027-03-14T02:00 offset +05:00 # x", []string{
			`line 2, column 23: warning: the clock moves by 10h0m0s, found "2027-03-14T02:00": check the offset against the decree`,
		}},
		{"beyond", "rule a to 1.2.3.4:443 from any # x\nclock America/Lima at 2127-03-14T02:00 offset -06:00 # x", []string{
			`line 2, column 23: the change lies beyond the zone tables, found "2127-03-14T02:00": write a time before 2037-02-27, and submit later changes when they are near`,
		}},
		{"too far back", "rule a to 1.2.3.4:443 from any # x\nclock America/Lima at 1990-03-14T02:00 offset -06:00 # x", []string{
			`line 2, column 23: the change lies too far back, found "1990-03-14T02:00": delete the line, or write a time after 2017-02-12`,
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			f, ps := rulefile.Parse(x.text)
			c.Assert(ps, qt.HasLen, 0)
			zs, ps, err := check.Check(zoneData{}, f.Rules, f.ClockChanges, acceptedAt)
			c.Assert(err, qt.IsNil)
			var got []string
			for _, p := range ps {
				got = append(got, p.String())
			}
			c.Assert(got, qt.DeepEquals, x.want)
			c.Assert(zs == nil, qt.Equals, rulefile.HasErrors(ps) || len(zonetable.Names(f.Rules, f.ClockChanges)) == 0)
		})
	}
}

func TestExpiring(t *testing.T) {
	c := qt.New(t)
	f, _ := rulefile.Parse("rule a to 1.2.3.4:443 from any daily 08:00-09:00 America/Vancouver # x\nrule b to 1.2.3.5:443 from any daily 08:00-09:00 America/Lima # x")
	zs, _, err := check.Check(zoneData{}, f.Rules, f.ClockChanges, acceptedAt)
	c.Assert(err, qt.IsNil)
	c.Assert(check.Expiring(f.Rules, zs, acceptedAt, acceptedAt.AddDate(8, 0, 0)), qt.HasLen, 0)
	ps := check.Expiring(f.Rules, zs, acceptedAt, acceptedAt.AddDate(9, 6, 0))
	c.Assert(ps, qt.HasLen, 1)
	c.Assert(ps[0].String(), qt.Equals, `line 1, column 50: warning: the zone's table ends on 2037-02-27 and its last offset holds from then on, found "America/Vancouver": submit the file again, so that its zones are compiled anew`)
}

func TestTooManyRules(t *testing.T) {
	c := qt.New(t)
	line := "rule a to 1.2.3.4:443 from any # x\n"
	for _, n := range []int{inforce.MaxRules, inforce.MaxRules + 1} {
		f, _ := rulefile.Parse(strings.Repeat(line, n))
		_, ps, err := check.Check(zoneData{}, f.Rules, f.ClockChanges, acceptedAt)
		c.Assert(err, qt.IsNil)
		c.Assert(rulefile.HasErrors(ps), qt.Equals, n > inforce.MaxRules)
	}
}

// TestUnreachableEqualsScan compares the warnings for each rule with a scan of
// every caller and every quarter of an hour, over one week in winter and one in
// summer.
func TestUnreachableEqualsScan(t *testing.T) {
	to := netip.MustParseAddrPort("198.51.100.7:443")
	callers := []netip.Addr{
		netip.MustParseAddr("192.0.2.1"), netip.MustParseAddr("10.200.0.1"), netip.MustParseAddr("10.1.2.3"),
	}
	from := []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0"), netip.MustParsePrefix("10.0.0.0/8"), netip.MustParsePrefix("10.1.0.0/16")}
	rapid.Check(t, func(t *rapid.T) {
		rs := make([]balsampier.Rule, rapid.IntRange(2, 5).Draw(t, "rules"))
		for i := range rs {
			rs[i] = balsampier.Rule{
				Line: i + 1, Service: balsampier.ServiceName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")),
				To: to, From: from[max(0, rapid.IntRange(-2, 2).Draw(t, "from")):][:1], Comment: "x",
			}
			if rapid.IntRange(0, 3).Draw(t, "hours") == 0 {
				continue
			}
			rs[i].Zone = rapid.SampledFrom([]string{"America/Lima", "America/Vancouver"}).Draw(t, "zone")
			start := time.Duration(rapid.IntRange(0, 23).Draw(t, "start")) * time.Hour
			rs[i].Windows = []balsampier.Window{{
				Days: balsampier.Weekdays(rapid.SampledFrom([]int{127, 127, 62, 65}).Draw(t, "days")), Start: start,
				End: (start+time.Duration(rapid.IntRange(1, 23).Draw(t, "length"))*time.Hour-time.Minute)%(24*time.Hour) + time.Minute,
			}}
		}
		zs, ps, err := check.Check(zoneData{}, rs, nil, acceptedAt)
		if err != nil {
			t.Fatal(err)
		}
		reached, overlap := scan(t, rs, zs, callers)
		for i := 1; i < len(rs); i++ {
			if got := warned(ps, i+1, "no packet reaches"); got == reached[i] {
				t.Fatalf("line %d: reached %v: %v", i+1, reached[i], ps)
			}
			if got := warned(ps, i+1, "takes part"); got != (overlap[i] && reached[i]) {
				t.Fatalf("line %d: overlap %v: %v", i+1, overlap[i], ps)
			}
		}
	})
}

func scan(t *rapid.T, rs []balsampier.Rule, zs []balsampier.ZoneTable, callers []netip.Addr) (reached, overlap []bool) {
	reached, overlap = make([]bool, len(rs)), make([]bool, len(rs))
	b, err := inforce.Compile(1, rs, zs)
	if err != nil {
		t.Fatal(err)
	}
	var singleRules []*inforce.Table
	for i := range rs {
		x, _ := inforce.Compile(1, rs[i:i+1], zs)
		singleRules = append(singleRules, x)
	}
	for _, c := range callers {
		for _, start := range []time.Time{acceptedAt, acceptedAt.AddDate(0, 3, 0)} {
			for at := start; at.Before(start.AddDate(0, 0, 7)); at = at.Add(15 * time.Minute) {
				var before []int
				for i := range rs {
					if _, ok := singleRules[i].InForce(rs[0].To, c, at); !ok {
						continue
					}
					for _, j := range before {
						overlap[i] = overlap[i] || rs[j].Service != rs[i].Service
					}
					before = append(before, i)
				}
				if r, ok := b.InForce(rs[0].To, c, at); ok {
					reached[r.Line-1] = true
				}
			}
		}
	}
	return reached, overlap
}

func warned(ps []balsampier.Problem, line int, message string) bool {
	for _, p := range ps {
		if p.Line == line && strings.Contains(p.Message, message) {
			return true
		}
	}
	return false
}

// BenchmarkCheck checks files with three rules per address, and one address
// with the maximum number of rules.
func BenchmarkCheck(b *testing.B) {
	files := []struct {
		name             string
		addresses, rules int
	}{
		{"addresses=47", 47, 3},
		{"addresses=470", 470, 3},
		{"addresses=4700", 4700, 3},
		{"rules=256", 1, inforce.MaxRules},
	}
	for _, x := range files {
		var rs []balsampier.Rule
		for i := range x.addresses {
			for j := range x.rules {
				rs = append(rs, balsampier.Rule{
					Line: len(rs) + 1, Service: balsampier.ServiceName(fmt.Sprint("s", j)), Comment: "x", Zone: "America/Vancouver",
					To:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
					From:    []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0"), netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(j), 0, 0}), 16)},
					Windows: []balsampier.Window{{Days: 127, Start: time.Duration(j%24) * time.Hour, End: time.Duration(j%24+1) * time.Hour}},
				})
			}
		}
		b.Run(x.name, func(b *testing.B) {
			for b.Loop() {
				if _, _, err := check.Check(zoneData{}, rs, nil, acceptedAt); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
