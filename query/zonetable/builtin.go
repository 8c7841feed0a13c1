package zonetable

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

// BuiltIn is the time zone database of the program or of the machine on which
// it runs.
type BuiltIn struct{}

var _ balsampier.ZoneData = BuiltIn{}

// Location returns the zone with the IANA name n. Unlike time.LoadLocation, it
// rejects the empty name and "Local".
func (b BuiltIn) Location(n string) (*time.Location, error) {
	if n == "" || n == "Local" {
		return nil, trace.BadParameter("%q is not an IANA zone", n)
	}
	l, err := time.LoadLocation(n)
	return l, trace.Wrap(err)
}
