// Package answer stores the outcomes of keyed requests for the callers that
// resend them, and tracks the resends that wait for a pending outcome.
package answer

import (
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// StatePending means that the request has no outcome yet.
	StatePending State = iota + 1
	// StateAnswered means that the request ran and its complete answer is
	// stored.
	StateAnswered
	// StateNotRun means that the request was refused and certainly did not run.
	StateNotRun
	// StateUnknown means that the request may have run, but its answer was lost
	// or evicted.
	StateUnknown
	// StateAbsent means that the table has no entry for the key: the request
	// was never opened on this agent, or has expired.
	StateAbsent
	// StateKeyReused means that the key was used for a different request.
	StateKeyReused
	// StateWaitersFull means that MaxWaiters resends already wait for the
	// request.
	StateWaitersFull
)

const (
	defaultRetention      = 10 * time.Minute
	defaultMaxEntries     = 20_000
	defaultMaxBytes       = 32 << 20
	defaultMaxAnswerBytes = 1 << 20
	defaultMaxWaiters     = 16
)

type (
	// State is what the table knows of a request.
	State uint8

	// WaiterID identifies a resend that waits for an answer.
	WaiterID uint64

	// RunID identifies one run of a request on this agent.
	RunID uint64

	// Fingerprint is a hash of the request. It detects a key that was reused
	// for a different request.
	Fingerprint uint64

	// Field is one header field of an answer.
	Field struct{ Name, Value string }

	// Answer is the complete answer of a backend server.
	Answer struct {
		Status int
		Fields []Field
		Body   []byte
	}

	// Result is the reply to a resend.
	Result struct {
		State State
		// Answer is set only in StateAnswered, and always then. It is shared
		// and must not be modified.
		Answer *Answer
	}

	// Settings limits what the table stores.
	Settings struct {
		// Retention is how long an outcome is kept after it became known.
		Retention time.Duration
		// MaxEntries limits the number of requests, including pending ones.
		MaxEntries int
		// MaxBytes limits the total size of the stored answers, MaxAnswerBytes
		// the size of each.
		MaxBytes, MaxAnswerBytes int
		// MaxWaiters limits the resends that wait for one request.
		MaxWaiters int
	}

	// Table stores the outcomes of the keyed requests of one agent.
	Table struct {
		settings Settings
		entries  map[balsampier.RequestKey]*entry
		// completedRuns lists the runs with an outcome, oldest first, at most
		// 2*MaxEntries. It may include runs that are no longer in entries.
		completedRuns []runRef
		// stored lists the runs whose answer is in memory, oldest first, at
		// most 2*MaxEntries. It may include runs that are no longer in entries.
		stored []runRef
		// bytes is the total size of the stored answers.
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

// Check returns the settings, with the defaults if none are set, and an error
// of KindInvalid if a value is out of range.
func (s Settings) Check() (Settings, error) {
	if s == (Settings{}) {
		s = Settings{
			Retention: defaultRetention, MaxEntries: defaultMaxEntries, MaxBytes: defaultMaxBytes,
			MaxAnswerBytes: defaultMaxAnswerBytes, MaxWaiters: defaultMaxWaiters,
		}
	}
	if s.Retention <= 0 || s.MaxEntries <= 0 || s.MaxAnswerBytes <= 0 || s.MaxWaiters <= 0 || s.MaxBytes < s.MaxAnswerBytes {
		return s, balsampier.NewError(balsampier.KindInvalid, "check answer settings",
			"set every limit above zero, and maxBytes no lower than maxAnswerBytes", nil)
	}
	return s, nil
}

// New returns an empty table. The settings must have passed Check.
func New(s Settings) *Table {
	return &Table{settings: s, entries: make(map[balsampier.RequestKey]*entry)}
}

// Open starts a run of the request. It returns an error of KindConflict if the
// table already has an entry for the key, unless the outcome was StateNotRun,
// and one of KindFull if the table is full.
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

// Lookup returns the state of the request for a resend. In StatePending it also
// records the waiter, which is later returned by Store, RecordNotRun or
// RecordUnknown.
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

// RemoveWaiter removes a waiter whose resend has ended.
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

// Store records the complete answer of run r and returns the waiters to send it
// to. It returns no waiters if r is not the pending run. An answer larger than
// MaxAnswerBytes is passed to the waiters, but not stored.
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

// RecordNotRun records that run r did not run the request and returns the
// waiters to notify.
func (b *Table) RecordNotRun(k balsampier.RequestKey, r RunID, t time.Time) []WaiterID {
	if e, ok := b.findPending(k, r); ok {
		return b.finishRun(k, e, StateNotRun, t)
	}
	return nil
}

// RecordUnknown records that run r may have run the request and that its answer
// will not arrive. It returns the waiters to notify.
func (b *Table) RecordUnknown(k balsampier.RequestKey, r RunID, t time.Time) []WaiterID {
	if e, ok := b.findPending(k, r); ok {
		return b.finishRun(k, e, StateUnknown, t)
	}
	return nil
}

// Expire removes the outcomes that are older than the retention.
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

// Len returns the number of requests in the table.
func (b *Table) Len() int { return len(b.entries) }

// Bytes returns the total size of the stored answers.
func (b *Table) Bytes() int { return b.bytes }

func (b *Table) findPending(k balsampier.RequestKey, r RunID) (*entry, bool) {
	e, ok := b.find(runRef{k, r})
	return e, ok && e.state == StatePending
}

func (b *Table) find(r runRef) (*entry, bool) {
	e, ok := b.entries[r.key]
	return e, ok && e.run == r.run
}

// appendRun appends r to rs. If rs has 2*MaxEntries elements or more, it first
// removes the runs that are no longer in entries.
func (b *Table) appendRun(rs []runRef, r runRef) []runRef {
	if len(rs) >= 2*b.settings.MaxEntries {
		rs = slices.DeleteFunc(rs, func(x runRef) bool {
			_, ok := b.find(x)
			return !ok
		})
	}
	return append(rs, r)
}

// finishRun records the outcome s of the pending entry e and returns its
// waiters.
func (b *Table) finishRun(k balsampier.RequestKey, e *entry, s State, t time.Time) []WaiterID {
	ws := e.waiters
	e.state, e.completedAt, e.waiters = s, t, nil
	b.completedRuns = b.appendRun(b.completedRuns, runRef{k, e.run})
	return ws
}

// evictAnswers evicts the oldest answers until the rest fit in MaxBytes. Their
// state becomes StateUnknown, so that a resend never runs the request again.
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
