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

// watchDisplaced returns a context that ends when a paying caller needs the
// place, and a function that ends the watch.
func (s *stageRun) watchDisplaced(ctx context.Context, place pool.Place) (watched context.Context, stop func()) {
	if s.job.Team.Paying {
		return ctx, func() {}
	}
	watched, giveWay := context.WithCancelCause(ctx)
	var watch sync.WaitGroup
	watch.Go(func() {
		select {
		case <-place.Displaced():
			giveWay(errDisplaced)
		case <-watched.Done():
		}
	})
	return watched, func() {
		giveWay(nil)
		watch.Wait()
	}
}

// cancelAt tells the runner that nobody waits for the attempt any more, and gives
// the place back once the runner has answered: until then the attempt may still
// run there, and another one in its place could be more than a runner in cold
// start bears. The context of the request has ended, so the cancellation has one
// of its own.
func (s *stageRun) cancelAt(place pool.Place, id string, taught pool.Result) {
	s.cancellations.Go(func() {
		to := place.Runner()
		reason := "nobody waits for the attempt"
		if err := s.Runners.Cancel(context.Background(), to, id); err != nil {
			reason = err.Error()
		}
		place.Done(taught)
		s.record(journal.Cancelled, id, to.ID, reason, 0)
	})
}

// givenUp describes an attempt whose context ended.
func (s *stageRun) givenUp(ctx context.Context, err error) error {
	if s.superseded.Load() {
		return errSuperseded
	}
	return fault.Wrap(causeOf(ctx), err, "attempt given up")
}

// causeOf returns the kind of what ended ctx. A context that was cancelled
// without a cause of ours belonged to a caller that left.
func causeOf(ctx context.Context) fault.Kind {
	var e *fault.Error
	switch cause := context.Cause(ctx); {
	case errors.As(cause, &e):
		return e.Kind()
	case errors.Is(cause, context.DeadlineExceeded):
		return fault.DeadlineMissed
	}
	return fault.CallerGone
}

// endingOf classifies an attempt for the pools.
func endingOf(ctx context.Context, err error) pool.Ending {
	var refused *runner.RefusedError
	switch e := fault.Of(err); {
	case e == nil:
		return pool.Completed
	case e.Kind() == fault.Displaced, errors.Is(ctx.Err(), context.Canceled):
		return pool.Cancelled
	case e.Kind() == fault.DeadlineMissed:
		return pool.TimedOut
	case errors.As(err, &refused):
		return pool.Refused
	case e.Kind() == fault.HomeUnsettled, e.Kind() == fault.NoRunner, e.Kind() == fault.DeadlineShort:
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

// again reports whether the stage may be tried again after o.
func (s *stageRun) again(ctx context.Context, o outcome) bool {
	if ctx.Err() != nil || s.speaker.Load() != nil || s.attempts >= maxAttempts {
		return false
	}
	e := fault.Of(o.err)
	if !s.stage().Idempotent && e.Outcome() != fault.NotRun {
		return false
	}
	switch e.Kind() {
	case fault.RunnerFailed, fault.Internal:
		return s.Retries.Allow(s.stage().Service)
	case fault.Displaced:
		return true
	case fault.NoRunner:
		// A runner that was taken out or turned cold between the choice and
		// the write; where none was chosen there is none.
		s.barred++
		return o.runner != "" && s.barred < maxAttempts
	}
	return false
}

// final turns the last error of a stage into the answer to the caller.
func (s *stageRun) final(ctx context.Context, err error) error {
	e := fault.Of(err)
	var foreign *runner.ForeignError
	if errors.As(err, &foreign) {
		e = fault.Wrap(fault.RunnerFailed, err, "stage %s", s.stage().Name)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && e.Outcome() == fault.Unknown && s.stage().Idempotent {
		e = fault.Wrap(fault.DeadlineMissed, err, "stage %s", s.stage().Name)
	}
	return e
}
