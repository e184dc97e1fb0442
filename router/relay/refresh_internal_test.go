package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"github.com/matryer/is"
)

// TestRefreshGoesOnAfterItsCallerStoppedWaiting guards against reads of a large
// configuration that are dropped with their caller and begin anew with the next one.
func TestRefreshGoesOnAfterItsCallerStoppedWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk := clock.System()
		s := sharedRefresh{clk: clk}
		var calls, completed atomic.Int64
		read := func(ctx context.Context) error {
			calls.Add(1)
			err := clk.Sleep(ctx, 500*time.Millisecond)
			if err == nil {
				completed.Add(1)
			}
			return err
		}
		start := clk.Now()
		for completed.Load() == 0 && clk.Now().Sub(start) < 3*time.Second {
			ctx, cancel := context.WithTimeout(t.Context(), refreshTimeout)
			_ = s.Do(ctx, read)
			cancel()
			_ = clk.Sleep(t.Context(), 10*time.Millisecond)
		}
		is.Equal(completed.Load(), int64(1))
		is.Equal(calls.Load(), int64(1))
	})
}
