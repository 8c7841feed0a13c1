package claim

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// PhaseClaiming runners wait for grants.
	PhaseClaiming Phase = iota
	// PhaseGranted runners have every grant and may begin.
	PhaseGranted
	// PhaseStarted runners have let the first byte go.
	PhaseStarted
	// PhaseHeld runners met another claim; Runner.Other made it.
	PhaseHeld
	// PhaseRefused runners never begin.
	PhaseRefused
)

type (
	// Phase is how far a runner got.
	Phase uint8

	// Attempts hands out the attempt numbers of one run of an agent.
	Attempts struct{ last Attempt }

	// Runner takes one request from its claim to the first byte.
	Runner struct {
		key  balsampier.RequestKey
		self balsampier.Holder
		// attempts is shared by all runners of the agent.
		attempts *Attempts
		// firstAttempt and attempt are zero until the first claim.
		firstAttempt, attempt Attempt
		// epoch is that of the attempt; pair are its holders.
		epoch balsampier.Epoch
		pair  []balsampier.Holder
		// grants counts the holders of pair that grants, in order.
		grantCount int
		// contacted holds every holder that a claim was sent to.
		contacted []balsampier.Holder
		phase     Phase
		// otherRunner is set in PhaseHeld.
		otherRunner balsampier.Holder
		// probeOnly runners only probe.
		probeOnly bool
		// reason is why the runner was refused by a holder.
		reason Decision
	}

	// Refusal is how a runner ends that did not begin.
	Refusal struct {
		// Kind is KindNotRun only when grants prove that nobody else ran the
		// request either.
		Kind balsampier.Kind
		// Release goes to each of To.
		Release Release
		To      []balsampier.Holder
	}
)

// NewRunner returns the runner of a request with key k at agent self.
func NewRunner(k balsampier.RequestKey, self balsampier.Holder, a *Attempts) *Runner {
	return &Runner{key: k, self: self, attempts: a}
}

// NextClaim returns the claim to send now and the holder to send it to. It is
// called at first, after each reply, and again when a reply is late. Holders
// are asked one after the other, so that two runners cannot block each other.
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

// ProbeOnly makes the runner ask whether the request ran instead of claiming
// it. It comes before Refuse where there is time, as without any grant or
// answer Refuse cannot say notRun.
func (r *Runner) ProbeOnly() { r.probeOnly = true }

// Resume makes a runner in PhaseHeld claim again, after the other runner said
// that it did not run the request. Only a grant or a probe proves that nobody
// else did.
func (r *Runner) Resume() {
	if r.phase == PhaseHeld {
		r.phase = PhaseClaiming
	}
}

// startAttempt starts an attempt in epoch p; earlier grants count no more.
func (r *Runner) startAttempt(p balsampier.Epoch, hs []balsampier.Holder) {
	r.attempts.last++
	r.attempt = r.attempts.last
	if r.firstAttempt == 0 {
		r.firstAttempt = r.attempt
	}
	r.epoch, r.pair, r.grantCount, r.phase = p, Pair(hs, r.key), 0, PhaseClaiming
}

// HandleReply takes the answer of a holder. Answers to earlier attempts, and of
// holders that were not asked last, change nothing.
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

// Begin reports whether the first byte may go to the backend server now. It
// returns true at most once, and never for a withdrawn runner.
func (r *Runner) Begin(e *Epochs, t time.Time) bool {
	if r.phase != PhaseGranted || r.probeOnly || !e.Valid(r.epoch, t) {
		return false
	}
	r.phase = PhaseStarted
	return true
}

// Refuse ends a runner that has not begun, for whatever reason: its deadline,
// a cancellation, a stop or a full queue. After PhaseStarted the outcome is
// unknown and the claim stays.
//
// All grants prove for good that nobody else ran the request. The first grant
// alone proves it while the epoch lasts, as every claim passes that holder. A
// holder that said DecisionFull or DecisionAbsent proves it for the time of
// its answer; another send of the request is answered on its own.
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

// Phase returns how far the runner got.
func (r *Runner) Phase() Phase { return r.phase }

// OtherRunner returns the run of the agent that holds the claim in PhaseHeld.
func (r *Runner) OtherRunner() balsampier.Holder { return r.otherRunner }

// Reason returns the holder's decision behind a PhaseRefused, zero otherwise.
func (r *Runner) Reason() Decision { return r.reason }
