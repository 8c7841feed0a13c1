package claim

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// PhaseClaiming means that the runner waits for grants.
	PhaseClaiming Phase = iota
	// PhaseGranted means that all holders granted the claim and the request may
	// start.
	PhaseGranted
	// PhaseStarted means that Begin has allowed the first byte to be sent.
	PhaseStarted
	// PhaseHeld means that another runner has claimed the key; see
	// Runner.OtherRunner.
	PhaseHeld
	// PhaseRefused means that the runner will never start the request.
	PhaseRefused
)

type (
	// Phase is the state of a runner.
	Phase uint8

	// Attempts allocates the attempt numbers of one incarnation of an agent.
	Attempts struct{ last Attempt }

	// Runner claims one request and decides whether it may be sent to the
	// backend server.
	Runner struct {
		key  balsampier.RequestKey
		self balsampier.Holder
		// attempts is shared by all runners of the agent.
		attempts *Attempts
		// firstAttempt and attempt are zero until the first claim.
		firstAttempt, attempt Attempt
		// epoch is the epoch of the attempt; pair has its holders.
		epoch balsampier.Epoch
		pair  []balsampier.Holder
		// grantCount is the number of holders in pair that granted the claim,
		// in order.
		grantCount int
		// contacted lists every holder to which a claim was sent.
		contacted []balsampier.Holder
		phase     Phase
		// otherRunner is set in PhaseHeld.
		otherRunner balsampier.Holder
		// probeOnly runners send probes instead of claims and never start.
		probeOnly bool
		// reason is the decision by which a holder refused the claim.
		reason Decision
	}

	// Refusal is the outcome of a runner that did not start its request.
	Refusal struct {
		// Kind is KindNotRun only if the grants also prove that no other runner
		// ran the request.
		Kind balsampier.Kind
		// Release is sent to every holder in To.
		Release Release
		To      []balsampier.Holder
	}
)

// NewRunner returns the runner of the request with key k on the agent self.
func NewRunner(k balsampier.RequestKey, self balsampier.Holder, a *Attempts) *Runner {
	return &Runner{key: k, self: self, attempts: a}
}

// NextClaim returns the next claim to send and its holder, and false if there
// is nothing to send. It is called first, after each reply, and again when a
// reply is late. The holders are asked in the same order by all runners, one
// after the other, so that two runners can't block each other.
func (r *Runner) NextClaim(e *Epochs, t time.Time) (Claim, balsampier.Holder, bool) {
	p := e.Acknowledged()
	if (r.phase != PhaseClaiming && r.phase != PhaseGranted) || !e.Valid(p, t) {
		return Claim{}, balsampier.Holder{}, false
	}
	if p != r.epoch {
		r.startAttempt(p, e.Group().Holders)
	}
	if r.grantCount == len(r.pair) {
		return Claim{}, balsampier.Holder{}, false
	}
	to := r.pair[r.grantCount]
	if !slices.Contains(r.contacted, to) {
		r.contacted = append(r.contacted, to)
	}
	return Claim{Epoch: r.epoch, Key: r.key, Runner: r.self, FirstAttempt: r.firstAttempt, Attempt: r.attempt, Probe: r.probeOnly}, to, true
}

// ProbeOnly makes the runner send probes instead of claims, to find out whether
// the request ran. If time permits, it is called before Refuse, which can't
// return KindNotRun without any grant or reply.
func (r *Runner) ProbeOnly() { r.probeOnly = true }

// Resume makes a runner in PhaseHeld claim again, after the other runner
// reported that it did not run the request. That report alone is no proof: only
// a grant or a probe shows that nobody else ran it.
func (r *Runner) Resume() {
	if r.phase == PhaseHeld {
		r.phase = PhaseClaiming
	}
}

// startAttempt starts a new attempt in epoch p. Earlier grants are discarded.
func (r *Runner) startAttempt(p balsampier.Epoch, hs []balsampier.Holder) {
	r.attempts.last++
	r.attempt = r.attempts.last
	if r.firstAttempt == 0 {
		r.firstAttempt = r.attempt
	}
	r.epoch, r.pair, r.grantCount, r.phase = p, Pair(hs, r.key), 0, PhaseClaiming
}

// HandleReply applies the reply of a holder. It ignores replies to earlier
// attempts and replies from a holder other than the one asked last.
func (r *Runner) HandleReply(p Reply) {
	if r.phase != PhaseClaiming || p.Attempt != r.attempt || p.Epoch != r.epoch || p.Key != r.key ||
		r.grantCount >= len(r.pair) || p.From != r.pair[r.grantCount] {
		return
	}
	switch p.Decision {
	case DecisionGranted:
		r.grantCount++
		if r.grantCount == len(r.pair) {
			r.phase = PhaseGranted
		}
	case DecisionHeld:
		r.phase, r.otherRunner = PhaseHeld, p.Runner
	case DecisionFull, DecisionAbsent, DecisionUnknown, DecisionKeyFromFuture:
		r.phase, r.reason = PhaseRefused, p.Decision
	case DecisionNotReady:
	}
}

// Begin reports whether the first byte may be sent to the backend server now.
// It returns true at most once, and never for a runner that only probes.
func (r *Runner) Begin(e *Epochs, t time.Time) bool {
	if r.phase != PhaseGranted || r.probeOnly || !e.Valid(r.epoch, t) {
		return false
	}
	r.phase = PhaseStarted
	return true
}

// Refuse ends a runner that has not started its request, for any reason:
// deadline, cancellation, shutdown or a full queue. After PhaseStarted the
// outcome is unknown and the claim remains.
//
// Grants from all holders prove permanently that nobody else ran the request. A
// grant from the first holder alone proves it only within the epoch, because
// every claim is sent to that holder first. A DecisionFull or DecisionAbsent
// reply proves it for the time of the reply; if the caller sends the request
// again, that is decided separately.
func (r *Runner) Refuse(e *Epochs, t time.Time) Refusal {
	f := Refusal{Kind: balsampier.KindUnknown}
	if r.phase == PhaseStarted {
		return f
	}
	absent := r.reason == DecisionFull || r.reason == DecisionAbsent
	first := r.grantCount > 0 && e.Valid(r.epoch, t)
	if r.phase == PhaseGranted || first || absent {
		f.Kind = balsampier.KindNotRun
	}
	r.phase = PhaseRefused
	f.To = r.contacted
	f.Release = Release{Key: r.key, Runner: r.self, FirstAttempt: r.firstAttempt, Attempt: r.attempt}
	return f
}

// Phase returns the runner's state.
func (r *Runner) Phase() Phase { return r.phase }

// OtherRunner returns the incarnation of the agent that holds the claim in
// PhaseHeld.
func (r *Runner) OtherRunner() balsampier.Holder { return r.otherRunner }

// Reason returns the decision that led to PhaseRefused, or zero.
func (r *Runner) Reason() Decision { return r.reason }
