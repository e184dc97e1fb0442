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

// takeover has a call go on at another runner in place of a silent one, and reports
// whether it does. Once that runner has accepted the call it calls giveUp, which
// cancels the silent attempt, or returns false if there was progress meanwhile. ctx
// ends with the attempt, and at its next progress.
type takeover func(ctx context.Context, giveUp func() bool) bool

// stallWatch is a watchdog that tries a takeover when an attempt makes no progress.
// Until that succeeds the attempt goes on.
type stallWatch struct {
	clk    clock.Clock
	timers clock.Timers
	// ctx is the context of the attempt.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// group tracks the running takeover.
	group sync.WaitGroup
	// ended is called by stop.
	ended func()

	mu sync.Mutex
	// takeover is nil until start, and for calls that stay at their runner.
	takeover takeover
	// timeout is how long the attempt may currently go without progress.
	timeout time.Duration
	// progressAt is when progress was last recorded.
	progressAt time.Time
	// stopTimer stops the timer; nil if there is none.
	stopTimer func() bool
	// interrupt ends the running takeover; nil if there is none.
	interrupt context.CancelFunc
	// again is set if the takeover is to be tried again at once when it ends.
	again bool
	// steps counts the progress, so that a takeover can tell whether there was any
	// meanwhile.
	steps   int
	stopped bool
	// pathLost is set while there was no progress since this instance was last found to be
	// cut off from the runners.
	pathLost bool
}

// watch returns a watchdog with the context of one attempt. It doesn't watch before
// start.
func (x *relay) watch(parent context.Context) *stallWatch {
	ctx, cancel := context.WithCancelCause(parent)
	w := &stallWatch{clk: x.Clock, timers: x.Timers, ctx: ctx, cancel: cancel}
	w.ended = func() { x.watches.remove(w) }
	x.watches.add(w)
	return w
}

// start begins to watch. Without a takeover the attempt never stalls.
func (w *stallWatch) start(timeout time.Duration, t takeover) {
	w.mu.Lock()
	w.takeover = t
	w.mu.Unlock()
	w.progress(timeout)
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
func (w *stallWatch) arm() { w.armFor(w.timeout) }

func (w *stallWatch) armFor(d time.Duration) {
	steps := w.steps
	w.stopTimer = w.timers.AfterFunc(d, func() { w.expired(steps) })
}

// lost has the takeover tried soon, as this instance is cut off from the runners. It
// reports whether there is one.
func (w *stallWatch) lost(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pathLost = true
	switch {
	case w.stopped:
		return false
	case w.disarm():
		w.armFor(max(0, w.progressAt.Add(min(hurriedTimeout, w.timeout)).Sub(now)))
	case w.interrupt != nil: // the running takeover is affected, too
		w.again = true
		w.interrupt()
	default:
		return false
	}
	return true
}

// wasLost reports whether this instance was found to be cut off since the last progress.
func (w *stallWatch) wasLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pathLost
}

// expired tries a takeover, and watches on if there is none.
func (w *stallWatch) expired(steps int) {
	w.mu.Lock()
	switch {
	case w.stopped || w.steps != steps:
		w.mu.Unlock()
		return
	case w.interrupt != nil: // a takeover that was interrupted hasn't returned yet
		w.arm()
		w.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	w.interrupt = cancel
	w.group.Add(1)
	w.mu.Unlock()
	defer w.group.Done()
	taken := w.takeover(ctx, func() bool { return w.giveUp(steps) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interrupt = nil
	switch {
	case taken || w.stopped || w.steps != steps:
	case w.again:
		w.again = false
		w.armFor(0)
	default:
		w.arm()
	}
}

// giveUp cancels the attempt unless there was progress since the given step.
func (w *stallWatch) giveUp(steps int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.steps != steps {
		return false
	}
	w.cancel(errStalled)
	return true
}

// progress restarts the timer with a new timeout.
func (w *stallWatch) progress(timeout time.Duration) {
	w.pause()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.takeover == nil || w.stopped {
		return
	}
	w.timeout, w.progressAt = timeout, w.clk.Now()
	w.arm()
}

// pause records progress and stops watching until the next call of progress.
func (w *stallWatch) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.steps++
	w.again, w.pathLost = false, false
	w.disarm()
	if w.interrupt != nil {
		w.interrupt()
	}
}

// settle stops watching an attempt that has failed. A running takeover may still
// succeed: it waits for that.
func (w *stallWatch) settle() {
	w.mu.Lock()
	w.disarm()
	w.mu.Unlock()
	w.group.Wait()
	w.mu.Lock()
	w.disarm() // of a takeover that failed
	w.mu.Unlock()
}

// disarm stops the timer, and reports whether one was running. The caller holds mu.
func (w *stallWatch) disarm() bool {
	stop := w.stopTimer
	w.stopTimer = nil
	return stop != nil && stop()
}

// stop ends the context of the attempt and waits for a running takeover.
func (w *stallWatch) stop() {
	w.mu.Lock()
	w.stopped = true
	w.disarm()
	w.mu.Unlock()
	w.cancel(nil)
	w.ended()
	w.group.Wait()
}
