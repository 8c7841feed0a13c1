package rulefile_test

import (
	"flag"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator/rulefile"
	"github.com/balsampier/balsampier/query/check"
	"github.com/balsampier/balsampier/query/inforce"
	"github.com/balsampier/balsampier/query/zonetable"
)

const validFile = "rule reservas to 198.51.100.7:443 from any mon-fri 08:00-12:00,14:00-20:00 sat 09:00-13:00 America/Lima class urgent # asked by Rosa\n" +
	"rule galeria to [2001:db8::7]:443 from 10.0.0.0/8,2001:db8::/32 # asked by José\n" +
	"clock America/Vancouver at 2027-03-14T02:00 offset -07:00 # decree of 2027-02-20\n"

var (
	acceptedAt = time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)
	comparers  = cmp.Options{
		cmp.Comparer(func(a, b netip.Prefix) bool { return a == b }),
		cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
		cmpopts.EquateEmpty(),
	}
	// ignorePositions compares files without their line and column numbers.
	ignorePositions = append(cmp.Options{
		cmpopts.IgnoreFields(balsampier.Rule{}, "Line", "Columns"),
		cmpopts.IgnoreFields(balsampier.ClockChange{}, "Line", "Columns"),
		cmpopts.IgnoreFields(balsampier.Window{}, "Column"),
	}, comparers...)
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func TestParse(t *testing.T) {
	c := qt.New(t)
	f, ps := rulefile.Parse(strings.ReplaceAll(validFile, "\n", "\r\n"))
	c.Assert(ps, qt.HasLen, 0)
	c.Assert(f.Rules, qt.HasLen, 2)
	r := f.Rules[0]
	c.Assert(r.Windows, qt.DeepEquals, []balsampier.Window{
		{Days: 62, Column: 52, Start: 8 * time.Hour, End: 12 * time.Hour},
		{Days: 62, Column: 64, Start: 14 * time.Hour, End: 20 * time.Hour},
		{Days: 64, Column: 80, Start: 9 * time.Hour, End: 13 * time.Hour},
	})
	c.Assert(r.Columns, qt.Equals, balsampier.RuleColumns{Service: 6, To: 18, From: 40, Zone: 92})
	c.Assert(r.Class, qt.Equals, balsampier.ClassUrgent)
	c.Assert(f.Rules[1].Comment, qt.Equals, "asked by José")
	c.Assert(f.ClockChanges[0].Offset, qt.Equals, -7*time.Hour)
	c.Assert(f.ClockChanges[0].Columns, qt.Equals, balsampier.ClockColumns{Zone: 7, Local: 28, Offset: 52})
}

