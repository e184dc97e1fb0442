package journal

import (
	"sync/atomic"
	"time"
)

// bucket is a lock-free token bucket. Its only state is the time at which the
// bucket will be full again, kept in one atomic word.
type bucket struct {
	// interval is the time in which one token is refilled.
	interval time.Duration
	// capacity is the time in which an empty bucket refills completely.
	capacity time.Duration
	// fullAt is the time at which the bucket is full, in Unix nanoseconds.
	fullAt atomic.Int64
}

func newBucket(perSecond, burst int) *bucket {
	interval := time.Second / time.Duration(perSecond)
	return &bucket{interval: interval, capacity: interval * time.Duration(burst)}
}

// take removes one token and reports whether one was available.
func (b *bucket) take(now time.Time) bool {
	nowNanos := now.UnixNano()
	for {
		old := b.fullAt.Load()
		next := max(old, nowNanos) + int64(b.interval)
		if next > nowNanos+int64(b.capacity) {
			return false
		}
		if b.fullAt.CompareAndSwap(old, next) {
			return true
		}
	}
}
