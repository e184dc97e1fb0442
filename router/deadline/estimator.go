package deadline

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stepsPerOctave divides each doubling of the duration into buckets.
	stepsPerOctave = 8
	// buckets cover 64 µs up to an hour.
	buckets  = 26 * stepsPerOctave
	smallest = 64 * time.Microsecond
	// refresh is how many results pass between two computations of the
	// quantiles.
	refresh = 16
)

// estimate holds the durations of one stage in two windows.
type estimate struct {
	// published is what readers see; it is replaced, never changed.
	published atomic.Pointer[quantiles]
	mu        sync.Mutex
	current   window
	previous  window
	// seen and probed are when the last result came and the last probe was
	// let pass, in Unix nanoseconds.
	seen, probed atomic.Int64
	// started is when current began.
	started time.Time
	pending int
}

type window struct {
	counts [buckets]uint32
	n      int
}

// quantiles are immutable.
type quantiles struct {
	median, p90, p95 time.Duration
	at               time.Time
}

// quantiles returns what is published, or nil when it is too old to count: a
// stage that nobody runs any more must not keep refusing requests.
func (e *estimate) quantiles(now time.Time, w time.Duration) *quantiles {
	q := e.published.Load()
	if q == nil || now.Sub(q.at) > w {
		return nil
	}
	return q
}

// stale reports whether no result came lately.
func (e *estimate) stale(now time.Time) bool {
	return now.UnixNano()-e.seen.Load() > int64(probeEvery)
}

// probe reports whether the time for a probe has come, to one caller.
func (e *estimate) probe(now time.Time) bool {
	last := e.probed.Load()
	return now.UnixNano()-last > int64(probeEvery) && e.probed.CompareAndSwap(last, now.UnixNano())
}

func (e *estimate) observe(now time.Time, took, w time.Duration) {
	e.seen.Store(now.UnixNano())
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.started) > w {
		e.previous, e.current = e.current, window{}
		if now.Sub(e.started) > 2*w {
			e.previous = window{}
		}
		e.started = now
	}
	e.current.counts[bucketOf(took)]++
	e.current.n++
	e.pending++
	n := e.current.n + e.previous.n
	if n < minSamples || (e.pending < refresh && n > refresh) {
		return
	}
	e.pending = 0
	e.published.Store(&quantiles{
		median: e.quantile(0.50, n),
		p90:    e.quantile(0.90, n),
		p95:    e.quantile(0.95, n),
		at:     now,
	})
}

func (e *estimate) quantile(q float64, n int) time.Duration {
	rank := int(math.Ceil(q * float64(n)))
	seen := 0
	for i := range buckets {
		seen += int(e.current.counts[i] + e.previous.counts[i])
		if seen >= rank {
			return upperBound(i)
		}
	}
	return upperBound(buckets - 1)
}

func bucketOf(d time.Duration) int {
	if d <= smallest {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(d)/float64(smallest)) * stepsPerOctave))
	return min(i, buckets-1)
}

func upperBound(i int) time.Duration {
	return time.Duration(float64(smallest) * math.Exp2(float64(i)/stepsPerOctave))
}
