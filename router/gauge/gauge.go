// Package gauge holds the metrics of one instance, in the Prometheus text
// format.
//
// Labels are bounded: tiers, pipelines, stages, services, availability zones,
// error kinds and kinds of calls, all of which come from the bundle or from a
// closed list. There is no label for a team, a runner or a request: 41,000
// teams by 17 pipelines would be 700,000 series on each of 450 instances, and
// 1,500 runners seen by each instance would be 675,000 for every gauge. The
// journal explains a single request, and the operators' interface shows a
// single runner.
package gauge

import (
	"io"
	"net/http"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/pool"
	"github.com/VictoriaMetrics/metrics"
)

// Metrics takes in what happened and writes it out. All methods may be called
// from any goroutine; those that count take no lock once a label is known.
type Metrics interface {
	// Finished counts a request that was admitted, once, at its end.
	Finished(r Request)
	// Refused counts an answer with an error.
	Refused(kind fault.Kind, outcome fault.Outcome)
	// Attempted counts an attempt of a stage at its end.
	Attempted(a Attempt)
	// Dropped counts an answer of a runner of this service that carried the
	// identifier of another attempt.
	Dropped(service string)
	// Replayed counts an answer that an earlier call had produced.
	Replayed(pipeline string)
	// StoreCalled counts a call to the platform's store.
	StoreCalled(c StoreCall)
	// Watch writes the value of f under name at each scrape. The name may
	// hold labels and starts with "cicadawell_".
	Watch(name string, f func() float64)
	// WatchPools writes sums by service and availability zone of the rows
	// that f returns, at each scrape.
	WatchPools(f func() []pool.Status)
	// WritePrometheus writes all metrics, and those of the process.
	WritePrometheus(w io.Writer)
	// Handler returns the handler of /metrics.
	Handler() http.Handler
}

// Attainment says how a request stood to its deadline.
type Attainment string

// The ways in which a request stands to its deadline at its end.
const (
	// Met is a whole answer before the deadline.
	Met Attainment = "met"
	// Missed is a whole answer after it, or none because it passed.
	Missed Attainment = "missed"
	// Unserved is any other request without a whole answer.
	Unserved Attainment = "unserved"
)

// Request is a request at its end.
type Request struct {
	Tier     string
	Pipeline string
	// Zone is that of the instance that took the request in.
	Zone       string
	Attainment Attainment
	Took       time.Duration
	// FirstToken is zero for an answer that was not streamed.
	FirstToken time.Duration
	// Spent is the runner time of all attempts of the request.
	Spent time.Duration
}

// Attempt is an attempt of a stage at its end.
type Attempt struct {
	Pipeline string
	Stage    string
	// Zone is that of the runner.
	Zone   string
	Ending pool.Ending
	// Busy is how long the attempt held its place on the runner.
	Busy         time.Duration
	Tokens       int
	CachedTokens int
}

// StoreCall is a call to the platform's store.
type StoreCall struct {
	// Call is the kind of the call, such as get, put, watch or keepalive.
	Call string
	// Failed tells that no answer came; a failed comparison is an answer.
	Failed bool
	Took   time.Duration
}

// New returns metrics without any counts.
func New() Metrics {
	m := &registry{set: metrics.NewSet()}
	m.requests = newTable(m.newRequestSeries)
	m.refusals = newTable(m.newRefusalSeries)
	m.attempts = newTable(m.newAttemptSeries)
	m.dropped = newTable(m.newDroppedSeries)
	m.replayed = newTable(m.newReplayedSeries)
	m.store = newTable(m.newStoreSeries)
	return m
}

// registry is the Metrics that New returns.
type registry struct {
	set      *metrics.Set
	requests *table[requestKey, *requestSeries]
	refusals *table[refusalKey, *metrics.Counter]
	attempts *table[attemptKey, *attemptSeries]
	dropped  *table[string, *metrics.Counter]
	replayed *table[string, *metrics.Counter]
	store    *table[storeKey, *storeSeries]
}

// Watch registers a gauge.
func (m *registry) Watch(name string, f func() float64) { m.set.NewGauge(name, f) }

// WatchPools registers the sums over runners.
func (m *registry) WatchPools(f func() []pool.Status) {
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
