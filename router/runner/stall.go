package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
)

// stallWatchdog calls onStall once if a whole period passes without progress.
type stallWatchdog struct {
	progressCount atomic.Int64
	cancel        context.CancelFunc
	done          sync.WaitGroup
}

func newStallWatchdog(clk clock.Clock, period time.Duration, onStall func()) *stallWatchdog {
	ctx, cancel := context.WithCancel(context.Background())
	w := &stallWatchdog{cancel: cancel}
	w.done.Go(func() { w.run(ctx, clk, period, onStall) })
	return w
}

func (w *stallWatchdog) run(ctx context.Context, clk clock.Clock, period time.Duration, onStall func()) {
	last := int64(-1)
	for clk.Sleep(ctx, period) == nil {
		current := w.progressCount.Load()
		if current == last {
			onStall()
			return
		}
		last = current
	}
}

func (w *stallWatchdog) progress() { w.progressCount.Add(1) }

func (w *stallWatchdog) stop() {
	w.cancel()
	w.done.Wait()
}
