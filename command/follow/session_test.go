package follow_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
)

// TestSession records every status change of one balancer that starts at a
// cut-off control instance, receives changes, loses control and restarts.
func TestSession(t *testing.T) {
	c := qt.New(t)
	w := newSimulation()
	var out bytes.Buffer
	p, last := w.watchers[0], ""
	pass := func(title string, seconds int) {
		_, _ = fmt.Fprintf(&out, "# %s\n", title)
		for range seconds * 10 {
			c.Assert(w.run(100*time.Millisecond), qt.IsNil)
			c.Assert(w.check(p), qt.IsNil)
			s := p.follower.Status(w.now)
			l := fmt.Sprintf("%s revision=%d epoch=%d ready=%t cutOff=%t", s.State, s.Revision, s.Epoch, s.Ready, s.CutOff)
			if l != last {
				_, _ = fmt.Fprintf(&out, "%6.1fs %s\n", w.now.Sub(start).Seconds(), l)
				last = l
			}
		}
	}
	cutAll := func(cut bool) {
		for _, i := range w.instances {
			i.cutOff = cut
		}
	}
	w.accept(strings.Repeat("rule\n", 1000))
	w.change(join(1, 200))
	w.replicate(w.instances[0])
	w.accept(strings.Repeat("rule\n", 1000) + "last\n")
	cutAll(true)
	pass("start while every instance is cut off and one has an old revision", 30)
	cutAll(false)
	pass("control is back", 20)
	w.accept(w.state.Rules.Text + "more\n")
	pass("one line more", 5)
	left := join(1, 100)
	w.change(apply.MembershipChange{Left: ids(left)})
	pass("half of the members lost at once", 5)
	cutAll(true)
	w.accept(w.state.Rules.Text + "unseen\n")
	pass("cut off", 20)
	cutAll(false)
	pass("control is back", 20)
	w.restart(p)
	pass("restart", 20)
	goldie.New(t).Assert(t, "session", out.Bytes())
}

func join(from, to int) apply.MembershipChange {
	var c apply.MembershipChange
	for id := from; id <= to; id++ {
		c.Joined = append(c.Joined, balsampier.Member{ID: balsampier.InstanceID(id), Role: balsampier.RoleAgent, Incarnation: 1})
	}
	return c
}

func ids(c apply.MembershipChange) []balsampier.InstanceID {
	var out []balsampier.InstanceID
	for _, m := range c.Joined {
		out = append(out, m.ID)
	}
	return out
}
