package telemetry

import (
	"fmt"

	"cicadawell.dev/fleet/fault"
	"github.com/VictoriaMetrics/metrics"
)

type requestKey struct {
	tier, pipeline, zone string
	attainment           Attainment
}

type requestSeries struct {
	count        *metrics.Counter
	runnerMicros *metrics.Counter
	latency      *histogram
	firstToken   *histogram
}

func (m *registry) newRequestSeries(k requestKey) *requestSeries {
	labels := fmt.Sprintf("tier=%q,pipeline=%q,zone=%q,deadline=%q", k.tier, k.pipeline, k.zone, k.attainment)
	return &requestSeries{
		count:        m.set.NewCounter("cicadawell_requests_total{" + labels + "}"),
		runnerMicros: m.set.NewCounter("cicadawell_request_runner_microseconds_total{" + labels + "}"),
		latency:      newHistogram(m.set, "cicadawell_request_seconds", labels),
		firstToken:   newHistogram(m.set, "cicadawell_first_token_seconds", labels),
	}
}

// Finished counts an ended request.
func (m *registry) Finished(r Request) {
	s := m.requests.get(requestKey{r.Tier, r.Pipeline, r.Zone, r.Attainment})
	s.count.Inc()
	s.runnerMicros.AddInt64(r.RunnerTime.Microseconds())
	s.latency.observe(r.Took)
	if r.FirstToken > 0 {
		s.firstToken.observe(r.FirstToken)
	}
}

type refusalKey struct {
	kind    fault.Kind
	outcome fault.Outcome
}

func (m *registry) newRefusalSeries(k refusalKey) *metrics.Counter {
	return m.set.NewCounter(fmt.Sprintf("cicadawell_refusals_total{kind=%q,outcome=%q}", k.kind, k.outcome))
}

// Refused counts an error response.
func (m *registry) Refused(kind fault.Kind, outcome fault.Outcome) {
	m.refusals.get(refusalKey{kind, outcome}).Inc()
}

func (m *registry) newReplayedSeries(pipeline string) *metrics.Counter {
	return m.set.NewCounter(fmt.Sprintf("cicadawell_replayed_answers_total{pipeline=%q}", pipeline))
}

// Replayed counts a response replayed from an earlier call.
func (m *registry) Replayed(pipeline string) { m.replayed.get(pipeline).Inc() }
