// Package answer keeps the answers of keyed requests for their resends, and
// the requests that wait for an answer which is not there yet.
package answer

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// StatePending requests have no outcome yet.
	StatePending State = iota + 1
	// StateAnswered requests ran and have a whole answer.
	StateAnswered
	// StateNotRun requests were refused and truly did not run.
	StateNotRun
	// StateUnknown requests may have run; their answer was lost or dropped.
	StateUnknown
	// StateAbsent requests were never opened here or are forgotten.
	StateAbsent
	// StateKeyReused means that the key was used for another request.
	StateKeyReused
	// StateWaitersFull means that no more resends can wait for the request.
	StateWaitersFull
)

const (
	defaultRetention  = 10 * time.Minute
	defaultMaxEntries = 20_000
	defaultMaxBytes   = 32 << 20
	defaultMaxAnswer  = 1 << 20
	defaultMaxWaiters = 16
)

type (
	// State is what is known of a request.
	State uint8

	// WaiterID identifies a resend that waits for an answer.
	WaiterID uint64

	// RunID identifies one run of a request at this agent.
	RunID uint64

	// Fingerprint is a hash of the request, so that a key that was used for
	// another request is told apart.
	Fingerprint uint64

	// Field is one header field of an answer.
	Field struct{ Name, Value string }

	// Answer is the whole answer of a backend server.
	Answer struct {
		Status int
		Fields []Field
		Body   []byte
	}

	// Result is what a resend is told.
	Result struct {
		State State
		// Answer is set exactly in StateAnswered. It is shared and must not
		// be changed.
		Answer *Answer
	}

	// Settings bound what is kept.
	Settings struct {
		// Retention is how long an outcome is kept after it is known.
		Retention time.Duration
		// MaxEntries bounds the requests, pending ones included.
		MaxEntries int
		// MaxBytes bounds the stored answers together, MaxAnswerBytes each one.
		MaxBytes, MaxAnswerBytes int
		// MaxWaiters bounds the resends that wait for one request.
		MaxWaiters int
	}

	// Table holds the outcomes of the keyed requests of one agent.
	Table struct {
		settings Settings
		entries  map[balsampier.RequestKey]*entry
		// completed holds the runs with an outcome, oldest first; some may be
		// forgotten. It has at most twice MaxEntries.
		completedRuns []runRef
		// stored holds the runs whose answer is in memory, oldest first; some
		// may be forgotten. It has at most twice MaxEntries.
		stored []runRef
		// bytes is the sum of the sizes of the stored answers.
		bytes   int
		lastRun RunID
	}

	runRef struct {
		key balsampier.RequestKey
		run RunID
	}

	entry struct {
		run         RunID
		fingerprint Fingerprint
		state       State
		answer      *Answer
		// completedAt is when the outcome became known.
		completedAt time.Time
		// waiters is empty unless state is StatePending.
		waiters []WaiterID
	}
)

// Check fills in defaults and reports what is wrong with the settings.
func (s Settings) Check() (Settings, error) {
	if s == (Settings{}) {
		s = Settings{
			Retention: defaultRetention, MaxEntries: defaultMaxEntries, MaxBytes: defaultMaxBytes,
			MaxAnswerBytes: defaultMaxAnswer, MaxWaiters: defaultMaxWaiters,
		}
	}
	if s.Retention <= 0 || s.MaxEntries <= 0 || s.MaxAnswerBytes <= 0 || s.MaxWaiters <= 0 || s.MaxBytes < s.MaxAnswerBytes {
		return s, balsampier.NewError(balsampier.KindInvalid, "check answer settings",
			"set every bound above zero, and maxBytes no lower than maxAnswer", nil)
	}
	return s, nil
}

// New returns an empty table. The settings are checked ones.
func New(s Settings) *Table {
	return &Table{settings: s, entries: make(map[balsampier.RequestKey]*entry)}
}

// Open starts a run of the request. It is refused while the table knows the
// key, unless the outcome was StateNotRun, and when the table is full.
func (b *Table) Open(k balsampier.RequestKey, p Fingerprint, t time.Time) (RunID, error) {
	b.Expire(t)
	if e, ok := b.entries[k]; ok {
		if e.state != StateNotRun || e.fingerprint != p {
			return 0, balsampier.NewError(balsampier.KindConflict, "open request",
				"look up the outcome of the key, or use a new key for a new request", nil)
		}
		b.removeEntry(k)
	}
	if len(b.entries) >= b.settings.MaxEntries {
		return 0, balsampier.NewError(balsampier.KindFull, "open request", "resend later or to another agent", nil)
	}
	b.lastRun++
	b.entries[k] = &entry{run: b.lastRun, fingerprint: p, state: StatePending}
	return b.lastRun, nil
}

