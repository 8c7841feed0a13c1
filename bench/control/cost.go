package control

import (
	"runtime"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/bench/measure"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/query/members"
)

const (
	// repeats is how often a step is timed; the fastest time counts, as the
	// others hold work of the rest of the machine.
	repeats = 7
	// changesPerSecond is at most how many batches the batch window allows in
	// one second.
	changesPerSecond = 4
)

// costs measures processor time and memory.
func (b *bench) costs(f fleet) {
	c := f.oneChange()
	s := apply.State{View: f.view}
	s.ChangeMembers(c)
	bound := seconds(processorBound) / changesPerSecond
	b.time("cost.changeMembers.seconds", f.agents, bound, func() {
		s := apply.State{View: f.view}
		s.ChangeMembers(c)
	})
	b.time("cost.publishDelta.seconds", f.agents, bound, func() {
		h := members.NewHistory(f.view)
		h.Add(s.View)
		h.Delta(f.view.Epoch, members.Interest{Everything: true})
	})
	d := members.Delta{From: f.view.Epoch, To: f.view.Epoch + 1, Changed: c.Joined}
	b.time("cost.applyDelta.seconds", f.agents, bound, func() { _, _ = members.Apply(f.view, d) })
	r := members.NewRulesDelta(f.rules, f.edited())
	b.time("cost.applyRules.seconds", f.agents, bound, func() { _, _ = members.ApplyRules(f.rules, r) })
	b.time("cost.removeDataCentre.seconds", f.agents, bound, func() {
		s := apply.State{View: f.view}
		s.ChangeMembers(f.dataCentre())
	})
	b.leaderCost(f)
	b.memory(f)
}

// leaderCost measures the digests of one renewal interval, of all members.
func (b *bench) leaderCost(f fleet) {
	t := lease.New(f.view, lease.DefaultTTL, start)
	d := lease.Digest{Epoch: f.view.Epoch, Revision: 1, Alive: make(lease.Bitmap, (len(f.view.Members)+7)/8)}
	for i := range f.view.Members {
		d.Alive.Set(i)
	}
	perSecond := seconds(lease.RenewInterval)
	b.time("cost.renewalInterval.seconds", f.agents, seconds(processorBound)*perSecond, func() {
		_, _ = t.HandleDigest(d, start)
	})
	// A published epoch makes every step look at all leases until it is
	// active.
	at := start.Add(lease.DefaultTTL + tick)
	_, _ = t.HandleDigest(d, at)
	t.Committed(balsampier.View{Epoch: f.view.Epoch + 1, Members: f.view.Members})
	b.time("cost.leaderStep.seconds", f.agents, seconds(processorBound)*seconds(tick), func() { t.Changes(at) })
}

// memory measures a view, its history and a rule file in a watcher.
func (b *bench) memory(f fleet) {
	before := measure.MemoryBytes()
	v := balsampier.View{Epoch: f.view.Epoch, Members: append([]balsampier.Member(nil), f.view.Members...)}
	n, _ := members.Apply(v, members.Delta{From: v.Epoch, To: v.Epoch + 1, Changed: f.oneChange().Joined})
	text := []byte(f.rules.Text)
	after := measure.MemoryBytes()
	runtime.KeepAlive(v)
	runtime.KeepAlive(n)
	runtime.KeepAlive(text)
	b.at("memory.twoViewsAndRules.bytes", f.agents, after-before, memoryBound)
}

func (b *bench) time(name string, n int, bound float64, f func()) {
	b.at(name, n, seconds(measure.MinDuration(clock.System{}, repeats, f)), bound)
}

func (f fleet) oneChange() apply.MembershipChange {
	m := f.view.Members[len(f.view.Members)/2]
	m.Incarnation++
	return apply.MembershipChange{Joined: []balsampier.Member{m}}
}

func (f fleet) dataCentre() apply.MembershipChange {
	var c apply.MembershipChange
	for _, m := range f.view.Members {
		if m.DataCentre == lostDataCentre {
			c.Left = append(c.Left, m.ID)
		}
	}
	return c
}
