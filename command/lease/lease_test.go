package lease_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/command/lease"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

type (
	// clock is a clock that runs at rate percent of true time.
	clock struct {
		rate time.Duration
	}

	// process is one run of an instance.
	process struct {
		clock
		member balsampier.Member
		lease  *lease.MemberLease
		// stopped processes neither renew nor receive replies.
		stopped bool
		// idle processes are left out of runRounds.
		idle bool
	}

	renewal struct {
		p       *process
		attempt lease.Attempt
		report  lease.Report
	}

	reply struct {
		p       *process
		attempt lease.Attempt
		grant   lease.Grant
		err     error
	}

	// simulation connects processes, collectors and the lease table by a
	// network that delays, loses, repeats and reorders messages.
	simulation struct {
		clock
		// now is the true time.
		now        time.Duration
		random     *rand.Rand
		state      *apply.State
		table      *lease.Table
		collectors []*lease.Collector
		// attempts are the newest renewals of each member in each collector.
		attempts  []map[balsampier.Holder]renewal
		processes []*process
		renewals  []renewal
		replies   []reply
		leaves    []balsampier.Holder
		proposed  *apply.MembershipChange
		// activeEpoch is the newest active epoch that any leader announced.
		activeEpoch balsampier.Epoch
		// newestIncarnations holds the newest incarnation of each instance
		// that control received a report from.
		newestIncarnations map[balsampier.InstanceID]balsampier.Incarnation
		// validLeases counts checks that found a valid lease.
		validLeases int
	}
)

func TestMain(m *testing.M) {
	for _, f := range [][2]string{{"rapid.seed", "1"}, {"rapid.steps", "150"}, {"rapid.checks", "300"}, {"rapid.nofailfile", "true"}} {
		_ = flag.Set(f[0], f[1])
	}
	flag.Parse()
	os.Exit(m.Run())
}

func (c clock) localTime(d time.Duration) time.Time { return start.Add(d / 100 * c.rate) }

func newSimulation() *simulation {
	w := &simulation{
		clock: clock{100}, random: rand.New(rand.NewPCG(1, 2)), state: &apply.State{},
		newestIncarnations: map[balsampier.InstanceID]balsampier.Incarnation{},
	}
	w.table = lease.New(w.state.View, lease.DefaultTTL, w.localTime(w.now))
	for range 2 {
		w.collectors = append(w.collectors, lease.NewCollector())
		w.attempts = append(w.attempts, map[balsampier.Holder]renewal{})
	}
	return w
}

func (w *simulation) startProcess(name string, inc balsampier.Incarnation, rate time.Duration) {
	p := &process{clock: clock{rate}, member: balsampier.Member{
		ID: balsampier.NewInstanceID(name), Name: name, Role: balsampier.RoleAgent, Incarnation: inc,
	}}
	p.lease = lease.NewMemberLease(p.localTime(w.now))
	w.processes = append(w.processes, p)
}

func (w *simulation) send(p *process) {
	if p.stopped {
		return
	}
	a, e := p.lease.StartRenewal(p.localTime(w.now), w.random)
	w.renewals = append(w.renewals, renewal{p, a, lease.Report{Member: p.member, AppliedRevision: 1, AcknowledgedEpoch: e}})
}

// deliver passes a renewal to control instance i.
func (w *simulation) deliver(n renewal, i int) {
	if w.collectors[i].Add(n.report) == nil {
		w.attempts[i][n.report.Member.Holder()] = n
	}
}

// passDigest passes the digest of control instance i to the leader; if lost is
// true, the receipt is lost.
func (w *simulation) passDigest(i int, lost bool) {
	w.collectors[i].SetView(w.state.View)
	d, ok := w.collectors[i].NextDigest(1)
	if !ok {
		return
	}
	for _, r := range d.Changed {
		w.newestIncarnations[r.Member.ID] = max(w.newestIncarnations[r.Member.ID], r.Member.Incarnation)
	}
	rc, err := w.table.HandleDigest(d, w.localTime(w.now))
	if err != nil || lost {
		w.collectors[i].HandleFailure()
		return
	}
	for _, a := range w.collectors[i].HandleReceipt(rc) {
		n := w.attempts[i][a.Holder]
		w.replies = append(w.replies, reply{n.p, n.attempt, a.Grant, a.Err})
	}
}

func (w *simulation) deliverReply(a reply) {
	switch {
	case a.p.stopped:
	case a.err != nil:
		a.p.lease.HandleFailure(a.attempt, a.err, a.p.localTime(w.now), w.random)
	default:
		a.p.lease.HandleGrant(a.attempt, a.grant, w.random)
	}
}

