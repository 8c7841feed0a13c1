// Package check validates a rule file before it is accepted. It reports the
// errors that prevent acceptance, and warns of rules that operators probably
// did not intend.
package check

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/query/inforce"
	"github.com/balsampier/balsampier/query/zonetable"
)

const (
	localLayout = "2006-01-02T15:04"
	dateLayout  = "2006-01-02"
)

// Check validates a rule file and returns its zone tables, compiled at t from
// the zone data d, and all problems sorted by line. The tables are nil if any
// problem is not just a warning.
func Check(d balsampier.ZoneData, rs []balsampier.Rule, ks []balsampier.ClockChange, t time.Time) ([]balsampier.ZoneTable, []balsampier.Problem, error) {
	ps := unknownZones(d, rs, ks)
	ps = append(ps, tooManyRules(rs)...)
	if len(ps) > 0 {
		return nil, sortProblems(ps), nil
	}
	ps, err := checkClockChanges(d, rs, ks, t)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	if slices.ContainsFunc(ps, func(p balsampier.Problem) bool { return !p.Warning }) {
		return nil, sortProblems(ps), nil
	}
	zs, err := zonetable.CompileFrom(d, rs, ks, t)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	ps = append(ps, skippedWindows(rs, zs, t)...)
	ps = append(ps, checkAddresses(rs, zs, t)...)
	return zs, sortProblems(ps), nil
}

func sortProblems(ps []balsampier.Problem) []balsampier.Problem {
	slices.SortStableFunc(ps, func(a, b balsampier.Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(severityRank(a), severityRank(b)))
	})
	return ps
}

// severityRank sorts errors before warnings.
func severityRank(p balsampier.Problem) int {
	if p.Warning {
		return 1
	}
	return 0
}

func unknownZones(d balsampier.ZoneData, rs []balsampier.Rule, ks []balsampier.ClockChange) []balsampier.Problem {
	unknown := make(map[string]bool)
	for _, n := range zonetable.Names(rs, ks) {
		_, err := d.Location(n)
		unknown[n] = err != nil
	}
	var ps []balsampier.Problem
	add := func(line int, column uint16, zone string) {
		if zone != "" && unknown[zone] {
			ps = append(ps, balsampier.Problem{
				Line: line, Column: int(column), Found: zone,
				Message: "unknown zone", Remedy: "use an IANA name such as America/Vancouver",
			})
		}
	}
	for _, r := range rs {
		add(r.Line, r.Columns.Zone, r.Zone)
	}
	for _, k := range ks {
		add(k.Line, k.Columns.Zone, k.Zone)
	}
	return ps
}

// tooManyRules reports the line that exceeds a limit of its service address.
func tooManyRules(rs []balsampier.Rule) []balsampier.Problem {
	type size struct{ rules, prefixes int }
	var (
		ps    []balsampier.Problem
		sizes = make(map[netip.AddrPort]size)
	)
	for _, r := range rs {
		a := sizes[r.To]
		b := size{rules: a.rules + 1, prefixes: a.prefixes + len(r.From)}
		sizes[r.To] = b
		if a.rules <= inforce.MaxRules && b.rules > inforce.MaxRules {
			ps = append(ps, balsampier.Problem{
				Line: r.Line, Column: int(r.Columns.To), Found: r.To.String(),
				Message: fmt.Sprintf("the service address has more than %d rules", inforce.MaxRules),
				Remedy:  "join lines that differ in their callers or hours only",
			})
		}
		if a.prefixes <= inforce.MaxPrefixes && b.prefixes > inforce.MaxPrefixes {
			ps = append(ps, balsampier.Problem{
				Line: r.Line, Column: int(r.Columns.From), Found: r.To.String(),
				Message: fmt.Sprintf("the service address has more than %d caller prefixes", inforce.MaxPrefixes),
				Remedy:  "join neighbouring prefixes into shorter ones",
			})
		}
	}
	return ps
}
