package members_test

import (
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/query/members"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	_, _ = flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// TestRulesDelta checks that a delta reproduces every edit of a rule file, and
// that applying it to any other text fails.
func TestRulesDelta(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		text := rapid.StringOfN(rapid.RuneFrom([]rune("ab\n")), 0, 12, -1)
		zones := rapid.SampledFrom([][]balsampier.ZoneTable{nil, {{Zone: "America/Lima", Transitions: []balsampier.Transition{{At: start}}}}})
		a := balsampier.RuleFile{Revision: 1, Text: text.Draw(r, "earlier"), Zones: zones.Draw(r, "zones")}
		b := balsampier.RuleFile{Revision: 2, Text: text.Draw(r, "later"), Zones: zones.Draw(r, "zones")}
		d := members.NewRulesDelta(a, b)
		g, err := members.ApplyRules(a, d)
		if err != nil || g.Text != b.Text || len(g.Zones) != len(b.Zones) || g.Revision != 2 {
			r.Fatalf("%+v, %v", g, err)
		}
		if len(d.Insert) > len(b.Text) || d.Cut > len(a.Text) {
			r.Fatalf("%+v", d)
		}
		o := balsampier.RuleFile{Revision: 1, Text: text.Draw(r, "other")}
		if g, err := members.ApplyRules(o, d); err == nil && g.Text != b.Text {
			r.Fatalf("applied on %q: %q", o.Text, g.Text)
		}
	})
}

// TestPublisherKeepsBudget sends long rule files and views at the same time,
// and checks that no second exceeds the budget.
func TestPublisherKeepsBudget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		z := members.Sizes{
			Member: func(m balsampier.Member) int { return 60 + len(m.Name) },
			File:   func(balsampier.RuleFile) int { return 60 }, Removed: 11, Message: 24,
		}
		h := members.NewHistory(balsampier.View{})
		v := balsampier.View{Epoch: 1}
		for i := range rapid.IntRange(0, 2000).Draw(r, "members") {
			v.Members = append(v.Members, balsampier.Member{ID: balsampier.InstanceID(i + 1), Role: balsampier.RoleControl})
		}
		h.Add(v)
		s := members.Source{History: h, Rules: balsampier.RuleFile{
			Revision: 1, Text: string(make([]byte, rapid.IntRange(0, 100_000).Draw(r, "text"))),
		}}
		p := members.NewPublisher(members.Interest{Everything: true}, z, members.DefaultBudget, members.Position{}, start)
		sent := map[int]int{}
		step := time.Duration(rapid.IntRange(1, 50).Draw(r, "step")) * time.Millisecond
		for d := time.Duration(0); d < 20*time.Second; d += step {
			for {
				m, wait, ok := p.Next(s, start.Add(d))
				if !ok {
					if wait <= 0 {
						r.Fatalf("waits %v", wait)
					}
					break
				}
				n := size(z, m)
				if n > members.DefaultBudget/8 {
					r.Fatalf("message of %d bytes", n)
				}
				sent[int(d/(250*time.Millisecond))] += n
			}
		}
		for i := range 76 {
			if n := sent[i] + sent[i+1] + sent[i+2] + sent[i+3]; n > members.DefaultBudget {
				r.Fatalf("%d bytes in the second from quarter %d on", n, i)
			}
		}
	})
}

func size(z members.Sizes, m members.Message) int {
	n := z.Message
	if m.Rules != nil {
		n += z.File(m.Rules.Delta.File) + len(m.Rules.Delta.Insert)
	}
	if m.View != nil {
		n += len(m.View.Delta.Removed) * z.Removed
		for _, k := range m.View.Delta.Changed {
			n += z.Member(k)
		}
	}
	return n
}

func TestRollout(t *testing.T) {
	f := balsampier.RuleFile{Revision: 7, AcceptedAt: start}
	member := func(id balsampier.InstanceID, k balsampier.Role, r balsampier.Revision, since time.Duration) members.MemberRevision {
		return members.MemberRevision{Member: balsampier.Member{ID: id, Role: k}, Revision: r, FirstReportedAt: start.Add(since)}
	}
	all := []members.MemberRevision{
		member(1, balsampier.RoleBalancer, 7, time.Second), member(2, balsampier.RoleBalancer, 6, -time.Hour),
		member(3, balsampier.RoleAgent, 5, -time.Minute), member(4, balsampier.RoleAgent, 6, -time.Minute),
		member(5, balsampier.RoleControl, 0, 0),
	}
	tests := []struct {
		name    string
		all     []members.MemberRevision
		limit   int
		lagging []balsampier.InstanceID
		omitted int
	}{
		{"nobody", nil, 2, nil, 0},
		{"all in force", all[:1], 2, nil, 0},
		{"bounded", all, 2, []balsampier.InstanceID{3, 2}, 1},
		{"counts only", all, 0, nil, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := members.NewRollout(f, tt.all, tt.limit, start.Add(2*time.Second))
			var ids []balsampier.InstanceID
			for _, l := range r.Lagging {
				ids = append(ids, l.Member.ID)
				c.Check(l.Behind, qt.Equals, 2*time.Second)
			}
			c.Check(ids, qt.DeepEquals, tt.lagging)
			c.Check(r.Omitted, qt.Equals, tt.omitted)
			c.Check(r.Complete(), qt.Equals, len(tt.lagging)+tt.omitted == 0)
		})
	}
}
