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
	// commitDelay is what a commit on a quorum is given.
	commitDelay = 100 * time.Millisecond
)

type (
	// loss is a run in which a data centre is lost at start.
	loss struct {
		table   *lease.Table
		state   *apply.State
		history *members.History
		// changes counts the batches that were logged.
		changes int
		// pending is what commits at pendingAt.
		pending   *apply.MembershipChange
		pendingAt time.Duration
		// renew holds the members by when they renew in each interval.
		renew [][]balsampier.Member
		// left counts the members of the lost data centre that are listed.
		left int
	}

	// stream follows a loss.
	stream struct {
		publisher *members.Publisher
		view      balsampier.View
		parts     members.Assembler
		// sent is the number of bytes sent in each tick.
		sent []int
		// done is when the last lost member was out of the view; zero before.
		done time.Duration
	}
)

// lost measures how long a data centre that is lost at once stays in the views
// of watchers, and what its removal costs them.
func (b *bench) lost(f fleet) {
	l := newLoss(f)
	ks := []balsampier.Role{balsampier.RoleBalancer, balsampier.RoleAgent}
	ss := make([]*stream, 0, len(ks))
	for _, k := range ks {
		ss = append(ss, l.watch(f.watcher(k)))
	}
	for d := time.Duration(0); d < 2*rolloutBound; d += tick {
		l.step(d)
		for _, s := range ss {
			s.step(l, d)
		}
	}
	for i, s := range ss {
		name := "dataCentreLost." + ks[i].String()
		total, most := s.bytes()
		b.at(name+".seconds", f.agents, s.seconds(), seconds(rolloutBound))
		b.at(name+".bytes", f.agents, float64(total), members.DefaultBudget*7/8*seconds(rolloutBound))
		b.at(name+".bytesInOneSecond", f.agents, float64(most), members.DefaultBudget)
	}
	b.at("dataCentreLost.changes", f.agents, float64(l.changes), 3)
}

func newLoss(f fleet) *loss {
	l := &loss{
		table: lease.New(f.view, lease.DefaultTTL, start.Add(-lease.DefaultTTL)),
		state: &apply.State{View: f.view}, history: members.NewHistory(f.view),
	}
	l.renew = make([][]balsampier.Member, int(lease.RenewInterval/tick))
	for i, m := range f.view.Members {
		k := i % len(l.renew)
		l.renew[k] = append(l.renew[k], m)
		l.table.Renew(m, 1, start.Add(time.Duration(k)*tick-lease.RenewInterval))
		if m.DataCentre == lostDataCentre {
			l.left++
		}
	}
	return l
}

func (l *loss) step(d time.Duration) {
	for _, m := range l.renew[int(d/tick)%len(l.renew)] {
		if m.DataCentre != lostDataCentre {
			l.table.Renew(m, 1, start.Add(d))
		}
	}
	if l.pending != nil && d >= l.pendingAt {
		l.state.ChangeMembers(*l.pending)
		l.table.Committed(l.state.View)
		l.history.Add(l.state.View)
		l.left -= len(l.pending.Left)
		l.pending = nil
	}
	if c, ok := l.table.Changes(start.Add(d)); ok {
		l.pending, l.pendingAt = &c, d+commitDelay
		l.changes++
	}
}

func (l *loss) watch(m balsampier.Member) *stream {
	i := members.InterestOf(m, false)
	p := members.Position{Revision: 1, Epoch: l.state.View.Epoch}
	return &stream{
		publisher: members.NewPublisher(i, wireSizes, members.DefaultBudget, p, start),
		view:      balsampier.View{Epoch: p.Epoch, Members: l.history.Snapshot(i).Changed},
	}
}

func (s *stream) step(l *loss, d time.Duration) {
	n := 0
	for {
		m, _, ok := s.publisher.Next(members.Source{Rules: balsampier.RuleFile{Revision: 1}, History: l.history}, start.Add(d))
		if !ok {
			break
		}
		n += wireSizes.Message
		if m.View != nil {
			n += s.take(*m.View)
		}
	}
	s.sent = append(s.sent, n)
	if s.done == 0 && l.left == 0 && s.view.Epoch == l.state.View.Epoch {
		s.done = d
	}
}

// take applies a part and returns its length.
func (s *stream) take(p members.ViewPart) int {
	n := len(p.Delta.Removed) * wireSizes.Removed
	for _, m := range p.Delta.Changed {
		n += wireSizes.Member(m)
	}
	if d, ok := s.parts.AddView(p); ok {
		if v, err := members.Apply(s.view, d); err == nil {
			s.view = v
		}
	}
	return n
}

// bytes returns how many bytes were sent, and the most in any second.
func (s *stream) bytes() (total, most int) {
	window := int(time.Second / tick)
	sum := 0
	for i, n := range s.sent {
		total, sum = total+n, sum+n
		if i >= window {
			sum -= s.sent[i-window]
		}
		most = max(most, sum)
	}
	return total, most
}

// seconds returns when the lost members were out of the view, and more than
// any bound when they never were.
func (s *stream) seconds() float64 {
	if s.done == 0 {
		return seconds(day)
	}
	return seconds(s.done)
}
