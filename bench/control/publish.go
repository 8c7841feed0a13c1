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

// streamCount is the number of watch streams of a control instance that are
// measured.
const streamCount = 100

// measurePublishing measures the processor time of one change and one heartbeat
// for each watch stream.
func (b *bench) measurePublishing(f fleet) {
	h := members.NewHistory(f.view)
	next := balsampier.View{Epoch: f.view.Epoch + 1}
	d, err := members.Apply(f.view, members.Delta{From: f.view.Epoch, To: next.Epoch, Changed: f.singleRestart().Joined})
	if err != nil {
		panic(fmt.Sprintf("apply the restart of one member: %v", err))
	}
	h.Add(d)
	i := members.InterestOf(f.watcher(balsampier.RoleBalancer), false)
	z := wireSizes
	p := members.Position{Revision: 1, Epoch: f.view.Epoch}
	at := startTime.Add(members.HeartbeatInterval)
	s := members.Source{Rules: balsampier.RuleFile{Revision: 1}, History: h, Confirmed: true}
	streams := make([]*members.Publisher, streamCount)
	bytes := 0
	change := b.secondsPerStream(streams, func(j int) {
		streams[j] = members.NewPublisher(i, z, members.DefaultBudget, p, startTime)
		if m, _, ok := streams[j].Next(s, at); ok && m.View != nil && j == 0 {
			bytes = z.Message
			for _, c := range m.View.Delta.Changed {
				bytes += z.Member(c)
			}
		}
	})
	b.reportFigure("publish.change.secondsPerStream", f.agents, change)
	b.reportFigure("publish.change.bytesPerStream", f.agents, float64(bytes))
	n := 0
	heartbeat := b.secondsPerStream(streams, func(j int) {
		n++
		streams[j].Next(s, at.Add(time.Duration(n)*members.HeartbeatInterval))
	})
	b.reportFigure("publish.heartbeat.secondsPerStream", f.agents, heartbeat)
}

// secondsPerStream calls f with the index of each stream and returns the time
// of one call in seconds.
func (b *bench) secondsPerStream(ss []*members.Publisher, f func(int)) float64 {
	d := measure.MinDuration(clock.System{}, repeats, func() {
		for j := range ss {
			f(j)
		}
	})
	return seconds(d) / float64(len(ss))
}

// measureRuleTable measures the memory and time that a process needs to compile
// and check the rule file.
func (b *bench) measureRuleTable(f fleet) {
	p, ps := rulefile.Parse(f.rules.Text)
	zs, qs, err := check.Check(zonetable.BuiltIn{}, p.Rules, p.ClockChanges, startTime)
	if err != nil || len(ps) > 0 || len(zs) == 0 {
		panic(fmt.Sprintf("check the rule file of the fleet: error %v, parse problems %v, check problems %v", err, ps, qs))
	}
	before := measure.MemoryBytes()
	t := b.compileRules(f, zs)
	b.reportAtMost("rules.table.bytes", f.agents, measure.MemoryBytes()-before, memoryBound)
	b.reportTime("rules.compile.seconds", f.agents, seconds(rolloutBound), func() { b.compileRules(f, zs) })
	b.reportTime("rules.check.seconds", f.agents, seconds(rolloutBound), func() {
		_, _, _ = check.Check(zonetable.BuiltIn{}, p.Rules, p.ClockChanges, startTime)
	})
	if _, ok := t.InForce(p.Rules[0].To, f.view.Members[0].Addr.Addr(), startTime.Add(10*time.Hour)); !ok {
		panic("the first rule of the fleet is not in force ten hours after the start")
	}
}

// compileRules parses the rule file and compiles it with the zone tables.
func (b *bench) compileRules(f fleet, zs []balsampier.ZoneTable) *inforce.Table {
	p, _ := rulefile.Parse(f.rules.Text)
	t, err := inforce.Compile(1, p.Rules, zs)
	if err != nil {
		panic(fmt.Sprintf("compile checked rules: %v", err))
	}
	return t
}
