package app

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/peer"
)

const (
	goodRules         = "rule reservas to 203.0.113.7:443 from any # Rosa\n"
	otherRules        = "rule galeria to 203.0.113.8:443 from any # José\n"
	unknownZoneRules  = "rule reservas to 203.0.113.7:443 from any daily 08:00-20:00 America/Nowhere # Rosa\n"
	readyPollInterval = 10 * time.Millisecond
)

// startSingle runs a single control instance until the test ends, and returns
// once it is the leader.
func startSingle(c *qt.C) *Control {
	s := Settings{DataFolder: c.TempDir(), Instances: []Instance{{Name: "control-1"}}, ElectionTimeout: minElectionTimeout}
	s.Name, s.LogLevel = "control-1", "error"
	s.SetDefaults()
	t, err := New(s, clock.System{}, fixedRandom{}, peer.NewKey([]byte(testKey)))
	c.Assert(err, qt.IsNil)
	x, cancel := context.WithCancel(context.Background())
	var w sync.WaitGroup
	for _, d := range t.Threads() {
		w.Go(func() { _ = d.Start(x) })
	}
	c.Cleanup(func() {
		cancel()
		w.Wait()
	})
	for t.Ready() != nil {
		time.Sleep(readyPollInterval)
	}
	return t
}

// TestSubmit sends submissions and resends in sequence to one instance.
func TestSubmit(t *testing.T) {
	c := qt.New(t)
	d := startSingle(c)
	a, b, e := uuid.UUID{1}, uuid.UUID{2}, uuid.UUID{3}
	for _, x := range []struct {
		name     string
		id       uuid.UUID
		base     balsampier.Revision
		text     string
		accepted bool
		revision balsampier.Revision
		kind     balsampier.Kind
		problems int
	}{
		{"unreadable", a, 0, "rule", false, 0, balsampier.KindInvalid, 4},
		{"unknown zone", a, 0, unknownZoneRules, false, 0, balsampier.KindInvalid, 1},
		{"corrected", a, 0, goodRules, true, 1, 0, 0},
		{"resend", a, 0, goodRules, true, 1, 0, 0},
		{"stale base", b, 0, otherRules, false, 1, 0, 0},
		{"current base", e, 1, otherRules, true, 2, 0, 0},
		{"resend of a stale base", b, 0, otherRules, false, 1, 0, 0},
		{"resend with a file that is now invalid", a, 0, unknownZoneRules, true, 1, 0, 0},
		{"resend with a file that cannot be parsed", e, 1, "rule", true, 2, 0, 0},
		{"warning", uuid.UUID{4}, 2, goodRules + goodRules, true, 3, 0, 1},
	} {
		c.Run(x.name, func(c *qt.C) {
			r, ps, err := d.Submit(context.Background(), balsampier.Submission{ID: x.id, Base: x.base, Text: x.text})
			c.Assert(balsampier.KindOf(err), qt.Equals, x.kind, qt.Commentf("%v", err))
			c.Assert(r.Accepted, qt.Equals, x.accepted)
			c.Assert(r.Revision, qt.Equals, x.revision)
			c.Assert(ps, qt.HasLen, x.problems, qt.Commentf("%v", ps))
		})
	}
	f, err := d.Rules(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(f.Text, qt.Equals, goodRules+goodRules)
}
