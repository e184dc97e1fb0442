package pipeline

import (
	"context"
	"errors"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/pool"
	"cicadawell.dev/router/runner"
)

// outcome is the result of one attempt.
type outcome struct {
	// attempt and runner are empty if no slot was acquired.
	attempt string
	runner  string
	result  runnerapi.RunResult
	// took is how long the attempt occupied the runner.
	took time.Duration
	err  error
}

// try runs an attempt. If it takes long and the stage may be hedged, a second
// one starts beside it on another runner, and the first complete result counts.
func (s *stageRun) try(ctx context.Context, deadline time.Time) outcome {
	slot, err := s.Slots.Acquire(ctx, s.poolRequest(deadline))
	if err != nil {
		return outcome{err: err}
	}
	delay, ok := s.hedgeAfter()
	if !ok {
		return s.applyOutcome(s.dispatch(ctx, slot, deadline))
	}
	return s.runHedged(ctx, slot, deadline, delay)
}

// hedgeAfter returns how long an attempt may run before a second one starts.
// Free work is not hedged, since it may use only the capacity that paying
// callers leave.
func (s *stageRun) hedgeAfter() (time.Duration, bool) {
	if !s.stage().Idempotent || !s.job.Team.Paying {
		return 0, false
	}
	return s.RetryBudget.HedgeAfter(s.job.Pipeline.ID, s.index)
}

// runHedged runs an attempt, and a second one if the first has not ended after
// delay. The first to succeed cancels the other.
func (s *stageRun) runHedged(ctx context.Context, slot pool.Slot, deadline time.Time, delay time.Duration) outcome {
	var second outcome
	ended := make(chan struct{})
	stop := s.Timers.AfterFunc(delay, func() {
		defer close(ended)
		second = s.startHedge(ctx, slot.Runner().ID, deadline)
		s.cancelOther(second)
	})
	first := s.dispatch(ctx, slot, deadline)
	if stop() {
		return s.applyOutcome(first)
	}
	s.cancelOther(first)
	<-ended
	if second.err == nil {
		// The first attempt's connection may be unresponsive, and so may the
		// idle ones to that runner.
		s.Runners.CloseIdle(slot.Runner())
	}
	return s.pickOutcome(first, second)
}

// cancelOther cancels the other attempt if this one succeeded.
func (s *stageRun) cancelOther(o outcome) {
	if o.err != nil {
		return
	}
	s.superseded.Store(true)
	s.cancelAttempts()
}

// pickOutcome applies both outcomes to the stage and returns the one that
// counts.
func (s *stageRun) pickOutcome(first, second outcome) outcome {
	first, second = s.applyOutcome(first), s.applyOutcome(second)
	if first.err == nil || second.attempt == "" {
		return first
	}
	return second
}

// startHedge runs the second attempt on another runner, if the retry budget
// allows one and no token has been sent to the caller. The outcome has no
// attempt identifier if none was started.
func (s *stageRun) startHedge(ctx context.Context, first string, deadline time.Time) outcome {
	if s.streamingAttempt.Load() != nil || !s.RetryBudget.Allow(s.stage().Service) {
		return outcome{err: errSuperseded}
	}
	req := s.poolRequest(deadline)
	req.Exclude = append([]string{first}, s.exclude...)
	slot, err := s.Slots.Acquire(ctx, req)
	if err != nil {
		return outcome{err: err}
	}
	s.record(journal.Hedged, "", slot.Runner().ID, "the first attempt takes long", 0)
	// The first attempt may be slow because its connection is unresponsive,
	// and then the idle connections may be unresponsive too.
	s.Runners.CloseIdle(slot.Runner())
	return s.dispatch(ctx, slot, deadline)
}

// dispatch sends one attempt to the runner of its slot. It leaves the stage's
// retry state unchanged, so that two attempts may run in parallel.
func (s *stageRun) dispatch(ctx context.Context, slot pool.Slot, deadline time.Time) outcome {
	to := slot.Runner()
	o := outcome{runner: to.ID}
	if o.err = slot.Check(); o.err != nil {
		slot.Release(pool.Result{Ending: pool.Unsent})
		return o
	}
	o.attempt = s.Identifiers.NewAttempt()
	sent := s.Clock.Now()
	s.recordAt(sent, journal.Chosen, o.attempt, to.ID, slot.Reason(), 0)
	var abandoned bool
	o.result, abandoned, o.err = s.send(ctx, slot, o.attempt, sent, deadline)
	ended := s.Clock.Now()
	took := ended.Sub(sent)
	o.took = took
	s.addRunnerTime(took)
	ending := endingOf(ctx, o.err)
	feedback := pool.Result{Ending: ending, Latency: took, Load: loadOf(o.result, o.err)}
	if abandoned {
		s.cancelOnRunner(slot, o.attempt, feedback)
	} else {
		slot.Release(feedback)
	}
	s.Meter.Attempt(s.job.Pipeline.ID, s.stage().Name, to.Zone, ending, took, o.result.Tokens, o.result.CachedTokens)
	s.recordEnd(o, ended)
	return o
}

// addRunnerTime adds the time that an attempt occupied its runner.
func (s *stageRun) addRunnerTime(took time.Duration) {
	s.runnerTime.Add(int64(took))
	if s.job.RunnerNanos != nil {
		s.job.RunnerNanos.Add(int64(took))
	}
}

// recordEnd records how an attempt ended.
func (s *stageRun) recordEnd(o outcome, ended time.Time) {
	if o.err == nil {
		s.RetryBudget.Success(s.stage().Service)
		s.recordAt(ended, journal.Answered, o.attempt, o.runner, "whole", o.took)
		return
	}
	step := journal.Answered
	var mismatch *runner.MismatchedAttemptError
	if errors.As(o.err, &mismatch) {
		s.Meter.AnswerMismatch(s.stage().Service)
		step = journal.Dropped
	}
	s.recordAt(ended, step, o.attempt, o.runner, o.err.Error(), o.took)
}

// applyOutcome updates the stage's retry state with the outcome of an attempt.
// A result is rejected if the caller received tokens of another attempt.
func (s *stageRun) applyOutcome(o outcome) outcome {
	if o.attempt != "" {
		s.attempts++
	}
	if streaming := s.streamingAttempt.Load(); o.err == nil && streaming != nil && *streaming != o.attempt {
		o.err = errSuperseded
	}
	if o.err == nil {
		s.mayHaveRun = true
		return o
	}
	if o.attempt != "" {
		s.exclude = append(s.exclude, o.runner)
		s.mayHaveRun = s.mayHaveRun || fault.Of(o.err).Outcome() != fault.NotRun
	}
	return o
}
