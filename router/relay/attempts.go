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
	// retries is how many retries the call has taken from the budget, sent or not.
	retries int
}

func (x *relay) newAttemptLimiter(p *callPlan) *attemptLimiter {
	return &attemptLimiter{relay: x, plan: p}
}

// next reports whether the call may go to one more runner.
func (t *attemptLimiter) next() bool {
	return t.selections-t.sends <= maxUnreachable && t.reserve(t.sends)
}

// reserveNext reports whether the call may go to one more runner beside the current
// one. A later call of next needs no further retry from the budget then.
func (t *attemptLimiter) reserveNext() bool {
	return t.selections-t.sends <= maxUnreachable && t.reserve(t.sends+1)
}

// recordSelection records that a runner was chosen for the call.
func (t *attemptLimiter) recordSelection() { t.selections++ }

// reserve reports whether the call may be sent once more after the given number of
// sends. It takes a retry from the budget if the call has none left.
func (t *attemptLimiter) reserve(sends int) bool {
	if sends >= t.plan.route.MaxAttempts {
		return false
	}
	if sends > t.retries {
		if !t.relay.RetryBudget.Allow(t.plan.service) {
			return false
		}
		t.retries++
	}
	return true
}

// recordSend records that the call, or a part of it, may have reached the runner
// chosen last.
func (t *attemptLimiter) recordSend() { t.sends++ }

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
