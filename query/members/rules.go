package members

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

// NewRulesDelta returns the changes from a to b. If a has no revision, the
// delta contains the whole file.
func NewRulesDelta(a, b balsampier.RuleFile) RulesDelta {
	d := RulesDelta{From: a.Revision, TextHash: xxhash.Sum64String(b.Text), File: b}
	d.File.Text = ""
	if a.Revision == 0 {
		d.Insert = b.Text
		return d
	}
	if d.SameZones = equalZones(a.Zones, b.Zones); d.SameZones {
		d.File.Zones = nil
	}
	d.Skip = commonPrefix(a.Text, b.Text)
	x, y := a.Text[d.Skip:], b.Text[d.Skip:]
	n := commonSuffix(x, y)
	d.Cut, d.Insert = len(x)-n, y[:len(y)-n]
	return d
}

// ApplyRules returns f with the changes of d applied. It fails with
// KindConflict if d does not start from f; the watcher then needs the whole
// file.
func ApplyRules(f balsampier.RuleFile, d RulesDelta) (balsampier.RuleFile, error) {
	if d.From == 0 {
		f = balsampier.RuleFile{}
	}
	if d.From != f.Revision || d.Skip < 0 || d.Cut < 0 || d.Skip > len(f.Text)-d.Cut {
		return f, newMismatchError(d, f)
	}
	g := d.File
	g.Text = strings.Join([]string{f.Text[:d.Skip], d.Insert, f.Text[d.Skip+d.Cut:]}, "")
	if xxhash.Sum64String(g.Text) != d.TextHash {
		return f, newMismatchError(d, f)
	}
	if d.SameZones {
		g.Zones = f.Zones
	}
	return g, nil
}

func equalZones(a, b []balsampier.ZoneTable) bool {
	return slices.EqualFunc(a, b, func(x, y balsampier.ZoneTable) bool {
		return x.Zone == y.Zone && slices.EqualFunc(x.Transitions, y.Transitions, func(k, l balsampier.Transition) bool {
			return k.Offset == l.Offset && k.At.Equal(l.At)
		})
	})
}

func newMismatchError(d RulesDelta, f balsampier.RuleFile) error {
	return trace.Wrap(balsampier.NewError(balsampier.KindConflict, "apply rules delta",
		"request the whole rule file", nil), "delta from revision %d to %d does not apply to revision %d", d.From, d.File.Revision, f.Revision)
}

func commonPrefix(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}
