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
		// adopted is the view whose group the agent uses.
		adopted  balsampier.Epoch
		holder   *claim.Holder
		answers  *answer.Table
		attempts *claim.Attempts
		// runners are the requests that were opened here and not refused.
		runners []*fleetRunner
		// skew is added to the time for all that compares with keys.
		skew                time.Duration
		dead, frozen, apart bool
	}

	fleetRunner struct {
		key balsampier.RequestKey
		run *claim.Runner
		// entry is the run in the table of answers.
		entry answer.RunID
		// cleared runners passed the check; ran ones have sent the first
		// byte; finished ones have an answer.
		cleared, ran, finished bool
	}

	// lookup asks the runner of a claim for the outcome.
	lookup struct{ key balsampier.RequestKey }

	// found answers a lookup.
	found struct {
		key   balsampier.RequestKey
		state answer.State
		body  string
	}
)

func (f *Fleet) receive(a *fleetAgent, l letter) {
	t := f.now.Add(a.skew)
	switch b := l.body.(type) {
	case claim.Claim:
		p := a.holder.Claim(b, t)
		absent := p.Decision == claim.DecisionAbsent || p.Decision == claim.DecisionFull
		if absent && f.runs[b.Key] > 0 {
			f.Violations = append(f.Violations, fmt.Sprintf("request %s ran and was called absent", b.Key))
		}
		f.post(a.self, l.from, p)
	case claim.Reply:
		for _, r := range a.runners {
			r.run.HandleReply(b)
		}
		f.claims(a)
	case claim.Release:
		a.holder.Release(b)
	case claim.CopyRequest:
		if p, ok := a.holder.ServeCopy(b); ok {
			f.post(a.self, l.from, p)
		}
	case claim.CopyReply:
		a.holder.MergeCopy(b, t)
	case lookup:
		f.post(a.self, l.from, f.lookup(a, b.key))
	case found:
		f.found(a, b)
	case renewed:
		a.epochs.ApplyLease(b.sent, b.lease)
		a.adopted = max(a.adopted, b.lease.Claims.AsOf)
	}
}

// work is what an agent does on its timers.
func (f *Fleet) work(a *fleetAgent) {
	if a.dead || a.frozen {
		return
	}
	a.holder.RemoveExpired(f.now.Add(a.skew))
	if q, to := a.holder.NextCopy(f.now.Add(a.skew)); len(to) > 0 {
		for _, h := range to {
			f.post(a.self, h, q)
		}
	}
	f.post(a.self, balsampier.Holder{}, renewal{at: f.now, Renewal: balsampier.Renewal{
		Member: balsampier.Member{
			ID: a.self.Instance, Incarnation: a.self.Incarnation, Role: balsampier.RoleAgent, Service: fleetService,
		},
		AcknowledgedEpoch: a.adopted, CompleteEpoch: a.holder.CompleteEpoch(),
	}})
	f.claims(a)
}

func (f *Fleet) claims(a *fleetAgent) {
	for _, r := range a.runners {
		if r.run.Phase() == claim.PhaseHeld {
			f.post(a.self, r.run.OtherRunner(), lookup{key: r.key})
		}
		if c, to, ok := r.run.NextClaim(a.epochs, f.now); ok {
			f.post(a.self, to, c)
		}
	}
}

// send offers a new key, or a recent one again, to the agent; one new key in
// four goes to every agent at once.
func (f *Fleet) send(a *fleetAgent) {
	if n := f.pick.IntN(fleetKeys + 3); n < len(f.keys) {
		f.offer(a, f.keys[n])
		return
	}
	k := f.newKey()
	if f.pick.IntN(4) > 0 {
		f.offer(a, k)
		return
	}
	for _, x := range f.agents {
		f.offer(x, k)
	}
}

// offer opens a request; one that the agent knows gets what is known.
func (f *Fleet) offer(a *fleetAgent, k balsampier.RequestKey) *fleetRunner {
	if a.dead || a.frozen {
		return nil
	}
	e, err := a.answers.Open(k, 0, f.now)
	if err != nil {
		f.checkBody(f.lookup(a, k))
		return nil
	}
	r := &fleetRunner{key: k, run: claim.NewRunner(k, a.self, a.attempts), entry: e}
	a.runners = append(a.runners, r)
	f.claims(a)
	return r
}

