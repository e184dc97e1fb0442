package pipeline_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/pipeline"
	"cicadawell.dev/router/pool"
	"cicadawell.dev/router/runner"
	"github.com/matryer/is"
)

// fakeDeps implements all dependencies of an executor.
type fakeDeps struct {
	clock.Clock
	mu sync.Mutex
	// runs are the behaviours of the runner for each attempt, in order.
	// Later attempts succeed.
	runs []runFunc
	// sent are the attempts that reached the runner.
	sent      []runnerapi.RunRequest
	cancelled []string
	// released has, for each released slot, the number of cancellations before
	// it.
	released   []int
	endings    []pool.Ending
	steps      []journal.Step
	idleClosed []string
	mismatched int
	attemptIDs int
	budget     int
	preempted  chan struct{}
	// hedgeAfter is zero if stages are not hedged.
	hedgeAfter time.Duration
	// takenOut makes every check of a slot fail; unavailable is how many of the
	// next checks fail.
	takenOut    bool
	unavailable int
}

type runFunc func(ctx context.Context, req runnerapi.RunRequest, sink runner.TokenSink) (runnerapi.RunResult, error)

func newFakeDeps(runs ...runFunc) *fakeDeps {
	return &fakeDeps{Clock: clock.System(), runs: runs, budget: 10, preempted: make(chan struct{})}
}

func (s *fakeDeps) executor() pipeline.Executor {
	return pipeline.NewExecutor(pipeline.Parts{
		Instance: "i1", Clock: s, Timers: clock.SystemTimers(), Catalog: testCatalog(), Slots: s, TimeBudgets: s, RetryBudget: s,
		Runners: s, Journal: s, Meter: s, Identifiers: s,
	})
}

func (s *fakeDeps) Observe(string, int, time.Duration) {}
func (s *fakeDeps) Success(string)                     {}
func (s *fakeDeps) Close()                             {}
func (s *fakeDeps) Explain(string) []journal.Decision  { return nil }
func (s *fakeDeps) AnswerMismatch(string)              { s.mismatched++ }

func (s *fakeDeps) EstimateWait(string, string, bool) time.Duration { return 0 }

func (s *fakeDeps) Acquire(_ context.Context, req pool.Request) (pool.Slot, error) {
	return &slot{deps: s, runner: bundle.Runner{ID: fmt.Sprintf("r%d", len(req.Exclude)+1)}}, nil
}

func (s *fakeDeps) Plan(_ bundle.Pipeline, _ int, now, deadline time.Time) (time.Time, error) {
	if !deadline.After(now) {
		return now, fault.New(fault.DeadlineTooShort, "no time left")
	}
	return deadline, nil
}

func (s *fakeDeps) Allow(string) bool {
	s.budget--
	return s.budget >= 0
}

func (s *fakeDeps) HedgeAfter(string, int) (time.Duration, bool) {
	return s.hedgeAfter, s.hedgeAfter > 0
}

func (s *fakeDeps) Record(d journal.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = append(s.steps, d.Step)
}

func (s *fakeDeps) Attempt(_, _, _ string, ending pool.Ending, _ time.Duration, _, _ int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endings = append(s.endings, ending)
}

func (s *fakeDeps) NewAttempt() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attemptIDs++
	return fmt.Sprintf("a%d", s.attemptIDs)
}

func (s *fakeDeps) Run(ctx context.Context, _ bundle.Runner, req runnerapi.RunRequest, _ int64, sink runner.TokenSink) (runnerapi.RunResult, error) {
	return s.next(req)(ctx, req, sink)
}

func (s *fakeDeps) next(req runnerapi.RunRequest) runFunc {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, req)
	if n := len(s.sent) - 1; n < len(s.runs) {
		return s.runs[n]
	}
	return succeed
}

func (s *fakeDeps) RunOnce(ctx context.Context, to bundle.Runner, req runnerapi.RunRequest, limit int64, guard func() error) (runnerapi.RunResult, error) {
	if err := guard(); err != nil {
		return runnerapi.RunResult{}, err
	}
	return s.Run(ctx, to, req, limit, nil)
}

