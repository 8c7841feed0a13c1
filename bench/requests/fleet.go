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
	fleetLeaseTTL  = 2 * time.Second
	fleetRetention = 30 * time.Second
	maxClockSkew   = 200 * time.Millisecond
	// maxInFlight bounds the messages in flight; beyond it the oldest are lost.
	maxInFlight = 400
	// maxRecentKeys is how many of the newest keys may be retried.
	maxRecentKeys = 6
)

type (
	// RandomSource draws the random numbers that decide the course of a
	// simulation.
	RandomSource interface {
		// IntN returns a number in [0, n).
		IntN(n int) int
	}

	// Fleet simulates control and the agents of one service. The agents use the
	// claim and answer tables of the agent process, on simulated time. Messages
	// between them may be delayed, duplicated, reordered or lost.
	Fleet struct {
		randomSource RandomSource
		now          time.Time
		agents       []*fleetAgent
		// leases is the lease table of the current leader of control; state is
		// what the log of control has committed.
		leases     *lease.Table
		state      *apply.State
		inFlight   []fleetMessage
		recentKeys []balsampier.RequestKey
		issuedKeys uint64
		// runCounts counts for each request how often its first byte was sent
		// to the backend server.
		runCounts map[balsampier.RequestKey]int
		// answerBodies holds the last answer of the backend server to each
		// request.
		answerBodies map[balsampier.RequestKey]string
		maxClaims    int
		// Violations describes every violation of at-most-once execution that
		// was seen: a request that ran twice, one that ran but was reported as
		// not run, and a stored answer other than the one of the backend
		// server.
		Violations []string
		// Stats counts what happened, so that a simulation in which nothing
		// happened is noticed.
		Stats FleetStats
	}

	// FleetStats counts the events of one or more simulations. Leaders counts
	// elections, Cuts changes of the network partition, NotRun, Unknown and
	// ClaimsFull refusals by reason, HeldByOther refusals because another
	// runner held the claim, StoredAnswers answers from the answer table.
	FleetStats struct {
		Epochs, Leaders, Deaths, Cuts, Freezes, Runs, NotRun, Unknown, ClaimsFull, HeldByOther, StoredAnswers int
	}

	// fleetMessage is a message between two agents, or between an agent and
	// control, which has the zero Holder.
	fleetMessage struct {
		from, to balsampier.Holder
		payload  any
	}

	// renewalRequest asks control to renew the lease of an agent.
	renewalRequest struct {
		balsampier.Renewal
		sentAt time.Time
	}

	// renewalResponse carries the renewed lease, which starts when the request
	// was sent.
	renewalResponse struct {
		requestSentAt time.Time
		lease         balsampier.Lease
	}
)

// Add adds the counts of x to s.
func (s *FleetStats) Add(x FleetStats) {
	s.Epochs += x.Epochs
	s.Leaders += x.Leaders
	s.Deaths += x.Deaths
	s.Cuts += x.Cuts
	s.Freezes += x.Freezes
	s.Runs += x.Runs
	s.NotRun += x.NotRun
	s.Unknown += x.Unknown
	s.ClaimsFull += x.ClaimsFull
	s.HeldByOther += x.HeldByOther
	s.StoredAnswers += x.StoredAnswers
}

// NewFleet starts the agents and lets them join: control renews their leases
// and publishes the membership before NewFleet returns. p decides between a
// small and a large limit of claims per holder.
func NewFleet(p RandomSource) *Fleet {
	f := &Fleet{
		randomSource: p, now: time.UnixMilli(1_800_000_000_000), state: new(apply.State),
		runCounts: make(map[balsampier.RequestKey]int), answerBodies: make(map[balsampier.RequestKey]string),
		maxClaims: fleetAgents + p.IntN(2)*1000,
	}
	f.electLeader()
	for i := range fleetAgents {
		a := &fleetAgent{self: balsampier.Holder{Instance: balsampier.InstanceID(i + 1)}}
		a.clockSkew = time.Duration(p.IntN(3)-1) * maxClockSkew / 2
		f.agents = append(f.agents, a)
		f.restartAgent(a)
	}
	for range 4 {
		f.RunRounds(3)
		f.advanceClock(fleetLeaseTTL / 4)
		f.publish()
	}
	return f
}

