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
	// repeats is the number of timed runs of a step. The shortest one counts,
	// because other load on the machine only makes a run longer.
	repeats = 7
	// maxBatchesPerSecond is the most batches of membership changes that the
	// batch window allows in one second.
	maxBatchesPerSecond = 4
)

// measureCosts measures the processor time of one membership or rule change and
// the memory of a watcher.
func (b *bench) measureCosts(f fleet) {
	c := f.singleRestart()
	s := apply.State{View: f.view}
	s.ChangeMembers(c)
	bound := seconds(processorBound) / maxBatchesPerSecond
	b.reportTime("cost.changeMembers.seconds", f.agents, bound, func() {
		s := apply.State{View: f.view}
		s.ChangeMembers(c)
	})
	b.reportTime("cost.publishDelta.seconds", f.agents, bound, func() {
		h := members.NewHistory(f.view)
		h.Add(s.View)
		h.Delta(f.view.Epoch, members.Interest{Everything: true})
	})
	d := members.Delta{From: f.view.Epoch, To: f.view.Epoch + 1, Changed: c.Joined}
	b.reportTime("cost.applyDelta.seconds", f.agents, bound, func() { _, _ = members.Apply(f.view, d) })
	r := members.NewRulesDelta(f.rules, f.editedRules())
	b.reportTime("cost.applyRules.seconds", f.agents, bound, func() { _, _ = members.ApplyRules(f.rules, r) })
	b.reportTime("cost.removeDataCentre.seconds", f.agents, bound, func() {
		s := apply.State{View: f.view}
		s.ChangeMembers(f.dataCentreRemoval())
	})
	b.measureLeaderCosts(f)
	b.measureMemory(f)
}

// measureLeaderCosts measures the leader's processor time for one step, and for
// the digests of all members in one renewal interval.
func (b *bench) measureLeaderCosts(f fleet) {
	t := lease.New(f.view, lease.DefaultTTL, startTime)
	d := lease.Digest{Epoch: f.view.Epoch, Revision: 1, Alive: make(lease.Bitmap, (len(f.view.Members)+7)/8)}
	for i := range f.view.Members {
		d.Alive.Set(i)
	}
	perSecond := seconds(lease.RenewInterval)
	b.reportTime("cost.renewalInterval.seconds", f.agents, seconds(processorBound)*perSecond, func() {
		_, _ = t.HandleDigest(d, startTime)
	})
	// While a published epoch is not active yet, every step scans all leases;
	// that is the expensive case.
	at := startTime.Add(lease.DefaultTTL + tick)
	_, _ = t.HandleDigest(d, at)
	t.Committed(balsampier.View{Epoch: f.view.Epoch + 1, Members: f.view.Members})
	b.reportTime("cost.leaderStep.seconds", f.agents, seconds(processorBound)*seconds(tick), func() { t.Changes(at) })
}

// measureMemory measures the memory of a watcher that holds two successive
// views and a rule file.
func (b *bench) measureMemory(f fleet) {
	before := measure.MemoryBytes()
	v := balsampier.View{Epoch: f.view.Epoch, Members: append([]balsampier.Member(nil), f.view.Members...)}
	n, _ := members.Apply(v, members.Delta{From: v.Epoch, To: v.Epoch + 1, Changed: f.singleRestart().Joined})
	text := []byte(f.rules.Text)
	after := measure.MemoryBytes()
	runtime.KeepAlive(v)
	runtime.KeepAlive(n)
	runtime.KeepAlive(text)
	b.reportAtMost("memory.twoViewsAndRules.bytes", f.agents, after-before, memoryBound)
}

// reportTime times f and prints the shortest of several runs, in seconds.
func (b *bench) reportTime(name string, n int, bound float64, f func()) {
	b.reportAtMost(name, n, seconds(measure.MinDuration(clock.System{}, repeats, f)), bound)
}

// singleRestart returns the change for the restart of one member.
func (f fleet) singleRestart() apply.MembershipChange {
	m := f.view.Members[len(f.view.Members)/2]
	m.Incarnation++
	return apply.MembershipChange{Joined: []balsampier.Member{m}}
}

// dataCentreRemoval returns the change that removes all members of the lost
// data centre.
func (f fleet) dataCentreRemoval() apply.MembershipChange {
	var c apply.MembershipChange
	for _, m := range f.view.Members {
		if m.DataCentre == lostDataCentre {
			c.Left = append(c.Left, m.ID)
		}
	}
	return c
}
