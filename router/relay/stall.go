package relay

import (
	"context"
	"errors"
	"sync"
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
	// minStallTimeout is the lower bound of both times. Sound runners may pause for a
	// second or so, and callers wait two seconds for an event.
	minStallTimeout = 1500 * time.Millisecond
)

// errStalled is the cause of the cancellation of an attempt without progress.
var errStalled = errors.New("the runner is silent")

// stallWatch is a watchdog that cancels an attempt without progress once the call
// can continue at another runner. Until then the attempt goes on.
type stallWatch struct {
	timers clock.Timers
	cancel context.CancelCauseFunc
	// prepare reports whether the call can continue at another runner, and reserves
	// what that takes. It isn't called concurrently.
	prepare func(ctx context.Context) bool
	ctx     context.Context
	// group tracks the running check.
	group sync.WaitGroup

	mu sync.Mutex
	// timeout is how long the attempt may currently go without progress.
	timeout   time.Duration
	stopTimer func() bool
	// steps counts the progress, so that a check can tell whether there was any
	// meanwhile.
	steps   int
	stopped bool
}

// watch returns the context of one attempt, which ends when the attempt stalls and
// prepare succeeds. Without prepare it doesn't stall.
func (x *relay) watch(parent context.Context, timeout time.Duration, prepare func(context.Context) bool) *stallWatch {
	ctx, cancel := context.WithCancelCause(parent)
	w := &stallWatch{timers: x.Timers, ctx: ctx, cancel: cancel, prepare: prepare, timeout: timeout}
	if prepare != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.arm()
	}
	return w
}

// firstEventTimeout returns how long a stream may take until its first event before
// it is sent to another runner, eventTimeout how long between two events.
func firstEventTimeout(p *callPlan) time.Duration {
	return max(firstStallFactor*p.route.Objective, 2*placement.FirstEventTime(p.call.Prompt), minStallTimeout)
}

func eventTimeout(p *callPlan) time.Duration {
	return max(stallFactor*p.route.GapObjective, minStallTimeout)
}

// arm starts the timer. The caller holds mu.
func (w *stallWatch) arm() {
	steps := w.steps
	w.stopTimer = w.timers.AfterFunc(w.timeout, func() { w.expired(steps) })
}

// expired checks whether the call can continue elsewhere, and cancels the attempt if
// there was no progress meanwhile.
func (w *stallWatch) expired(steps int) {
	w.mu.Lock()
	if w.stopped || w.steps != steps {
		w.mu.Unlock()
		return
	}
	w.group.Add(1)
	w.mu.Unlock()
	defer w.group.Done()
	ready := w.prepare(w.ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped || w.steps != steps:
	case ready:
		w.cancel(errStalled)
	default:
		w.arm()
	}
}

// progress restarts the timer with a new timeout.
func (w *stallWatch) progress(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.prepare == nil || w.stopped {
		return
	}
	w.stopTimer()
	w.steps++
	w.timeout = timeout
	w.arm()
}

// disarm stops the timer. A running check has no effect any more.
func (w *stallWatch) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.steps++
	if w.stopTimer != nil {
		w.stopTimer()
	}
}

// stop ends the context of the attempt and waits for a running check.
func (w *stallWatch) stop() {
	w.mu.Lock()
	w.stopped = true
	if w.stopTimer != nil {
		w.stopTimer()
	}
	w.mu.Unlock()
	w.cancel(nil)
	w.group.Wait()
}
