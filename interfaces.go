package balsampier

import (
	"context"
	"net/netip"
	"time"
)

type (
	// Clock provides the current time and timers.
	Clock interface {
		// Now returns the current time with a monotonic reading.
		Now() time.Time
		// NewTimer returns a timer that fires once after d.
		NewTimer(d time.Duration) Timer
	}

	// Timer is a one-shot timer.
	Timer interface {
		// C returns the channel that receives the time at which the timer
		// fires.
		C() <-chan time.Time
		// Stop prevents the timer from firing.
		Stop()
	}

	// Random generates random numbers. Code that makes decisions takes it as a
	// parameter.
	Random interface {
		// Uint64 returns a uniformly distributed number.
		Uint64() uint64
	}

	// ZoneData provides the time zone database. Its version may differ between
	// instances, so only the instance that accepts a rule file uses its own.
	ZoneData interface {
		// Location returns the zone with the IANA name n.
		Location(n string) (*time.Location, error)
	}

	// FlowSteerer decides what to do with the packets that a balancer
	// receives.
	FlowSteerer interface {
		// Steer returns the verdict on p.
		Steer(p Packet) Verdict
	}

	// RuleTable looks up the rule in force.
	RuleTable interface {
		// Revision returns the revision of the rule file from which the table
		// was built.
		Revision() Revision
		// InForce returns the rule for a packet from caller c to service
		// address s at time t, and whether there is one.
		InForce(s netip.AddrPort, c netip.Addr, t time.Time) (Rule, bool)
	}

	// LoadView looks up the load of agents.
	LoadView interface {
		// Load returns the last known load of the agent, and whether one is
		// known.
		Load(i InstanceID) (Load, bool)
	}

	// Admitter decides which requests run, wait in a queue or are refused. It
	// is a deterministic state machine: the caller passes the time and
	// serializes the calls.
	Admitter interface {
		// Admit starts, enqueues or refuses a request. The ticket identifies
		// the request in later calls.
		Admit(r Request, t time.Time) (Ticket, Admission)
		// Finish frees the slot of a request that has finished, or ends its
		// connection.
		Finish(k Ticket, t time.Time)
		// Cancel removes a queued request.
		Cancel(k Ticket, t time.Time)
		// Next returns the tickets of the queued requests that may start at
		// time t and of those that are refused.
		Next(t time.Time) (start, refuse []Ticket)
		// Shed frees the slot of a request that the backend server refused
		// because it lacked capacity.
		Shed(k Ticket, t time.Time)
		// ConvertToConnection turns a running request into a connection, which
		// needs no slot. It reports whether the connection limit allowed it.
		ConvertToConnection(k Ticket, t time.Time) bool
		// Refusal returns why the last Admit or Next refused the ticket, and
		// whether it did.
		Refusal(k Ticket) (Refusal, bool)
		// SetSlots sets how many requests may run at once.
		SetSlots(n int)
		// Load returns the current load.
		Load() Load
	}

	// Refusal explains why a request was refused before it started.
	Refusal struct {
		// Reason is never zero.
		Reason RefusalReason
		// RetryAfter is how long the caller should wait before it resends.
		RetryAfter time.Duration
	}

	// RefusalReason is why a request was refused before it started.
	RefusalReason uint8

	// Ticket identifies a request at its Admitter.
	Ticket uint64

	// Admission is the immediate decision on a request.
	Admission uint8

	// RecordLog is an append-only log of records.
	RecordLog interface {
		// Append adds records. They are not durable until Sync returns.
		Append(r ...[]byte) error
		// Sync makes all appended records durable.
		Sync() error
		// Close releases the log without syncing it.
		Close() error
	}

	// SegmentCodec decodes and encodes the packets of flows that carry no
	// holder hint.
	SegmentCodec interface {
		// Decode decodes a packet. If toService is true, the packet must be
		// one that is sent to the service, otherwise one that is sent to the
		// client.
		Decode(b []byte, toService bool) (Segment, error)
		// Head returns the header, which is the part of the packet that Decode
		// reads.
		Head(b []byte) []byte
		// ClearReturned clears the mark of a returned packet, so that it can
		// be delivered again.
		ClearReturned(b []byte)
		// AppendReset appends to b the reset packet that ends the flow of s at
		// the client.
		AppendReset(b []byte, s Segment) []byte
	}

	// DocumentParser parses route documents whose versions the operator
	// assigns.
	DocumentParser interface {
		// Parse returns the routes in the document, or an error of
		// KindInvalid.
		Parse(text string) (RouteFile, error)
	}

	// DocumentCommands holds the commands that change the route document.
	DocumentCommands interface {
		// Put returns once d or a higher version is committed and in force.
		// On an error of KindNotLeader, Leader may return the instance to call
		// instead.
		Put(c context.Context, d Document) error
	}

	// DocumentQueries holds the queries for the route document.
	DocumentQueries interface {
		// Newest returns the document that was the newest at the time of the
		// call or later, never an older one.
		Newest(c context.Context) (Document, error)
		// Leader returns the operator address of an instance that knows more,
		// such as the leader; ok is false if there is none or it is this
		// instance.
		Leader() (a netip.AddrPort, ok bool)
	}

	// LogStore stores the replicated log of one replica on disk.
	LogStore interface {
		// Save returns once w is durable.
		Save(w LogBatch) error
		// Close releases the store.
		Close() error
	}

	// ControlClient is a client of the control instances.
	ControlClient interface {
		// Renew registers a member and renews its lease.
		Renew(c context.Context, r Renewal) (Lease, error)
		// Watch calls f with each message of a watch stream until c is
		// cancelled, the stream fails or f returns an error.
		Watch(c context.Context, w WatchRequest, f func(WatchMessage) error) error
		// Leave releases the lease of a member that has stopped.
		Leave(c context.Context, h Holder) error
	}

	// Renewal is a member's request to renew its lease.
	Renewal struct {
		Member Member
		// AppliedRevision is the rule revision in force at the member.
		AppliedRevision Revision
		// AcknowledgedEpoch is the newest view epoch that the member uses.
		AcknowledgedEpoch Epoch
		// CompleteEpoch is the newest claim epoch for which the member has
		// copied all claims; zero for members that store none.
		CompleteEpoch Epoch
		// GroupEpoch is the epoch of the claim group that the member has
		// adopted; zero for members that store no claims.
		GroupEpoch Epoch
	}

	// Lease is the reply to a renewal.
	Lease struct {
		// TTL is the duration of the lease, counted from when the member sent
		// the renewal; zero while the member has no lease.
		TTL time.Duration
		// Epoch is the newest committed view epoch.
		Epoch Epoch
		// Active is a view epoch below which no member holds a lease any more.
		Active Epoch
		// Claims is the claim state of the member's service.
		Claims ClaimState
	}

	// BackendServer is a client of the backend server next to an agent.
	BackendServer interface {
		// Load queries the load that the server reports of itself. It is only
		// a hint.
		Load(c context.Context) (Load, error)
	}
)

const (
	// AdmissionQueued requests are queued until Next returns them.
	AdmissionQueued Admission = iota
	// AdmissionRun requests may start now.
	AdmissionRun
	// AdmissionRefused requests must not run.
	AdmissionRefused
)

const (
	// RefusalQueueFull means that the queue of the class had no room.
	RefusalQueueFull RefusalReason = iota + 1
	// RefusalDeadline means that the request could not finish before its
	// deadline.
	RefusalDeadline
	// RefusalOverload means that the request was queued too long during an
	// overload.
	RefusalOverload
)

// String returns the name of the reason as used in metrics and dumps.
func (r RefusalReason) String() string {
	return [...]string{"none", "queueFull", "deadline", "overload"}[r]
}