func (w *simulation) propose() {
	if c, ok := w.table.Changes(w.localTime(w.now)); ok {
		w.proposed = &c
	}
	w.activeEpoch = max(w.activeEpoch, w.table.ActiveEpoch())
}

func (w *simulation) commit() {
	if w.proposed != nil {
		w.state.ChangeMembers(*w.proposed)
		w.proposed = nil
		w.table.Committed(w.state.View)
	}
}

func (w *simulation) elect(rate time.Duration, committed bool) {
	if w.proposed != nil && committed {
		w.state.ChangeMembers(*w.proposed)
	}
	w.proposed = nil
	w.clock = clock{rate}
	w.table = lease.New(w.state.View, lease.DefaultTTL, w.localTime(w.now))
}

// renewLeases renews the leases of processes ps without faults.
func (w *simulation) renewLeases(ps ...*process) {
	for i, p := range ps {
		if w.send(p); !p.stopped {
			w.deliver(w.renewals[len(w.renewals)-1], i%2)
		}
	}
	w.now += 50 * time.Millisecond
	for i := range w.collectors {
		w.passDigest(i, false)
		w.passDigest(i, false)
	}
	for _, a := range w.replies {
		w.deliverReply(a)
	}
	w.renewals, w.replies = nil, nil
}

// runRounds runs rounds in which all processes that are neither idle nor stopped
// renew their leases and acknowledge the newest view.
func (w *simulation) runRounds(rounds int) {
	busy := slices.DeleteFunc(slices.Clone(w.processes), func(p *process) bool { return p.idle || p.stopped })
	for range rounds {
		w.renewLeases(busy...)
		w.now += 300 * time.Millisecond
		w.propose()
		w.commit()
		for _, p := range busy {
			p.lease.Acknowledge(w.state.View.Epoch)
		}
	}
}

// check returns an error if a process has a valid lease but is not in the view,
// or has it in an epoch before the active one.
func (w *simulation) check() error {
	for _, p := range w.processes {
		e, ok := p.lease.Epoch(p.localTime(w.now))
		if p.stopped || !ok {
			continue
		}
		w.validLeases++
		if e < w.activeEpoch {
			return fmt.Errorf("%v has a lease in epoch %d while %d is active", p.member.Holder(), e, w.activeEpoch)
		}
		m, ok := w.state.View.Find(p.member.ID)
		if replaced := w.newestIncarnations[p.member.ID] > p.member.Incarnation; !replaced && (!ok || m.Incarnation != p.member.Incarnation) {
			return fmt.Errorf("%v has a lease and is not in view %d", p.member.Holder(), w.state.View.Epoch)
		}
	}
	return nil
}

// TestLeases checks that every member with a valid lease is in the view and has
// it in no epoch before the active one, under clock drift, freezes, lost, late
// and repeated messages, restarts, two instances of one name, and changes of the
// leader.
func TestLeases(t *testing.T) {
	leases, active := 0, balsampier.Epoch(0)
	rapid.Check(t, func(r *rapid.T) {
		w := newSimulation()
		rates := rapid.SampledFrom([]time.Duration{99, 100, 101})
		w.clock = clock{rates.Draw(r, "rate")}
		w.table = lease.New(w.state.View, lease.DefaultTTL, w.localTime(w.now))
		for _, n := range []string{"a", "b", "c"} {
			w.startProcess(n, 1, rates.Draw(r, "rate"))
		}
		w.runRounds(rapid.IntRange(0, 20).Draw(r, "rounds"))
		r.Repeat(w.actions(rates))
		leases += w.validLeases
		active = max(active, w.activeEpoch)
	})
	if leases == 0 || active < 3 {
		t.Fatalf("%d leases checked, epoch %d active", leases, active)
	}
}

