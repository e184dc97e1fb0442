package roll

import (
	"context"
	"sync/atomic"
	"time"
)

// pauseWatch notices that the process stood still.
type pauseWatch struct {
	// limit is set before the first beat.
	limit time.Duration
	// last is when the process was last seen to run.
	last atomic.Pointer[time.Time]
	// pauses counts the pauses; confirmed is the count up to which this
	// instance knows what it missed.
	pauses, confirmed atomic.Uint64
}

// beat notes that the process runs, and reports whether it was paused.
func (w *pauseWatch) beat(now time.Time) (paused bool) {
	if last := w.last.Load(); last != nil && gap(*last, now) > w.limit {
		w.pauses.Add(1)
		paused = true
	}
	w.last.Store(&now)
	return paused
}

// paused reports whether the process was paused and does not know yet what it
// missed.
func (w *pauseWatch) paused(now time.Time) bool {
	last := w.last.Load()
	return last == nil || gap(*last, now) > w.limit || w.confirmed.Load() != w.pauses.Load()
}

// gap returns the time that passed by the monotonic clock or by the wall
// clock, whichever shows more: the monotonic clock may stop with the machine.
func gap(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// beatsPerLimit is how often the process is seen to run within the limit.
const beatsPerLimit = 4

// watchPauses asks after each pause what this instance missed.
func (n *node) watchPauses(ctx context.Context) error {
	for n.clock.Sleep(ctx, n.cfg.pauseLimit/beatsPerLimit) == nil {
		if n.watch.beat(n.clock.Now()) {
			n.log.Warn("the process was paused")
		}
		if n.watch.confirmed.Load() != n.watch.pauses.Load() {
			n.wakeConfirm()
		}
	}
	return nil
}

func (n *node) wakeConfirm() {
	select {
	case n.resumed <- struct{}{}:
	default:
	}
}

// confirmPauses learns after a pause what was decided in the meantime.
func (n *node) confirmPauses(ctx context.Context) error {
	var tried uint64
	var since time.Time
	for {
		select {
		case <-n.resumed:
		case <-ctx.Done():
			return nil
		}
		count := n.watch.pauses.Load()
		if count != tried {
			tried, since = count, n.clock.Now()
		}
		if err := n.confirm(ctx, n.cfg.joinPatience-n.clock.Now().Sub(since)); err == nil {
			n.watch.confirmed.Store(count)
		}
	}
}
