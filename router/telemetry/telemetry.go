// Package telemetry collects the metrics of one instance and writes them in the
// Prometheus text format.
//
// Label cardinality is bounded: tiers, pipelines, stages, services,
// availability zones, error kinds and kinds of calls come from the bundle or
// from a closed list. No label identifies a team, a runner or a request: 41,000
// teams by 17 pipelines would be 700,000 series on each of 450 instances, and
// 1,500 runners seen by each instance would be 675,000 for every gauge. The
// journal explains a single request, and the operators' interface shows a
// single runner.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/pool"
	"github.com/VictoriaMetrics/metrics"
)

// Metrics records events and writes them as metrics. All methods are safe for
// concurrent use. The counting methods take no lock for a set of labels that
// already has its series.
type Metrics interface {
	// Finished counts an admitted request, once, when it ends.
	Finished(r Request)
	// Refused counts an error response.
	Refused(kind fault.Kind, outcome fault.Outcome)
	// Attempted counts an attempt of a stage when it ends.
	Attempted(a Attempt)
	// Dropped counts a discarded response of a runner of this service that
	// carried the identifier of another attempt.
	Dropped(service string)
	// Replayed counts a response replayed from an earlier call with the same
	// idempotency key.
	Replayed(pipeline string)
	// StoreCalled counts a call to the platform's store.
	StoreCalled(c StoreCall)
	// RegisterGauge registers a gauge whose value f returns at each scrape. The
	// name starts with "cicadawell_" and may include labels.
	RegisterGauge(name string, f func() float64)
	// RegisterPools registers gauges that sum the statuses that f returns at
	// each scrape by service and availability zone.
	RegisterPools(f func() []pool.Status)
	// WritePrometheus writes all metrics, including those of the process.
	WritePrometheus(w io.Writer)
	// Handler returns the handler of /metrics.
	Handler() http.Handler
}

// Attainment states whether a request met its deadline.
type Attainment string

// The values of Attainment.
const (
	// Met is a complete response before the deadline.
	Met Attainment = "met"
	// Missed is a complete response after the deadline, or none because the
	// deadline passed.
	Missed Attainment = "missed"
	// Unserved is any other request without a complete response.
	Unserved Attainment = "unserved"
)

// Request describes an ended request.
type Request struct {
	Tier     string
	Pipeline string
	// Zone is the availability zone of the instance that received the request.
	Zone       string
	Attainment Attainment
	Took       time.Duration
	// FirstToken is the time to the first token; zero if the response was not
	// streamed.
	FirstToken time.Duration
	// RunnerTime is the total runner time of all attempts of the request.
	RunnerTime time.Duration
}

// Attempt describes an ended attempt of a stage.
type Attempt struct {
	Pipeline string
	Stage    string
	// Zone is the availability zone of the runner.
	Zone   string
	Ending pool.Ending
	// SlotTime is how long the attempt occupied its slot on the runner.
	SlotTime     time.Duration
	Tokens       int
	CachedTokens int
}

// StoreCall describes a completed call to the platform's store.
type StoreCall struct {
	// Call is the kind of the call, such as get, put, watch or keepalive.
	Call string
	// Failed is true if no response was received. A response that reports a
	// failed comparison is not a failure.
	Failed bool
	Took   time.Duration
}

// New returns metrics with no series.
func New() Metrics {
	m := &registry{set: metrics.NewSet()}
	m.requests = newSeriesTable(m.newRequestSeries)
	m.refusals = newSeriesTable(m.newRefusalSeries)
	m.attempts = newSeriesTable(m.newAttemptSeries)
	m.dropped = newSeriesTable(m.newDroppedSeries)
	m.replayed = newSeriesTable(m.newReplayedSeries)
	m.store = newSeriesTable(m.newStoreSeries)
	return m
}

// registry implements Metrics.
type registry struct {
	set      *metrics.Set
	requests *seriesTable[requestKey, *requestSeries]
	refusals *seriesTable[refusalKey, *metrics.Counter]
	attempts *seriesTable[attemptKey, *attemptSeries]
	dropped  *seriesTable[string, *metrics.Counter]
	replayed *seriesTable[string, *metrics.Counter]
	store    *seriesTable[storeKey, *storeSeries]
}

// RegisterGauge registers a gauge.
func (m *registry) RegisterGauge(name string, f func() float64) { m.set.NewGauge(name, f) }

// RegisterPools registers gauges that sum over runners.
func (m *registry) RegisterPools(f func() []pool.Status) {
	m.set.RegisterMetricsWriter(func(w io.Writer) { writePools(w, f()) })
}

// WritePrometheus writes all metrics.
func (m *registry) WritePrometheus(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Handler returns the handler of /metrics.
func (m *registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		m.WritePrometheus(w)
	})
}
