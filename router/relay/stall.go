package relay

import (
	"context"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/placement"
)

const (
	// stallFactor times the route's objective for the gap between events is how
	// long a stream may pause between two events before it is resumed at another
	// runner.
	stallFactor = 4
	// firstStallFactor times the route's objective is the same for the first event.
	firstStallFactor = 2
	// minStallTimeout is the lower bound of both times, as preempted requests
	// pause that long and then continue.
	minStallTimeout = time.Second
)

// stallWatch is a watchdog that cancels an attempt at a stream without progress.
type stallWatch struct {
	timers clock.Timers
	cancel context.CancelFunc
	// eventTimeout is the longest pause between two events.
	eventTimeout time.Duration
	// stopTimer is nil for streams that can't be resumed at another runner.
	stopTimer func() bool
}

// watchStream returns the context of one attempt at a stream. If the stream can be
// resumed at another runner, the context ends when the stream stalls.
func (x *relay) watchStream(p *callPlan) (context.Context, *stallWatch) {
	ctx, cancel := context.WithCancel(p.ctx)
	w := &stallWatch{timers: x.Timers, cancel: cancel, eventTimeout: max(stallFactor*p.route.GapObjective, minStallTimeout)}
	if x.Policy.ResumeStalled && p.route.Resumable && p.route.MaxAttempts > 1 {
		first := max(firstStallFactor*p.route.Objective, 2*placement.FirstEventTime(p.call.Prompt), minStallTimeout)
		w.stopTimer = w.timers.AfterFunc(first, cancel)
	}
	return ctx, w
}

// progress restarts the timer after an event.
func (w *stallWatch) progress() {
	if w.stopTimer != nil && w.stopTimer() {
		w.stopTimer = w.timers.AfterFunc(w.eventTimeout, w.cancel)
	}
}

func (w *stallWatch) stop() {
	if w.stopTimer != nil {
		w.stopTimer()
	}
	w.cancel()
}
