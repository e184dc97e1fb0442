package telemetry

import (
	"fmt"

	"cicadawell.dev/router/pool"
	"github.com/VictoriaMetrics/metrics"
)

type attemptKey struct {
	pipeline, stage, zone string
	ending                pool.Ending
}

type attemptSeries struct {
	count        *metrics.Counter
	slotMicros   *metrics.Counter
	tokens       *metrics.Counter
	cachedTokens *metrics.Counter
	seconds      *histogram
}

// endingLabels holds the label value of each pool.Ending.
var endingLabels = map[pool.Ending]string{
	pool.Completed: "completed",
	pool.Refused:   "refused",
	pool.Failed:    "failed",
	pool.TimedOut:  "timedOut",
	pool.Cancelled: "cancelled",
	pool.Unsent:    "unsent",
}

func (m *registry) newAttemptSeries(k attemptKey) *attemptSeries {
	labels := fmt.Sprintf("pipeline=%q,stage=%q,zone=%q,ending=%q", k.pipeline, k.stage, k.zone, endingLabels[k.ending])
	return &attemptSeries{
		count:        m.set.NewCounter("cicadawell_stage_attempts_total{" + labels + "}"),
		slotMicros:   m.set.NewCounter("cicadawell_stage_runner_microseconds_total{" + labels + "}"),
		tokens:       m.set.NewCounter("cicadawell_stage_tokens_total{" + labels + "}"),
		cachedTokens: m.set.NewCounter("cicadawell_stage_cached_tokens_total{" + labels + "}"),
		seconds:      newHistogram(m.set, "cicadawell_stage_seconds", labels),
	}
}

// Attempted counts an attempt of a stage when it ends.
func (m *registry) Attempted(a Attempt) {
	s := m.attempts.get(attemptKey{a.Pipeline, a.Stage, a.Zone, a.Ending})
	s.count.Inc()
	s.slotMicros.AddInt64(a.SlotTime.Microseconds())
	s.tokens.Add(a.Tokens)
	s.cachedTokens.Add(a.CachedTokens)
	s.seconds.observe(a.SlotTime)
}

func (m *registry) newDroppedSeries(service string) *metrics.Counter {
	return m.set.NewCounter(fmt.Sprintf("cicadawell_dropped_answers_total{service=%q}", service))
}

// Dropped counts a discarded response with the identifier of another attempt.
func (m *registry) Dropped(service string) { m.dropped.get(service).Inc() }
