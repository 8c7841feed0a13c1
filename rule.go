package balsampier

import (
	"fmt"
	"net/netip"
	"time"
)

const (
	// ClassNormal is the class of work that yields in a flood.
	ClassNormal Class = iota
	// ClassUrgent is the class of holds and submissions.
	ClassUrgent
)

type (
	// Class ranks requests for admission.
	Class uint8

	// Weekdays is a set of days; bit n stands for time.Weekday(n).
	Weekdays uint8

	// Window is a span of local wall-clock time on some days.
	Window struct {
		// Days are the days on which the window starts.
		Days Weekdays
		// Column is where the hours stand in the line, from 1; zero where the
		// window was not read from a file.
		Column uint16
		// Start is the time since local midnight, in [0, 24h).
		Start time.Duration
		// End is the time since local midnight, in (0, 24h]. A window with
		// End not after Start runs past midnight into the following day.
		End time.Duration
	}

	// Rule sends the packets it matches to one service.
	Rule struct {
		// Line is the line in the rule file, from 1.
		Line int
		// Service receives the traffic; never empty.
		Service ServiceName
		// To is the service address that callers use.
		To netip.AddrPort
		// From holds the caller prefixes, at least one.
		From []netip.Prefix
		// Windows say when the rule applies; empty means always.
		Windows []Window
		// Zone is the IANA name that Windows are read in; empty only when
		// Windows is.
		Zone string
		// Class is the class of the service's requests unless the agent's
		// settings say otherwise.
		Class Class
		// Comment names who asked for the rule; never empty.
		Comment string
		// Columns places the parts of the rule in its line.
		Columns RuleColumns
	}

	// RuleColumns are the columns at which the parts of a rule stand, from 1;
	// zero for parts that were left out.
	RuleColumns struct {
		// Service, To, From and Zone each place the part of that name.
		Service, To, From, Zone uint16
	}

	// ClockColumns are the columns at which the parts of a clock change
	// stand, from 1.
	ClockColumns struct {
		// Zone, Local and Offset each place the part of that name.
		Zone, Local, Offset uint16
	}

	// ClockChange overrides the offset of a zone from one local time on.
	ClockChange struct {
		// Line is the line in the rule file, from 1.
		Line int
		// Zone is the IANA name of the zone.
		Zone string
		// Local is the wall-clock time of the change before it takes place,
		// carried in UTC.
		Local time.Time
		// Offset is the new offset east of UTC.
		Offset time.Duration
		// Comment names the decree; never empty.
		Comment string
		// Columns places the parts of the clock change in its line.
		Columns ClockColumns
	}

	// Transition is one change of a zone's offset.
	Transition struct {
		// At is the instant from which Offset holds.
		At time.Time
		// Offset is east of UTC.
		Offset time.Duration
	}

	// ZoneTable lists the compiled transitions of a zone.
	ZoneTable struct {
		// Zone is the IANA name.
		Zone string
		// Transitions are sorted by At and never empty; the first one holds
		// for all earlier instants too.
		Transitions []Transition
	}

	// RuleFile is an accepted rule file.
	RuleFile struct {
		// Revision is positive.
		Revision Revision
		// Text is the file as submitted, byte for byte.
		Text string
		// Zones holds a table for every zone that Text names, compiled by the
		// accepting instance.
		Zones []ZoneTable
		// Submission is the ID under which the file was submitted.
		Submission SubmissionID
		// AcceptedAt is the time of acceptance by the leader's clock.
		AcceptedAt time.Time
	}

	// Problem is one fault in a rule file.
	Problem struct {
		// Line and Column count from 1.
		Line, Column int
		// Found is the offending text.
		Found string
		// Message says what is wrong.
		Message string
		// Remedy says what to do about it.
		Remedy string
		// Warning problems do not keep a file from being accepted.
		Warning bool
	}
)

// String returns the name of the class as it stands in rule files.
func (c Class) String() string {
	if c == ClassUrgent {
		return "urgent"
	}
	return "normal"
}

// Has reports whether the set contains d.
func (w Weekdays) Has(d time.Weekday) bool { return w&(1<<d) != 0 }

// String returns the problem as one line for people.
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
