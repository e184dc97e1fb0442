package relay

import (
	"context"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"golang.org/x/sync/singleflight"
)

// minRefreshInterval is the minimum interval between two reads of the store, so
// that calls without a valid key or route can't load the store.
const minRefreshInterval = 200 * time.Millisecond

// sharedRefresh merges concurrent refreshes into one and limits their rate.
type sharedRefresh struct {
	clk   clock.Clock
	group singleflight.Group

	mu   sync.Mutex
	last time.Time
	err  error
}

// Do makes the call unless the last one began less than minRefreshInterval ago, and
// returns the error of the latest call. The call goes on when ctx ends, as others may wait
// for it and a repeated one would begin anew.
func (s *sharedRefresh) Do(ctx context.Context, call func(context.Context) error) error {
	result := s.group.DoChan("", func() (any, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if now := s.clk.Now(); now.Sub(s.last) >= minRefreshInterval {
			s.last = now
			s.err = call(context.WithoutCancel(ctx))
		}
		return nil, s.err
	})
	select {
	case r := <-result:
		return r.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}