func (s *fakeDeps) CloseIdle(to bundle.Runner) { s.idleClosed = append(s.idleClosed, to.ID) }

func (s *fakeDeps) Cancel(_ context.Context, _ bundle.Runner, attempt string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = append(s.cancelled, attempt)
	return nil
}

func (s *fakeDeps) Load(context.Context, bundle.Runner) (runnerapi.Load, error) {
	return runnerapi.Load{}, nil
}

type slot struct {
	deps   *fakeDeps
	runner bundle.Runner
}

func (p *slot) Runner() bundle.Runner      { return p.runner }
func (p *slot) Reason() string             { return "test" }
func (p *slot) Preempted() <-chan struct{} { return p.deps.preempted }

func (p *slot) Release(pool.Result) {
	p.deps.mu.Lock()
	defer p.deps.mu.Unlock()
	p.deps.released = append(p.deps.released, len(p.deps.cancelled))
}

func (p *slot) Check() error {
	if p.deps.unavailable > 0 {
		p.deps.unavailable--
		return fault.New(fault.NoRunner, "runner %s turned cold", p.runner.ID)
	}
	if p.deps.takenOut {
		return fault.New(fault.NoRunner, "runner %s was taken out", p.runner.ID)
	}
	return nil
}

func succeed(_ context.Context, req runnerapi.RunRequest, sink runner.TokenSink) (runnerapi.RunResult, error) {
	if sink != nil {
		if err := sink.Token(runnerapi.Token{Attempt: req.Attempt}); err != nil {
			return runnerapi.RunResult{}, err
		}
	}
	return runnerapi.RunResult{Attempt: req.Attempt, Output: json.RawMessage(`"` + req.Stage + `"`)}, nil
}

func failWith(o fault.Outcome) runFunc {
	return func(context.Context, runnerapi.RunRequest, runner.TokenSink) (runnerapi.RunResult, error) {
		return runnerapi.RunResult{}, fault.New(fault.RunnerFailed, "no answer").WithOutcome(o)
	}
}

func answerMismatched(context.Context, runnerapi.RunRequest, runner.TokenSink) (runnerapi.RunResult, error) {
	return runnerapi.RunResult{}, &runner.MismatchedAttemptError{Runner: "r1", Want: "a", Got: "b"}
}

func cutAfterToken(ctx context.Context, req runnerapi.RunRequest, sink runner.TokenSink) (runnerapi.RunResult, error) {
	if _, err := succeed(ctx, req, sink); err != nil {
		return runnerapi.RunResult{}, err
	}
	return runnerapi.RunResult{}, fault.New(fault.RunnerFailed, "cut")
}

func hang(ctx context.Context, _ runnerapi.RunRequest, _ runner.TokenSink) (runnerapi.RunResult, error) {
	<-ctx.Done()
	return runnerapi.RunResult{}, fault.Wrap(fault.RunnerFailed, ctx.Err(), "no answer")
}

func newPipeline(idempotent ...bool) bundle.Pipeline {
	p := bundle.Pipeline{ID: "p"}
	for i, yes := range idempotent {
		p.Stages = append(p.Stages, bundle.Stage{Name: fmt.Sprintf("s%d", i), Service: "s", Idempotent: yes, MaxResultBytes: 100, Streams: i == len(idempotent)-1})
	}
	return p
}

func testCatalog() *catalog.Current {
	book := newPipeline(true, false)
	book.ID = "book"
	c := &catalog.Current{}
	c.Advance(catalog.New(bundle.Bundle{
		Version: 1, Tiers: []bundle.Tier{{ID: "gold", Paying: true}},
		Teams: []bundle.Team{{ID: "t1", Tier: "gold"}}, Pipelines: []bundle.Pipeline{book},
	}))
	return c
}

