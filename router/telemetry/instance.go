package telemetry

import (
	"fmt"
	"io"
	"time"

	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/memory"
)

// CallerStats are the state and the counters of the server of callers.
type CallerStats struct {
	// Connections is the number of open connections of callers.
	Connections int
	// Unanswered counts the connections that the server closed although a request on
	// them had no complete answer.
	Unanswered int64
	// Panics counts the handlers that ended by an unexpected panic.
	Panics int64
	// Evicted, RefusedConnections and SlowCallers count the connections that were closed to
	// stay within the limits on connections and memory: those that waited for a request,
	// new ones, and those whose callers read or sent slowly.
	Evicted, RefusedConnections, SlowCallers int64
}

// Instance has the parts of an instance whose state and counters are written. No field is
// nil.
type Instance struct {
	Current *inventory.Current
	Store   interface {
		Era() int64
		Calls() int64
	}
	Follower interface{ FailingFor() time.Duration }
	// Member counts the instances, and reports whether the number is reliable.
	Member  interface{ Count() (int, bool) }
	Callers interface{ Stats() CallerStats }
	Pool    interface {
		DialCount() int64
		Open() int64
		Refused() int64
	}
	Memory *memory.Account
	Lines  interface{ Dropped() int64 }
}

// WritePrometheus writes the state and the counters.
func (i Instance) WritePrometheus(w io.Writer) {
	s := i.Current.Load()
	version := int64(0)
	if s.Table != nil {
		version = s.Table.Version()
	}
	instances, settled := i.Member.Count()
	served := i.Callers.Stats()
	for _, row := range []struct {
		name  string
		value float64
	}{
		{"cicadawell_configuration_version", float64(version)},
		{"cicadawell_configuration_age_seconds", i.Current.Age().Seconds()},
		{"cicadawell_store_revision", float64(s.Revision.Number)},
		{"cicadawell_store_era", float64(i.Store.Era())},
		{"cicadawell_store_failing_seconds", i.Follower.FailingFor().Seconds()},
		{"cicadawell_store_calls_total", float64(i.Store.Calls())},
		{"cicadawell_instances", float64(instances)},
		{"cicadawell_instances_settled", boolValue(settled)},
		{"cicadawell_runners", float64(len(s.Runners))},
		{"cicadawell_runners_lapsed", float64(len(s.HeldRemovals))},
		{"cicadawell_zones_out", float64(len(s.ZonesOut))},
		{"cicadawell_quarantines", float64(len(s.Quarantines))},
		{"cicadawell_runner_connections_total", float64(i.Pool.DialCount())},
		{"cicadawell_caller_connections", float64(served.Connections)},
		{"cicadawell_caller_body_bytes", float64(i.Memory.Used(memory.Bodies))},
		{"cicadawell_caller_connections_evicted_total", float64(served.Evicted)},
		{"cicadawell_caller_connections_refused_total", float64(served.RefusedConnections)},
		{"cicadawell_slow_callers_closed_total", float64(served.SlowCallers)},
		{"cicadawell_runner_connections", float64(i.Pool.Open())},
		{"cicadawell_runner_connections_refused_total", float64(i.Pool.Refused())},
		{"cicadawell_held_limit_bytes", float64(i.Memory.Limit())},
		{"cicadawell_requests_unanswered_total", float64(served.Unanswered)},
		{"cicadawell_handler_panics_total", float64(served.Panics)},
		{"cicadawell_log_lines_left_out_total", float64(i.Lines.Dropped())},
	} {
		// net/http handles failures of the probe's writer.
		_, _ = fmt.Fprintf(w, "%s %g\n", row.name, row.value)
	}
	for _, u := range memory.Uses() {
		_, _ = fmt.Fprintf(w, "cicadawell_held_bytes{use=%q} %d\n", u, i.Memory.Used(u))
		_, _ = fmt.Fprintf(w, "cicadawell_held_refused_total{use=%q} %d\n", u, i.Memory.Refused(u))
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
