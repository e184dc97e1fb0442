package platform

import (
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
)

// bucket is a token bucket that holds at most the tokens of one second.
type bucket struct {
	clock clock.Clock
	// rate is in tokens per second; zero means no limit.
	rate float64

	mu        sync.Mutex
	tokens    float64
	updatedAt time.Time
}

func newBucket(clk clock.Clock, rate float64) *bucket {
	return &bucket{clock: clk, rate: rate, tokens: max(1, rate), updatedAt: clk.Now()}
}

// take takes a token and returns zero, or returns the time until the next token.
func (b *bucket) take() time.Duration {
	if b.rate == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.tokens = min(max(1, b.rate), b.tokens+now.Sub(b.updatedAt).Seconds()*b.rate)
	b.updatedAt = now
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	}
	b.tokens--
	return 0
}
