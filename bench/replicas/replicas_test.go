package replicas

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestGroup holds the harness to what it counts: commits reach the disks and
// come back.
func TestGroup(t *testing.T) {
	tests := []struct{ nodes, batch int }{{1, 1}, {1, 5}, {3, 1}, {3, 5}}
	for _, tt := range tests {
		c := qt.New(t)
		folder := t.TempDir()
		g, err := open(folder, 1, tt.nodes)
		c.Assert(err, qt.IsNil)
		before := g.syncs()
		c.Assert(g.commit(tt.batch, smallEntry), qt.IsNil)
		c.Assert(g.syncs()-before >= uint64(tt.nodes/2+1), qt.IsTrue)
		g.close()
		g, err = open(folder, 1, tt.nodes)
		c.Assert(err, qt.IsNil)
		c.Assert(g.committed(), qt.Equals, uint64(tt.batch))
		g.close()
	}
}
