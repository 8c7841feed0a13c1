package requests

import (
	"fmt"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/answer"
	"github.com/balsampier/balsampier/command/claim"
)

type (
	fleetAgent struct {
		self   balsampier.Holder
		epochs *claim.Epochs
		// adoptedEpoch is the epoch of the view whose claim group the agent
		// uses.
		adoptedEpoch balsampier.Epoch
		holder       *claim.Holder
		answers      *answer.Table
		attempts     *claim.Attempts
		// runners holds the requests that were opened at this agent and not
		// refused.
		runners []*fleetRunner
		// clockSkew is added to the simulated time wherever the agent compares
		// its clock with the issue time of a key.
		clockSkew                    time.Duration
		crashed, frozen, partitioned bool
	}

	fleetRunner struct {
		key         balsampier.RequestKey
		claimRunner *claim.Runner
		// runID identifies this run in the answer table.
		runID answer.RunID
		// begun is set once the claim check has passed, firstByteSent once the
		// first byte went to the backend server, finished once the run has
		// ended.
		begun, firstByteSent, finished bool
	}

	// lookupRequest asks the runner that holds a claim for the outcome.
	lookupRequest struct{ key balsampier.RequestKey }

	// lookupResponse is the response to a lookupRequest.
	lookupResponse struct {
		key   balsampier.RequestKey
		state answer.State
		body  string
	}
)

func (f *Fleet) handleAgentMessage(a *fleetAgent, l fleetMessage) {
	t := f.now.Add(a.clockSkew)
	switch b := l.payload.(type) {
	case claim.Claim:
		p := a.holder.Claim(b, t)
		absent := p.Decision == claim.DecisionAbsent || p.Decision == claim.DecisionFull
		if absent && f.runCounts[b.Key] > 0 {
			f.Violations = append(f.Violations, fmt.Sprintf("request %s ran, but a holder reported no claim of it", b.Key))
		}
		f.enqueue(a.self, l.from, p)
	case claim.Reply:
		for _, r := range a.runners {
			r.claimRunner.HandleReply(b)
		}
		f.sendClaims(a)
	case claim.Release:
		a.holder.Release(b)
	case claim.CopyRequest:
		if p, ok := a.holder.ServeCopy(b); ok {
			f.enqueue(a.self, l.from, p)
		}
	case claim.CopyReply:
		a.holder.MergeCopy(b, t)
	case lookupRequest:
		f.enqueue(a.self, l.from, f.lookUpAnswer(a, b.key))
	case lookupResponse:
		f.handleLookupResponse(a, b)
	case renewalResponse:
		a.epochs.ApplyLease(b.requestSentAt, b.lease)
		a.adoptedEpoch = max(a.adoptedEpoch, b.lease.Claims.AsOf)
	}
}

// runTimers removes expired claims, copies claims from other holders, sends a
// lease renewal and retries pending claims.
func (f *Fleet) runTimers(a *fleetAgent) {
	if a.crashed || a.frozen {
		return
	}
	a.holder.RemoveExpired(f.now.Add(a.clockSkew))
	if q, to := a.holder.NextCopy(f.now.Add(a.clockSkew)); len(to) > 0 {
		for _, h := range to {
			f.enqueue(a.self, h, q)
		}
	}
	f.enqueue(a.self, balsampier.Holder{}, renewalRequest{sentAt: f.now, Renewal: balsampier.Renewal{
		Member: balsampier.Member{
			ID: a.self.Instance, Incarnation: a.self.Incarnation, Role: balsampier.RoleAgent, Service: fleetService,
		},
		AcknowledgedEpoch: a.adoptedEpoch, CompleteEpoch: a.holder.CompleteEpoch(),
	}})
	f.sendClaims(a)
}

// sendClaims sends the claims that are due. A runner whose claim another runner
// holds asks that one for the outcome.
func (f *Fleet) sendClaims(a *fleetAgent) {
	for _, r := range a.runners {
		if r.claimRunner.Phase() == claim.PhaseHeld {
			f.enqueue(a.self, r.claimRunner.OtherRunner(), lookupRequest{key: r.key})
		}
		if c, to, ok := r.claimRunner.NextClaim(a.epochs, f.now); ok {
			f.enqueue(a.self, to, c)
		}
	}
}

// sendRequest sends the agent a request with a new key, or retries one with a
// recent key. One new key in four goes to all agents at the same time.
func (f *Fleet) sendRequest(a *fleetAgent) {
	if n := f.randomSource.IntN(maxRecentKeys + 3); n < len(f.recentKeys) {
		f.openRequest(a, f.recentKeys[n])
		return
	}
	k := f.newKey()
	if f.randomSource.IntN(4) > 0 {
		f.openRequest(a, k)
		return
	}
	for _, x := range f.agents {
		f.openRequest(x, k)
	}
}

// openRequest opens a run of the request and sends its first claim. It returns
// nil if the agent does not run, or if its answer table did not open a new run;
// a stored answer is then checked.
func (f *Fleet) openRequest(a *fleetAgent, k balsampier.RequestKey) *fleetRunner {
	if a.crashed || a.frozen {
		return nil
	}
	e, err := a.answers.Open(k, 0, f.now)
	if err != nil {
		f.checkStoredAnswer(f.lookUpAnswer(a, k))
		return nil
	}
	r := &fleetRunner{key: k, claimRunner: claim.NewRunner(k, a.self, a.attempts), runID: e}
	a.runners = append(a.runners, r)
	f.sendClaims(a)
	return r
}

