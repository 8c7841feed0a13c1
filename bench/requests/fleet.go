package requests

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/answer"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/command/claim"
	"github.com/balsampier/balsampier/command/lease"
)

const (
	fleetService   = "fleet"
	fleetAgents    = 5
	fleetLease     = 2 * time.Second
	fleetRetention = 30 * time.Second
	fleetSkew      = 200 * time.Millisecond
	// fleetMessages bounds the messages in flight; the oldest are lost.
	fleetMessages = 400
	// fleetKeys is how many recent keys may be sent again.
	fleetKeys = 6
)

type (
	// RandomSource draws the next choice of a run.
	RandomSource interface {
		// IntN returns a number in [0, n).
		IntN(n int) int
	}

	// Fleet is the agents of one service and control, as state machines that
	// are joined by messages which may be late, repeated, reordered or lost.
	Fleet struct {
		pick   RandomSource
		now    time.Time
		agents []*fleetAgent
		// leases and state are control, as its leader and its log have them.
		leases *lease.Table
		state  *apply.State
		mail   []letter
		keys   []balsampier.RequestKey
		issued uint64
		// runs counts how often the first byte of each request went out.
		runs map[balsampier.RequestKey]int
		// bodies holds what the backend server answered to each request.
		bodies map[balsampier.RequestKey]string
		room   int
		// Violations lists every broken promise that was seen.
		Violations []string
		// Stats counts what happened, so that a run without any of it shows.
		Stats FleetStats
	}

	// FleetStats counts what happened in a run.
	FleetStats struct {
		Epochs, Leaders, Deaths, Cuts, Freezes, Runs, NotRun, Unknown, Full, Held, Stored int
	}

	// letter is one message; the zero Holder stands for control.
	letter struct {
		from, to balsampier.Holder
		body     any
	}

	renewal struct {
		balsampier.Renewal
		at time.Time
	}

	renewed struct {
		sent  time.Time
		lease balsampier.Lease
	}
)

// Add sums up s and x.
func (s *FleetStats) Add(x FleetStats) {
	s.Epochs += x.Epochs
	s.Leaders += x.Leaders
	s.Deaths += x.Deaths
	s.Cuts += x.Cuts
	s.Freezes += x.Freezes
	s.Runs += x.Runs
	s.NotRun += x.NotRun
	s.Unknown += x.Unknown
	s.Full += x.Full
	s.Held += x.Held
	s.Stored += x.Stored
}

// NewFleet returns a fleet of agents that have not joined yet.
func NewFleet(p RandomSource) *Fleet {
	f := &Fleet{
		pick: p, now: time.UnixMilli(1_800_000_000_000), state: new(apply.State),
		runs: make(map[balsampier.RequestKey]int), bodies: make(map[balsampier.RequestKey]string),
		room: fleetAgents + p.IntN(2)*1000,
	}
	f.elect()
	for i := range fleetAgents {
		a := &fleetAgent{self: balsampier.Holder{Instance: balsampier.InstanceID(i + 1)}}
		a.skew = time.Duration(p.IntN(3)-1) * fleetSkew / 2
		f.agents = append(f.agents, a)
		f.restart(a)
	}
	for range 4 {
		f.RunRounds(3)
		f.pass(fleetLease / 4)
		f.publish()
	}
	return f
}

// Step does one thing at random.
func (f *Fleet) Step() {
	a := f.agents[f.pick.IntN(len(f.agents))]
	switch n := f.pick.IntN(100); {
	case n < 20:
		f.deliver()
	case n < 38:
		f.RunRounds(1 + f.pick.IntN(6))
	case n < 50:
		f.send(a)
	case n < 64:
		f.begin(a)
	case n < 67:
		f.finish(a)
	case n < 71:
		f.refuse(a)
	case n < 80:
		f.pass(time.Duration(1+f.pick.IntN(15)) * 100 * time.Millisecond)
	case n < 90:
		f.publish()
	default:
		f.fail(a, n)
	}
}

// fail lets the agent, or several, fail or recover.
func (f *Fleet) fail(a *fleetAgent, n int) {
	switch {
	case n < 93 && a.dead:
		f.restart(a)
	case n < 93:
		a.dead = true
		f.Stats.Deaths++
	case n < 94:
		a.frozen = !a.frozen
		f.Stats.Freezes++
	case n < 95:
		a.apart = !a.apart
		f.Stats.Cuts++
	case n < 97:
		f.cutPair()
		f.lapse()
	case n < 98:
		f.heal()
	case n < 99:
		f.drop()
	default:
		f.elect()
	}
}

// cutPair cuts the holders of a recent key and one more agent off.
func (f *Fleet) cutPair() {
	if len(f.keys) == 0 {
		return
	}
	p := claim.Pair(f.group().Holders, f.keys[len(f.keys)-1])
	extra := f.pick.IntN(len(f.agents))
	for i, a := range f.agents {
		a.apart = i == extra || slices.Contains(p, a.self)
	}
	f.Stats.Cuts++
}

// lapse lets the leases of those that cannot reach control run out, and the
// others go on without them.
func (f *Fleet) lapse() {
	for range 2 + f.pick.IntN(3) {
		f.pass(fleetLease * 3 / 4)
		f.publish()
		f.RunRounds(4)
	}
}

func (f *Fleet) heal() {
	for _, a := range f.agents {
		a.apart, a.frozen = false, false
	}
}

