// Package deadline gives each stage of a request its part of the time that
// remains, from measured quantiles of the stages.
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

// Budgets plans the stages of requests.
type Budgets interface {
	// Plan returns when the result of the stage must be there, so that the
	// stages after it keep the time that they usually need. Its error has
	// the kind DeadlineShort when the rest of the pipeline can no longer
	// make the deadline. It takes no lock.
	Plan(pipeline bundle.Pipeline, stage int, now, deadline time.Time) (time.Time, error)
	// Observe records how long a runner took for a stage. The wait for a
	// place does not belong to it: a backlog that has gone must not keep
	// refusing requests. Callers take the waits ahead off the deadline.
	Observe(pipelineID string, stage int, took time.Duration)
	// Typical returns the stage's median and 95th percentile, and false
	// while too little is known.
	Typical(pipelineID string, stage int) (median, high time.Duration, ok bool)
}

// defaults of the options.
const (
	defaultWindow = 2 * time.Second
	// probeEvery is the time between two requests that a stage lets pass
	// against its measurements, so that new ones are made.
	probeEvery = 100 * time.Millisecond
	// defaultCaution is the part of the spread between median and 90th
	// percentile that must remain beyond the median for a stage to start.
	defaultCaution = 0.5
	// minSamples is how many results a window needs before it counts.
	minSamples = 8
)

// Option changes a default of New.
type Option func(*budgets)

// WithWindow sets how long a measurement counts: between one and two windows.
func WithWindow(d time.Duration) Option { return func(b *budgets) { b.window = d } }

// WithCaution sets how much of the spread must remain for a stage to start;
// zero starts what makes its deadline as often as not.
func WithCaution(c float64) Option { return func(b *budgets) { b.caution = c } }

// WithoutBudgets gives every stage the whole time that remains and refuses
// nothing. It serves comparisons.
func WithoutBudgets() Option { return func(b *budgets) { b.off = true } }

// New returns Budgets that read the time of measurements from clk.
func New(clk clock.Clock, options ...Option) Budgets {
	b := &budgets{clk: clk, window: defaultWindow, caution: defaultCaution}
	for _, o := range options {
		o(b)
	}
	b.stages.Store(&map[stageKey]*estimate{})
	return b
}

type stageKey struct {
	pipeline string
	stage    int
}

type budgets struct {
	clk     clock.Clock
	window  time.Duration
	caution float64
	off     bool
	// mu is held to add a stage; readers use stages alone.
	mu     sync.Mutex
	stages atomic.Pointer[map[stageKey]*estimate]
}

func (b *budgets) Plan(
	pipeline bundle.Pipeline, stage int, now, deadline time.Time,
) (time.Time, error) {
	if b.off {
		return deadline, nil
	}
	remaining := deadline.Sub(now)
	own, ownSpread := b.typical(pipeline.ID, stage, now)
	ahead, aheadSpread := b.ahead(pipeline, stage+1, now)
	spread := math.Hypot(ownSpread, aheadSpread)
	need := own + ahead + b.caution*spread
	if remaining <= 0 || (float64(remaining) < need && !b.probe(pipeline, stage, now)) {
		return time.Time{}, fault.New(fault.DeadlineShort,
			"%v remain, stages from %d on need %v",
			remaining, stage, time.Duration(need)).WithOutcome(fault.NotRun)
	}
	reserve := ahead + aheadSpread
	if least := own + b.caution*ownSpread; float64(remaining)-reserve < least {
		reserve = float64(remaining) * ahead / (own + ahead + 1)
	}
	return deadline.Add(-time.Duration(reserve)), nil
}

// probe reports whether the request may pass although it seems too late: the
// stages have not been measured lately.
func (b *budgets) probe(pipeline bundle.Pipeline, stage int, now time.Time) bool {
	stages := *b.stages.Load()
	for i := stage; i < len(pipeline.Stages); i++ {
		if e := stages[stageKey{pipeline.ID, i}]; e != nil && !e.stale(now) {
			return false
		}
	}
	e := stages[stageKey{pipeline.ID, stage}]
	return e == nil || e.probe(now)
}

// ahead returns the sum of the medians of the stages from first on, and the
// spread of that sum, taking the stages as independent.
func (b *budgets) ahead(pipeline bundle.Pipeline, first int, now time.Time) (sum, spread float64) {
	for i := first; i < len(pipeline.Stages); i++ {
		m, s := b.typical(pipeline.ID, i, now)
		sum += m
		spread += s * s
	}
	return sum, math.Sqrt(spread)
}

func (b *budgets) typical(pipelineID string, stage int, now time.Time) (median, spread float64) {
	e := (*b.stages.Load())[stageKey{pipelineID, stage}]
	if e == nil {
		return 0, 0
	}
	q := e.quantiles(now, b.window)
	if q == nil {
		return 0, 0
	}
	return float64(q.median), float64(q.p90 - q.median)
}

func (b *budgets) Typical(pipelineID string, stage int) (median, high time.Duration, ok bool) {
	e := (*b.stages.Load())[stageKey{pipelineID, stage}]
	if e == nil {
		return 0, 0, false
	}
	q := e.quantiles(b.clk.Now(), b.window)
	if q == nil {
		return 0, 0, false
	}
	return q.median, q.p95, true
}

func (b *budgets) Observe(pipelineID string, stage int, took time.Duration) {
	key := stageKey{pipelineID, stage}
	e := (*b.stages.Load())[key]
	if e == nil {
		e = b.add(key)
	}
	e.observe(b.clk.Now(), took, b.window)
}

func (b *budgets) add(key stageKey) *estimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.stages.Load()
	if e := old[key]; e != nil {
		return e
	}
	next := make(map[stageKey]*estimate, len(old)+1)
	for k, e := range old {
		next[k] = e
	}
	e := &estimate{}
	next[key] = e
	b.stages.Store(&next)
	return e
}
