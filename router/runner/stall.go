package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
)

// stallWatch calls cut when no progress was reported for a whole period.
type stallWatch struct {
	seen   atomic.Int64
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newStallWatch(clk clock.Clock, period time.Duration, cut func()) *stallWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &stallWatch{cancel: cancel}
	w.done.Go(func() { w.run(ctx, clk, period, cut) })
	return w
}

func (w *stallWatch) run(ctx context.Context, clk clock.Clock, period time.Duration, cut func()) {
	last := int64(-1)
	for clk.Sleep(ctx, period) == nil {
		seen := w.seen.Load()
		if seen == last {
			cut()
			return
		}
		last = seen
	}
}

func (w *stallWatch) progress() { w.seen.Add(1) }

func (w *stallWatch) stop() {
	w.cancel()
	w.done.Wait()
}
