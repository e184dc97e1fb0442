package journal

import (
	"sync/atomic"
	"time"
)

// bucket is a token bucket in one atomic word: it holds the time at which the
// bucket will be full again.
type bucket struct {
	// cost is the time that one token takes to come back.
	cost time.Duration
	// depth is the time that a full bucket takes to fill.
	depth time.Duration
	// fullAt is in nanoseconds of the Unix epoch.
	fullAt atomic.Int64
}

func newBucket(perSecond, burst int) *bucket {
	cost := time.Second / time.Duration(perSecond)
	return &bucket{cost: cost, depth: cost * time.Duration(burst)}
}

// take takes a token if there is one.
func (b *bucket) take(now time.Time) bool {
	at := now.UnixNano()
	for {
		old := b.fullAt.Load()
		next := max(old, at) + int64(b.cost)
		if next > at+int64(b.depth) {
			return false
		}
		if b.fullAt.CompareAndSwap(old, next) {
			return true
		}
	}
}