func TestProblems(t *testing.T) {
	const comment = " # x"
	for _, x := range []struct {
		name, text string
		want       []string
	}{
		{"all at once", "rule Resv too 1.2.3.4:0 from 10.0.0.1,any,1.2.3.4/8 mon-fry 08:00-25:00,09:00-10:00 America/Lima class hot\nfoo", []string{
			`line 1, column 6: not a service name, found "Resv": use small letters, digits and inner hyphens, at most 63`,
			`line 1, column 11: unexpected word, found "too": write to here`,
			`line 1, column 15: not a service address, found "1.2.3.4:0": write address:port, such as 198.51.100.7:443 or [2001:db8::7]:443`,
			`line 1, column 30: not a caller prefix, found "10.0.0.1": write 10.0.0.1/32 for a single address`,
			`line 1, column 43: the prefix has bits beyond its length, found "1.2.3.4/8": write 1.0.0.0/8`,
			`line 1, column 53: not a day or a span of days, found "mon-fry": write daily, mon, mon-sat or mon,wed in small letters`,
			`line 1, column 61: not a span of hours, found "08:00-25:00": write HH:MM-HH:MM, several with commas and no blanks between them`,
			`line 1, column 104: unknown class, found "hot": write urgent or normal`,
			`line 1, column 107: the rule has no comment: end the line with # and who asked for it`,
			`line 2, column 1: unknown statement, found "foo": start the line with rule, clock or #`,
		}},
		{"no service", "rule to 1.2.3.4:443 from any" + comment, []string{`line 1, column 6: the service name is missing, found "to": write it between rule and to`}},
		{"no to", "rule a 1.2.3.4:443 from any" + comment, []string{`line 1, column 8: unexpected word, found "1.2.3.4:443": write to here`}},
		{"words between", "rule a b c to 1.2.3.4:443 from any" + comment, []string{`line 1, column 8: unexpected word, found "b": write to here`}},
		{"ends early", "rule a to" + comment, []string{
			`line 1, column 10: the line ends early: add to and a service address, such as to 198.51.100.7:443`,
			`line 1, column 10: the line ends early: add from and caller prefixes, such as from any`,
		}},
		{"no zone", "rule a to 1.2.3.4:443 from any daily 08:00-09:00" + comment, []string{`line 1, column 49: the hours have no zone: add an IANA zone such as America/Lima after them`}},
		{"no hours", "rule a to 1.2.3.4:443 from any America/Lima" + comment, []string{`line 1, column 32: the zone has no hours, found "America/Lima": write days and hours before it, or delete it for a rule that always applies`}},
		{"days alone", "rule a to 1.2.3.4:443 from any mon America/Lima" + comment, []string{`line 1, column 32: the days have no hours, found "mon": write hours after them, such as 08:00-20:00`}},
		{"hours alone", "rule a to 1.2.3.4:443 from any 08:00-09:00 America/Lima" + comment, []string{`line 1, column 32: the hours have no days, found "08:00-09:00": write days before them, such as daily or mon-sat`}},
		{"hours", "rule a to 1.2.3.4:443 from any mon 24:00-01:00,08:00-08:00,20:00-00:00 America/Lima" + comment, []string{
			`line 1, column 36: no hours start at 24:00, found "24:00-01:00": start them at 00:00 on the day after`,
			`line 1, column 48: the hours start and end at one time, found "08:00-08:00": write 00:00-24:00 for the whole day`,
			`line 1, column 60: the end 00:00 is before the day, found "20:00-00:00": write 24:00 for midnight`,
		}},
		{"order", "rule a to 1.2.3.4:443 from any mon 08:00-09:00 America/Lima tue 08:00-09:00 America/Bogota class class urgent class urgent" + comment, []string{
			`line 1, column 61: days stand behind the zone, found "tue": move the zone behind all days and hours`,
			`line 1, column 77: the zone is given twice, found "America/Bogota": keep one zone, behind all days and hours; write another rule for another zone`,
			`line 1, column 98: unknown class, found "class": write urgent or normal`,
			`line 1, column 104: unexpected word, found "urgent": write days and hours with a zone, or class urgent, or nothing`,
			`line 1, column 111: the class is given twice, found "class": keep one of them`,
		}},
		{"class alone", "rule a to 1.2.3.4:443 from any class mon 08:00-09:00 America/Lima" + comment, []string{`line 1, column 38: the class is missing, found "mon": write urgent or normal after class`}},
		{"zone name", "rule a to 1.2.3.4:443 from any mon 08:00-09:00 America/../Lima" + comment, []string{`line 1, column 48: not a zone name, found "America/../Lima": use an IANA name such as America/Vancouver`}},
		{"addresses", "rule a to [::ffff:1.2.3.4]:443 from ::ffff:0:0/96" + comment, []string{
			`line 1, column 11: an IPv4 address in IPv6 form, found "[::ffff:1.2.3.4]:443": write 1.2.3.4:443`,
			`line 1, column 37: an IPv4 prefix in IPv6 form, found "::ffff:0:0/96": write it as an IPv4 prefix such as 192.0.2.0/24`,
		}},
		{"no such address", "rule a to 0.0.0.0:443 from any" + comment, []string{`line 1, column 11: callers cannot reach this service address, found "0.0.0.0:443": write the address of the service`}},
		{"interface", "rule a to [fe80::1%eth0]:443 from any" + comment, []string{`line 1, column 11: the service address names an interface, found "[fe80::1%eth0]:443": delete the % and what follows it up to the bracket`}},
		{"clock", "clock at 2027-13-14T02:00 of -70:00 x", []string{
			`line 1, column 7: the zone is missing, found "at": write it between clock and at`,
			`line 1, column 10: not a local time, found "2027-13-14T02:00": write it as 2027-03-14T02:00`,
			`line 1, column 27: unexpected word, found "of": write offset here`,
			`line 1, column 30: not an offset from UTC, found "-70:00": write it as -07:00 or +05:30`,
			`line 1, column 37: unexpected word, found "x": end the line after the offset`,
			`line 1, column 38: the clock change has no comment: end the line with # and the decree`,
		}},
		{"clock twice", "clock America/Lima at 2027-03-14T02:00 offset -07:00 # x\n\nclock America/Lima at 2027-03-14T02:00 offset -06:00 # x", []string{
			`line 3, column 23: line 1 changes the clocks of America/Lima at the same time, found "2027-03-14T02:00": keep one of the two lines`,
		}},
		{"byte order mark", "\ufeff# x\nx", []string{
			`line 1, column 1: the file starts with a byte order mark, found "\ufeff": save it as plain UTF-8 without one`,
			`line 2, column 1: unknown statement, found "x": start the line with rule, clock or #`,
		}},
		{"control character", "# a\x00b\x00", []string{`line 1, column 4: the line contains a control character, found "\x00": delete it`}},
		{"not UTF-8", "# é\xff", []string{`line 1, column 4: the text is not UTF-8, found "\xff": save the file as UTF-8`}},
		{"letters", "rule galería to 1.2.3.4:443 from any" + comment, []string{
			`line 1, column 11: only comments may contain non-ASCII characters, found "í": write it in ASCII`,
			`line 1, column 6: not a service name, found "galería": use small letters, digits and inner hyphens, at most 63`,
		}},
		{"long line", "# " + strings.Repeat("x", rulefile.MaxLineBytes), []string{`line 1, column 1: the line has 4098 bytes, found "# ` + strings.Repeat("x", 58) + `": keep it within 4096 bytes, or split it into several rules`}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			_, ps := rulefile.Parse(x.text)
			got := []string{}
			for _, p := range ps {
				got = append(got, p.String())
			}
			c.Assert(got, qt.DeepEquals, x.want)
			c.Assert(rulefile.HasErrors(ps), qt.IsTrue)
		})
	}
}

