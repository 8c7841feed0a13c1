package control

import (
	"fmt"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/bench/measure"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/operator/rulefile"
	"github.com/balsampier/balsampier/query/check"
	"github.com/balsampier/balsampier/query/inforce"
	"github.com/balsampier/balsampier/query/members"
	"github.com/balsampier/balsampier/query/zonetable"
)

// watchers is how many streams of one control instance are measured.
const watchers = 100

// publish measures what one change and one heartbeat cost for each stream.
func (b *bench) publish(f fleet) {
	h := members.NewHistory(f.view)
	next := balsampier.View{Epoch: f.view.Epoch + 1}
	d, err := members.Apply(f.view, members.Delta{From: f.view.Epoch, To: next.Epoch, Changed: f.oneChange().Joined})
	if err != nil {
		panic(fmt.Sprintf("apply a change to its own view: %v", err))
	}
	h.Add(d)
	i := members.InterestOf(f.watcher(balsampier.RoleBalancer), false)
	z := wireSizes
	p := members.Position{Revision: 1, Epoch: f.view.Epoch}
	at := start.Add(members.HeartbeatInterval)
	s := members.Source{Rules: balsampier.RuleFile{Revision: 1}, History: h, Confirmed: true}
	streams := make([]*members.Publisher, watchers)
	bytes := 0
	change := b.perStream(streams, func(j int) {
		streams[j] = members.NewPublisher(i, z, members.DefaultBudget, p, start)
		if m, _, ok := streams[j].Next(s, at); ok && m.View != nil && j == 0 {
			bytes = z.Message
			for _, c := range m.View.Delta.Changed {
				bytes += z.Member(c)
			}
		}
	})
	b.figure("publish.change.secondsPerStream", f.agents, change)
	b.figure("publish.change.bytesPerStream", f.agents, float64(bytes))
	n := 0
	beat := b.perStream(streams, func(j int) {
		n++
		streams[j].Next(s, at.Add(time.Duration(n)*members.HeartbeatInterval))
	})
	b.figure("publish.heartbeat.secondsPerStream", f.agents, beat)
}

func (b *bench) perStream(ss []*members.Publisher, f func(int)) float64 {
	d := measure.MinDuration(clock.System{}, repeats, func() {
		for j := range ss {
			f(j)
		}
	})
	return seconds(d) / float64(len(ss))
}

// compile measures what a rule file costs a process that takes it on, by the
// number of its lines.
func (b *bench) compile(f fleet) {
	p, ps := rulefile.Parse(f.rules.Text)
	zs, qs, err := check.Check(zonetable.BuiltIn{}, p.Rules, p.ClockChanges, start)
	if err != nil || len(ps) > 0 || len(zs) == 0 {
		panic(fmt.Sprintf("check the rule file of the fleet: %v %v %v", err, ps, qs))
	}
	before := measure.MemoryBytes()
	t := b.table(f, zs)
	b.at("rules.table.bytes", f.agents, measure.MemoryBytes()-before, memoryBound)
	b.time("rules.compile.seconds", f.agents, seconds(rolloutBound), func() { b.table(f, zs) })
	b.time("rules.check.seconds", f.agents, seconds(rolloutBound), func() {
		_, _, _ = check.Check(zonetable.BuiltIn{}, p.Rules, p.ClockChanges, start)
	})
	if _, ok := t.InForce(p.Rules[0].To, f.view.Members[0].Addr.Addr(), start.Add(10*time.Hour)); !ok {
		panic("the first rule of the fleet is not in force at noon")
	}
}

// table parses and compiles the rule file.
func (b *bench) table(f fleet, zs []balsampier.ZoneTable) *inforce.Table {
	p, _ := rulefile.Parse(f.rules.Text)
	t, err := inforce.Compile(1, p.Rules, zs)
	if err != nil {
		panic(fmt.Sprintf("compile checked rules: %v", err))
	}
	return t
}
