package app

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
)

// TestLinksAreReplaced checks that an instance reaches new ones however many it
// has known, and keeps the links that it uses. Guards against instances that can
// no longer join the quorum after many others were replaced.
func TestLinksAreReplaced(t *testing.T) {
	const self, used = 1, 2
	c := qt.New(t)
	l := newLinks(fleetKey, self, true)
	first, ok := l.getOrCreate(used)
	c.Assert(ok, qt.IsTrue)
	for i := range balsampier.InstanceID(3 * maxLinks) {
		_, ok := l.getOrCreate(100 + i)
		c.Assert(ok, qt.IsTrue, qt.Commentf("instance %d", i))
		p, _ := l.getOrCreate(used)
		c.Assert(p, qt.Equals, first)
		c.Assert(len(l.all()) <= maxLinks, qt.IsTrue)
	}
	_, ok = l.getOrCreate(self)
	c.Assert(ok, qt.IsFalse)
}
