// Package pipeline runs requests through the stages of their pipeline.
package pipeline

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/pool"
	"cicadawell.dev/router/runner"
)

// Executor runs requests.
type Executor interface {
	// Run runs a request whose stages are all idempotent.
	Run(ctx context.Context, job Job) (callerapi.Response, error)
	// RunOnce runs a call whose last stage is not idempotent. It calls guard
	// directly before it writes that stage to a runner, and does not write it
	// if guard fails.
	RunOnce(ctx context.Context, call ledger.Call, guard func() error) (callerapi.Response, error)
	// Close waits for the cancellations in progress.
	Close()
}

// Job is one request.
type Job struct {
	Request  string
	Team     catalog.Team
	Pipeline bundle.Pipeline
	Input    json.RawMessage
	Deadline time.Time
	// Key is the idempotency key, or empty if all stages are idempotent.
	Key string
	// RunnerNanos accumulates how long the attempts of the request occupied
	// runners, in nanoseconds; it may be nil.
	RunnerNanos *atomic.Int64
	// Stream receives the tokens of the last stage; nil if the caller does
	// not stream.
	Stream runner.TokenSink
}

// SlotPool assigns slots on runners.
type SlotPool interface {
	Acquire(ctx context.Context, req pool.Request) (pool.Slot, error)
	// EstimateWait estimates how long a new request would wait for a slot.
	EstimateWait(service, model string, paying bool) time.Duration
}

// TimeBudgets divides a request's time among its stages.
type TimeBudgets interface {
	// Plan returns the deadline of the stage, or an error of kind
	// DeadlineTooShort if the remaining stages can no longer meet the deadline
	// of the request.
	Plan(p bundle.Pipeline, stage int, now, deadline time.Time) (time.Time, error)
	// Observe records how long a runner took for a stage.
	Observe(pipeline string, stage int, took time.Duration)
}

// RetryBudget bounds the share of retries and hedged attempts.
type RetryBudget interface {
	Allow(service string) bool
	Success(service string)
	// HedgeAfter returns how long a stage runs before a hedged attempt is
	// worthwhile, and false while that is not known.
	HedgeAfter(pipeline string, stage int) (time.Duration, bool)
}

// Meter records metrics of the stages.
type Meter interface {
	// Attempt records how long an attempt occupied its runner, the runner's
	// zone, the tokens that the attempt generated, and the prompt tokens
	// that it found in the prefix cache.
	Attempt(pipeline, stage, zone string, ending pool.Ending, held time.Duration, tokens, cached int)
	// AnswerMismatch counts an answer that belongs to another attempt.
	AnswerMismatch(service string)
}

// Identifiers generates identifiers of attempts.
type Identifiers interface {
	NewAttempt() string
}

// Parts are the dependencies of an executor.
type Parts struct {
	Instance    string
	Clock       clock.Clock
	Timers      clock.Timers
	Catalog     *catalog.Current
	Slots       SlotPool
	TimeBudgets TimeBudgets
	RetryBudget RetryBudget
	Runners     runner.Client
	Journal     journal.Journal
	Meter       Meter
	Identifiers Identifiers
}

// NewExecutor returns an executor.
func NewExecutor(p Parts) Executor { return &executor{Parts: p} }

type executor struct {
	Parts
	// cancellations counts the cancellations in progress.
	cancellations sync.WaitGroup
}

// Close waits for the cancellations in progress.
func (x *executor) Close() { x.cancellations.Wait() }

// Run runs a request whose stages are all idempotent.
func (x *executor) Run(ctx context.Context, job Job) (callerapi.Response, error) {
	return x.run(ctx, job, nil)
}

// RunOnce runs a call whose last stage is not idempotent.
func (x *executor) RunOnce(ctx context.Context, call ledger.Call, guard func() error) (callerapi.Response, error) {
	current, err := x.Catalog.Load()
	if err != nil {
		return callerapi.Response{}, err
	}
	p, err := current.Pipeline(call.Pipeline)
	if err != nil {
		return callerapi.Response{}, err
	}
	team, ok := current.Team(call.Team)
	if !ok {
		return callerapi.Response{}, fault.New(fault.Unauthenticated, "team %q is not in the bundle in force", call.Team)
	}
	job := Job{
		Request:  call.Request,
		Team:     team,
		Pipeline: p,
		Input:    call.Input,
		Deadline: x.Clock.Now().Add(time.Duration(call.RemainingMillis) * time.Millisecond),
		Key:      call.Key,
	}
	return x.run(ctx, job, guard)
}

func (x *executor) run(ctx context.Context, job Job, guard func() error) (callerapi.Response, error) {
	response := callerapi.Response{Request: job.Request, Pipeline: job.Pipeline.ID, Outcome: fault.Run}
	input := job.Input
	affinity := affinityOf(job)
	for i := range job.Pipeline.Stages {
		s := &stageRun{executor: x, job: job, index: i, guard: guard, input: input, affinity: affinity}
		output, report, err := s.run(ctx)
		if err != nil {
			return response, x.stageError(job, s, err)
		}
		input = output
		response.Stages = append(response.Stages, report)
	}
	response.Output = input
	return response, nil
}

// stageError wraps a stage's error and sets its outcome. A non-idempotent call
// counts as not run as long as its last stage was not run, an idempotent
// request only if none of its stages may have run.
func (x *executor) stageError(job Job, s *stageRun, err error) error {
	e := fault.Of(err)
	if job.Pipeline.Idempotent() && (s.index > 0 || s.mayHaveRun) {
		e = e.WithOutcome(fault.Unknown)
	}
	e = fault.Wrap(e.Kind(), e, "stage %s", s.stage().Name).WithField(e.Field()).WithOutcome(e.Outcome()).WithRetryAfter(e.RetryAfter())
	return e
}
