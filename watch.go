package balsampier

import "net/netip"

type (
	// WatchMessage is a message of a watch stream. A message with neither Rules
	// nor View is a heartbeat.
	WatchMessage struct {
		// Confirmed is true if the control instance confirmed with a quorum,
		// after the stream began, that Revision and Epoch are the newest.
		Confirmed bool
		// Revision is the newest rule revision that the control instance knows.
		Revision Revision
		// Epoch is the newest view epoch that the control instance knows.
		Epoch Epoch
		// Active is a view epoch below which no member holds a lease any more.
		Active Epoch
		// Rules is nil if the message carries no part of a rule file.
		Rules *RulesPart
		// View is nil if the message carries no part of a view.
		View *ViewPart
		// Instances are the peer addresses of control instances to watch
		// instead. Only an instance that serves no watches sets them, in the
		// only message of the stream.
		Instances []netip.AddrPort
	}

	// RulesPart is one part of a RulesDelta that is sent in several messages.
	// The parts of one delta are consecutive among the rules parts of a stream.
	// They differ in Insert, and only the last one has all of File.
	RulesPart struct {
		// Delta.Insert holds the text that follows that of the previous parts.
		Delta RulesDelta
		// More is true for all parts but the last one.
		More bool
	}

	// ViewPart is one part of a ViewDelta that is sent in several messages. The
	// parts of one delta are consecutive among the view parts of a stream and
	// have equal From and To.
	ViewPart struct {
		Delta ViewDelta
		// More is true for all parts but the last one.
		More bool
	}

	// ViewDelta holds the changes between a view and a later one.
	ViewDelta struct {
		// From is the epoch of the earlier view; zero for a snapshot, which
		// replaces any view.
		From Epoch
		// To is the epoch of the later view; at least From.
		To Epoch
		// Changed are the new and changed members, sorted by ID.
		Changed []Member
		// Removed are the IDs of the removed members, sorted.
		Removed []InstanceID
	}

	// RulesDelta holds the changes between a rule file and a later one, as the
	// replacement of one span of its text.
	RulesDelta struct {
		// From is the revision of the earlier file; zero for a whole file,
		// which replaces any other.
		From Revision
		// Skip is the number of unchanged bytes before the span.
		Skip int
		// Cut is the length in bytes of the span in the earlier text.
		Cut int
		// Insert is the content of the span in the later text.
		Insert string
		// TextHash is the hash of the later text.
		TextHash uint64
		// SameZones is true if the time zone tables of both files are equal.
		SameZones bool
		// File is the later file without its text, and without its time zone
		// tables if SameZones is true.
		File RuleFile
	}

	// WatchPosition is the state that a watcher already has when its stream
	// begins.
	WatchPosition struct {
		Revision Revision
		Epoch    Epoch
	}

	// WatchRequest is a request to open a watch stream.
	WatchRequest struct {
		// ControlIndex is the index of the control instance in the configured list.
		ControlIndex int
		// Member is the watcher. It determines which members the stream
		// includes.
		Member Member
		// Position is zero to request the whole state.
		Position WatchPosition
	}
)
