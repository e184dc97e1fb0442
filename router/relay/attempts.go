package relay

import "errors"

// maxUnreachable is how many unreachable runners a call may try, so that it gets
// past those of a host or a zone that was just lost.
const maxUnreachable = 5

// attemptLimiter limits the runners that a call is sent to. Attempts that failed
// before anything was sent count neither against the route's MaxAttempts nor
// against the retry budget.
type attemptLimiter struct {
	relay *relay
	plan  *callPlan
	// sends is how many runners the call was sent to, selections how many runners
	// were chosen for it, reachable or not.
	sends, selections int
	// retryAllowed is set while the call has taken a retry from the budget and hasn't
	// sent it yet.
	retryAllowed bool
}

func (x *relay) newAttemptLimiter(p *callPlan) *attemptLimiter {
	return &attemptLimiter{relay: x, plan: p}
}

// next reports whether the call may go to one more runner, and counts it as chosen.
func (t *attemptLimiter) next() bool {
	if t.sends >= t.plan.route.MaxAttempts || t.selections-t.sends > maxUnreachable {
		return false
	}
	if t.sends > 0 && !t.retryAllowed {
		if !t.relay.RetryBudget.Allow(t.plan.service) {
			return false
		}
		t.retryAllowed = true
	}
	t.selections++
	return true
}

// mayRetry reports whether the route allows another runner after the current one.
func (t *attemptLimiter) mayRetry() bool { return t.sends+1 < t.plan.route.MaxAttempts }

// recordSend records that the call, or a part of it, may have reached the runner
// chosen last.
func (t *attemptLimiter) recordSend() {
	t.sends++
	t.retryAllowed = false
}

// notSent reports whether an attempt failed before anything was sent to the runner.
func notSent(err error) bool {
	var u *SendError
	return errors.As(err, &u) && !u.Sent
}

// runnerWithdrawn reports whether nothing was sent because the runner no longer
// accepts new calls.
func runnerWithdrawn(err error) bool {
	var u *SendError
	return errors.As(err, &u) && u.RunnerWithdrawn
}