func (w *simulation) actions(rates *rapid.Generator[time.Duration]) map[string]func(*rapid.T) {
	any := func(r *rapid.T) *process { return rapid.SampledFrom(w.processes).Draw(r, "process") }
	return map[string]func(*rapid.T){
		"": func(r *rapid.T) {
			if err := w.check(); err != nil {
				r.Fatal(err)
			}
		},
		"advance": func(r *rapid.T) {
			w.now += time.Duration(rapid.SampledFrom([]int{10, 100, 500, 2000, 4850, 4990}).Draw(r, "ms")) * time.Millisecond
		},
		"send": func(r *rapid.T) { w.send(any(r)) },
		"deliver": func(r *rapid.T) {
			if len(w.renewals) == 0 {
				return
			}
			i := rapid.IntRange(0, len(w.renewals)-1).Draw(r, "renewal")
			w.deliver(w.renewals[i], rapid.IntRange(0, 1).Draw(r, "instance"))
			if !rapid.Bool().Draw(r, "again") {
				w.renewals = append(w.renewals[:i:i], w.renewals[i+1:]...)
			}
		},
		"digest": func(r *rapid.T) {
			w.passDigest(rapid.IntRange(0, 1).Draw(r, "instance"), rapid.IntRange(0, 3).Draw(r, "lost") == 3)
		},
		"respond": func(r *rapid.T) {
			if len(w.replies) > 0 {
				i := rapid.IntRange(0, len(w.replies)-1).Draw(r, "answer")
				w.deliverReply(w.replies[i])
				w.replies = append(w.replies[:i:i], w.replies[i+1:]...)
			}
		},
		"propose": func(*rapid.T) { w.propose() },
		"commit":  func(*rapid.T) { w.commit() },
		"drop": func(*rapid.T) {
			if w.proposed != nil {
				w.table.Dropped(*w.proposed, w.localTime(w.now))
				w.proposed = nil
			}
		},
		"elect": func(r *rapid.T) { w.elect(rates.Draw(r, "rate"), rapid.Bool().Draw(r, "committed")) },
		"acknowledge": func(r *rapid.T) {
			any(r).lease.Acknowledge(balsampier.Epoch(rapid.Uint64Range(0, uint64(w.state.View.Epoch)).Draw(r, "epoch")))
		},
		"settle": func(r *rapid.T) { w.runRounds(rapid.IntRange(1, 20).Draw(r, "rounds")) },
		"talk":   func(r *rapid.T) { w.renewLeases(any(r)) },
		"idle": func(r *rapid.T) {
			p := any(r)
			p.idle = !p.idle
		},
		"restart": func(r *rapid.T) {
			p := any(r)
			p.stopped = rapid.Bool().Draw(r, "dead")
			inc := balsampier.Incarnation(len(w.processes) + 1)
			w.startProcess(p.member.Name, inc, rates.Draw(r, "rate"))
		},
		"drain": func(r *rapid.T) { any(r).member.Draining = true },
		"leave": func(r *rapid.T) {
			p := any(r)
			if rapid.IntRange(0, 7).Draw(r, "leaves") > 0 {
				return
			}
			p.lease.Leave()
			w.leaves = append(w.leaves, p.member.Holder())
		},
		"left": func(r *rapid.T) {
			if len(w.leaves) > 0 {
				w.table.Leave(rapid.SampledFrom(w.leaves).Draw(r, "holder"), w.localTime(w.now))
			}
		},
	}
}

func TestSettledMembersHoldLeasesInTheActiveEpoch(t *testing.T) {
	c := qt.New(t)
	w := newSimulation()
	for i := range 20 {
		w.startProcess(fmt.Sprint(i), 1, 100)
	}
	w.runRounds(20)
	w.elect(100, true)
	w.runRounds(20)
	c.Assert(w.state.View.Epoch, qt.Equals, balsampier.Epoch(1), qt.Commentf("a new leader changes nothing"))
	c.Assert(w.table.ActiveEpoch(), qt.Equals, balsampier.Epoch(1))
	for _, p := range w.processes {
		c.Assert(p.lease.State(p.localTime(w.now)), qt.Equals, lease.StateHeld)
	}
}

// TestMemberTTL checks durations over all clock rates that the drift limit
// allows.
func TestMemberTTL(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Hour)).Draw(r, "term"))
		slow, fast := rapid.Int64Range(99, 101).Draw(r, "member"), rapid.Int64Range(99, 101).Draw(r, "control")
		m, k := int64(lease.MemberTTL(d))*fast, int64(d)*slow
		if m > k || m < k*9/10 {
			r.Fatalf("lease of %v lasts %d at the member and %d at control", d, m, k)
		}
	})
}

func TestNameConflicts(t *testing.T) {
	a, b := netip.MustParseAddrPort("192.0.2.1:1"), netip.MustParseAddrPort("192.0.2.2:1")
	tests := []struct {
		name          string
		first, second balsampier.Member
		kinds         []balsampier.Kind
	}{
		{"restart", balsampier.Member{ID: 1, Incarnation: 1, Addr: a}, balsampier.Member{ID: 1, Incarnation: 2, Addr: b}, []balsampier.Kind{0, 0, balsampier.KindConflict, 0}},
		{"late report", balsampier.Member{ID: 1, Incarnation: 2, Addr: a}, balsampier.Member{ID: 1, Incarnation: 1, Addr: a}, []balsampier.Kind{0, balsampier.KindConflict, 0, balsampier.KindConflict}},
		{"equal incarnations", balsampier.Member{ID: 1, Incarnation: 1, Addr: a}, balsampier.Member{ID: 1, Incarnation: 1, Addr: b}, []balsampier.Kind{0, balsampier.KindConflict, 0, balsampier.KindConflict}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			l := lease.New(balsampier.View{}, lease.DefaultTTL, start)
			for i, k := range tt.kinds {
				m := []balsampier.Member{tt.first, tt.second}[i%2]
				_, err := l.Report(lease.Report{Member: m}, start)
				c.Check(balsampier.KindOf(err), qt.Equals, k, qt.Commentf("report %d", i))
			}
			c.Check(l.Conflicting(start), qt.HasLen, 1)
			c.Check(l.Conflicting(start.Add(lease.DefaultTTL)), qt.HasLen, 0)
		})
	}
}