func (s *fakeDeps) job(p bundle.Pipeline, paying bool) pipeline.Job {
	return pipeline.Job{
		Request: "q1", Team: catalog.Team{Team: bundle.Team{ID: "t1"}, Paying: paying}, Pipeline: p,
		Input: json.RawMessage(`"in"`), Deadline: s.Now().Add(time.Second),
	}
}

func call() ledger.Call {
	return ledger.Call{Request: "q1", Team: "t1", Pipeline: "book", Key: "k1", Input: json.RawMessage(`1`), RemainingMillis: 1000}
}

func allow() error { return nil }

func TestStageInputIsPreviousOutput(t *testing.T) {
	is := is.New(t)
	s := newFakeDeps()
	a, err := s.executor().Run(t.Context(), s.job(newPipeline(true, true, true), true))
	is.NoErr(err)
	is.Equal(string(a.Output), `"s2"`)
	is.Equal(string(s.sent[0].Input), `"in"`)
	is.Equal(string(s.sent[2].Input), `"s1"`)
	is.Equal(len(a.Stages), 3)
}

func TestIdempotentStageIsRetried(t *testing.T) {
	is := is.New(t)
	s := newFakeDeps(failWith(fault.Unknown), answerMismatched)
	a, err := s.executor().Run(t.Context(), s.job(newPipeline(true), true))
	is.NoErr(err)
	is.Equal(a.Stages[0].Attempts, 3)
	is.Equal(a.Stages[0].Runner, "r3") // runners that failed are excluded
	is.Equal(s.mismatched, 1)
}

func TestRetryBudgetLimitsRetries(t *testing.T) {
	is := is.New(t)
	s := newFakeDeps(failWith(fault.Unknown), failWith(fault.NotRun))
	s.budget = 1
	_, err := s.executor().Run(t.Context(), s.job(newPipeline(true), true))
	is.True(fault.Is(err, fault.RunnerFailed))
	is.Equal(len(s.sent), 2)
	is.Equal(fault.Of(err).Outcome(), fault.Unknown) // the first attempt may have run
}

func TestNonIdempotentStageIsRetriedOnlyIfNotRun(t *testing.T) {
	is := is.New(t)
	s := newFakeDeps(succeed, failWith(fault.NotRun), failWith(fault.Unknown))
	_, err := s.executor().RunOnce(t.Context(), call(), allow)
	is.Equal(fault.Of(err).Outcome(), fault.Unknown)
	is.Equal(len(s.sent), 3) // the idempotent stage, and two attempts of the other
	is.Equal(s.sent[2].IdempotencyKey, "k1")
}

func TestNonIdempotentStageIsNotSentIfGuardFails(t *testing.T) {
	is := is.New(t)
	s := newFakeDeps()
	leaseExpired := fault.New(fault.HomeUnsettled, "hold lapsed")
	_, err := s.executor().RunOnce(t.Context(), call(), func() error { return leaseExpired })
	is.True(fault.Is(err, fault.HomeUnsettled))
	is.Equal(fault.Of(err).Outcome(), fault.NotRun)
	is.Equal(len(s.sent), 1) // only the idempotent stage
}

func TestTakenOutRunnerReceivesNothing(t *testing.T) {
	is := is.New(t)
	s := newFakeDeps()
	s.takenOut = true
	_, err := s.executor().Run(t.Context(), s.job(newPipeline(true), true))
	is.True(fault.Is(err, fault.NoRunner))
	is.Equal(len(s.sent), 0)
}

func TestAnotherRunnerIsChosenIfSlotCheckFails(t *testing.T) {
	is := is.New(t)
	s := newFakeDeps()
	s.unavailable = 2
	_, err := s.executor().Run(t.Context(), s.job(newPipeline(true), true))
	is.NoErr(err)
	is.Equal(len(s.sent), 1)
	is.Equal(s.budget, 10) // the retry budget is unused
}

// tokenCount counts the tokens sent to the caller.
type tokenCount int

func (n *tokenCount) Token(runnerapi.Token) error {
	*n++
	return nil
}

