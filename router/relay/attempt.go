package relay

import (
	"context"
	"sync"
	"time"

	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/target"
)

// runnerAttempt is a call that is sent to one runner.
type runnerAttempt struct {
	relay  *relay
	plan   *callPlan
	target *target.Target
	watch  *stallWatch
	// ended records the end of the call at the runner.
	ended func()
	// runner is the description of the runner when the call was sent, at started. Both
	// are set before opened is closed.
	runner  *inventory.Runner
	started time.Time
	// reportEnd ensures that the end is reported only once.
	reportEnd sync.Once
	// group tracks the goroutine that opens a takeover.
	group sync.WaitGroup
	// opened is closed once answer and err are set.
	opened chan struct{}
	answer *Answer
	err    error
	// took is the time until the head of the answer, which engines send with the first
	// event.
	took time.Duration
}

func (x *relay) newAttempt(p *callPlan, t *target.Target) runnerAttempt {
	return runnerAttempt{relay: x, plan: p, target: t, watch: x.watch(p.ctx), ended: t.Begin(p.atMostOnce()), opened: make(chan struct{})}
}

// open sends the call and waits for the head of the answer.
func (x *relay) open(a *runnerAttempt, d Dispatch) {
	defer close(a.opened)
	a.runner, a.started = a.target.Runner(), x.Clock.Now()
	d.Runner = a.runner
	a.answer, a.err = x.send(a, d)
	a.took = x.Clock.Now().Sub(a.started)
	switch {
	case a.err != nil:
		a.reportLoss(a.err)
	case !a.answer.NotRun && failed(a.answer):
		a.reportAnswer(true)
	}
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
	a.reportEnd.Do(a.reportDuration)
}

// await waits for the head of the answer. It reports whether there is one before the
// timeout and before ctx ends.
func (x *relay) await(ctx context.Context, a *runnerAttempt, timeout time.Duration) bool {
	select {
	case <-a.opened:
		return true
	case <-x.Clock.After(timeout):
	case <-ctx.Done():
	}
	return false
}

// answered reports whether the attempt has the head of an answer that isn't a refusal.
func (a *runnerAttempt) answered() bool { return a.isOpen() && a.err == nil && !a.answer.NotRun }