// Step performs one random step: it delivers messages, sends, runs, answers or
// refuses a request, advances the time, publishes a view or injects a fault.
func (f *Fleet) Step() {
	a := f.agents[f.randomSource.IntN(len(f.agents))]
	switch n := f.randomSource.IntN(100); {
	case n < 20:
		f.deliverMessage()
	case n < 38:
		f.RunRounds(1 + f.randomSource.IntN(6))
	case n < 50:
		f.sendRequest(a)
	case n < 64:
		f.beginRequest(a)
	case n < 67:
		f.finishRequests(a)
	case n < 71:
		f.abandonRequest(a)
	case n < 80:
		f.advanceClock(time.Duration(1+f.randomSource.IntN(15)) * 100 * time.Millisecond)
	case n < 90:
		f.publish()
	default:
		f.injectFault(a, n)
	}
}

// injectFault performs the fault that n selects, or its recovery: on agent a,
// on several agents, on a message or on the leader of control.
func (f *Fleet) injectFault(a *fleetAgent, n int) {
	switch {
	case n < 93 && a.crashed:
		f.restartAgent(a)
	case n < 93:
		a.crashed = true
		f.Stats.Deaths++
	case n < 94:
		a.frozen = !a.frozen
		f.Stats.Freezes++
	case n < 95:
		a.partitioned = !a.partitioned
		f.Stats.Cuts++
	case n < 97:
		f.partitionKeyHolders()
		f.expireLeases()
	case n < 98:
		f.healAll()
	case n < 99:
		f.loseMessage()
	default:
		f.electLeader()
	}
}

// partitionKeyHolders puts the two claim holders of the newest key and one
// random agent on one side of a network partition, and everyone else on the
// other.
func (f *Fleet) partitionKeyHolders() {
	if len(f.recentKeys) == 0 {
		return
	}
	p := claim.Pair(f.group().Holders, f.recentKeys[len(f.recentKeys)-1])
	extra := f.randomSource.IntN(len(f.agents))
	for i, a := range f.agents {
		a.partitioned = i == extra || slices.Contains(p, a.self)
	}
	f.Stats.Cuts++
}

// expireLeases advances the time until the leases of agents that cannot reach
// control have expired, while the other agents go on without them.
func (f *Fleet) expireLeases() {
	for range 2 + f.randomSource.IntN(3) {
		f.advanceClock(fleetLeaseTTL * 3 / 4)
		f.publish()
		f.RunRounds(4)
	}
}

func (f *Fleet) healAll() {
	for _, a := range f.agents {
		a.partitioned, a.frozen = false, false
	}
}

func (f *Fleet) restartAgent(a *fleetAgent) {
	a.self.Incarnation++
	a.crashed, a.frozen = false, false
	a.epochs, a.adoptedEpoch = claim.NewEpochs(a.self), 0
	s := claim.Settings{Retention: fleetRetention, MaxSkew: maxClockSkew, MaxClaims: f.maxClaims}
	a.holder = claim.NewHolder(a.self, s, a.epochs)
	a.attempts, a.runners = new(claim.Attempts), nil
	a.answers = answer.New(answer.Settings{
		Retention: fleetRetention, MaxEntries: 50, MaxBytes: 1000, MaxAnswerBytes: 100, MaxWaiters: 2,
	})
}

func (f *Fleet) advanceClock(d time.Duration) { f.now = f.now.Add(d) }

// electLeader replaces the leader of control. The new one knows the committed
// view but no lease.
func (f *Fleet) electLeader() {
	f.leases = lease.New(f.state.View, fleetLeaseTTL, f.now)
	f.Stats.Leaders++
}

// publish commits the membership changes that are due.
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

