package control

import (
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/query/members"
)

const (
	// tick is the step of simulated time.
	tick = 50 * time.Millisecond
	// commitDelay is the simulated time that a quorum takes to commit.
	commitDelay = 100 * time.Millisecond
)

type (
	// lossRun simulates control in a fleet that loses a data centre at
	// startTime.
	lossRun struct {
		table   *lease.Table
		state   *apply.State
		history *members.History
		// batchCount is the number of membership changes that were proposed.
		batchCount int
		// pending is the change that commits at commitAt; nil for none.
		pending  *apply.MembershipChange
		commitAt time.Duration
		// renewalsByTick holds the members that renew in each tick of a renewal
		// interval.
		renewalsByTick [][]balsampier.Member
		// lostMembers is the number of members of the lost data centre that are
		// still in the view.
		lostMembers int
	}

	// watchStream is the watch stream of one member during a lossRun.
	watchStream struct {
		publisher *members.Publisher
		view      balsampier.View
		assembler members.Assembler
		// bytesPerTick holds the bytes sent in each tick.
		bytesPerTick []int
		// removedAfter is the time from the loss until the watcher's view held
		// none of the lost members; zero before.
		removedAfter time.Duration
	}
)

// measureDataCentreLoss measures how long the members of a data centre that
// fail together stay in the views of watchers, and the traffic of their
// removal.
func (b *bench) measureDataCentreLoss(f fleet) {
	l := newLossRun(f)
	ks := []balsampier.Role{balsampier.RoleBalancer, balsampier.RoleAgent}
	ss := make([]*watchStream, 0, len(ks))
	for _, k := range ks {
		ss = append(ss, l.startStream(f.watcher(k)))
	}
	for d := time.Duration(0); d < 2*rolloutBound; d += tick {
		l.step(d)
		for _, s := range ss {
			s.step(l, d)
		}
	}
	for i, s := range ss {
		name := "dataCentreLost." + ks[i].String()
		total, peak := s.countBytes()
		b.reportAtMost(name+".seconds", f.agents, s.removalSeconds(), seconds(rolloutBound))
		b.reportAtMost(name+".bytes", f.agents, float64(total), members.DefaultBudget*7/8*seconds(rolloutBound))
		b.reportAtMost(name+".bytesInOneSecond", f.agents, float64(peak), members.DefaultBudget)
	}
	b.reportAtMost("dataCentreLost.changes", f.agents, float64(l.batchCount), 3)
}

func newLossRun(f fleet) *lossRun {
	l := &lossRun{
		table: lease.New(f.view, lease.DefaultTTL, startTime.Add(-lease.DefaultTTL)),
		state: &apply.State{View: f.view}, history: members.NewHistory(f.view),
	}
	l.renewalsByTick = make([][]balsampier.Member, int(lease.RenewInterval/tick))
	for i, m := range f.view.Members {
		k := i % len(l.renewalsByTick)
		l.renewalsByTick[k] = append(l.renewalsByTick[k], m)
		l.table.Renew(m, 1, startTime.Add(time.Duration(k)*tick-lease.RenewInterval))
		if m.DataCentre == lostDataCentre {
			l.lostMembers++
		}
	}
	return l
}

// step simulates the tick of control that begins d after the loss.
func (l *lossRun) step(d time.Duration) {
	for _, m := range l.renewalsByTick[int(d/tick)%len(l.renewalsByTick)] {
		if m.DataCentre != lostDataCentre {
			l.table.Renew(m, 1, startTime.Add(d))
		}
	}
	if l.pending != nil && d >= l.commitAt {
		l.state.ChangeMembers(*l.pending)
		l.table.Committed(l.state.View)
		l.history.Add(l.state.View)
		l.lostMembers -= len(l.pending.Left)
		l.pending = nil
	}
	if c, ok := l.table.Changes(startTime.Add(d)); ok {
		l.pending, l.commitAt = &c, d+commitDelay
		l.batchCount++
	}
}

// startStream returns a watch stream for m that begins at the current view.
func (l *lossRun) startStream(m balsampier.Member) *watchStream {
	i := members.InterestOf(m, false)
	p := members.Position{Revision: 1, Epoch: l.state.View.Epoch}
	return &watchStream{
		publisher: members.NewPublisher(i, wireSizes, members.DefaultBudget, p, startTime),
		view:      balsampier.View{Epoch: p.Epoch, Members: l.history.Snapshot(i).Changed},
	}
}

// step sends and applies all that the publisher has for the watcher d after the
// loss.
func (s *watchStream) step(l *lossRun, d time.Duration) {
	n := 0
	for {
		m, _, ok := s.publisher.Next(members.Source{Rules: balsampier.RuleFile{Revision: 1}, History: l.history}, startTime.Add(d))
		if !ok {
			break
		}
		n += wireSizes.Message
		if m.View != nil {
			n += s.applyPart(*m.View)
		}
	}
	s.bytesPerTick = append(s.bytesPerTick, n)
	if s.removedAfter == 0 && l.lostMembers == 0 && s.view.Epoch == l.state.View.Epoch {
		s.removedAfter = d
	}
}

// applyPart applies a part of a view delta and returns its encoded length.
func (s *watchStream) applyPart(p members.ViewPart) int {
	n := len(p.Delta.Removed) * wireSizes.Removed
	for _, m := range p.Delta.Changed {
		n += wireSizes.Member(m)
	}
	if d, ok := s.assembler.AddView(p); ok {
		if v, err := members.Apply(s.view, d); err == nil {
			s.view = v
		}
	}
	return n
}

// countBytes returns the bytes that were sent in total, and the most in any
// second.
func (s *watchStream) countBytes() (total, most int) {
	window := int(time.Second / tick)
	sum := 0
	for i, n := range s.bytesPerTick {
		total, sum = total+n, sum+n
		if i >= window {
			sum -= s.bytesPerTick[i-window]
		}
		most = max(most, sum)
	}
	return total, most
}

// removalSeconds returns removedAfter in seconds. When the members were never
// removed it returns a day, which exceeds every bound.
func (s *watchStream) removalSeconds() float64 {
	if s.removedAfter == 0 {
		return seconds(day)
	}
	return seconds(s.removedAfter)
}
