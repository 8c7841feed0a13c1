package balsampier

import (
	"fmt"
	"net/netip"
	"time"
)

const (
	// ClassNormal is the class that yields to urgent requests in an
	// overload.
	ClassNormal Class = iota
	// ClassUrgent is the class that is preferred in an overload, for requests
	// such as holds and submissions.
	ClassUrgent
)

type (
	// Class is the priority class of a request for admission.
	Class uint8

	// Weekdays is a set of days; bit n stands for time.Weekday(n).
	Weekdays uint8

	// Window is a time window in local wall-clock time on some days of the
	// week.
	Window struct {
		// Days are the days on which the window starts.
		Days Weekdays
		// Column is the column at which the hours begin in the line, from 1;
		// zero if the window was not read from a file.
		Column uint16
		// Start is the time since local midnight, in [0, 24h).
		Start time.Duration
		// End is the time since local midnight, in (0, 24h]. A window with
		// End not after Start runs past midnight into the following day.
		End time.Duration
	}

	// Rule routes the packets that it matches to one service.
	Rule struct {
		// Line is the line in the rule file, from 1.
		Line int
		// Service is the service that receives the packets; never empty.
		Service ServiceName
		// To is the service address to which callers send.
		To netip.AddrPort
		// From holds the address prefixes of the matched callers; at least
		// one.
		From []netip.Prefix
		// Windows are the times at which the rule applies; empty means always.
		Windows []Window
		// Zone is the IANA name of the time zone of Windows; empty only if
		// Windows is.
		Zone string
		// Class is the class of the service's requests unless the agent's
		// settings override it.
		Class Class
		// Comment names who requested the rule; never empty.
		Comment string
		// Columns are the columns of the rule's parts in its line.
		Columns RuleColumns
	}

	// RuleColumns are the columns at which the parts of a rule begin, from 1;
	// zero for omitted parts.
	RuleColumns struct {
		// Service, To, From and Zone are the columns of the parts of that
		// name.
		Service, To, From, Zone uint16
	}

	// ClockColumns are the columns at which the parts of a clock change begin,
	// from 1.
	ClockColumns struct {
		// Zone, Local and Offset are the columns of the parts of that name.
		Zone, Local, Offset uint16
	}

	// ClockChange overrides the UTC offset of a time zone from a local time
	// on.
	ClockChange struct {
		// Line is the line in the rule file, from 1.
		Line int
		// Zone is the IANA name of the time zone.
		Zone string
		// Local is the time of the change by the wall clock before the change.
		// Its time.Location is UTC, although it is a local time.
		Local time.Time
		// Offset is the new offset east of UTC.
		Offset time.Duration
		// Comment names the decree that ordered the change; never empty.
		Comment string
		// Columns are the columns of the clock change's parts in its line.
		Columns ClockColumns
	}

	// Transition is one change of a time zone's UTC offset.
	Transition struct {
		// At is the instant from which Offset applies.
		At time.Time
		// Offset is the offset east of UTC.
		Offset time.Duration
	}

	// ZoneTable lists the compiled transitions of a time zone.
	ZoneTable struct {
		// Zone is the IANA name.
		Zone string
		// Transitions are sorted by At and never empty. The offset of the
		// first one applies to all earlier instants too.
		Transitions []Transition
	}

	// RuleFile is an accepted rule file.
	RuleFile struct {
		// Revision is positive.
		Revision Revision
		// Text is the content of the file as submitted, byte for byte.
		Text string
		// Zones holds a table for every time zone named in Text, compiled by
		// the accepting instance.
		Zones []ZoneTable
		// Submission is the ID of the submission of the file.
		Submission SubmissionID
		// AcceptedAt is the time of acceptance by the leader's clock.
		AcceptedAt time.Time
	}

	// Problem is an error or a warning about a rule file.
	Problem struct {
		// Line and Column count from 1.
		Line, Column int
		// Found is the offending text.
		Found string
		// Message describes the problem.
		Message string
		// Remedy tells the reader how to resolve the problem.
		Remedy string
		// Warning is true for problems that do not prevent the file from being
		// accepted.
		Warning bool
	}
)

// String returns the name of the class as used in rule files.
func (c Class) String() string {
	if c == ClassUrgent {
		return "urgent"
	}
	return "normal"
}

// Has reports whether the set contains day d.
func (w Weekdays) Has(d time.Weekday) bool { return w&(1<<d) != 0 }

// String formats the problem as one line of text.
func (p Problem) String() string {
	s := fmt.Sprintf("line %d, column %d: ", p.Line, p.Column)
	if p.Warning {
		s += "warning: "
	}
	s += p.Message
	if p.Found != "" {
		s += fmt.Sprintf(", found %q", p.Found)
	}
	return s + ": " + p.Remedy
}