func (f *Fleet) lookup(a *fleetAgent, k balsampier.RequestKey) found {
	r := a.answers.Lookup(k, 0, 0, f.now)
	a.answers.RemoveWaiter(k, 0)
	p := found{key: k, state: r.State}
	if r.Answer != nil {
		p.body = string(r.Answer.Body)
	}
	return p
}

func (f *Fleet) checkBody(p found) {
	if p.state != answer.StateAnswered {
		return
	}
	f.Stats.Stored++
	if p.body != f.bodies[p.key] {
		f.Violations = append(f.Violations, fmt.Sprintf("request %s was answered %q", p.key, p.body))
	}
}

// found takes what the runner of the other claim said.
func (f *Fleet) found(a *fleetAgent, p found) {
	i := slices.IndexFunc(a.runners, func(r *fleetRunner) bool {
		return r.key == p.key && r.run.Phase() == claim.PhaseHeld
	})
	if i < 0 {
		return
	}
	f.checkBody(p)
	switch p.state {
	case answer.StateNotRun:
		a.runners[i].run.Resume()
	case answer.StateAnswered, answer.StateUnknown, answer.StateAbsent:
		f.end(a, i)
	}
}

// begin lets one runner pass the check, or one that passed it send the byte.
func (f *Fleet) begin(a *fleetAgent) {
	if a.dead || a.frozen || len(a.runners) == 0 {
		return
	}
	r := a.runners[f.pick.IntN(len(a.runners))]
	if r.cleared && !r.ran {
		f.run(a, r)
		return
	}
	if r.run.Begin(a.epochs, f.now) {
		r.cleared = true
		if f.pick.IntN(3) > 0 {
			f.run(a, r)
		}
	}
}

func (f *Fleet) run(a *fleetAgent, r *fleetRunner) {
	r.cleared, r.ran = true, true
	f.Stats.Runs++
	f.runs[r.key]++
	f.bodies[r.key] = fmt.Sprintf("%s by %d", r.key, a.self.Instance)
	if f.runs[r.key] > 1 {
		f.Violations = append(f.Violations, fmt.Sprintf("request %s ran %d times", r.key, f.runs[r.key]))
	}
}

// finish lets a request that ran be answered, or lose its answer. A late
// second answer under the same run goes to nobody.
func (f *Fleet) finish(a *fleetAgent) {
	for _, r := range a.runners {
		if !r.ran || a.dead || a.frozen {
			continue
		}
		body := f.bodies[r.key]
		if r.finished {
			body = "late"
		}
		r.finished = true
		if f.pick.IntN(4) == 0 {
			a.answers.RecordUnknown(r.key, r.entry, f.now)
			continue
		}
		a.answers.Store(r.key, r.entry, &answer.Answer{Body: []byte(body)}, f.now)
	}
}

// refuse withdraws or ends one runner that has not begun.
func (f *Fleet) refuse(a *fleetAgent) {
	if a.dead || a.frozen || len(a.runners) == 0 {
		return
	}
	i := f.pick.IntN(len(a.runners))
	if f.pick.IntN(2) == 0 {
		a.runners[i].run.ProbeOnly()
		return
	}
	f.end(a, i)
}

func (f *Fleet) end(a *fleetAgent, i int) {
	r := a.runners[i]
	if r.cleared {
		return
	}
	held, reason := r.run.Phase() == claim.PhaseHeld, r.run.Reason()
	u := r.run.Refuse(a.epochs, f.now)
	for _, h := range u.To {
		f.post(a.self, h, u.Release)
	}
	a.runners = slices.Delete(a.runners, i, i+1)
	switch {
	case held:
		f.Stats.Held++
	case reason == claim.DecisionFull:
		f.Stats.Full++
	case u.Kind == balsampier.KindNotRun:
		f.Stats.NotRun++
	default:
		f.Stats.Unknown++
	}
	if u.Kind != balsampier.KindNotRun {
		a.answers.RecordUnknown(r.key, r.entry, f.now)
		return
	}
	a.answers.RecordNotRun(r.key, r.entry, f.now)
	checked := reason == claim.DecisionFull || reason == claim.DecisionAbsent
	if f.runs[r.key] > 0 && !checked {
		f.Violations = append(f.Violations, fmt.Sprintf("request %s ran and was refused as not run", r.key))
	}
}
