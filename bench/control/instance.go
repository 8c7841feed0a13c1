package control

import (
	"fmt"
	"runtime"
	"slices"
	"strings"

	"github.com/google/uuid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/bench/measure"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/query/members"
)

// retainedRuleFiles is the number of earlier rule files that an instance keeps
// as bases of deltas.
const retainedRuleFiles = 8

// measureInstance measures the memory of a leader of control, and the size and
// processor time of its snapshots.
func (b *bench) measureInstance(f fleet) {
	before := measure.MemoryBytes()
	s := apply.State{
		Rules: f.rules, View: balsampier.View{Epoch: 1, Members: slices.Clone(f.view.Members)},
	}
	for i := range apply.MaxAnswers {
		s.Submit(balsampier.Submission{ID: uuid.UUID{byte(i), byte(i >> 8)}, Base: f.rules.Revision + 1})
	}
	t := lease.New(s.View, lease.DefaultTTL, startTime)
	for _, m := range s.View.Members {
		t.Renew(m, 1, startTime)
	}
	h := members.NewHistory(s.View)
	s.ChangeMembers(f.singleRestart())
	h.Add(s.View)
	files := make([]string, retainedRuleFiles)
	for i := range files {
		files[i] = strings.Clone(f.rules.Text)
	}
	b.reportFigure("instance.memory.bytes", f.agents, measure.MemoryBytes()-before)
	p, err := peer.EncodeSnapshot(s.Snapshot())
	if err != nil {
		panic(fmt.Sprintf("encode the snapshot of a fleet: %v", err))
	}
	b.reportFigure("instance.snapshot.bytes", f.agents, float64(len(p)))
	b.reportTime("instance.snapshot.seconds", f.agents, seconds(rolloutBound), func() { _, _ = peer.EncodeSnapshot(s.Snapshot()) })
	b.reportTime("instance.restore.seconds", f.agents, seconds(rolloutBound), func() {
		if q, err := peer.DecodeSnapshot(p); err == nil {
			_, _ = apply.Restore(q)
		}
	})
	runtime.KeepAlive(files)
	runtime.KeepAlive(t)
	runtime.KeepAlive(h)
}
