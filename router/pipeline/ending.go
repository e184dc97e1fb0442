package pipeline

import (
	"context"
	"errors"
	"sync"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/pool"
	"cicadawell.dev/router/runner"
)

// watchPreempted returns a context that is cancelled when a paying caller needs
// the slot, and a function that stops the watch.
func (s *stageRun) watchPreempted(ctx context.Context, slot pool.Slot) (watched context.Context, stop func()) {
	if s.job.Team.Paying {
		return ctx, func() {}
	}
	watched, cancel := context.WithCancelCause(ctx)
	var watch sync.WaitGroup
	watch.Go(func() {
		select {
		case <-slot.Preempted():
			cancel(errPreempted)
		case <-watched.Done():
		}
	})
	return watched, func() {
		cancel(nil)
		watch.Wait()
	}
}

// cancelOnRunner cancels an abandoned attempt on its runner, and releases the
// slot once the runner has answered. Until then the attempt may still run
// there, and another one in its slot could exceed what a runner in cold start
// can handle. The cancellation has its own context, since that of the request
// has ended.
func (s *stageRun) cancelOnRunner(slot pool.Slot, id string, feedback pool.Result) {
	s.cancellations.Go(func() {
		to := slot.Runner()
		reason := "nobody waits for the attempt"
		if err := s.Runners.Cancel(context.Background(), to, id); err != nil {
			reason = err.Error()
		}
		slot.Release(feedback)
		s.record(journal.Cancelled, id, to.ID, reason, 0)
	})
}

// abandonedError returns the error of an attempt whose context ended.
func (s *stageRun) abandonedError(ctx context.Context, err error) error {
	if s.superseded.Load() {
		return errSuperseded
	}
	return fault.Wrap(cancelKind(ctx), err, "attempt given up")
}

// cancelKind returns the kind of error that ended ctx. A context that was
// cancelled without one of our causes belonged to a caller that disconnected.
func cancelKind(ctx context.Context) fault.Kind {
	var e *fault.Error
	switch cause := context.Cause(ctx); {
	case errors.As(cause, &e):
		return e.Kind()
	case errors.Is(cause, context.DeadlineExceeded):
		return fault.DeadlineExceeded
	}
	return fault.CallerGone
}

// endingOf classifies the end of an attempt for the pools.
func endingOf(ctx context.Context, err error) pool.Ending {
	var refused *runner.RefusedError
	switch e := fault.Of(err); {
	case e == nil:
		return pool.Completed
	case e.Kind() == fault.Preempted, errors.Is(ctx.Err(), context.Canceled):
		return pool.Cancelled
	case e.Kind() == fault.DeadlineExceeded:
		return pool.TimedOut
	case errors.As(err, &refused):
		return pool.Refused
	case e.Kind() == fault.HomeUnsettled, e.Kind() == fault.NoRunner, e.Kind() == fault.DeadlineTooShort:
		return pool.Unsent
	}
	return pool.Failed
}

// loadOf returns the load report that came with an answer or a refusal.
func loadOf(result runnerapi.RunResult, err error) *runnerapi.Load {
	var refused *runner.RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal.Load
	}
	return result.Load
}

// mayRetry reports whether the stage may be retried after o.
func (s *stageRun) mayRetry(ctx context.Context, o outcome) bool {
	if ctx.Err() != nil || s.streamingAttempt.Load() != nil || s.attempts >= maxAttempts {
		return false
	}
	e := fault.Of(o.err)
	if !s.stage().Idempotent && e.Outcome() != fault.NotRun {
		return false
	}
	switch e.Kind() {
	case fault.RunnerFailed, fault.Internal:
		return s.RetryBudget.Allow(s.stage().Service)
	case fault.Preempted:
		return true
	case fault.NoRunner:
		// The chosen runner was taken out or turned cold before the write. If
		// none was chosen, none is available.
		s.unavailable++
		return o.runner != "" && s.unavailable < maxAttempts
	}
	return false
}

// callerError converts the last error of a stage to the error for the caller.
func (s *stageRun) callerError(ctx context.Context, err error) error {
	e := fault.Of(err)
	var mismatch *runner.MismatchedAttemptError
	if errors.As(err, &mismatch) {
		e = fault.Wrap(fault.RunnerFailed, err, "stage %s", s.stage().Name)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && e.Outcome() == fault.Unknown && s.stage().Idempotent {
		e = fault.Wrap(fault.DeadlineExceeded, err, "stage %s", s.stage().Name)
	}
	return e
}
