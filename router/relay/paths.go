package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/detour"
	"cicadawell.dev/router/target"
)

// Paths tells whether this instance reaches the runners by itself.
type Paths interface {
	// CutOff reports whether this instance is cut off from the runners, or was within
	// the last second.
	CutOff() bool
	// Watch calls lost when this instance is found to be cut off, once each time, until
	// stop is called. lost must not block.
	Watch(lost func()) (stop func())
	// Reachable reports whether there may be a way to a runner now, by this instance or
	// another one.
	Reachable() bool
}

// noPaths is never cut off.
type noPaths struct{}

func (noPaths) CutOff() bool { return false }

func (noPaths) Watch(func()) func() { return func() {} }

func (noPaths) Reachable() bool { return true }

// cutOffRetry is the time to retry after of calls that are refused as no runner is reached.
const cutOffRetry = time.Second

// cutOffFault returns the error of a call that hasn't run as no runner is reached.
func cutOffFault() error {
	return fault.New(fault.NoRunner, "neither this instance nor another one that it asked reaches a runner").WithRetryAfter(cutOffRetry)
}

// checkPaths refuses a call before its stages are run if there is no way to a runner.
func (x *relay) checkPaths() error {
	if x.Paths.Reachable() {
		return nil
	}
	return cutOffFault()
}

// refusedByCutOff reports whether a call that hasn't run is to be refused, as its last
// attempt found no way to a runner.
func refusedByCutOff(p *callPlan, run fault.Outcome, err error) bool {
	return run == fault.NotRun && p.ctx.Err() == nil && errors.Is(err, detour.ErrCutOff)
}

const (
	// hurriedTimeout is how long an attempt goes without progress before its takeover
	// once this instance is cut off. Attempts with progress since then have a connection
	// that lives on, and a path that is lost for less than a second may come back.
	hurriedTimeout = time.Second
	// unknownLoss is how long this instance may be cut off before that is found.
	unknownLoss = time.Second
)

// watches has the watchdogs of the attempts in progress.
type watches struct{ all sync.Map }

func (s *watches) add(w *stallWatch) { s.all.Store(w, struct{}{}) }

func (s *watches) remove(w *stallWatch) { s.all.Delete(w) }

// each calls f with each watchdog.
func (s *watches) each(f func(w *stallWatch)) {
	s.all.Range(func(key, _ any) bool {
		f(key.(*stallWatch))
		return true
	})
}

// lostPaths has the calls that were begun before this instance was found to be cut off
// go on at other runners. The connections that are opened from now on take another way.
func (x *relay) lostPaths() {
	now, hurried := x.Clock.Now(), 0
	x.Targets.ForgetFailures(now.Add(-unknownLoss))
	x.watches.each(func(w *stallWatch) {
		if w.lost(now) {
			hurried++
		}
	})
	if hurried > 0 {
		x.Log.Warn("calls hurried as this instance is cut off from the runners", "calls", hurried)
	}
}

// cutOff reports whether this instance is cut off from the runners, or was found to be
// so since the attempt's last progress. What fails then says nothing about the runner.
func (a *runnerAttempt) cutOff() bool { return a.watch.wasLost() || a.relay.Paths.CutOff() }

// connectionFailed records that the connection to the runner failed. If that was opened
// since this instance is known to be cut off, the runner may have restarted.
func (a *runnerAttempt) connectionFailed(err error) {
	now := a.relay.Clock.Now()
	switch {
	case errors.Is(err, detour.ErrCutOff):
	case !a.cutOff():
		a.target.ConnectionFailed(now)
	case !a.watch.wasLost():
		a.target.MayHaveRestarted(now)
	}
}

// failed records that the runner gave no usable answer.
func (a *runnerAttempt) failed() {
	if !a.cutOff() {
		a.target.Failed(a.relay.Clock.Now())
	}
}

// recordHealth records the outcome of sending the call in the runner's health.
func (a *runnerAttempt) recordHealth(start time.Time, answer *Answer, err error) {
	ctx, now := a.watch.ctx, a.relay.Clock.Now()
	switch {
	case runnerWithdrawn(err):
	case err != nil && ctx.Err() == nil:
		a.connectionFailed(err)
	case errors.Is(context.Cause(ctx), errStalled):
		a.failed()
	case err != nil:
	case answer.NotRun || failed(answer):
		a.target.Failed(now)
	default:
		a.target.Succeeded(now, now.Sub(start))
	}
}

// tried returns the targets that a call may not be sent to again. While this instance is
// cut off a call that may be repeated goes to a runner again if there is no other.
func (x *relay) tried(p *callPlan, avoid []*target.Target) []*target.Target {
	if p.atMostOnce() || !x.Paths.CutOff() {
		return avoid
	}
	for _, t := range x.Targets.Usable(p.service) {
		if !slices.Contains(avoid, t) {
			return avoid
		}
	}
	return nil
}

// hasAlternative reports whether a call may go on at another runner. The backoffs of a
// cut-off instance say nothing.
func (x *relay) hasAlternative(p *callPlan, avoid []*target.Target) bool {
	return x.Targets.HasAlternative(p.service, avoid) || (x.Paths.CutOff() && len(x.Targets.Usable(p.service)) > 0)
}
