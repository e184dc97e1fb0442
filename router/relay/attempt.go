package relay

import (
	"context"
	"sync"
	"time"

	"cicadawell.dev/router/target"
)

// acceptTimeout is how long a runner may take to answer a call until it counts as
// accepted: a runner that is full refuses at once. It bounds the time for which two
// runners work on a call.
const acceptTimeout = 200 * time.Millisecond

// runnerAttempt is a call that is sent to one runner.
type runnerAttempt struct {
	target *target.Target
	watch  *stallWatch
	// ended records the end of the call at the runner.
	ended func()
	// group tracks the goroutine that opens a takeover.
	group sync.WaitGroup
	// opened is closed once answer and err are set.
	opened chan struct{}
	answer *Answer
	err    error
}

func (x *relay) newAttempt(p *callPlan, t *target.Target) runnerAttempt {
	return runnerAttempt{target: t, watch: x.watch(p.ctx), ended: t.Begin(), opened: make(chan struct{})}
}

// open sends the call and waits for the head of the answer.
func (x *relay) open(p *callPlan, a *runnerAttempt, d Dispatch) {
	defer close(a.opened)
	a.answer, a.err = x.send(a.watch.ctx, p, a.target, d)
}

// isOpen reports whether the answer has begun or failed.
func (a *runnerAttempt) isOpen() bool {
	select {
	case <-a.opened:
		return true
	default:
		return false
	}
}

// close ends the attempt. The connection is kept if the answer was read to its end.
func (a *runnerAttempt) close() {
	if !a.isOpen() {
		a.watch.stop()
	}
	a.group.Wait()
	if a.answer != nil {
		a.answer.Close()
	}
	a.watch.stop()
	a.ended()
}

// awaitAccept waits until the runner has accepted or refused the call. good reports
// whether an answer can be passed on.
func (x *relay) awaitAccept(ctx context.Context, a *runnerAttempt, good func(*Answer) bool) bool {
	select {
	case <-a.opened:
		return a.err == nil && !a.answer.NotRun && good(a.answer)
	case <-x.Clock.After(acceptTimeout):
		return true
	case <-ctx.Done():
		return false
	}
}
