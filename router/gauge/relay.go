package gauge

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Relay measures calls that are passed on. Its series are bounded by the
// configuration: by routes, services, and the closed list of error kinds.
type Relay interface {
	// Answered notes the end of a call: its error kind, or "" if it was served.
	Answered(route, kind string, took time.Duration)
	// Sent notes an attempt at a runner; status is 0 without an answer.
	Sent(service string, status int, took time.Duration)
	// Staged notes that the pieces of a stage were made or failed.
	Staged(service, failure string, took time.Duration)
	// WritePrometheus writes the metrics.
	WritePrometheus(w io.Writer)
}

// NewRelay returns metrics without any counts.
func NewRelay() Relay { return &relay{set: metrics.NewSet()} }

type relay struct{ set *metrics.Set }

func (r *relay) Answered(route, kind string, took time.Duration) {
	if kind == "" {
		kind = "none"
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`cicadawell_calls_total{route=%q,error=%q}`, route, kind)).Inc()
	r.set.GetOrCreatePrometheusHistogram(fmt.Sprintf(`cicadawell_call_seconds{route=%q}`, route)).Update(took.Seconds())
}

func (r *relay) Sent(service string, status int, took time.Duration) {
	class := "none"
	if status > 0 {
		class = strconv.Itoa(status/100) + "xx"
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`cicadawell_attempts_total{service=%q,status=%q}`, service, class)).Inc()
	r.set.GetOrCreatePrometheusHistogram(fmt.Sprintf(`cicadawell_attempt_seconds{service=%q}`, service)).Update(took.Seconds())
}

func (r *relay) Staged(service, failure string, took time.Duration) {
	if failure == "" {
		failure = "none"
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`cicadawell_stages_total{service=%q,failure=%q}`, service, failure)).Inc()
	r.set.GetOrCreatePrometheusHistogram(fmt.Sprintf(`cicadawell_stage_seconds{service=%q}`, service)).Update(took.Seconds())
}

func (r *relay) WritePrometheus(w io.Writer) { r.set.WritePrometheus(w) }