func TestStartedStreamIsNotRetried(t *testing.T) {
	is := is.New(t)
	s := newFakeDeps(cutAfterToken)
	var n tokenCount
	job := s.job(newPipeline(true), true)
	job.Stream = &n
	_, err := s.executor().Run(t.Context(), job)
	is.True(fault.Is(err, fault.RunnerFailed))
	is.Equal(len(s.sent), 1) // tokens of another runner must not follow
	is.Equal(int(n), 1)
}

func TestDeadlineCancelsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeDeps(hang)
		x := s.executor()
		_, err := x.Run(t.Context(), s.job(newPipeline(true), true))
		x.Close()
		is.True(fault.Is(err, fault.DeadlineExceeded))
		is.Equal(s.cancelled, []string{"a1"}) // the attempt is cancelled on the runner
		is.Equal(s.endings, []pool.Ending{pool.TimedOut})
	})
}

func TestPreemptedFreeWorkIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeDeps(hang)
		close(s.preempted)
		x := s.executor()
		a, err := x.Run(t.Context(), s.job(newPipeline(true), false))
		x.Close()
		is.NoErr(err) // it ran elsewhere
		is.Equal(a.Stages[0].Attempts, 2)
		is.Equal(s.endings, []pool.Ending{pool.Cancelled, pool.Completed})
	})
}

func TestSlowAttemptIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeDeps(hang)
		s.hedgeAfter = 50 * time.Millisecond
		x := s.executor()
		start := s.Now()
		a, err := x.Run(t.Context(), s.job(newPipeline(true), true))
		x.Close()
		is.NoErr(err)
		is.Equal(s.Now().Sub(start), s.hedgeAfter)
		is.Equal(a.Stages[0].Runner, "r2")           // the hedged attempt
		is.Equal(s.cancelled, []string{"a1"})        // the first is cancelled
		is.Equal(s.idleClosed, []string{"r2", "r1"}) // over a new connection
	})
}

func TestNonIdempotentStageIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeDeps(succeed, hang)
		s.hedgeAfter = 50 * time.Millisecond
		_, err := s.executor().RunOnce(t.Context(), call(), allow)
		is.Equal(fault.Of(err).Outcome(), fault.Unknown)
		is.Equal(len(s.sent), 2) // one attempt of each stage
	})
}

// tokenBetween returns a run that sends a token between two waits.
func tokenBetween(before, after time.Duration) runFunc {
	return func(ctx context.Context, req runnerapi.RunRequest, sink runner.TokenSink) (runnerapi.RunResult, error) {
		if err := clock.System().Sleep(ctx, before); err != nil {
			return runnerapi.RunResult{}, err
		}
		result, err := succeed(ctx, req, sink)
		if err != nil {
			return result, err
		}
		return result, clock.System().Sleep(ctx, after)
	}
}

// TestStreamHasTokensOfOneAttempt has the second attempt send a token while the
// first one, whose token the caller has received, still runs. Mixing the tokens
// of two attempts would corrupt the stream.
func TestStreamHasTokensOfOneAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeDeps(tokenBetween(100*time.Millisecond, 100*time.Millisecond), tokenBetween(70*time.Millisecond, 0))
		s.hedgeAfter = 50 * time.Millisecond
		var n tokenCount
		job := s.job(newPipeline(true), true)
		job.Stream = &n
		x := s.executor()
		a, err := x.Run(t.Context(), job)
		x.Close()
		is.NoErr(err)
		is.Equal(int(n), 1) // the token of the second attempt is dropped
		is.Equal(a.Stages[0].Runner, "r1")
	})
}

// TestSlotOfAbandonedAttemptIsHeldUntilCancelled has an attempt time out. Its
// runner may still run it until it is cancelled, so its slot must not be
// released before.
func TestSlotOfAbandonedAttemptIsHeldUntilCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeDeps(hang)
		x := s.executor()
		_, err := x.Run(t.Context(), s.job(newPipeline(true), true))
		x.Close()
		is.True(fault.Is(err, fault.DeadlineExceeded))
		is.Equal(s.released, []int{1}) // after the cancellation
	})
}
