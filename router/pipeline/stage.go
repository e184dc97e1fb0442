package pipeline

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/pool"
	"cicadawell.dev/router/runner"
)

// maxAttempts bounds the attempts of one stage of one request.
const maxAttempts = 3

var (
	// errDeadline is the cancellation cause of a request whose deadline
	// passed.
	errDeadline = fault.New(fault.DeadlineExceeded, "the deadline passed")
	// errPreempted is the cancellation cause of an attempt of free work that
	// was preempted by a paying caller.
	errPreempted = fault.New(fault.Preempted, "a paying caller needed the place")
	// errSuperseded is the error of an attempt when another attempt of the
	// stage was faster.
	errSuperseded = fault.New(fault.RunnerFailed, "another attempt was faster")
)

// stageRun is the execution of one stage of one request.
type stageRun struct {
	*executor
	job      Job
	index    int
	guard    func() error
	input    json.RawMessage
	affinity uint64
	// attempts counts the attempts sent so far.
	attempts int
	// unavailable counts the chosen runners that stopped accepting work
	// before the write.
	unavailable int
	// exclude are the runners that failed this stage.
	exclude []string
	// mayHaveRun is true once an attempt may have run.
	mayHaveRun bool
	// runnerTime is how long the attempts occupied runners, in nanoseconds.
	runnerTime atomic.Int64
	// cancelAttempts cancels all attempts of the stage, once one has
	// succeeded; superseded is true from then on.
	cancelAttempts context.CancelFunc
	superseded     atomic.Bool
	// streamingAttempt is the attempt whose tokens are sent to the caller.
	// It never changes once set, since another attempt's tokens could
	// differ.
	streamingAttempt atomic.Pointer[string]
}

func (s *stageRun) stage() bundle.Stage { return s.job.Pipeline.Stages[s.index] }

func (s *stageRun) record(step journal.Step, attempt, runnerID, reason string, took time.Duration) {
	s.recordAt(s.Clock.Now(), step, attempt, runnerID, reason, took)
}

func (s *stageRun) recordAt(at time.Time, step journal.Step, attempt, runnerID, reason string, took time.Duration) {
	s.Journal.Record(journal.Decision{
		At:      at,
		Step:    step,
		Request: s.job.Request,
		Stage:   s.stage().Name,
		Attempt: attempt,
		Runner:  runnerID,
		Reason:  reason,
		Took:    took,
	})
}

// run tries the stage until it has a result, may not be retried, or its
// deadline passes.
func (s *stageRun) run(ctx context.Context) (json.RawMessage, callerapi.StageResult, error) {
	start := s.Clock.Now()
	laterWait := s.laterQueueWait(s.job.Deadline.Sub(start))
	deadline, err := s.TimeBudgets.Plan(s.job.Pipeline, s.index, start, s.job.Deadline.Add(-laterWait))
	if err != nil {
		return nil, callerapi.StageResult{}, err
	}
	ctx, s.cancelAttempts = context.WithDeadlineCause(ctx, deadline, errDeadline)
	defer s.cancelAttempts()
	for {
		o := s.try(ctx, deadline)
		if o.err == nil {
			took := s.Clock.Now().Sub(start)
			s.TimeBudgets.Observe(s.job.Pipeline.ID, s.index, o.took)
			return o.result.Output, s.report(o, took), nil
		}
		if !s.mayRetry(ctx, o) {
			return nil, callerapi.StageResult{}, s.callerError(ctx, o.err)
		}
		s.record(journal.Retried, o.attempt, o.runner, o.err.Error(), 0)
	}
}

// laterQueueWait returns how much of a request's remaining time, left, to
// reserve for queueing at the stages after this one.
func (s *stageRun) laterQueueWait(left time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, stage := range s.job.Pipeline.Stages[s.index+1:] {
		sum += s.Slots.EstimateWait(stage.Service, stage.Model, s.job.Team.Paying)
	}
	if s.index == 0 {
		return pool.AdmissionReserve(sum, left, s.job.Team.Paying)
	}
	return sum
}

