package members

import "github.com/balsampier/balsampier"

type (
	// Message is one message of a watch stream.
	Message = balsampier.WatchMessage
	// RulesPart is a part of a RulesDelta.
	RulesPart = balsampier.RulesPart
	// ViewPart is a part of a Delta.
	ViewPart = balsampier.ViewPart
	// Delta leads from one view to a later one.
	Delta = balsampier.ViewDelta
	// RulesDelta leads from one rule file to a later one.
	RulesDelta = balsampier.RulesDelta
	// Position is what a watcher has when its stream begins.
	Position = balsampier.WatchPosition

	// Sizes estimates encoded lengths in bytes.
	Sizes struct {
		// Member is the length of one member.
		Member func(m balsampier.Member) int
		// File is the length of a rule file without its text.
		File func(f balsampier.RuleFile) int
		// Removed is the length of one removed member.
		Removed int
		// Message is the length of a message without parts.
		Message int
	}
)