func TestBounds(t *testing.T) {
	c := qt.New(t)
	_, ps := rulefile.Parse(strings.Repeat("x", rulefile.MaxBytes+1))
	c.Assert(ps, qt.HasLen, 1)
	_, ps = rulefile.Parse(strings.Repeat("x\n", 2*rulefile.MaxProblems))
	c.Assert(ps, qt.HasLen, rulefile.MaxProblems+1)
}

func drawFile(t *rapid.T) rulefile.File {
	comment := rapid.StringMatching(`[a-z#é][a-z #é,:]{0,9}[a-zé]`)
	zone := rapid.SampledFrom([]string{"America/Lima", "America/Vancouver", "UTC", "America/Argentina/Ushuaia", "Etc/GMT+5"})
	prefix := rapid.Custom(func(t *rapid.T) netip.Prefix {
		if rapid.Bool().Draw(t, "v4") {
			a := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "addr")))
			return netip.PrefixFrom(a, rapid.IntRange(0, 32).Draw(t, "bits")).Masked()
		}
		b := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "addr")
		b[0] |= 0x20
		return netip.PrefixFrom(netip.AddrFrom16([16]byte(b)), rapid.IntRange(0, 128).Draw(t, "bits")).Masked()
	})
	window := rapid.Custom(func(t *rapid.T) balsampier.Window {
		start := rapid.IntRange(0, 1439).Draw(t, "start")
		end := rapid.IntRange(1, 1440).Filter(func(m int) bool { return m != start }).Draw(t, "end")
		return balsampier.Window{
			Days:  balsampier.Weekdays(rapid.IntRange(1, 127).Draw(t, "days")),
			Start: time.Duration(start) * time.Minute, End: time.Duration(end) * time.Minute,
		}
	})
	var f rulefile.File
	for range rapid.IntRange(0, 3).Draw(t, "rules") {
		r := balsampier.Rule{
			Service: balsampier.ServiceName(rapid.StringMatching(`[a-z0-9]([a-z0-9-]{0,5}[a-z0-9])?`).Draw(t, "service")),
			To:      netip.AddrPortFrom(netip.MustParseAddr(rapid.SampledFrom([]string{"198.51.100.7", "2001:db8::7"}).Draw(t, "to")), rapid.Uint16Range(1, 65535).Draw(t, "port")),
			From:    rapid.SliceOfN(prefix, 1, 4).Draw(t, "from"),
			Windows: rapid.SliceOfN(window, 0, 4).Draw(t, "windows"),
			Class:   balsampier.Class(rapid.IntRange(0, 1).Draw(t, "class")), Comment: comment.Draw(t, "comment"),
		}
		if len(r.Windows) > 0 {
			r.Zone = zone.Draw(t, "zone")
		}
		f.Rules = append(f.Rules, r)
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "clocks") {
		f.ClockChanges = append(f.ClockChanges, balsampier.ClockChange{
			Zone: zone.Draw(t, "zone"), Comment: comment.Draw(t, "comment"),
			Local:  acceptedAt.AddDate(0, i, 0).Add(time.Duration(rapid.IntRange(0, 1439).Draw(t, "minute")) * time.Minute),
			Offset: time.Duration(rapid.IntRange(-12*60, 14*60).Draw(t, "offset")) * time.Minute,
		})
	}
	return f
}

func TestFormatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFile(t)
		g, ps := rulefile.Parse(rulefile.Format(f))
		if len(ps) > 0 {
			t.Fatalf("%v in\n%s", ps, rulefile.Format(f))
		}
		if d := cmp.Diff(f, g, ignorePositions); d != "" {
			t.Fatal(d)
		}
	})
}

// TestFaultsDoNotHideEachOther replaces random parts of a valid line by invalid
// ones and expects exactly one problem at the column of each.
func TestFaultsDoNotHideEachOther(t *testing.T) {
	words := []string{"rule", "reservas", "to", "198.51.100.7:443", "from", "any", "mon-fri", "08:00-12:00", "America/Lima", "class", "urgent"}
	invalid := []string{"", "Reservas", "", "198.51.100.7", "", "anyone", "mon-fry", "8-12", "America//Lima", "", "hot"}
	rapid.Check(t, func(t *rapid.T) {
		var b strings.Builder
		var want []int
		for i, w := range words {
			if invalid[i] != "" && rapid.Bool().Draw(t, w) {
				want = append(want, b.Len()+1)
				w = invalid[i]
			}
			b.WriteString(w + strings.Repeat(" ", rapid.IntRange(1, 3).Draw(t, "blanks")))
		}
		_, ps := rulefile.Parse(b.String() + "# x")
		var got []int
		for _, p := range ps {
			got = append(got, p.Column)
		}
		if d := cmp.Diff(want, got, cmpopts.EquateEmpty()); d != "" {
			t.Fatalf("%s: %v: %s", b.String(), ps, d)
		}
	})
}

// FuzzParse checks for any text that parsing does not panic, that each problem
// is positioned within the text and has a remedy, and that an accepted file
// compiles and is the same when parsed again from its canonical form.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		"", validFile, strings.ReplaceAll(validFile, "\n", "\r\n"), "\ufeffrule", "rule", "rule to", "clock at at", "# \x00\xff",
		"rule a to 1.2.3.4:1 from any daily 22:00-02:00 UTC # a\nrule b to 1.2.3.4:1 from ::/0 # b",
		"clock America/Lima at 9999-12-31T23:59 offset +14:00 # x", "clock America/Lima at 0000-01-01T00:00 offset -12:00 # x",
		"clock America/Lima at 2027-01-01T00:00 offset -04:00 # x\nclock America/Lima at 2027-01-01T00:30 offset -05:00 # y",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		file, ps := rulefile.Parse(text)
		checkPositions(t, text, ps)
		if rulefile.HasErrors(ps) {
			return
		}
		zs, ps, err := check.Check(zonetable.BuiltIn{}, file.Rules, file.ClockChanges, acceptedAt)
		if err != nil {
			t.Fatal(err)
		}
		checkPositions(t, text, ps)
		if rulefile.HasErrors(ps) {
			return
		}
		if _, err := inforce.Compile(1, file.Rules, zs); err != nil {
			t.Fatal(err)
		}
		reparsed, ps := rulefile.Parse(rulefile.Format(file))
		if d := cmp.Diff(file, reparsed, ignorePositions); d != "" || len(ps) > 0 {
			t.Fatalf("%v\n%s", ps, d)
		}
	})
}

// checkPositions fails t unless each problem is within text and has a remedy.
func checkPositions(t *testing.T, text string, ps []balsampier.Problem) {
	t.Helper()
	lines := strings.Split(text, "\n")
	for _, p := range ps {
		if p.Line < 1 || p.Line > len(lines) || p.Column < 1 || p.Message == "" || p.Remedy == "" {
			t.Fatalf("%+v", p)
		}
		if p.Column > utf8.RuneCountInString(lines[p.Line-1])+1 {
			t.Fatalf("%+v beyond %q", p, lines[p.Line-1])
		}
	}
}
