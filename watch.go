package balsampier

type (
	// WatchMessage is one message of a watch stream. One without parts is a
	// heartbeat.
	WatchMessage struct {
		// Confirmed is true when the control instance confirmed with a quorum,
		// after the stream began, that Revision and Epoch are the newest.
		Confirmed bool
		// Revision is the newest one that the control instance knows.
		Revision Revision
		// Epoch is the newest one that the control instance knows.
		Epoch Epoch
		// Active is an epoch below which no member has a lease any more.
		Active Epoch
		// Rules is nil when the message carries no part of a rule file.
		Rules *RulesPart
		// View is nil when the message carries no part of a view.
		View *ViewPart
	}

	// RulesPart is a part of a delta. All parts of one delta follow each other
	// among the rules parts of a stream; they differ in Insert, and
	// only the last one has the whole of File.
	RulesPart struct {
		// Delta has in Insert what follows the parts before.
		Delta RulesDelta
		// More is true for all parts but the last one.
		More bool
	}

	// ViewPart is a part of a delta. All parts of one delta follow each other
	// among the view parts of a stream and have equal From and To.
	ViewPart struct {
		Delta ViewDelta
		// More is true for all parts but the last one.
		More bool
	}

	// ViewDelta leads from one view to a later one.
	ViewDelta struct {
		// From is zero for a snapshot, which replaces any view.
		From Epoch
		// To is not before From.
		To Epoch
		// Changed are new or changed members, sorted by ID.
		Changed []Member
		// Removed are sorted.
		Removed []InstanceID
	}

	// RulesDelta leads from one rule file to a later one by replacing one span
	// of its text.
	RulesDelta struct {
		// From is zero for a whole file, which replaces any other.
		From Revision
		// Skip is how many bytes of the earlier text stay before the span.
		Skip int
		// Cut is the length of the span in the earlier text.
		Cut int
		// Insert is the span in the later text.
		Insert string
		// Sum is the hash of the later text.
		Sum uint64
		// SameZones is true when the zones of both files are equal.
		SameZones bool
		// File is the later file without its text, and without its zones when
		// SameZones is true.
		File RuleFile
	}

	// WatchPosition is what a watcher has when its stream begins.
	WatchPosition struct {
		Revision Revision
		Epoch    Epoch
	}

	// WatchRequest opens a watch stream.
	WatchRequest struct {
		// Control is an index into the configured control instances.
		Control int
		// Member is the watcher; it decides which members it is told of.
		Member Member
		// Position is zero to ask for everything.
		Position WatchPosition
	}
)
