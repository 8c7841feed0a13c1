package balsampier

import (
	"errors"
	"fmt"
)

const (
	// KindInvalid marks invalid input that the sender must correct.
	KindInvalid Kind = iota + 1
	// KindNotRun marks a request that is known not to have run and may be
	// resent.
	KindNotRun
	// KindUnknown marks a request whose outcome is not known.
	KindUnknown
	// KindConflict marks a change that conflicts with another one, such as a
	// submission based on an outdated revision.
	KindConflict
	// KindUnavailable marks a dependency that is temporarily unreachable.
	KindUnavailable
	// KindNotLeader marks a call to a replica that is not the leader, where
	// only the leader can answer.
	KindNotLeader
	// KindUnauthenticated marks a caller that did not present a valid key.
	KindUnauthenticated
	// KindFull marks a bounded resource that has reached its limit.
	KindFull
	// KindClosed marks the use of a component that was stopped.
	KindClosed
	// KindCorrupt marks stored data that fails its checksum.
	KindCorrupt
)

type (
	// Kind classifies errors; it is sent between processes by name.
	Kind uint8

	// Error is a typed error whose message includes a remedy.
	Error struct {
		// Kind is never zero.
		Kind Kind
		// Op is the attempted operation, in a few words.
		Op string
		// Remedy tells the reader how to resolve the error; never empty.
		Remedy string
		// Err is the cause; nil if Op alone explains the error.
		Err error
	}
)

// String returns the name of the kind as sent on the wire.
func (k Kind) String() string {
	names := [...]string{
		"none", "invalid", "notRun", "unknown", "conflict", "unavailable",
		"notLeader", "unauthenticated", "full", "closed", "corrupt",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return "none"
}

// ParseKind returns the kind named s, or zero if there is none.
func ParseKind(s string) Kind {
	for k := KindInvalid; k <= KindCorrupt; k++ {
		if k.String() == s {
			return k
		}
	}
	return 0
}

// NewError returns an error of kind k. The cause err may be nil.
func NewError(k Kind, op, remedy string, err error) *Error {
	return &Error{Kind: k, Op: op, Remedy: remedy, Err: err}
}

// Error returns the operation, the cause, the remedy and the kind.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s (%s)", e.Op, e.Remedy, e.Kind)
	}
	return fmt.Sprintf("%s: %v: %s (%s)", e.Op, e.Err, e.Remedy, e.Kind)
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error in the chain of err, or zero.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
