package control

import "github.com/VictoriaMetrics/metrics"

// leaseHeld is the value of Status.Lease while the member holds a valid lease.
const leaseHeld = "held"

// ExportMetrics exports the session status as gauges.
func (s *Session) ExportMetrics() {
	gauge := func(name string, f func(Status) float64) {
		metrics.GetOrCreateGauge(name, func() float64 { return f(s.Status()) })
	}
	gauge("balsampier_member_revision", func(v Status) float64 { return float64(v.Revision) })
	gauge("balsampier_member_epoch", func(v Status) float64 { return float64(v.Epoch) })
	gauge("balsampier_member_lease_held", func(v Status) float64 { return toFloat(v.Lease == leaseHeld) })
	gauge("balsampier_member_ready", func(v Status) float64 { return toFloat(v.Ready) })
	gauge("balsampier_member_cut_off", func(v Status) float64 { return toFloat(v.CutOff) })
	gauge("balsampier_member_watch_failures", func(v Status) float64 { return float64(v.Failures) })
}

func toFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
