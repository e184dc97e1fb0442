package control

import (
	"fmt"
	"io"

	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/router/rollout"
)

// WriteMetrics writes the state of each rollout, what this instance observed of it, and
// the counters of all rollouts. Errors are those of w, which its owner handles.
func WriteMetrics(w io.Writer, c Controller) {
	stats := c.Stats()
	_, _ = fmt.Fprintf(w, "cicadawell_rollout_reports_total{error=\"false\"} %d\ncicadawell_rollout_reports_total{error=\"true\"} %d\n", stats.Reports, stats.ReportErrors)
	_, _ = fmt.Fprintf(w, "cicadawell_rollout_writes_total{error=\"false\"} %d\ncicadawell_rollout_writes_total{error=\"true\"} %d\n", stats.Writes, stats.WriteErrors)
	for _, s := range c.States() {
		_, _ = fmt.Fprintf(w, "cicadawell_rollout_share{service=%q} %g\ncicadawell_rollout_step{service=%q} %d\ncicadawell_rollout_in_contact{service=%q} %g\n",
			s.Service, s.Share, s.Service, s.Step, s.Service, boolValue(s.InContact))
		for _, phase := range []rollout.Phase{rollout.Running, rollout.Completed, rollout.RolledBack} {
			_, _ = fmt.Fprintf(w, "cicadawell_rollout_phase{service=%q,phase=%q} %g\n", s.Service, phase, boolValue(s.Phase == string(phase)))
		}
		for _, row := range []struct {
			name   string
			counts operatorapi.RolloutCounts
		}{{"answers_total", s.Answers}, {"failures_total", s.Failures}, {"calls_in_flight", s.InFlight}} {
			_, _ = fmt.Fprintf(w, "cicadawell_rollout_%s{service=%q,version=\"old\"} %d\ncicadawell_rollout_%s{service=%q,version=\"target\"} %d\n",
				row.name, s.Service, row.counts.Old, row.name, s.Service, row.counts.Target)
		}
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
