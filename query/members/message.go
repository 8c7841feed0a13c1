package members

import "github.com/balsampier/balsampier"

type (
	// Message is one message of a watch stream.
	Message = balsampier.WatchMessage
	// RulesPart is a part of a RulesDelta.
	RulesPart = balsampier.RulesPart
	// ViewPart is a part of a Delta.
	ViewPart = balsampier.ViewPart
	// Delta holds the changes between a view and a later one.
	Delta = balsampier.ViewDelta
	// RulesDelta holds the changes between a rule file and a later one.
	RulesDelta = balsampier.RulesDelta
	// Position is the state that a watcher already has when its stream begins.
	Position = balsampier.WatchPosition

	// Sizes estimates the encoded sizes of message fields in bytes.
	Sizes struct {
		// Member returns the size of one member.
		Member func(m balsampier.Member) int
		// File returns the size of a rule file without its text.
		File func(f balsampier.RuleFile) int
		// Removed is the size of the ID of one removed member.
		Removed int
		// Message is the size of a message without any parts.
		Message int
	}
)
