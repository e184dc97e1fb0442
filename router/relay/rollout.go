package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cicadawell.dev/router/memory"
)

// Rollouts records the answers of runners, by which the versions of a service are
// compared. It is safe for concurrent use.
type Rollouts interface {
	// Answered records an answer of a runner, or that there was none if failed is set.
	// took is the time to the answer, which is the first event of a stream.
	Answered(service, version, route string, failed bool, took time.Duration)
	// Ended records how long a call took from its start to its end at the runner.
	Ended(service string, took time.Duration)
}

// noRollouts records nothing.
type noRollouts struct{}

func (noRollouts) Answered(string, string, string, bool, time.Duration) {}

func (noRollouts) Ended(string, time.Duration) {}

// failed reports whether an answer is a failure of its runner.
func failed(a *Answer) bool {
	return a.Status >= http.StatusInternalServerError || (a.Status < 300 && !a.Sealed)
}

// reportAnswer reports the answer of the attempt. Those of cold runners, which are
// slower, say nothing about their version.
func (a *runnerAttempt) reportAnswer(failure bool) {
	if a.runner.ColdAt(a.started) {
		return
	}
	took := a.relay.Clock.Now().Sub(a.started)
	a.relay.Rollouts.Answered(a.plan.service, a.runner.Version, a.plan.route.Name, failure, took)
}

// reportLoss reports that the attempt ended with an error, if that is due to the
// runner.
func (a *runnerAttempt) reportLoss(err error) {
	if !notSent(err) && !errors.Is(err, memory.ErrShort) && a.lostByRunner() {
		a.reportAnswer(true)
	}
}

// reportBody reports the answer of the attempt after its body was read, or lost with an
// error.
func (a *runnerAttempt) reportBody(err error) {
	if err != nil {
		a.reportLoss(err)
		return
	}
	a.reportAnswer(false)
}

// lostByRunner reports whether the runner is the reason that the attempt has just
// failed: the connection was lost, the runner was silent, or the deadline passed
// although the runner had as long as the route's objective.
func (a *runnerAttempt) lostByRunner() bool {
	p := a.plan
	switch {
	case a.cutOff():
		return false
	case errors.Is(context.Cause(a.watch.ctx), errStalled):
		return true
	case p.ctx.Err() != nil:
		took := a.relay.Clock.Now().Sub(a.started)
		return errors.Is(context.Cause(p.ctx), context.DeadlineExceeded) && p.route.Objective > 0 && took >= p.route.Objective
	}
	return a.watch.ctx.Err() == nil
}

// reportDuration reports how long the call was at the runner, unless the runner didn't
// run it.
func (a *runnerAttempt) reportDuration() {
	if !a.isOpen() || notSent(a.err) || (a.answer != nil && a.answer.NotRun) {
		return
	}
	a.relay.Rollouts.Ended(a.plan.service, a.relay.Clock.Now().Sub(a.started))
}