// TestBatches checks how many changes a table logs and how soon.
func TestBatches(t *testing.T) {
	const n = 1300
	renewed := func(i int) time.Duration { return lease.RenewInterval * time.Duration(i) / n }
	tests := []struct {
		name string
		// act runs every 10 ms on a table of n members.
		act func(b *lease.Table, d time.Duration)
		// changes is the largest number of batches, members the exact number of
		// members in them, within the latest time of the last batch.
		changes, members int
		within           time.Duration
	}{
		{"data centre failure", func(*lease.Table, time.Duration) {}, 2, n, 9 * time.Second},
		{"one drains", func(b *lease.Table, d time.Duration) {
			for i := range n {
				b.Renew(balsampier.Member{ID: balsampier.InstanceID(i + 1), Incarnation: 1, Draining: i == 7}, 0, start.Add(d))
			}
		}, 1, 1, 200 * time.Millisecond},
		{"one stops", func(b *lease.Table, d time.Duration) {
			if d == 0 {
				b.Leave(balsampier.Holder{Instance: 8, Incarnation: 1}, start)
			}
			for i := range n {
				if i != 7 {
					b.Renew(balsampier.Member{ID: balsampier.InstanceID(i + 1), Incarnation: 1}, 0, start.Add(d))
				}
			}
		}, 1, 1, 200 * time.Millisecond},
		{"one restarts every second", func(b *lease.Table, d time.Duration) {
			for i := range n {
				m := balsampier.Member{ID: balsampier.InstanceID(i + 1), Incarnation: 1}
				if i == 7 {
					m.Incarnation += balsampier.Incarnation(d / time.Second)
				}
				b.Renew(m, 0, start.Add(d))
			}
		}, 4, 4, 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := &apply.State{}
			var all apply.MembershipChange
			for i := range n {
				all.Joined = append(all.Joined, balsampier.Member{ID: balsampier.InstanceID(i + 1), Incarnation: 1})
			}
			s.ChangeMembers(all)
			b := lease.New(s.View, lease.DefaultTTL, start.Add(-lease.DefaultTTL))
			for i, m := range all.Joined {
				b.Renew(m, 0, start.Add(renewed(i)-lease.RenewInterval))
			}
			changes, members, last := 0, 0, time.Duration(0)
			for d := time.Duration(0); d < 10*time.Second; d += 10 * time.Millisecond {
				tt.act(b, d)
				if k, ok := b.Changes(start.Add(d)); ok {
					changes, members, last = changes+1, members+len(k.Joined)+len(k.Left), d
					s.ChangeMembers(k)
					b.Committed(s.View)
				}
			}
			c.Check(changes <= tt.changes && changes > 0, qt.IsTrue, qt.Commentf("%d changes", changes))
			c.Check(members, qt.Equals, tt.members)
			c.Check(last <= tt.within, qt.IsTrue, qt.Commentf("last change after %v", last))
		})
	}
}

// TestLaggardAfterElection suspends a member while an epoch becomes active. The
// member resumes under a new leader, which does not know that the epoch is
// active and must not grant a lease in an earlier one.
func TestLaggardAfterElection(t *testing.T) {
	c := qt.New(t)
	w := newSimulation()
	w.startProcess("a", 1, 100)
	w.startProcess("b", 1, 100)
	w.runRounds(20)
	sleeper := w.processes[1]
	sleeper.idle = true
	w.startProcess("c", 1, 100)
	w.runRounds(30)
	c.Assert(w.activeEpoch, qt.Equals, w.state.View.Epoch)
	w.elect(100, true)
	for range 4 {
		w.renewLeases(sleeper)
		w.runRounds(1)
		c.Assert(w.check(), qt.IsNil)
		c.Assert(sleeper.lease.State(sleeper.localTime(w.now)), qt.Equals, lease.StateExpired)
	}
	sleeper.idle = false
	w.runRounds(3)
	c.Assert(sleeper.lease.State(sleeper.localTime(w.now)), qt.Equals, lease.StateHeld)
}