func (s *stageRun) report(o outcome, took time.Duration) callerapi.StageResult {
	return callerapi.StageResult{
		Name:         s.stage().Name,
		Runner:       o.runner,
		Attempts:     s.attempts,
		Micros:       took.Microseconds(),
		RunnerMicros: time.Duration(s.runnerTime.Load()).Microseconds(),
		Tokens:       o.result.Tokens,
	}
}

func (s *stageRun) poolRequest(deadline time.Time) pool.Request {
	stage := s.stage()
	req := pool.Request{
		Service:  stage.Service,
		Model:    stage.Model,
		Team:     s.job.Team.ID,
		Weight:   s.job.Team.Weight,
		Paying:   s.job.Team.Paying,
		Deadline: deadline,
		Exclude:  s.exclude,
	}
	if stage.Streams {
		req.Affinity = s.affinity
	}
	return req
}

// send sends the attempt, over a new connection if the stage is not idempotent.
// An abandoned attempt may still run on the runner.
func (s *stageRun) send(ctx context.Context, slot pool.Slot, id string, now, deadline time.Time) (result runnerapi.RunResult, abandoned bool, err error) {
	stage := s.stage()
	req := s.runRequest(id, now, deadline)
	if !stage.Idempotent {
		result, err = s.Runners.RunOnce(ctx, slot.Runner(), req, stage.MaxResultBytes, func() error { return s.checkBeforeWrite(slot) })
		return result, false, err
	}
	ctx, stop := s.watchPreempted(ctx, slot)
	defer stop()
	result, err = s.Runners.Run(ctx, slot.Runner(), req, stage.MaxResultBytes, s.sink(id))
	if err != nil && ctx.Err() != nil {
		return result, true, s.abandonedError(ctx, err)
	}
	return result, false, err
}

// checkBeforeWrite is the check directly before a non-idempotent stage is
// written to the runner's connection.
func (s *stageRun) checkBeforeWrite(slot pool.Slot) error {
	if err := slot.Check(); err != nil {
		return err
	}
	if s.guard == nil {
		return fault.New(fault.Internal, "stage %s without a guard", s.stage().Name).WithOutcome(fault.NotRun)
	}
	return s.guard()
}

func (s *stageRun) runRequest(id string, now, deadline time.Time) runnerapi.RunRequest {
	stage := s.stage()
	req := runnerapi.RunRequest{
		Attempt:         id,
		Request:         s.job.Request,
		Pipeline:        s.job.Pipeline.ID,
		Stage:           stage.Name,
		Team:            s.job.Team.ID,
		Model:           stage.Model,
		Priority:        runnerapi.PriorityFree,
		RemainingMillis: runner.RemainingMillis(now, deadline),
		Stream:          stage.Streams && s.job.Stream != nil,
		From:            s.Instance,
		Input:           s.input,
	}
	if s.job.Team.Paying {
		req.Priority = runnerapi.PriorityPaying
	}
	if !stage.Idempotent {
		req.IdempotencyKey = s.job.Key
	}
	return req
}

// sink forwards the tokens of an attempt to the caller, unless another attempt
// of the stage was first.
func (s *stageRun) sink(id string) runner.TokenSink {
	if s.job.Stream == nil || !s.stage().Streams {
		return nil
	}
	return sinkFunc(func(t runnerapi.Token) error {
		if !s.claimStream(id) {
			return errSuperseded
		}
		return s.job.Stream.Token(t)
	})
}

// claimStream reports whether the tokens of the attempt are sent to the caller.
// The first attempt to call it claims the stream.
func (s *stageRun) claimStream(id string) bool {
	if s.streamingAttempt.CompareAndSwap(nil, &id) {
		return true
	}
	return *s.streamingAttempt.Load() == id
}

type sinkFunc func(runnerapi.Token) error

func (f sinkFunc) Token(t runnerapi.Token) error { return f(t) }
