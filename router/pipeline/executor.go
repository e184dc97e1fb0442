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
	// Run runs a request whose stages may all be repeated.
	Run(ctx context.Context, job Job) (callerapi.Answer, error)
	// RunOnce runs a call whose last stage may not be repeated.
	RunOnce(ctx context.Context, call ledger.Call, guard func() error) (callerapi.Answer, error)
	// Close waits for cancellations under way.
	Close()
}

// Job is one request.
type Job struct {
	Request  string
	Team     catalog.Team
	Pipeline bundle.Pipeline
	Input    json.RawMessage
	Deadline time.Time
	// Key is empty where the pipeline may be repeated.
	Key string
	// Spent adds up how long the attempts of the request held runners, in
	// nanoseconds; nil where nobody asks.
	Spent *atomic.Int64
	// Stream takes the tokens of the last stage; nil asks for none.
	Stream runner.Sink
}

// Places hands out places on runners.
type Places interface {
	Acquire(ctx context.Context, ask pool.Ask) (pool.Place, error)
	// Wait estimates how long a new ask would wait for a place.
	Wait(service, model string, paying bool) time.Duration
}

// Budgets divides a request's time among its stages.
type Budgets interface {
	// Plan returns when the stage must end, or an error of kind
	// DeadlineShort when the rest can no longer make the deadline.
	Plan(p bundle.Pipeline, stage int, now, deadline time.Time) (time.Time, error)
	// Observe takes in how long a runner took for a stage.
	Observe(pipeline string, stage int, took time.Duration)
}

// Retries bounds the share of repeated attempts.
type Retries interface {
	Allow(service string) bool
	Success(service string)
	// HedgeAfter returns how long a stage runs before a second attempt
	// beside it makes sense, and false while that is not known.
	HedgeAfter(pipeline string, stage int) (time.Duration, bool)
}

// Meter counts what the stages cost.
type Meter interface {
	// Attempt counts the time that an attempt held its runner, which
	// stands in zone, and the tokens that it brought.
	Attempt(pipeline, stage, zone string, ending pool.Ending, held time.Duration, tokens, cached int)
	// Foreign counts an answer that belonged to another attempt.
	Foreign(service string)
}

// Identifiers mints identifiers of attempts.
type Identifiers interface {
	NewAttempt() string
}

// Parts are what an executor is built from.
type Parts struct {
	Instance    string
	Clock       clock.Clock
	Timers      clock.Timers
	Catalog     *catalog.Current
	Places      Places
	Budgets     Budgets
	Retries     Retries
	Runners     runner.Client
	Journal     journal.Journal
	Meter       Meter
	Identifiers Identifiers
}

// NewExecutor returns an executor.
func NewExecutor(p Parts) Executor { return &executor{Parts: p} }

type executor struct {
	Parts
	// cancellations are those under way to runners.
	cancellations sync.WaitGroup
}

// Close waits for cancellations under way.
func (x *executor) Close() { x.cancellations.Wait() }

// Run runs a request whose stages may all be repeated.
func (x *executor) Run(ctx context.Context, job Job) (callerapi.Answer, error) {
	return x.run(ctx, job, nil)
}

// RunOnce runs a call whose last stage may not be repeated.
func (x *executor) RunOnce(ctx context.Context, call ledger.Call, guard func() error) (callerapi.Answer, error) {
	current, err := x.Catalog.Load()
	if err != nil {
		return callerapi.Answer{}, err
	}
	p, err := current.Pipeline(call.Pipeline)
	if err != nil {
		return callerapi.Answer{}, err
	}
	team, ok := current.Team(call.Team)
	if !ok {
		return callerapi.Answer{}, fault.New(fault.Unauthenticated, "team %q is not in the bundle in force", call.Team)
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

func (x *executor) run(ctx context.Context, job Job, guard func() error) (callerapi.Answer, error) {
	answer := callerapi.Answer{Request: job.Request, Pipeline: job.Pipeline.ID, Outcome: fault.Run}
	input := job.Input
	affinity := affinityOf(job)
	for i := range job.Pipeline.Stages {
		s := &stageRun{executor: x, job: job, index: i, guard: guard, input: input, affinity: affinity}
		output, report, err := s.run(ctx)
		if err != nil {
			return answer, x.refused(job, s, err)
		}
		input = output
		answer.Stages = append(answer.Stages, report)
	}
	answer.Output = input
	return answer, nil
}

// refused records a failure and settles its outcome. A call that may not be
// repeated counts as not run as long as its last stage was not; a request of
// which any stage may have run does not.
func (x *executor) refused(job Job, s *stageRun, err error) error {
	e := fault.Of(err)
	if job.Pipeline.Idempotent() && (s.index > 0 || s.touched) {
		e = e.WithOutcome(fault.Unknown)
	}
	e = fault.Wrap(e.Kind(), e, "stage %s", s.stage().Name).WithField(e.Field()).WithOutcome(e.Outcome()).WithRetryAfter(e.RetryAfter())
	return e
}