// Lookup tells a resend what is known. In StatePending the waiter is recorded
// and will be among those that Store, Refuse or Lose returns.
func (b *Table) Lookup(k balsampier.RequestKey, p Fingerprint, w WaiterID, t time.Time) Result {
	b.Expire(t)
	e, ok := b.entries[k]
	switch {
	case !ok:
		return Result{State: StateAbsent}
	case e.fingerprint != p:
		return Result{State: StateKeyReused}
	case e.state == StatePending && len(e.waiters) >= b.settings.MaxWaiters:
		return Result{State: StateWaitersFull}
	case e.state == StatePending:
		e.waiters = append(e.waiters, w)
	}
	return Result{State: e.state, Answer: e.answer}
}

// RemoveWaiter withdraws a waiter whose resend ended.
func (b *Table) RemoveWaiter(k balsampier.RequestKey, w WaiterID) {
	e, ok := b.entries[k]
	if !ok {
		return
	}
	for i, x := range e.waiters {
		if x == w {
			e.waiters = append(e.waiters[:i:i], e.waiters[i+1:]...)
			return
		}
	}
}

// Store keeps the whole answer of run r and returns the waiters to hand it
// to. An answer of another run goes to nobody. An answer beyond the bounds is
// handed over but not kept.
func (b *Table) Store(k balsampier.RequestKey, r RunID, a *Answer, t time.Time) []WaiterID {
	e, ok := b.findPending(k, r)
	if !ok {
		return nil
	}
	if n := a.size(); n <= b.settings.MaxAnswerBytes {
		e.answer = a
		b.bytes += n
		b.stored = b.appendRun(b.stored, runRef{k, r})
		b.evictAnswers()
		return b.finishRun(k, e, StateAnswered, t)
	}
	return b.finishRun(k, e, StateUnknown, t)
}

// RecordNotRun records that run r did not run.
func (b *Table) RecordNotRun(k balsampier.RequestKey, r RunID, t time.Time) []WaiterID {
	if e, ok := b.findPending(k, r); ok {
		return b.finishRun(k, e, StateNotRun, t)
	}
	return nil
}

// RecordUnknown records that run r may have run and its answer will not come.
func (b *Table) RecordUnknown(k balsampier.RequestKey, r RunID, t time.Time) []WaiterID {
	if e, ok := b.findPending(k, r); ok {
		return b.finishRun(k, e, StateUnknown, t)
	}
	return nil
}

// Expire forgets outcomes older than the retention.
func (b *Table) Expire(t time.Time) {
	n := 0
	for n < len(b.completedRuns) {
		e, ok := b.find(b.completedRuns[n])
		if ok && t.Sub(e.completedAt) <= b.settings.Retention {
			break
		}
		if ok {
			b.removeEntry(b.completedRuns[n].key)
		}
		n++
	}
	b.completedRuns = b.completedRuns[n:]
}

// Len returns the number of requests that the table knows.
func (b *Table) Len() int { return len(b.entries) }

// Bytes returns the size of the stored answers.
func (b *Table) Bytes() int { return b.bytes }

func (b *Table) findPending(k balsampier.RequestKey, r RunID) (*entry, bool) {
	e, ok := b.find(runRef{k, r})
	return e, ok && e.state == StatePending
}

func (b *Table) find(r runRef) (*entry, bool) {
	e, ok := b.entries[r.key]
	return e, ok && e.run == r.run
}

// appendRun adds r to rs after dropping forgotten runs once there are many.
func (b *Table) appendRun(rs []runRef, r runRef) []runRef {
	if len(rs) >= 2*b.settings.MaxEntries {
		rs = slices.DeleteFunc(rs, func(x runRef) bool {
			_, ok := b.find(x)
			return !ok
		})
	}
	return append(rs, r)
}

func (b *Table) finishRun(k balsampier.RequestKey, e *entry, s State, t time.Time) []WaiterID {
	ws := e.waiters
	e.state, e.completedAt, e.waiters = s, t, nil
	b.completedRuns = b.appendRun(b.completedRuns, runRef{k, e.run})
	return ws
}

// evictAnswers drops the oldest answers until the rest fit. Their outcome is
// unknown from then on, so that a resend never runs them again.
func (b *Table) evictAnswers() {
	n := 0
	for b.bytes > b.settings.MaxBytes {
		e, ok := b.find(b.stored[n])
		if ok && e.answer != nil {
			b.bytes -= e.answer.size()
			e.answer, e.state = nil, StateUnknown
		}
		n++
	}
	b.stored = b.stored[n:]
}

func (b *Table) removeEntry(k balsampier.RequestKey) {
	if e := b.entries[k]; e.answer != nil {
		b.bytes -= e.answer.size()
	}
	delete(b.entries, k)
}

func (a *Answer) size() int {
	n := len(a.Body)
	for _, f := range a.Fields {
		n += len(f.Name) + len(f.Value)
	}
	return n
}
