// Package pause notices that the process stood still, so that what it missed
// is learned before it acts again.
package pause

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
)

const (
	// limit is how long the process may stand still without asking what it
	// missed.
	limit = time.Second
	// period is the time between two looks at the clock.
	period = limit / 4
)

// Watch notices pauses of the process. The zero value has seen no beat and
// counts as paused.
type Watch struct {
	// last is when the process was last seen to run.
	last atomic.Pointer[time.Time]
	// pauses counts the pauses; confirmed is the count up to which it is
	// known what was missed.
	pauses, confirmed atomic.Uint64
}

// Beat notes that the process runs, and reports whether it was paused.
func (w *Watch) Beat(now time.Time) (paused bool) {
	if last := w.last.Load(); last != nil && gap(*last, now) > limit {
		w.pauses.Add(1)
		paused = true
	}
	w.last.Store(&now)
	return paused
}

// Paused reports whether the process was paused and does not know yet what it
// missed. It never blocks.
func (w *Watch) Paused(now time.Time) bool {
	last := w.last.Load()
	return last == nil || gap(*last, now) > limit || w.confirmed.Load() != w.pauses.Load()
}

// Count returns the number of pauses; it is read before a confirmation begins.
func (w *Watch) Count() uint64 { return w.pauses.Load() }

// Confirm notes that all is known that was missed up to the pause count.
func (w *Watch) Confirm(count uint64) { w.confirmed.Store(count) }

// gap returns the time that passed by the monotonic clock or by the wall
// clock, whichever shows more: the monotonic clock may stop with the machine.
func gap(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Run looks at the clock until ctx ends, and sends to unconfirmed while there
// is a pause to confirm.
func (w *Watch) Run(ctx context.Context, c clock.Clock, unconfirmed chan<- struct{}) {
	for c.Sleep(ctx, period) == nil {
		w.Beat(c.Now())
		if w.confirmed.Load() == w.pauses.Load() {
			continue
		}
		select {
		case unconfirmed <- struct{}{}:
		default:
		}
	}
}

// During looks at the clock while f runs.
func (w *Watch) During(ctx context.Context, c clock.Clock, unconfirmed chan<- struct{}, f func() error) error {
	running, stop := context.WithCancel(ctx)
	w.Beat(c.Now())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(running, c, unconfirmed) })
	defer wg.Wait()
	defer stop()
	return f()
}

// ConfirmAll calls confirm for each pause until it succeeds. since is when the
// first try for the latest pause began.
func (w *Watch) ConfirmAll(ctx context.Context, c clock.Clock, unconfirmed <-chan struct{}, confirm func(since time.Time) error) {
	var tried uint64
	var since time.Time
	for {
		select {
		case <-unconfirmed:
		case <-ctx.Done():
			return
		}
		count := w.Count()
		if count != tried {
			tried, since = count, c.Now()
		}
		if confirm(since) == nil {
			w.Confirm(count)
		}
	}
}
