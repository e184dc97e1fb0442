package telemetry

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Relay records the metrics of proxied calls. Its label cardinality is bounded by
// the configured routes and services and the closed list of error kinds.
type Relay interface {
	// Answered records the end of a call; kind is its error kind, or "" if it
	// succeeded.
	Answered(route, kind string, took time.Duration)
	// Attempted records an attempt at a runner; status is 0 if there was no
	// response.
	Attempted(service string, status int, took time.Duration)
	// StageEnded records the end of a stage; failure is its first failure, or "" if
	// all its pieces were made.
	StageEnded(service, failure string, took time.Duration)
	// WritePrometheus writes the metrics.
	WritePrometheus(w io.Writer)
}

// NewRelay returns metrics with no series.
func NewRelay() Relay { return &relayMetrics{set: metrics.NewSet()} }

type relayMetrics struct{ set *metrics.Set }

func (r *relayMetrics) Answered(route, kind string, took time.Duration) {
	if kind == "" {
		kind = "none"
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`cicadawell_calls_total{route=%q,error=%q}`, route, kind)).Inc()
	r.set.GetOrCreatePrometheusHistogram(fmt.Sprintf(`cicadawell_call_seconds{route=%q}`, route)).Update(took.Seconds())
}

func (r *relayMetrics) Attempted(service string, status int, took time.Duration) {
	class := "none"
	if status > 0 {
		class = strconv.Itoa(status/100) + "xx"
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`cicadawell_attempts_total{service=%q,status=%q}`, service, class)).Inc()
	r.set.GetOrCreatePrometheusHistogram(fmt.Sprintf(`cicadawell_attempt_seconds{service=%q}`, service)).Update(took.Seconds())
}

func (r *relayMetrics) StageEnded(service, failure string, took time.Duration) {
	if failure == "" {
		failure = "none"
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`cicadawell_stages_total{service=%q,failure=%q}`, service, failure)).Inc()
	r.set.GetOrCreatePrometheusHistogram(fmt.Sprintf(`cicadawell_stage_seconds{service=%q}`, service)).Update(took.Seconds())
}

func (r *relayMetrics) WritePrometheus(w io.Writer) { r.set.WritePrometheus(w) }
