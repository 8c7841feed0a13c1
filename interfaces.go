package balsampier

import (
	"context"
	"net/netip"
	"time"
)

type (
	// Clock tells the time and makes timers.
	Clock interface {
		// Now returns the current time with a monotonic reading.
		Now() time.Time
		// NewTimer returns a timer that fires once after d.
		NewTimer(d time.Duration) Timer
	}

	// Timer fires once.
	Timer interface {
		// C delivers the time at which the timer fired.
		C() <-chan time.Time
		// Stop keeps the timer from firing.
		Stop()
	}

	// Random yields random numbers; decisions take it as a parameter.
	Random interface {
		// Uint64 returns a uniformly distributed number.
		Uint64() uint64
	}

	// ZoneData yields the rules of time zones. Two instances may know
	// different data; only the accepting one uses its own.
	ZoneData interface {
		// Location returns the zone with the IANA name n.
		Location(n string) (*time.Location, error)
	}

	// FlowSteerer decides on the packets that a balancer receives.
	FlowSteerer interface {
		// Steer returns the verdict on p.
		Steer(p Packet) Verdict
	}

	// RuleTable answers which rule is in force.
	RuleTable interface {
		// Revision is the accepted revision that the table was built from.
		Revision() Revision
		// InForce returns the rule for a packet from c to service address s at
		// time t.
		InForce(s netip.AddrPort, c netip.Addr, t time.Time) (Rule, bool)
	}

	// LoadView answers what is known of the load of agents.
	LoadView interface {
		// Load returns the last known load of the agent.
		Load(i InstanceID) (Load, bool)
	}

	// Admitter decides which requests run, wait or are refused. It is a pure
	// state machine: the caller passes the time and serializes calls.
	Admitter interface {
		// Admit presents a request; the ticket identifies it afterwards.
		Admit(r Request, t time.Time) (Ticket, Admission)
		// Finish frees the slot of a request that ran.
		Finish(k Ticket, t time.Time)
		// Cancel withdraws a request that still waits.
		Cancel(k Ticket, t time.Time)
		// Next returns the tickets that may start and those that are refused
		// by time t.
		Next(t time.Time) (start, refuse []Ticket)
		// Shed frees the slot of a request that the backend server refused for
		// lack of capacity.
		Shed(k Ticket, t time.Time)
		// ConvertToConnection turns a request that runs into a connection, which needs no
		// slot, and reports whether there was room for it.
		ConvertToConnection(k Ticket, t time.Time) bool
		// Refusal tells why the ticket was refused by the last Offer or Next.
		Refusal(k Ticket) (Refusal, bool)
		// SetSlots changes the number of requests that run at once.
		SetSlots(n int)
		// Load returns the current load.
		Load() Load
	}

	// Refusal tells why a request was refused before it started.
	Refusal struct {
		// Reason is never zero.
		Reason RefusalReason
		// RetryAfter is how long the caller should wait before it resends.
		RetryAfter time.Duration
	}

	// RefusalReason is why a request was refused before it started.
	RefusalReason uint8

	// Ticket identifies an offered request at its Admitter.
	Ticket uint64

	// Admission is the immediate answer to an offered request.
	Admission uint8

	// RecordLog is a durable sequence of records.
	RecordLog interface {
		// Append adds records; they last only after Sync returns.
		Append(r ...[]byte) error
		// Sync makes all appended records durable.
		Sync() error
		// Close releases the log without syncing it.
		Close() error
	}

	// SegmentCodec reads and makes packets of flows without holder hints.
	SegmentCodec interface {
		// Decode reads a packet; toService is the direction that it has to
		// have.
		Decode(b []byte, toService bool) (Segment, error)
		// Head returns the part of the packet that Decode reads.
		Head(b []byte) []byte
		// ClearReturned makes a returned packet one to be delivered again.
		ClearReturned(b []byte)
		// AppendReset appends the reset that ends the flow at the client.
		AppendReset(b []byte, s Segment) []byte
	}

	// DocumentParser reads the documents of an operator who numbers them.
	DocumentParser interface {
		// Parse returns the routes of the document, or an error of KindInvalid.
		Parse(text string) (RouteFile, error)
	}

	// DocumentCommands changes the numbered documents.
	DocumentCommands interface {
		// Put returns once d, or a higher version, is in force for good. The
		// error is of KindNotLeader where Leader may know who takes it.
		Put(c context.Context, d Document) error
	}

	// DocumentQueries only answers.
	DocumentQueries interface {
		// Newest returns the document that was the newest at or after the call.
		Newest(c context.Context) (Document, error)
		// Leader returns the operators' address of an instance that knows
		// more; ok is false where there is none or this is it.
		Leader() (a netip.AddrPort, ok bool)
	}

	// LogStore keeps the replicated log of one replica.
	LogStore interface {
		// Save makes w durable before it returns.
		Save(w LogBatch) error
		// Close releases the store.
		Close() error
	}

	// ControlClient speaks to the control instances.
	ControlClient interface {
		// Renew announces a member and renews its lease.
		Renew(c context.Context, r Renewal) (Lease, error)
		// Watch calls f with each message until c ends, the stream breaks or f
		// returns an error.
		Watch(c context.Context, w WatchRequest, f func(WatchMessage) error) error
		// Leave ends the lease of a member that has stopped.
		Leave(c context.Context, h Holder) error
	}

	// Renewal is what a member says when it renews its lease.
	Renewal struct {
		Member Member
		// Applied is the rule revision that is in force at the member.
		Applied Revision
		// Acknowledged is the newest view epoch that the member uses.
		Acknowledged Epoch
		// Complete is the newest claim epoch for which the member has copied
		// all claims; zero for members without claims.
		Complete Epoch
		// Group is the claim group that the member has adopted; zero for
		// members without claims.
		Group Epoch
	}

	// Lease is the answer to a renewal.
	Lease struct {
		// Term is how long the lease lasts from the moment at which the
		// renewal was sent; zero while the member has none.
		Term time.Duration
		// Epoch is the newest committed view epoch.
		Epoch Epoch
		// Active is an epoch below which no member has a lease any more.
		Active Epoch
		// Claims is what control tells the agents of the member's service.
		Claims ClaimState
	}

	// BackendServer is the server beside an agent.
	BackendServer interface {
		// Load asks the server for its own account of its load, which is a
		// hint only.
		Load(c context.Context) (Load, error)
	}
)

const (
	// AdmissionQueued requests wait for Next.
	AdmissionQueued Admission = iota
	// AdmissionRun requests may start now.
	AdmissionRun
	// AdmissionRefused requests do not run.
	AdmissionRefused
)

const (
	// RefusalQueueFull means that the queue of the class had no room.
	RefusalQueueFull RefusalReason = iota + 1
	// RefusalDeadline means that the request could not finish in time.
	RefusalDeadline
	// RefusalOverload means that the request waited too long in an overload.
	RefusalOverload
)

// String returns the name of the reason as it stands in metrics and dumps.
func (r RefusalReason) String() string {
	return [...]string{"none", "queueFull", "deadline", "overload"}[r]
}