func (f *Fleet) enqueue(from, to balsampier.Holder, payload any) {
	f.inFlight = append(f.inFlight, fleetMessage{from: from, to: to, payload: payload})
	if len(f.inFlight) > maxInFlight {
		f.inFlight = f.inFlight[len(f.inFlight)-maxInFlight:]
	}
}

func (f *Fleet) loseMessage() {
	if len(f.inFlight) > 0 {
		i := f.randomSource.IntN(len(f.inFlight))
		f.inFlight = slices.Delete(f.inFlight, i, i+1)
	}
}

// deliverMessage delivers a random message. One in four stays in flight and is
// delivered again.
func (f *Fleet) deliverMessage() {
	if len(f.inFlight) == 0 {
		return
	}
	i := f.randomSource.IntN(len(f.inFlight))
	l := f.inFlight[i]
	if f.randomSource.IntN(4) > 0 {
		f.inFlight = slices.Delete(f.inFlight, i, i+1)
	}
	f.handleMessage(l)
}

// RunRounds runs n rounds: in each, every agent runs its timers and then all
// messages in flight are delivered.
func (f *Fleet) RunRounds(n int) {
	for range n {
		for _, a := range f.agents {
			f.runTimers(a)
		}
		ls := f.inFlight
		f.inFlight = nil
		for _, l := range ls {
			f.handleMessage(l)
		}
	}
}

// findRunning returns the agent with this holder, or nil if it has crashed, is
// frozen or has been restarted since.
func (f *Fleet) findRunning(h balsampier.Holder) *fleetAgent {
	for _, a := range f.agents {
		if a.self == h && !a.crashed && !a.frozen {
			return a
		}
	}
	return nil
}

// isUnreachable reports whether x and y are on different sides of the network
// partition.
func (f *Fleet) isUnreachable(x, y balsampier.Holder) bool {
	return f.isPartitioned(x) != f.isPartitioned(y)
}

func (f *Fleet) isPartitioned(h balsampier.Holder) bool {
	return h.Instance != 0 && f.agents[h.Instance-1].partitioned
}

func (f *Fleet) handleMessage(l fleetMessage) {
	if f.isUnreachable(l.from, l.to) {
		return
	}
	if l.to.IsZero() {
		f.handleControl(l)
		return
	}
	a := f.findRunning(l.to)
	if a == nil {
		return
	}
	f.handleAgentMessage(a, l)
}

func (f *Fleet) handleControl(l fleetMessage) {
	b, ok := l.payload.(renewalRequest)
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
	f.enqueue(balsampier.Holder{}, l.from, renewalResponse{requestSentAt: b.sentAt, lease: balsampier.Lease{
		TTL: g.TTL, Epoch: g.Epoch, Active: g.ActiveEpoch, Claims: a.State(f.state.View.Epoch),
	}})
}

func (f *Fleet) newKey() balsampier.RequestKey {
	f.issuedKeys++
	at := f.now.Add(time.Duration(f.randomSource.IntN(3)-1) * maxClockSkew / 2)
	k := NewKey(at, f.issuedKeys)
	f.recentKeys = append(f.recentKeys, k)
	if len(f.recentKeys) > maxRecentKeys {
		f.recentKeys = f.recentKeys[1:]
	}
	return k
}

// NewKey returns a UUIDv7 with the issue time t. Keys with different n differ.
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

// ServesAfterHeal ends all faults and waits until the old claims have expired.
// It then reports whether every agent may run a new keyed request.
func (f *Fleet) ServesAfterHeal() bool {
	f.healAll()
	for _, a := range f.agents {
		if a.crashed {
			f.restartAgent(a)
		}
	}
	f.advanceClock(fleetRetention + 2*maxClockSkew)
	for range 8 {
		f.advanceClock(fleetLeaseTTL / 2)
		f.publish()
		f.RunRounds(6)
	}
	for _, a := range f.agents {
		r := f.openRequest(a, f.newKey())
		f.RunRounds(6)
		if r == nil || !r.claimRunner.Begin(a.epochs, f.now) {
			return false
		}
		f.runRequest(a, r)
	}
	return true
}
