package relay

import (
	"context"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"golang.org/x/sync/singleflight"
)

// refreshEvery is the least pause between two readings, so that callers without
// a valid key or route can't make the store work.
const refreshEvery = 200 * time.Millisecond

// shared makes one call for all that ask at a time, and not too often.
type shared struct {
	clk   clock.Clock
	group singleflight.Group

	mu   sync.Mutex
	last time.Time
	err  error
}

// Do makes the call unless it was made just now, and returns its error.
func (s *shared) Do(ctx context.Context, call func(context.Context) error) error {
	_, err, _ := s.group.Do("", func() (any, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if now := s.clk.Now(); now.Sub(s.last) >= refreshEvery {
			s.last = now
			s.err = call(ctx)
		}
		return nil, s.err
	})
	return err
}
