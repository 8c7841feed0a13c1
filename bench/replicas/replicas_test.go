package replicas

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestGroup checks that commits are synced to the disks of a majority and are
// recovered when the group is opened again.
func TestGroup(t *testing.T) {
	tests := []struct{ nodes, batch int }{{1, 1}, {1, 5}, {3, 1}, {3, 5}}
	for _, tt := range tests {
		c := qt.New(t)
		folder := t.TempDir()
		g, err := openGroup(folder, 1, tt.nodes)
		c.Assert(err, qt.IsNil)
		before := g.totalSyncs()
		c.Assert(g.commit(tt.batch, smallEntryBytes), qt.IsNil)
		c.Assert(g.totalSyncs()-before >= uint64(tt.nodes/2+1), qt.IsTrue)
		g.close()
		g, err = openGroup(folder, 1, tt.nodes)
		c.Assert(err, qt.IsNil)
		c.Assert(g.committedCommands(), qt.Equals, uint64(tt.batch))
		g.close()
	}
}
