package balsampier

import (
	"net/netip"
	"time"

	"github.com/google/uuid"
)

type (
	// SubmissionID identifies the submission of a rule file and makes it
	// idempotent: resends have the same ID.
	SubmissionID = uuid.UUID

	// RequestKey is the idempotency key that makes a caller's non-idempotent
	// request run at most once. It is a UUIDv7: a key whose timestamp is too
	// old is refused, so its claim can safely be evicted.
	RequestKey = uuid.UUID

	// Request holds the fields of a caller's request that admission decides
	// on.
	Request struct {
		// Service is the service for which the request was accepted.
		Service ServiceName
		// Class is the priority class of the request.
		Class Class
		// Caller is the address of the caller. Within a class, admission is
		// fair between callers.
		Caller netip.Addr
		// Key is the idempotency key; uuid.Nil for requests without one.
		Key RequestKey
		// Deadline is the caller's deadline; zero if there is none.
		Deadline time.Time
		// At is the arrival time.
		At time.Time
	}

	// Load is the known load of a backend server at one time.
	Load struct {
		// Running counts the requests that occupy a slot.
		Running int
		// Queued counts the requests that are queued for a slot.
		Queued int
		// Connections counts open connections.
		Connections int
		// Slots is how many requests the server runs at once.
		Slots int
		// ReadySince is when the backend server became ready; the ramp-up of a
		// cold server starts then.
		ReadySince time.Time
		// At is when the load was measured.
		At time.Time
	}

	// Submission is a request to accept a rule file.
	Submission struct {
		// ID is the same in all resends.
		ID SubmissionID
		// Base is the revision on which the operator's edit is based.
		Base Revision
		// Version is set instead of ID and Base if the operator numbers the
		// files. The file with the highest version is in force.
		Version Revision
		// Text is the content of the file, byte for byte.
		Text string
		// Zones are the time zone tables, compiled by the accepting instance.
		Zones []ZoneTable
		// At is the time of the proposal by the leader's clock.
		At time.Time
	}

	// SubmissionAnswer is the reply to a submission; it is the same for all
	// resends.
	SubmissionAnswer struct {
		// ID is the ID of the submission.
		ID SubmissionID
		// Accepted is true if the file was accepted and came into force.
		Accepted bool
		// Revision is the revision of the accepted file, or of the file that
		// it conflicted with if it was not accepted.
		Revision Revision
	}
)
