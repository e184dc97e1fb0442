package deadline

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bucketsPerDoubling is how many buckets each doubling of the duration
	// is divided into.
	bucketsPerDoubling = 8
	// bucketCount is the number of buckets. They cover durations from
	// minDuration up to an hour.
	bucketCount = 26 * bucketsPerDoubling
	minDuration = 64 * time.Microsecond
	// publishEvery is how many results arrive between two computations of
	// the quantiles.
	publishEvery = 16
)

// estimator estimates latency quantiles of one stage from the durations in the
// current and the previous window.
type estimator struct {
	// published holds the quantiles that readers use. They are replaced,
	// never modified.
	published atomic.Pointer[quantiles]
	mu        sync.Mutex
	current   histogram
	previous  histogram
	// lastResult and lastProbe are the times of the last result and of the
	// last admitted probe, in Unix nanoseconds.
	lastResult, lastProbe atomic.Int64
	// currentStart is the start of the current window.
	currentStart time.Time
	// unpublished is the number of results since the quantiles were last
	// computed.
	unpublished int
}

// histogram counts durations by bucket; n is the total.
type histogram struct {
	counts [bucketCount]uint32
	n      int
}

// quantiles holds latency quantiles. It is immutable.
type quantiles struct {
	median, p90, p95 time.Duration
	computedAt       time.Time
}

// fresh returns the published quantiles, or nil when they are older than window.
// Without this limit a stage that no longer runs would reject requests forever,
// because nothing would renew its measurements.
func (e *estimator) fresh(now time.Time, window time.Duration) *quantiles {
	q := e.published.Load()
	if q == nil || now.Sub(q.computedAt) > window {
		return nil
	}
	return q
}

// stale reports whether no result arrived within probeInterval.
func (e *estimator) stale(now time.Time) bool {
	return now.UnixNano()-e.lastResult.Load() > int64(probeInterval)
}

// allowProbe reports whether the last probe is more than probeInterval ago. Of
// concurrent callers only one gets true.
func (e *estimator) allowProbe(now time.Time) bool {
	last := e.lastProbe.Load()
	return now.UnixNano()-last > int64(probeInterval) && e.lastProbe.CompareAndSwap(last, now.UnixNano())
}

func (e *estimator) observe(now time.Time, took, window time.Duration) {
	e.lastResult.Store(now.UnixNano())
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.currentStart) > window {
		e.previous, e.current = e.current, histogram{}
		if now.Sub(e.currentStart) > 2*window {
			e.previous = histogram{}
		}
		e.currentStart = now
	}
	e.current.counts[bucketIndex(took)]++
	e.current.n++
	e.unpublished++
	n := e.current.n + e.previous.n
	if n < minSamples || (e.unpublished < publishEvery && n > publishEvery) {
		return
	}
	e.unpublished = 0
	e.published.Store(&quantiles{
		median:     e.quantile(0.50, n),
		p90:        e.quantile(0.90, n),
		p95:        e.quantile(0.95, n),
		computedAt: now,
	})
}

func (e *estimator) quantile(q float64, n int) time.Duration {
	rank := int(math.Ceil(q * float64(n)))
	cumulative := 0
	for i := range bucketCount {
		cumulative += int(e.current.counts[i] + e.previous.counts[i])
		if cumulative >= rank {
			return upperBound(i)
		}
	}
	return upperBound(bucketCount - 1)
}

func bucketIndex(d time.Duration) int {
	if d <= minDuration {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(d)/float64(minDuration)) * bucketsPerDoubling))
	return min(i, bucketCount-1)
}

func upperBound(i int) time.Duration {
	return time.Duration(float64(minDuration) * math.Exp2(float64(i)/bucketsPerDoubling))
}
