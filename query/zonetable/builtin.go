package zonetable

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

// BuiltIn is the zone data that the program was built with or runs on.
type BuiltIn struct{}

var _ balsampier.ZoneData = BuiltIn{}

// Location returns the zone with the IANA name n.
func (b BuiltIn) Location(n string) (*time.Location, error) {
	if n == "" || n == "Local" {
		return nil, trace.BadParameter("%q is not an IANA zone", n)
	}
	l, err := time.LoadLocation(n)
	return l, trace.Wrap(err)
}
