package relay

import (
	"context"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/placement"
)

const (
	// stallShare is how many times its objective a stream may take to the first
	// event, or between two, until another runner is asked to go on.
	stallShare = 4
	// firstStallShare is the same for the first event.
	firstStallShare = 2
	// shortestStall is the least such time; preempted requests pause that long
	// and go on.
	shortestStall = time.Second
)

// stallWatch ends a stream that makes no progress.
type stallWatch struct {
	timers clock.Timers
	cancel context.CancelFunc
	// gap is the longest pause after the first event.
	gap time.Duration
	// stopTimer is nil for streams that can't go on elsewhere.
	stopTimer func() bool
}

// watchStream returns the context of one attempt at a stream. It ends when the
// stream makes no progress, if it may go on at another runner.
func (x *relay) watchStream(p *plan) (context.Context, *stallWatch) {
	ctx, cancel := context.WithCancel(p.ctx)
	w := &stallWatch{timers: x.Timers, cancel: cancel, gap: max(stallShare*p.route.GapObjective, shortestStall)}
	if x.Policy.MoveStalled && p.route.Resumable && p.route.MaxAttempts > 1 {
		first := max(firstStallShare*p.route.Objective, 2*placement.FirstEvent(p.call.Prompt), shortestStall)
		w.stopTimer = w.timers.AfterFunc(first, cancel)
	}
	return ctx, w
}

// event notes progress.
func (w *stallWatch) event() {
	if w.stopTimer != nil && w.stopTimer() {
		w.stopTimer = w.timers.AfterFunc(w.gap, w.cancel)
	}
}

func (w *stallWatch) stop() {
	if w.stopTimer != nil {
		w.stopTimer()
	}
	w.cancel()
}
