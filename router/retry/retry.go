// Package retry decides whether an idempotent stage may be retried or hedged. Both
// use one token bucket for each service, which is refilled by a share of the
// service's recorded successes, so that a failing service doesn't get more load.
package retry

import (
	"sync"
	"sync/atomic"
	"time"
)

// Budget is a retry budget for each service.
type Budget interface {
	// Allow takes one further attempt from the service's budget and reports
	// whether there was one.
	Allow(service string) bool
	// Success records a stage of the service that succeeded, which adds a share of an
	// attempt to the service's budget.
	Success(service string)
	// HedgeAfter returns the hedge delay of a stage, after which a second,
	// concurrent attempt makes sense, and false while it isn't known. The second
	// attempt needs Allow too.
	HedgeAfter(pipelineID string, stage int) (time.Duration, bool)
}

// Latencies provides the measured latency of stages.
type Latencies interface {
	// Percentiles returns the median and the 95th percentile of a stage's latency, and
	// false while there are too few samples.
	Percentiles(pipelineID string, stage int) (median, high time.Duration, ok bool)
}

// Defaults of the options.
const (
	defaultShare = 0.1
	// defaultBurst is the maximum number of attempts in a budget, which is also
	// what it starts with.
	defaultBurst = 10
	// unitsPerAttempt is the number of budget units in one attempt: budgets count
	// thousandths of an attempt.
	unitsPerAttempt = 1000
)

// Option changes a default of New.
type Option func(*budget)

// WithShare sets the number of attempts that each success adds.
func WithShare(share float64) Option {
	return func(b *budget) { b.perSuccess = int64(share * unitsPerAttempt) }
}

// WithBurst sets the maximum number of attempts in a budget.
func WithBurst(n int) Option {
	return func(b *budget) { b.burst = int64(n) * unitsPerAttempt }
}

// WithBurstFunc sets a function that returns the maximum number of attempts in a
// budget, for a maximum that changes. Budgets start empty then.
func WithBurstFunc(f func() int) Option {
	return func(b *budget) { b.burst, b.burstFunc = 0, f }
}

// New returns a Budget whose hedge delays come from latencies.
func New(latencies Latencies, options ...Option) Budget {
	b := &budget{
		latencies:  latencies,
		perSuccess: int64(defaultShare * unitsPerAttempt),
		burst:      defaultBurst * unitsPerAttempt,
	}
	for _, o := range options {
		o(b)
	}
	b.services.Store(&map[string]*atomic.Int64{})
	return b
}

type budget struct {
	latencies Latencies
	// perSuccess and burst are in thousandths of an attempt.
	perSuccess int64
	burst      int64
	// burstFunc replaces burst if it isn't nil.
	burstFunc func() int
	// mu is held to add a service; readers only load services.
	mu       sync.Mutex
	services atomic.Pointer[map[string]*atomic.Int64]
}

func (b *budget) Allow(service string) bool {
	tokens := b.tokens(service)
	for {
		have := tokens.Load()
		if have < unitsPerAttempt {
			return false
		}
		if tokens.CompareAndSwap(have, have-unitsPerAttempt) {
			return true
		}
	}
}

func (b *budget) Success(service string) {
	tokens := b.tokens(service)
	for {
		have := tokens.Load()
		next := max(have, min(have+b.perSuccess, b.limit()))
		if next == have || tokens.CompareAndSwap(have, next) {
			return
		}
	}
}

// limit returns the maximum of a budget, in thousandths of an attempt.
func (b *budget) limit() int64 {
	if b.burstFunc != nil {
		return int64(b.burstFunc()) * unitsPerAttempt
	}
	return b.burst
}

func (b *budget) HedgeAfter(pipelineID string, stage int) (time.Duration, bool) {
	_, high, ok := b.latencies.Percentiles(pipelineID, stage)
	return high, ok
}

func (b *budget) tokens(service string) *atomic.Int64 {
	if t := (*b.services.Load())[service]; t != nil {
		return t
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.services.Load()
	if t := old[service]; t != nil {
		return t
	}
	next := make(map[string]*atomic.Int64, len(old)+1)
	for k, t := range old {
		next[k] = t
	}
	t := &atomic.Int64{}
	t.Store(b.burst)
	next[service] = t
	b.services.Store(&next)
	return t
}
