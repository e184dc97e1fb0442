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

// outcome is how one attempt ended.
type outcome struct {
	// attempt and runner are empty when no place was found.
	attempt string
	runner  string
	result  runnerapi.RunResult
	// took is how long the runner had the attempt.
	took time.Duration
	err  error
}

// try runs an attempt and, when it takes long and the stage may be hedged, a
// second one beside it on another runner. The first whole result counts.
func (s *stageRun) try(ctx context.Context, deadline time.Time) outcome {
	place, err := s.Places.Acquire(ctx, s.ask(deadline))
	if err != nil {
		return outcome{err: err}
	}
	delay, ok := s.hedgeAfter()
	if !ok {
		return s.settle(s.dispatch(ctx, place, deadline))
	}
	return s.hedge(ctx, place, deadline, delay)
}

// hedgeAfter returns how long an attempt may run before a second one starts.
// Free work is not hedged: it takes only what paying callers leave.
func (s *stageRun) hedgeAfter() (time.Duration, bool) {
	if !s.stage().Idempotent || !s.job.Team.Paying {
		return 0, false
	}
	return s.Retries.HedgeAfter(s.job.Pipeline.ID, s.index)
}

// hedge runs an attempt with a second one in reserve. The faster one ends the
// other.
func (s *stageRun) hedge(ctx context.Context, place pool.Place, deadline time.Time, delay time.Duration) outcome {
	var second outcome
	ended := make(chan struct{})
	stop := s.Timers.AfterFunc(delay, func() {
		defer close(ended)
		second = s.second(ctx, place.Runner().ID, deadline)
		s.supersede(second)
	})
	first := s.dispatch(ctx, place, deadline)
	if stop() {
		return s.settle(first)
	}
	s.supersede(first)
	<-ended
	if second.err == nil {
		// The first attempt's connection may have gone silent, and with it
		// the idle ones.
		s.Runners.Renew(place.Runner())
	}
	return s.better(first, second)
}

// supersede ends the other attempt when this one has succeeded.
func (s *stageRun) supersede(o outcome) {
	if o.err != nil {
		return
	}
	s.superseded.Store(true)
	s.endAll()
}

// better settles two attempts and returns the one that counts.
func (s *stageRun) better(first, second outcome) outcome {
	first, second = s.settle(first), s.settle(second)
	if first.err == nil || second.attempt == "" {
		return first
	}
	return second
}

// second runs the attempt beside the first, on another runner, when the budget
// allows one and no token was passed on. Without a place it has not run.
func (s *stageRun) second(ctx context.Context, first string, deadline time.Time) outcome {
	if s.speaker.Load() != nil || !s.Retries.Allow(s.stage().Service) {
		return outcome{err: errSuperseded}
	}
	ask := s.ask(deadline)
	ask.Exclude = append([]string{first}, s.exclude...)
	place, err := s.Places.Acquire(ctx, ask)
	if err != nil {
		return outcome{err: err}
	}
	s.record(journal.Hedged, "", place.Runner().ID, "the first attempt takes long", 0)
	// What holds the first attempt may be a connection that went silent, and
	// then the idle ones are silent too.
	s.Runners.Renew(place.Runner())
	return s.dispatch(ctx, place, deadline)
}

// dispatch sends one attempt to the runner of its place. It changes nothing of
// the stage, so that two may run side by side.
func (s *stageRun) dispatch(ctx context.Context, place pool.Place, deadline time.Time) outcome {
	to := place.Runner()
	o := outcome{runner: to.ID}
	if o.err = place.Check(); o.err != nil {
		place.Done(pool.Result{Ending: pool.Unsent})
		return o
	}
	o.attempt = s.Identifiers.NewAttempt()
	sent := s.Clock.Now()
	s.recordAt(sent, journal.Chosen, o.attempt, to.ID, place.Reason(), 0)
	var abandoned bool
	o.result, abandoned, o.err = s.send(ctx, place, o.attempt, sent, deadline)
	ended := s.Clock.Now()
	took := ended.Sub(sent)
	o.took = took
	s.spend(took)
	ending := endingOf(ctx, o.err)
	taught := pool.Result{Ending: ending, Latency: took, Load: loadOf(o.result, o.err)}
	if abandoned {
		s.cancelAt(place, o.attempt, taught)
	} else {
		place.Done(taught)
	}
	s.Meter.Attempt(s.job.Pipeline.ID, s.stage().Name, to.Zone, ending, took, o.result.Tokens, o.result.CachedTokens)
	s.note(o, ended)
	return o
}

// spend counts the time that an attempt held its runner.
func (s *stageRun) spend(took time.Duration) {
	s.spent.Add(int64(took))
	if s.job.Spent != nil {
		s.job.Spent.Add(int64(took))
	}
}

// note records how an attempt ended.
func (s *stageRun) note(o outcome, ended time.Time) {
	if o.err == nil {
		s.Retries.Success(s.stage().Service)
		s.recordAt(ended, journal.Answered, o.attempt, o.runner, "whole", o.took)
		return
	}
	step := journal.Answered
	var foreign *runner.ForeignError
	if errors.As(o.err, &foreign) {
		s.Meter.Foreign(s.stage().Service)
		step = journal.Dropped
	}
	s.recordAt(ended, step, o.attempt, o.runner, o.err.Error(), o.took)
}

// settle takes the end of an attempt into the stage.
func (s *stageRun) settle(o outcome) outcome {
	if o.attempt != "" {
		s.attempts++
	}
	if speaker := s.speaker.Load(); o.err == nil && speaker != nil && *speaker != o.attempt {
		o.err = errSuperseded
	}
	if o.err == nil {
		s.touched = true
		return o
	}
	if o.attempt != "" {
		s.exclude = append(s.exclude, o.runner)
		s.touched = s.touched || fault.Of(o.err).Outcome() != fault.NotRun
	}
	return o
}
