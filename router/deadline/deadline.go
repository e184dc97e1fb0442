// Package deadline divides the remaining time of a request among its stages,
// based on measured latency quantiles of the stages.
package deadline

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
)

// Budgets sets the deadlines of the stages of requests.
type Budgets interface {
	// Plan returns the time by which the stage must have its result so that
	// the stages after it have the time that they usually need. It fails
	// with the kind DeadlineTooShort when the stage and those after it are
	// unlikely to meet the deadline. It takes no lock.
	Plan(pipeline bundle.Pipeline, stage int, now, deadline time.Time) (time.Time, error)
	// Observe records how long a runner took for a stage. Queueing time must
	// not be included: otherwise requests would still be rejected after a
	// backlog has cleared. Callers of Plan subtract expected queueing times
	// from the deadline.
	Observe(pipelineID string, stage int, took time.Duration)
	// Percentiles returns the median and the 95th percentile of the stage's
	// latency; ok is false while there are too few recent samples.
	Percentiles(pipelineID string, stage int) (median, high time.Duration, ok bool)
}

// Defaults of the options.
const (
	defaultWindow = 2 * time.Second
	// probeInterval is the minimum time between two probes of a stage. A
	// probe is a request that is admitted although the measured latencies
	// are too long for its deadline, so that the latencies are measured anew.
	probeInterval = 100 * time.Millisecond
	// defaultSpreadFactor is the fraction of the spread (90th percentile
	// minus median) that must remain in addition to the median for a stage
	// to start.
	defaultSpreadFactor = 0.5
	// minSamples is how many results both windows need together before
	// quantiles are computed.
	minSamples = 8
)

// Option changes a default of New.
type Option func(*budgets)

// WithWindow sets the length of the measurement window. A measurement counts for
// between one and two windows.
func WithWindow(d time.Duration) Option { return func(b *budgets) { b.window = d } }

// WithSpreadFactor sets the fraction of the spread that must remain in addition
// to the median for a stage to start. With zero, stages start that have an even
// chance of meeting their deadline.
func WithSpreadFactor(f float64) Option { return func(b *budgets) { b.spreadFactor = f } }

// WithoutBudgets gives every stage all of the remaining time and rejects no
// request. It is a baseline for comparisons.
func WithoutBudgets() Option { return func(b *budgets) { b.disabled = true } }

// New returns Budgets that take the time of each measurement from clk.
func New(clk clock.Clock, options ...Option) Budgets {
	b := &budgets{clk: clk, window: defaultWindow, spreadFactor: defaultSpreadFactor}
	for _, o := range options {
		o(b)
	}
	b.stages.Store(&map[stageKey]*estimator{})
	return b
}

type stageKey struct {
	pipeline string
	stage    int
}

type budgets struct {
	clk          clock.Clock
	window       time.Duration
	spreadFactor float64
	disabled     bool
	// mu serializes additions to stages, which replace the map. Readers load
	// stages without the lock.
	mu     sync.Mutex
	stages atomic.Pointer[map[stageKey]*estimator]
}

func (b *budgets) Plan(
	pipeline bundle.Pipeline, stage int, now, deadline time.Time,
) (time.Time, error) {
	if b.disabled {
		return deadline, nil
	}
	remaining := deadline.Sub(now)
	own, ownSpread := b.stageLatency(pipeline.ID, stage, now)
	later, laterSpread := b.laterStages(pipeline, stage+1, now)
	spread := math.Hypot(ownSpread, laterSpread)
	need := own + later + b.spreadFactor*spread
	if remaining <= 0 || (float64(remaining) < need && !b.allowProbe(pipeline, stage, now)) {
		return time.Time{}, fault.New(fault.DeadlineTooShort,
			"%v remain, stages from %d on need %v",
			remaining, stage, time.Duration(need)).WithOutcome(fault.NotRun)
	}
	reserved := later + laterSpread
	if required := own + b.spreadFactor*ownSpread; float64(remaining)-reserved < required {
		reserved = float64(remaining) * later / (own + later + 1)
	}
	return deadline.Add(-time.Duration(reserved)), nil
}

// allowProbe reports whether a request that seems too late may start as a probe.
// That is so when neither the stage nor any after it was measured within
// probeInterval, and the last probe of the stage is as long ago.
func (b *budgets) allowProbe(pipeline bundle.Pipeline, stage int, now time.Time) bool {
	stages := *b.stages.Load()
	for i := stage; i < len(pipeline.Stages); i++ {
		if e := stages[stageKey{pipeline.ID, i}]; e != nil && !e.stale(now) {
			return false
		}
	}
	e := stages[stageKey{pipeline.ID, stage}]
	return e == nil || e.allowProbe(now)
}

// laterStages returns the sum of the median latencies of the stages from first
// on, and the spread of that sum under the assumption that the stages are
// independent. Both are in nanoseconds.
func (b *budgets) laterStages(pipeline bundle.Pipeline, first int, now time.Time) (sum, spread float64) {
	for i := first; i < len(pipeline.Stages); i++ {
		m, s := b.stageLatency(pipeline.ID, i, now)
		sum += m
		spread += s * s
	}
	return sum, math.Sqrt(spread)
}

// stageLatency returns the median latency of a stage and its spread (90th
// percentile minus median) in nanoseconds, or zeros without fresh measurements.
func (b *budgets) stageLatency(pipelineID string, stage int, now time.Time) (median, spread float64) {
	e := (*b.stages.Load())[stageKey{pipelineID, stage}]
	if e == nil {
		return 0, 0
	}
	q := e.fresh(now, b.window)
	if q == nil {
		return 0, 0
	}
	return float64(q.median), float64(q.p90 - q.median)
}

func (b *budgets) Percentiles(pipelineID string, stage int) (median, high time.Duration, ok bool) {
	e := (*b.stages.Load())[stageKey{pipelineID, stage}]
	if e == nil {
		return 0, 0, false
	}
	q := e.fresh(b.clk.Now(), b.window)
	if q == nil {
		return 0, 0, false
	}
	return q.median, q.p95, true
}

func (b *budgets) Observe(pipelineID string, stage int, took time.Duration) {
	key := stageKey{pipelineID, stage}
	e := (*b.stages.Load())[key]
	if e == nil {
		e = b.addStage(key)
	}
	e.observe(b.clk.Now(), took, b.window)
}

// addStage returns the estimator of a stage. If there is none, it adds one to a
// copy of the map.
func (b *budgets) addStage(key stageKey) *estimator {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.stages.Load()
	if e := old[key]; e != nil {
		return e
	}
	next := make(map[stageKey]*estimator, len(old)+1)
	for k, e := range old {
		next[k] = e
	}
	e := &estimator{}
	next[key] = e
	b.stages.Store(&next)
	return e
}
