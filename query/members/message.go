package members

import "github.com/balsampier/balsampier"

type (
	// Message is one message of a watch stream. One without parts is a
	// heartbeat.
	Message struct {
		// Confirmed is true when the control instance confirmed with a quorum,
		// after the stream began, that Revision and Epoch are the newest.
		Confirmed bool
		// Revision is the newest one that the control instance knows.
		Revision balsampier.Revision
		// Epoch is the newest one that the control instance knows.
		Epoch balsampier.Epoch
		// Active is an epoch below which no member has a lease any more.
		Active balsampier.Epoch
		// Rules is nil when the message carries no part of a rule file.
		Rules *RulesPart
		// View is nil when the message carries no part of a view.
		View *ViewPart
		// Loads are coarse loads, of which each message has only some.
		Loads []AgentLoad
	}

	// AgentLoad is the load of one agent's backend server.
	AgentLoad struct {
		Agent balsampier.InstanceID
		Load  balsampier.Load
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
		Delta Delta
		// More is true for all parts but the last one.
		More bool
	}

	// Sizes estimates encoded lengths in bytes.
	Sizes struct {
		// Member is the length of one member.
		Member func(m balsampier.Member) int
		// File is the length of a rule file without its text.
		File func(f balsampier.RuleFile) int
		// Removed is the length of one removed member.
		Removed int
		// Load is the length of one load.
		Load int
		// Message is the length of a message without parts.
		Message int
	}
)