func (f *Fleet) lookUpAnswer(a *fleetAgent, k balsampier.RequestKey) lookupResponse {
	r := a.answers.Lookup(k, 0, 0, f.now)
	a.answers.RemoveWaiter(k, 0)
	p := lookupResponse{key: k, state: r.State}
	if r.Answer != nil {
		p.body = string(r.Answer.Body)
	}
	return p
}

// checkStoredAnswer records a violation if a stored answer differs from the one
// that the backend server gave to this request.
func (f *Fleet) checkStoredAnswer(p lookupResponse) {
	if p.state != answer.StateAnswered {
		return
	}
	f.Stats.StoredAnswers++
	if p.body != f.answerBodies[p.key] {
		f.Violations = append(f.Violations, fmt.Sprintf("request %s got the wrong answer %q", p.key, p.body))
	}
}

// handleLookupResponse handles what the runner that holds the claim reports. If
// it has not run the request, the runner of this agent resumes. If it has an
// answer, an unknown outcome or no record of the request, this runner refuses.
func (f *Fleet) handleLookupResponse(a *fleetAgent, p lookupResponse) {
	i := slices.IndexFunc(a.runners, func(r *fleetRunner) bool {
		return r.key == p.key && r.claimRunner.Phase() == claim.PhaseHeld
	})
	if i < 0 {
		return
	}
	f.checkStoredAnswer(p)
	switch p.state {
	case answer.StateNotRun:
		a.runners[i].claimRunner.Resume()
	case answer.StateAnswered, answer.StateUnknown, answer.StateAbsent:
		f.refuseRunner(a, i)
	}
}

// beginRequest picks a random runner. If it has passed the claim check, it
// sends the first byte; otherwise it is checked, and may send it at once.
func (f *Fleet) beginRequest(a *fleetAgent) {
	if a.crashed || a.frozen || len(a.runners) == 0 {
		return
	}
	r := a.runners[f.randomSource.IntN(len(a.runners))]
	if r.begun && !r.firstByteSent {
		f.runRequest(a, r)
		return
	}
	if r.claimRunner.Begin(a.epochs, f.now) {
		r.begun = true
		if f.randomSource.IntN(3) > 0 {
			f.runRequest(a, r)
		}
	}
}

// runRequest sends the first byte to the backend server, and records a
// violation if the request has run before.
func (f *Fleet) runRequest(a *fleetAgent, r *fleetRunner) {
	r.begun, r.firstByteSent = true, true
	f.Stats.Runs++
	f.runCounts[r.key]++
	f.answerBodies[r.key] = fmt.Sprintf("%s by %d", r.key, a.self.Instance)
	if f.runCounts[r.key] > 1 {
		f.Violations = append(f.Violations, fmt.Sprintf("request %s ran %d times", r.key, f.runCounts[r.key]))
	}
}

// finishRequests ends the runs of the agent: an answer is stored, or in one of
// four cases lost. A run that has finished gets a second, late answer, which
// must reach no caller.
func (f *Fleet) finishRequests(a *fleetAgent) {
	for _, r := range a.runners {
		if !r.firstByteSent || a.crashed || a.frozen {
			continue
		}
		body := f.answerBodies[r.key]
		if r.finished {
			body = "late"
		}
		r.finished = true
		if f.randomSource.IntN(4) == 0 {
			a.answers.RecordUnknown(r.key, r.runID, f.now)
			continue
		}
		a.answers.Store(r.key, r.runID, &answer.Answer{Body: []byte(body)}, f.now)
	}
}

// abandonRequest refuses a random runner that has not begun, or lets it only
// probe for other claims from now on.
func (f *Fleet) abandonRequest(a *fleetAgent) {
	if a.crashed || a.frozen || len(a.runners) == 0 {
		return
	}
	i := f.randomSource.IntN(len(a.runners))
	if f.randomSource.IntN(2) == 0 {
		a.runners[i].claimRunner.ProbeOnly()
		return
	}
	f.refuseRunner(a, i)
}

// refuseRunner refuses the i-th runner unless it has begun, releases its claims
// and records in the answer table whether the request is known not to have run.
func (f *Fleet) refuseRunner(a *fleetAgent, i int) {
	r := a.runners[i]
	if r.begun {
		return
	}
	held, reason := r.claimRunner.Phase() == claim.PhaseHeld, r.claimRunner.Reason()
	u := r.claimRunner.Refuse(a.epochs, f.now)
	for _, h := range u.To {
		f.enqueue(a.self, h, u.Release)
	}
	a.runners = slices.Delete(a.runners, i, i+1)
	switch {
	case held:
		f.Stats.HeldByOther++
	case reason == claim.DecisionFull:
		f.Stats.ClaimsFull++
	case u.Kind == balsampier.KindNotRun:
		f.Stats.NotRun++
	default:
		f.Stats.Unknown++
	}
	if u.Kind != balsampier.KindNotRun {
		a.answers.RecordUnknown(r.key, r.runID, f.now)
		return
	}
	a.answers.RecordNotRun(r.key, r.runID, f.now)
	checked := reason == claim.DecisionFull || reason == claim.DecisionAbsent
	if f.runCounts[r.key] > 0 && !checked {
		f.Violations = append(f.Violations, fmt.Sprintf("request %s ran, but was refused as not run", r.key))
	}
}
