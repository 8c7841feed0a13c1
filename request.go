package balsampier

import (
	"net/netip"
	"time"

	"github.com/google/uuid"
)

type (
	// SubmissionID makes a submission of a rule file idempotent.
	SubmissionID = uuid.UUID

	// RequestKey makes a caller's non-idempotent request run at most once. It
	// is a UUIDv7, whose time makes forgetting safe.
	RequestKey = uuid.UUID

	// Request is what admission needs to know of a caller's request.
	Request struct {
		// Service is the service that the request was accepted for.
		Service ServiceName
		// Class ranks the request.
		Class Class
		// Caller is who asks; fairness within a class is between callers.
		Caller netip.Addr
		// Key is uuid.Nil for requests without one.
		Key RequestKey
		// Deadline is the caller's deadline; zero without one.
		Deadline time.Time
		// At is the time of arrival.
		At time.Time
	}

	// Load is what is known of a backend server's work.
	Load struct {
		// Running counts requests in slots.
		Running int
		// Queued counts admitted requests that wait for a slot.
		Queued int
		// Connections counts open connections.
		Connections int
		// Slots is the capacity for running requests.
		Slots int
		// Since is when the backend server became ready; cold servers ramp up
		// from it.
		Since time.Time
		// At is when the load was measured.
		At time.Time
	}

	// Submission asks for a rule file to be accepted.
	Submission struct {
		// ID is the same in every resend.
		ID SubmissionID
		// Base is the revision that the operator edited.
		Base Revision
		// Version is set instead of ID and Base where the operator numbers the
		// files; the highest one is in force.
		Version Revision
		// Text is the file, byte for byte.
		Text string
		// Zones are the zones compiled by the accepting instance.
		Zones []ZoneTable
		// At is the leader's time of proposal.
		At time.Time
	}

	// SubmissionAnswer is the outcome of a submission; it is the same for
	// every resend.
	SubmissionAnswer struct {
		// ID is the submission that is answered.
		ID SubmissionID
		// Accepted tells whether the file came into force.
		Accepted bool
		// Revision is the accepted revision, or the one that won.
		Revision Revision
	}
)
