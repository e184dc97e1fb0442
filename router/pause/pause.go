// Package pause detects that the process was suspended. The user of the package
// catches up on what the process missed and confirms the pause before it relies on
// its state again.
package pause

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
)

const (
	// maxGap is the longest time between two beats that doesn't count as a pause.
	maxGap = time.Second
	// beatInterval is the time between two beats.
	beatInterval = maxGap / 4
)

// Watch detects pauses of the process by the time between regular beats. The zero
// value has had no beat and counts as paused.
type Watch struct {
	// last is the time of the last beat.
	last atomic.Pointer[time.Time]
	// pauses counts the pauses. confirmed is the count up to which the process
	// has caught up on what it missed.
	pauses, confirmed atomic.Uint64
}

// Beat records that the process runs, and reports whether it was paused since the
// last beat.
func (w *Watch) Beat(now time.Time) (paused bool) {
	if last := w.last.Load(); last != nil && elapsed(*last, now) > maxGap {
		w.pauses.Add(1)
		paused = true
	}
	w.last.Store(&now)
	return paused
}

// Paused reports whether the process was paused and the pause isn't confirmed yet.
// It also detects a pause before the beat that records it. It never blocks.
func (w *Watch) Paused(now time.Time) bool {
	last := w.last.Load()
	return last == nil || elapsed(*last, now) > maxGap || w.confirmed.Load() != w.pauses.Load()
}

// Count returns the number of pauses. Read it before catching up and pass it to
// Confirm, so that a pause in between remains unconfirmed.
func (w *Watch) Count() uint64 { return w.pauses.Load() }

// Confirm records that the process has caught up on everything it missed up to the
// given pause count.
func (w *Watch) Confirm(count uint64) { w.confirmed.Store(count) }

// elapsed returns the time between two readings by the monotonic clock or by the
// wall clock, whichever is longer: the monotonic clock may stop while the machine
// is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Run beats regularly until ctx ends. While a pause is unconfirmed, it sends to
// unconfirmed at each beat unless that would block.
func (w *Watch) Run(ctx context.Context, c clock.Clock, unconfirmed chan<- struct{}) {
	for c.Sleep(ctx, beatInterval) == nil {
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

// RunDuring beats, as Run does, while f runs, and returns the error of f.
func (w *Watch) RunDuring(ctx context.Context, c clock.Clock, unconfirmed chan<- struct{}, f func() error) error {
	running, stop := context.WithCancel(ctx)
	w.Beat(c.Now())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(running, c, unconfirmed) })
	defer wg.Wait()
	defer stop()
	return f()
}

// ConfirmPauses handles the signals that Run sends to unconfirmed, until ctx ends.
// At each signal it calls confirm, and if confirm succeeds, the pauses counted before
// the call are confirmed. since is the time of the first attempt to confirm the
// latest pause.
func (w *Watch) ConfirmPauses(ctx context.Context, c clock.Clock, unconfirmed <-chan struct{}, confirm func(since time.Time) error) {
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
