package app

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/replicate"
)

// registerMetrics registers the gauges of the instance.
func (t *Control) registerMetrics() {
	gauge := func(name string, f func() float64) { metrics.GetOrCreateGauge(name, f) }
	gauge("balsampier_control_term", func() float64 { return float64(t.status.Load().Term) })
	gauge("balsampier_control_leader", func() float64 { return toFloat(t.status.Load().Role == replicate.RoleLeader) })
	gauge("balsampier_control_has_leader", func() float64 { return toFloat(!t.status.Load().Leader.IsZero()) })
	gauge("balsampier_control_blank", func() float64 { return toFloat(t.status.Load().Blank) })
	gauge("balsampier_control_voters", func() float64 { return float64(len(t.status.Load().Set.Voters)) })
	gauge("balsampier_control_learners", func() float64 { return float64(len(t.status.Load().Set.Learners)) })
	gauge("balsampier_control_last_index", func() float64 { return float64(t.status.Load().Last) })
	gauge("balsampier_control_commit_index", func() float64 { return float64(t.status.Load().Commit) })
	gauge("balsampier_control_snapshot_index", func() float64 { return float64(t.status.Load().Snapshot) })
	gauge("balsampier_control_applied_index", func() float64 { return float64(t.published.Load().applied) })
	gauge("balsampier_control_revision", func() float64 { return float64(t.published.Load().rules.Revision) })
	gauge("balsampier_control_epoch", func() float64 { return float64(t.published.Load().view.Epoch) })
	gauge("balsampier_control_active_epoch", func() float64 { return float64(t.activeEpoch.Load()) })
	gauge("balsampier_control_members", func() float64 { return float64(len(t.published.Load().view.Members)) })
}

// countRefusal counts a refused submission if err is not nil, and returns err.
func countRefusal(err error) error {
	if err != nil {
		countRefusedKind(balsampier.KindOf(err))
	}
	return err
}

func countRefusedKind(k balsampier.Kind) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsampier_control_refused_submissions_total{kind=%q}", k)).Inc()
}

func toFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
