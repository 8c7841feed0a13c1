package balsampier

import (
	"errors"
	"fmt"
)

const (
	// KindInvalid marks input that must be corrected.
	KindInvalid Kind = iota + 1
	// KindNotRun marks a request that truly did not run and may be resent.
	KindNotRun
	// KindUnknown marks a request whose outcome is not known.
	KindUnknown
	// KindConflict marks a submission that lost against another.
	KindConflict
	// KindUnavailable marks a dependency that cannot be reached now.
	KindUnavailable
	// KindNotLeader marks a call that only the leader can answer.
	KindNotLeader
	// KindUnauthenticated marks a caller without the right key.
	KindUnauthenticated
	// KindFull marks a bounded resource at its bound.
	KindFull
	// KindClosed marks use after a stop.
	KindClosed
	// KindCorrupt marks stored data that fails its checksum.
	KindCorrupt
)

type (
	// Kind classifies errors; it travels between processes by name.
	Kind uint8

	// Error is a typed error whose message names the remedy.
	Error struct {
		// Kind is never zero.
		Kind Kind
		// Op is what was attempted, in a few words.
		Op string
		// Remedy says what the reader can do; never empty.
		Remedy string
		// Err is the cause; nil where Op says it all.
		Err error
	}
)

// String returns the name of the kind as it stands on the wire.
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

// ParseKind returns the kind with the given name, or zero.
func ParseKind(s string) Kind {
	for k := KindInvalid; k <= KindCorrupt; k++ {
		if k.String() == s {
			return k
		}
	}
	return 0
}

// NewError returns an error of kind k.
func NewError(k Kind, op, remedy string, err error) *Error {
	return &Error{Kind: k, Op: op, Remedy: remedy, Err: err}
}

// Error returns the operation, its cause and the remedy.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s (%s)", e.Op, e.Remedy, e.Kind)
	}
	return fmt.Sprintf("%s: %v: %s (%s)", e.Op, e.Err, e.Remedy, e.Kind)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first typed error in the chain, or zero.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