func (f *Fleet) restart(a *fleetAgent) {
	a.self.Incarnation++
	a.dead, a.frozen = false, false
	a.epochs, a.adopted = claim.NewEpochs(a.self), 0
	s := claim.Settings{Retention: fleetRetention, MaxSkew: fleetSkew, MaxClaims: f.room}
	a.holder = claim.NewHolder(a.self, s, a.epochs)
	a.attempts, a.runners = new(claim.Attempts), nil
	a.answers = answer.New(answer.Settings{
		Retention: fleetRetention, MaxEntries: 50, MaxBytes: 1000, MaxAnswerBytes: 100, MaxWaiters: 2,
	})
}

func (f *Fleet) pass(d time.Duration) { f.now = f.now.Add(d) }

// elect makes a new leader, which knows the log and no lease.
func (f *Fleet) elect() {
	f.leases = lease.New(f.state.View, fleetLease, f.now)
	f.Stats.Leaders++
}

// publish logs the membership changes that are due.
func (f *Fleet) publish() {
	c, ok := f.leases.Changes(f.now)
	if !ok {
		return
	}
	f.state.ChangeMembers(c)
	f.leases.Committed(f.state.View)
	f.Stats.Epochs++
}

func (f *Fleet) group() claim.Group { return f.state.Claims[fleetService].Group }

func (f *Fleet) post(from, to balsampier.Holder, body any) {
	f.mail = append(f.mail, letter{from: from, to: to, body: body})
	if len(f.mail) > fleetMessages {
		f.mail = f.mail[len(f.mail)-fleetMessages:]
	}
}

func (f *Fleet) drop() {
	if len(f.mail) > 0 {
		i := f.pick.IntN(len(f.mail))
		f.mail = slices.Delete(f.mail, i, i+1)
	}
}

// deliver hands over one letter at random; one in four stays to come again.
func (f *Fleet) deliver() {
	if len(f.mail) == 0 {
		return
	}
	i := f.pick.IntN(len(f.mail))
	l := f.mail[i]
	if f.pick.IntN(4) > 0 {
		f.mail = slices.Delete(f.mail, i, i+1)
	}
	f.handle(l)
}

// RunRounds lets every agent do its periodic work and delivers all letters, n
// times.
func (f *Fleet) RunRounds(n int) {
	for range n {
		for _, a := range f.agents {
			f.work(a)
		}
		ls := f.mail
		f.mail = nil
		for _, l := range ls {
			f.handle(l)
		}
	}
}

func (f *Fleet) find(h balsampier.Holder) *fleetAgent {
	for _, a := range f.agents {
		if a.self == h && !a.dead && !a.frozen {
			return a
		}
	}
	return nil
}

// cut reports whether the two sides cannot reach each other now.
func (f *Fleet) cut(x, y balsampier.Holder) bool {
	return f.apart(x) != f.apart(y)
}

func (f *Fleet) apart(h balsampier.Holder) bool {
	return h.Instance != 0 && f.agents[h.Instance-1].apart
}

func (f *Fleet) handle(l letter) {
	if f.cut(l.from, l.to) {
		return
	}
	if l.to.IsZero() {
		f.handleControl(l)
		return
	}
	a := f.find(l.to)
	if a == nil {
		return
	}
	f.receive(a, l)
}

func (f *Fleet) handleControl(l letter) {
	b, ok := l.body.(renewal)
	if !ok {
		return
	}
	g, err := f.leases.Report(lease.Report{Member: b.Member, AcknowledgedEpoch: b.AcknowledgedEpoch}, f.now)
	if err != nil {
		return
	}
	f.state.RecordCompletions([]apply.Completion{{Service: fleetService, Holder: l.from, Epoch: b.CompleteEpoch}})
	f.publish()
	a := f.state.Claims[fleetService]
	f.post(balsampier.Holder{}, l.from, renewed{sent: b.at, lease: balsampier.Lease{
		TTL: g.TTL, Epoch: g.Epoch, Active: g.ActiveEpoch, Claims: a.State(f.state.View.Epoch),
	}})
}

func (f *Fleet) newKey() balsampier.RequestKey {
	f.issued++
	at := f.now.Add(time.Duration(f.pick.IntN(3)-1) * fleetSkew / 2)
	k := NewKey(at, f.issued)
	f.keys = append(f.keys, k)
	if len(f.keys) > fleetKeys {
		f.keys = f.keys[1:]
	}
	return k
}

// NewKey returns a UUIDv7 that was issued at t.
func NewKey(t time.Time, n uint64) balsampier.RequestKey {
	var k uuid.UUID
	m := uint64(t.UnixMilli())
	for i := range 6 {
		k[i] = byte(m >> (40 - 8*i))
	}
	k[6], k[8] = 0x70, 0x80
	for i := range 7 {
		k[15-i] = byte(n >> (8 * i))
	}
	return k
}

// ServesAfterHeal heals everything and reports whether, once the old claims are
// forgotten, a new request at each agent is run.
func (f *Fleet) ServesAfterHeal() bool {
	f.heal()
	for _, a := range f.agents {
		if a.dead {
			f.restart(a)
		}
	}
	f.pass(fleetRetention + 2*fleetSkew)
	for range 8 {
		f.pass(fleetLease / 2)
		f.publish()
		f.RunRounds(6)
	}
	for _, a := range f.agents {
		r := f.offer(a, f.newKey())
		f.RunRounds(6)
		if r == nil || !r.run.Begin(a.epochs, f.now) {
			return false
		}
		f.run(a, r)
	}
	return true
}
