// Package retry decides whether an idempotent stage may be tried again or
// hedged. Both draw on one budget for each service, a share of its recent
// successes, so that a failing service does not get more load.
package retry

import (
	"sync"
	"sync/atomic"
	"time"
)

// Budget decides on further attempts.
type Budget interface {
	// Allow takes one further attempt out of the service's budget and
	// reports whether there was one.
	Allow(service string) bool
	// Success records a stage of the service that succeeded.
	Success(service string)
	// HedgeAfter returns how long a stage runs before a second attempt
	// beside it makes sense, and false while that is not known. The second
	// attempt needs Allow too.
	HedgeAfter(pipelineID string, stage int) (time.Duration, bool)
}

// Latencies tells how long stages usually take.
type Latencies interface {
	// Typical returns the median and the 95th percentile of a stage, and
	// false while too little is known.
	Typical(pipelineID string, stage int) (median, high time.Duration, ok bool)
}

// Defaults of the options.
const (
	defaultShare = 0.1
	// defaultBurst is how many attempts a budget holds at most, and how
	// many it starts with.
	defaultBurst = 10
	// milli is the unit of a budget: thousandths of an attempt.
	milli = 1000
)

// Option changes a default of New.
type Option func(*budget)

// WithShare sets the attempts that each success adds.
func WithShare(share float64) Option {
	return func(b *budget) { b.perSuccess = int64(share * milli) }
}

// WithBurst sets how many attempts a budget holds at most.
func WithBurst(n int) Option {
	return func(b *budget) { b.burst = int64(n) * milli }
}

// WithBurstOf sets what tells how many attempts a budget holds at most, where
// that changes. Budgets start empty then.
func WithBurstOf(f func() int) Option {
	return func(b *budget) { b.burst, b.burstOf = 0, f }
}

// New returns a Budget that takes hedge delays from latencies.
func New(latencies Latencies, options ...Option) Budget {
	b := &budget{
		latencies:  latencies,
		perSuccess: int64(defaultShare * milli),
		burst:      defaultBurst * milli,
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
	// burstOf replaces burst where it isn't nil.
	burstOf func() int
	// mu is held to add a service; readers use services alone.
	mu       sync.Mutex
	services atomic.Pointer[map[string]*atomic.Int64]
}

func (b *budget) Allow(service string) bool {
	tokens := b.tokens(service)
	for {
		have := tokens.Load()
		if have < milli {
			return false
		}
		if tokens.CompareAndSwap(have, have-milli) {
			return true
		}
	}
}

func (b *budget) Success(service string) {
	tokens := b.tokens(service)
	for {
		have := tokens.Load()
		next := max(have, min(have+b.perSuccess, b.most()))
		if next == have || tokens.CompareAndSwap(have, next) {
			return
		}
	}
}

// most returns how much a budget holds at most.
func (b *budget) most() int64 {
	if b.burstOf != nil {
		return int64(b.burstOf()) * milli
	}
	return b.burst
}

func (b *budget) HedgeAfter(pipelineID string, stage int) (time.Duration, bool) {
	_, high, ok := b.latencies.Typical(pipelineID, stage)
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
