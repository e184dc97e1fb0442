// Package retry decides whether an idempotent stage may be retried or hedged. Both
// use one token bucket for each service, which is refilled by a share of the
// service's recorded successes, so that a failing service doesn't get more load.
package retry

import (
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
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

// WithRefill lets a budget also regain its maximum over a time, measured by a
// clock, without any success. Instances that get few calls may retry then, although
// their share of the successes is less than one attempt for a long time.
func WithRefill(clk clock.Clock, window time.Duration) Option {
	return func(b *budget) { b.clk, b.refillWindow = clk, window }
}

// WithBurstFunc sets a function that returns the maximum number of attempts in a
// budget, for a maximum that changes. Budgets start empty then.
func WithBurstFunc(f func() float64) Option {
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
	b.services.Store(&map[string]*bucket{})
	return b
}

type budget struct {
	latencies Latencies
	// perSuccess and burst are in thousandths of an attempt.
	perSuccess int64
	burst      int64
	// burstFunc replaces burst if it isn't nil.
	burstFunc func() float64
	// refillWindow is the time in which a budget regains its maximum by itself, or
	// zero if only successes add to it.
	clk          clock.Clock
	refillWindow time.Duration
	// mu is held to add a service; readers only load services.
	mu       sync.Mutex
	services atomic.Pointer[map[string]*bucket]
}

// bucket is the budget of one service.
type bucket struct {
	// tokens are in thousandths of an attempt.
	tokens atomic.Int64
	// refilledAt is when tokens were last added for the time that passed, in
	// nanoseconds.
	refilledAt atomic.Int64
}

func (b *budget) Allow(service string) bool {
	bk := b.bucket(service)
	b.refill(bk)
	tokens := &bk.tokens
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
	b.bucket(service).add(b.perSuccess, b.limit())
}

// add adds tokens up to a limit. A budget above the limit stays as it is.
func (bk *bucket) add(n, limit int64) {
	for {
		have := bk.tokens.Load()
		next := max(have, min(have+n, limit))
		if next == have || bk.tokens.CompareAndSwap(have, next) {
			return
		}
	}
}

// refill adds what the budget regained since it was last refilled.
func (b *budget) refill(bk *bucket) {
	if b.refillWindow == 0 {
		return
	}
	last, now := bk.refilledAt.Load(), b.clk.Now().UnixNano()
	elapsed := min(now-last, int64(b.refillWindow))
	limit := b.limit()
	gained := int64(float64(limit) * float64(elapsed) / float64(b.refillWindow))
	if gained > 0 && bk.refilledAt.CompareAndSwap(last, now) {
		bk.add(gained, limit)
	}
}

// limit returns the maximum of a budget, in thousandths of an attempt.
func (b *budget) limit() int64 {
	if b.burstFunc != nil {
		return int64(b.burstFunc() * unitsPerAttempt)
	}
	return b.burst
}

func (b *budget) HedgeAfter(pipelineID string, stage int) (time.Duration, bool) {
	_, high, ok := b.latencies.Percentiles(pipelineID, stage)
	return high, ok
}

func (b *budget) bucket(service string) *bucket {
	if bk := (*b.services.Load())[service]; bk != nil {
		return bk
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.services.Load()
	if bk := old[service]; bk != nil {
		return bk
	}
	next := make(map[string]*bucket, len(old)+1)
	for k, bk := range old {
		next[k] = bk
	}
	bk := &bucket{}
	bk.tokens.Store(b.burst)
	if b.clk != nil {
		bk.refilledAt.Store(b.clk.Now().UnixNano())
	}
	next[service] = bk
	b.services.Store(&next)
	return bk
}
