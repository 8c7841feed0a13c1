package report_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator/report"
	"github.com/balsampier/balsampier/operator/rulefile"
	"github.com/balsampier/balsampier/query/check"
	"github.com/balsampier/balsampier/query/explain"
)

var acceptedAt = time.Date(2027, time.February, 20, 12, 0, 0, 0, time.UTC)

// zoneData provides two time zones from fixed rules instead of the system's
// time zone data.
type zoneData struct{}

func (z zoneData) Location(n string) (*time.Location, error) {
	for _, x := range []struct{ name, rule string }{
		{"America/Vancouver", "PST8PDT,M3.2.0,M11.1.0"},
		{"America/Lima", "<-05>5"},
	} {
		if x.name == n {
			h := "TZif2" + strings.Repeat("\x00", 15+4*4) + "\x00\x00\x00\x01\x00\x00\x00\x04" + strings.Repeat("\x00", 6) + "STD\x00"
			return time.LoadLocationFromTZData(n, []byte(h+h+"\n"+x.rule+"\n"))
		}
	}
	return nil, fmt.Errorf("no zone %s", n)
}

// packetQuery is a packet to explain.
type packetQuery struct {
	caller, service string
	at              time.Time
}

func TestSessions(t *testing.T) {
	caller := "192.0.2.10:5000"
	for _, x := range []struct {
		name    string
		queries []packetQuery
	}{
		{"fraser", []packetQuery{
			{"10.20.0.5:5000", "198.51.100.7:443", time.Date(2027, time.March, 14, 9, 59, 59, 0, time.UTC)},
			{"10.20.0.5:5000", "198.51.100.7:443", time.Date(2027, time.March, 14, 10, 0, 0, 0, time.UTC)},
			{caller, "198.51.100.7:443", time.Date(2027, time.July, 5, 16, 0, 0, 0, time.UTC)},
			{caller, "198.51.100.8:443", time.Date(2027, time.November, 7, 9, 30, 0, 0, time.UTC)},
			{caller, "198.51.100.8:80", time.Date(2027, time.November, 7, 9, 30, 0, 0, time.UTC)},
		}},
		{"taller", []packetQuery{
			{caller, "203.0.113.7:443", time.Date(2027, time.March, 6, 13, 30, 0, 0, time.UTC)},
			{caller, "203.0.113.7:443", time.Date(2027, time.March, 7, 16, 0, 0, 0, time.UTC)},
			{"[2001:db8::9]:5000", "203.0.113.8:443", time.Date(2027, time.April, 4, 4, 30, 0, 0, time.UTC)},
			{caller, "203.0.113.8:443", time.Date(2027, time.April, 4, 6, 30, 0, 0, time.UTC)},
		}},
		{"broken", nil},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			text, err := os.ReadFile("testdata/" + x.name + ".rules")
			c.Assert(err, qt.IsNil)
			goldie.New(t).Assert(t, x.name, renderReport(c, string(text), x.queries))
		})
	}
}

// renderReport returns the problems of a rule file and, unless it has errors,
// the explanations of packets under its rules.
func renderReport(c *qt.C, text string, queries []packetQuery) []byte {
	var b bytes.Buffer
	f, ps := rulefile.Parse(text)
	if rulefile.HasErrors(ps) {
		c.Assert(report.WriteProblems(&b, ps), qt.IsNil)
		return b.Bytes()
	}
	zs, checkProblems, err := check.Check(zoneData{}, f.Rules, f.ClockChanges, acceptedAt)
	c.Assert(err, qt.IsNil)
	c.Assert(report.WriteProblems(&b, append(ps, checkProblems...)), qt.IsNil)
	for _, q := range queries {
		b.WriteByte('\n')
		e, err := explain.Explain(7, f.Rules, zs, balsampier.Packet{
			Caller: netip.MustParseAddrPort(q.caller), ServiceAddr: netip.MustParseAddrPort(q.service), At: q.at,
		})
		c.Assert(err, qt.IsNil)
		c.Assert(report.WriteExplanation(&b, e), qt.IsNil)
	}
	return b.Bytes()
}

// TestExamplesOfThePage checks the code blocks of docs/RULES.md: a block marked
// rules must be accepted, and a block marked errors must be the output for the
// block marked broken before it.
func TestExamplesOfThePage(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/RULES.md")
	c.Assert(err, qt.IsNil)
	broken, examples := "", 0
	for i, s := range strings.Split(string(page), "```") {
		kind, text, _ := strings.Cut(s, "\n")
		if i%2 == 0 {
			continue
		}
		examples++
		switch kind {
		case "rules":
			f, ps := rulefile.Parse(text)
			c.Assert(ps, qt.HasLen, 0, qt.Commentf("%s", text))
			_, ps, err := check.Check(zoneData{}, f.Rules, f.ClockChanges, acceptedAt)
			c.Assert(err, qt.IsNil)
			c.Assert(rulefile.HasErrors(ps), qt.IsFalse, qt.Commentf("%v", ps))
		case "broken":
			broken = text
		case "errors":
			c.Assert(string(renderReport(c, broken, nil)), qt.Equals, text)
		default:
			c.Fatalf("unmarked example %q", kind)
		}
	}
	c.Assert(examples, qt.Equals, 4)
}
